//! A pressed service deep in a chain: what it would refuse is refused at the entry, at once and
//! before anything ran, and the entry lets everything in again once the pressure ends.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestResponse, eventually},
    process::ProcessGuard,
};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

const CONTRACT: &str = r#"
customer = "dansk"
revision = 1
calls_per_second = 4000
calls_in_flight = 1200
retries_per_request = 2
remember_hours = 48

[[operation]]
service = "techreg"
method = "GET"
path = "/certificates/{id}"
class = "critical"
idempotent = true
deadline_ms = 5000

[[operation]]
service = "techreg"
method = "GET"
path = "/history/{id}"
class = "background"
idempotent = true
deadline_ms = 5000

[[operation]]
service = "gasdata"
method = "GET"
path = "/records/{id}"
class = "background"
idempotent = true
deadline_ms = 5000
"#;

/// Time between two background requests; the deepest server finishes one each 25 ms.
const BACKGROUND_PAUSE: Duration = Duration::from_millis(4);
/// Background requests for each critical one.
const BACKGROUND_PER_CRITICAL: usize = 50;
const REQUESTS: usize = 1_000;

async fn send(bed: &TestBed, daemon: &ProcessGuard, path: &str, id: &str) -> TestResponse {
    let headers = [("agatehill-customer", "dansk"), ("idempotency-key", id)];
    let addr = daemon.addr("caller");
    let sent = bed.client.send("GET", addr, path, &headers, "").await;
    sent.expect("an answer")
}

/// Sends requests at a fixed rate; returns the answers of the critical and the background ones.
async fn flood(bed: &TestBed, daemon: &ProcessGuard) -> (Vec<TestResponse>, Vec<TestResponse>) {
    let one = async |idx: usize| {
        tokio::time::sleep(BACKGROUND_PAUSE * idx as u32).await;
        let id = format!("r-{idx}");
        let is_critical = idx.is_multiple_of(BACKGROUND_PER_CRITICAL);
        let path = match is_critical {
            true => "/call/techreg/certificates/1",
            false => "/call/techreg/history/1",
        };
        (is_critical, send(bed, daemon, path, &id).await)
    };
    let answers = futures_util::future::join_all((0..REQUESTS).map(one)).await;
    let (critical, background): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(is, _)| *is);
    let strip = |answers: Vec<(bool, TestResponse)>| answers.into_iter().map(|(_, a)| a).collect();
    (strip(critical), strip(background))
}

fn answered_share(answers: &[TestResponse]) -> f64 {
    let answered = answers.iter().filter(|a| a.status == 200).count();
    answered as f64 / answers.len() as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn pressed_service_is_spared_at_the_entry() {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(keepers[0].addr("operator"), "dansk", CONTRACT)
        .await;
    let spec = bed.add_daemon(ZONE);
    let daemon = bed.start_daemon(&spec);
    let call = ["--call", "gasdata:/records/1"];
    let _front = bed.start_backend(&daemon, "techreg", &call);
    let slots = ["--slots", "2", "--service-ms", "50"];
    let _deep = bed.start_backend(&daemon, "gasdata", &slots);
    bed.wait_served(&daemon, "dansk", "/call/techreg/certificates/1")
        .await;

    let (critical, background) = flood(&bed, &daemon).await;

    let shed: Vec<_> = background
        .iter()
        .filter(|answer| answer.header("agatehill-outcome") == "not-run")
        .collect();
    assert!(!shed.is_empty(), "nothing is refused at the entry");
    for answer in shed {
        assert_eq!(answer.status, 503);
        assert_ne!(answer.header("agatehill-retry-after-ms"), "");
    }
    let (critical, background) = (answered_share(&critical), answered_share(&background));
    assert!(
        critical > background,
        "critical {critical}, background {background}"
    );
    let count = AtomicUsize::new(0);
    eventually("background requests pass again", SETTLE_TIMEOUT, || async {
        let id = format!("late-{}", count.fetch_add(1, Ordering::Relaxed));
        send(&bed, &daemon, "/call/techreg/history/1", &id)
            .await
            .status
            == 200
    })
    .await;
}
