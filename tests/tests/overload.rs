//! While a service deep in a call chain is overloaded, the entry sheds what that service would
//! refuse before anything runs; it admits all requests again once the overload ends.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestResponse, eventually},
    contract::{TestOperation, contract_text},
    process::ProcessGuard,
};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

const OPERATIONS: [TestOperation; 3] = [
    TestOperation {
        request: "GET /certificates/{id}",
        service: "techreg",
        class: "critical",
        idempotent: true,
        deadline_ms: 5_000,
    },
    TestOperation {
        request: "GET /history/{id}",
        service: "techreg",
        class: "background",
        idempotent: true,
        deadline_ms: 5_000,
    },
    TestOperation {
        request: "GET /records/{id}",
        service: "gasdata",
        class: "background",
        idempotent: true,
        deadline_ms: 5_000,
    },
];

/// Time between two requests; the deepest server finishes one every 25 ms.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// One request out of this many is critical.
const REQUESTS_PER_CRITICAL: usize = 50;
const REQUESTS: usize = 1_000;

async fn send(bed: &TestBed, daemon: &ProcessGuard, path: &str, id: &str) -> TestResponse {
    let headers = [("agatehill-customer", "dansk"), ("idempotency-key", id)];
    let addr = daemon.addr("caller");
    let request = bed.client.send("GET", addr, path, &headers, "").await;
    request.expect("a response")
}

/// Sends requests at a fixed rate; returns the critical and the background responses.
async fn send_load(bed: &TestBed, daemon: &ProcessGuard) -> (Vec<TestResponse>, Vec<TestResponse>) {
    let send_one = async |idx: usize| {
        tokio::time::sleep(REQUEST_INTERVAL * idx as u32).await;
        let id = format!("r-{idx}");
        let is_critical = idx.is_multiple_of(REQUESTS_PER_CRITICAL);
        let path = match is_critical {
            true => "/call/techreg/certificates/1",
            false => "/call/techreg/history/1",
        };
        (is_critical, send(bed, daemon, path, &id).await)
    };
    let responses = futures_util::future::join_all((0..REQUESTS).map(send_one)).await;
    let (critical, background): (Vec<_>, Vec<_>) = responses.into_iter().partition(|(is, _)| *is);
    let responses_of =
        |responses: Vec<(bool, TestResponse)>| responses.into_iter().map(|(_, a)| a).collect();
    (responses_of(critical), responses_of(background))
}

fn answered_share(responses: &[TestResponse]) -> f64 {
    let answered = responses.iter().filter(|a| a.status == 200).count();
    answered as f64 / responses.len() as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn the_entry_sheds_background_requests_of_an_overloaded_service() {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(
        keepers[0].addr("operator"),
        "dansk",
        &contract_text("dansk", &OPERATIONS),
    )
    .await;
    let spec = bed.add_daemon(ZONE);
    let daemon = bed.start_daemon(&spec);
    let call = ["--call", "gasdata:/records/1"];
    let _front = bed.start_backend(&daemon, "techreg", &call);
    let slots = ["--slots", "2", "--service-ms", "50"];
    let _deep = bed.start_backend(&daemon, "gasdata", &slots);
    bed.wait_served(&daemon, "dansk", "/call/techreg/certificates/1")
        .await;

    let (critical, background) = send_load(&bed, &daemon).await;

    let shed: Vec<_> = background
        .iter()
        .filter(|response| response.header("agatehill-outcome") == "not-run")
        .collect();
    assert!(!shed.is_empty(), "the entry sheds nothing");
    for response in shed {
        assert_eq!(response.status, 503);
        assert_ne!(response.header("agatehill-retry-after-ms"), "");
    }
    let (critical, background) = (answered_share(&critical), answered_share(&background));
    assert!(
        critical > background,
        "answered: critical {critical}, background {background}"
    );
    let count = AtomicUsize::new(0);
    eventually(
        "background requests are admitted again",
        SETTLE_TIMEOUT,
        || async {
            let id = format!("late-{}", count.fetch_add(1, Ordering::Relaxed));
            send(&bed, &daemon, "/call/techreg/history/1", &id)
                .await
                .status
                == 200
        },
    )
    .await;
}
