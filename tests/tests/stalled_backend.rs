//! Connections to a backend server stall for good while new ones work: idempotent calls succeed,
//! and others run at most once.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestClient, TestResponse, eventually},
    contract::{TestOperation, contract_text},
    process::ProcessGuard,
};
use std::net::SocketAddr;
use tokio::task::JoinSet;

const OPERATIONS: [TestOperation; 2] = [
    TestOperation {
        request: "GET /certificates/{id}",
        service: "certdesk",
        class: "critical",
        idempotent: true,
        deadline_ms: 6_000,
    },
    TestOperation {
        request: "POST /certificates/{id}",
        service: "certdesk",
        class: "critical",
        idempotent: false,
        deadline_ms: 5_000,
    },
];

const CALLS: usize = 24;

/// Makes [`CALLS`] calls concurrently and returns their responses.
async fn call_all(
    client: &TestClient,
    addr: SocketAddr,
    method: &'static str,
    prefix: &str,
) -> Vec<TestResponse> {
    let mut sends = JoinSet::new();
    for idx in 0..CALLS {
        let (client, key) = (client.clone(), format!("{prefix}-{idx}"));
        sends.spawn(async move {
            let path = format!("/call/certdesk/certificates/{idx}");
            let headers = [("agatehill-customer", "dansk"), ("idempotency-key", &key)];
            client.send(method, addr, &path, &headers, "").await
        });
    }
    let responses = sends.join_all().await;
    responses
        .into_iter()
        .map(|response| response.expect("a response"))
        .collect()
}

/// Stalls all open connections of `backend`.
async fn stall(backend: &ProcessGuard) {
    // A separate client, since the connection of this request stalls too.
    let client = TestClient::default();
    let addr = backend.addr("address");
    tokio::spawn(async move { client.send("POST", addr, "/_silence", &[], "").await });
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_connections_fail_no_idempotent_call_and_run_nothing_twice() {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(
        keepers[0].addr("operator"),
        "dansk",
        &contract_text("dansk", &OPERATIONS),
    )
    .await;
    let specs = [bed.add_daemon(ZONE), bed.add_daemon(ZONE)];
    let daemons: Vec<_> = specs.iter().map(|spec| bed.start_daemon(spec)).collect();
    let slow = ["--service-ms", "20"];
    let start = |daemon| bed.start_backend(daemon, "certdesk", &slow);
    let backends: Vec<_> = daemons.iter().map(start).collect();
    let addr = daemons[0].addr("caller");
    let operator = daemons[0].addr("operator");
    eventually("both servers are known", SETTLE_TIMEOUT, || async {
        let dump = bed.client.get(operator, "/dump").await;
        dump.is_some_and(|dump| dump.json()["routes"].as_array().map(Vec::len) == Some(2))
    })
    .await;

    call_all(&bed.client, addr, "GET", "warm").await;
    stall(&backends[0]).await;
    let stalled_at = std::time::Instant::now();
    for round in 0..3 {
        let reads = call_all(&bed.client, addr, "GET", &format!("read-{round}")).await;
        let failed: Vec<_> = reads
            .iter()
            .filter(|response| response.status != 200)
            .collect();
        assert!(failed.is_empty(), "round {round}: {failed:?}");
    }
    println!(
        "all reads answered {:?} after the stall",
        stalled_at.elapsed()
    );

    call_all(&bed.client, addr, "POST", "warm").await;
    for backend in &backends {
        stall(backend).await;
    }
    let writes = call_all(&bed.client, addr, "POST", "write").await;
    let resends = call_all(&bed.client, addr, "POST", "write").await;
    let is_unknown = |response: &TestResponse| response.header("agatehill-outcome") == "unknown";
    assert!(
        writes.iter().any(is_unknown),
        "no write was sent on a stalled connection"
    );
    let mut counts = Vec::new();
    for backend in &backends {
        let runs = bed.client.get(backend.addr("address"), "/_runs").await;
        counts.push(runs.expect("the server reports its counts").json()["keys"].clone());
    }
    let count = |key: &str| -> u64 { counts.iter().filter_map(|keys| keys[key].as_u64()).sum() };
    for idx in 0..CALLS {
        let key = format!("write-{idx}");
        let outcomes =
            [&writes[idx], &resends[idx]].map(|response| response.header("agatehill-outcome"));
        assert!(count(&key) <= 1, "{key} ran {} times", count(&key));
        assert!(
            !outcomes.contains(&"not-run") || count(&key) == 0,
            "{key}: {outcomes:?}"
        );
    }
    let late = call_all(&bed.client, addr, "POST", "late").await;
    assert!(
        late.iter().all(|response| response.status == 200),
        "{late:?}"
    );
}
