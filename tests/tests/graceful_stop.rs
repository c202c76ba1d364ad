//! A planned stop cuts off no request in flight, uploads included, and a stop ends with code 0.

use agatehill_tests::{
    bed::{TestBed, ZONE},
    process::{ProcessGuard, binary},
};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::{
    fs,
    process::{Command, Output},
    thread,
    time::Duration,
};

/// Far beyond what the upload takes; only ends a test that hangs.
const EXIT_LIMIT: Duration = Duration::from_secs(60);
/// Time into the upload at which the stop is asked for.
const STOP_AFTER: Duration = Duration::from_millis(700);
/// What a daemon may use, in KiB.
const MEMORY_KIB_MAX: u64 = 256 * 1024;

const CONTRACT: &str = r#"
customer = "dansk"
revision = 1
calls_per_second = 4000
calls_in_flight = 1200
retries_per_request = 2
remember_hours = 48

[[operation]]
service = "proevesal"
method = "PUT"
path = "/uploads/{id}"
class = "normal"
idempotent = true
deadline_ms = 120000

[[operation]]
service = "proevesal"
method = "GET"
path = "/uploads/{id}"
class = "normal"
idempotent = true
deadline_ms = 5000
"#;

#[derive(Clone, Copy, Debug)]
enum StoppedProcess {
    Daemon,
    Backend,
}

/// Uploads 64 MiB in about 2.6 s.
fn upload(url: String) -> thread::JoinHandle<Output> {
    thread::spawn(move || {
        Command::new(binary("agatehill-load"))
            .args(["upload", "--url", &url, "--customer", "dansk"])
            .args(["--megabytes", "64", "--chunk-wait-ms", "2"])
            .output()
            .expect("the load tool runs")
    })
}

/// Returns the most memory that a process has used, in KiB.
fn memory_kib(process: &ProcessGuard) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.pid())).expect("a status");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .expect("a VmHWM line");
    let kib = line.split_whitespace().nth(1).expect("a number");
    kib.parse().expect("a number")
}

#[rstest]
#[case::daemon(StoppedProcess::Daemon)]
#[case::backend_server(StoppedProcess::Backend)]
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_in_flight_is_finished(#[case] stopped: StoppedProcess) {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(keepers[0].addr("operator"), "dansk", CONTRACT)
        .await;
    let spec = bed.add_daemon(ZONE);
    let mut daemon = bed.start_daemon(&spec);
    let mut backend = bed.start_backend(&daemon, "proevesal", &[]);
    bed.wait_served(&daemon, "dansk", "/call/proevesal/uploads/0")
        .await;

    let upload = upload(format!(
        "http://{}/call/proevesal/uploads/1",
        daemon.addr("caller")
    ));
    thread::sleep(STOP_AFTER);
    let used = memory_kib(&daemon);
    let process = match stopped {
        StoppedProcess::Daemon => &mut daemon,
        StoppedProcess::Backend => &mut backend,
    };
    process.signal(Signal::SIGTERM);
    let output = upload.join().expect("the upload ends");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let status = process
        .wait_exit(EXIT_LIMIT)
        .expect("the process stops by itself");
    assert_eq!(status.code(), Some(0));
    assert!(used < MEMORY_KIB_MAX, "{used} KiB");
}
