//! A planned stop finishes the requests in flight, uploads included, and exits with code 0.

use agatehill_tests::{
    bed::{TestBed, ZONE},
    contract::{TestOperation, contract_text},
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

/// Longest wait for the exit, far above the time of the upload.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the start of the upload to SIGTERM.
const STOP_DELAY: Duration = Duration::from_millis(700);
/// Memory target of a daemon, in KiB.
const MEMORY_KIB_MAX: u64 = 256 * 1024;

const OPERATIONS: [TestOperation; 2] = [
    TestOperation {
        request: "PUT /uploads/{id}",
        service: "proevesal",
        class: "normal",
        idempotent: true,
        deadline_ms: 120_000,
    },
    TestOperation {
        request: "GET /uploads/{id}",
        service: "proevesal",
        class: "normal",
        idempotent: true,
        deadline_ms: 5_000,
    },
];

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
            .expect("run agatehill-load")
    })
}

/// Returns the peak resident memory of a process, in KiB.
fn peak_memory_kib(process: &ProcessGuard) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.pid()))
        .expect("read the process status");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .expect("the status has a VmHWM line");
    let kib = line.split_whitespace().nth(1).expect("VmHWM has a value");
    kib.parse().expect("VmHWM is a number")
}

#[rstest]
#[case::daemon(StoppedProcess::Daemon)]
#[case::backend_server(StoppedProcess::Backend)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_process_finishes_an_upload_in_flight(#[case] stopped: StoppedProcess) {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(
        keepers[0].addr("operator"),
        "dansk",
        &contract_text("dansk", &OPERATIONS),
    )
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
    thread::sleep(STOP_DELAY);
    let used = peak_memory_kib(&daemon);
    let process = match stopped {
        StoppedProcess::Daemon => &mut daemon,
        StoppedProcess::Backend => &mut backend,
    };
    process.signal(Signal::SIGTERM);
    let output = upload.join().expect("the upload thread does not panic");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let status = process
        .wait_exit(EXIT_TIMEOUT)
        .expect("the process exits in time");
    assert_eq!(status.code(), Some(0));
    assert!(used < MEMORY_KIB_MAX, "the daemon used {used} KiB");
}
