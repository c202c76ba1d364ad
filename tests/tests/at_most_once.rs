//! Non-idempotent requests run at most once, and the outcome in each response agrees with the runs
//! that the backend servers counted.

use agatehill_tests::{
    bed::{DaemonSpec, SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestClient, TestResponse, eventually},
    contract::{TestOperation, contract_text},
    process::ProcessGuard,
};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::{net::SocketAddr, time::Duration};
use tokio::{task::JoinSet, time::sleep};

const OPERATIONS: [TestOperation; 2] = [
    TestOperation {
        request: "POST /payments/{kind}",
        service: "till",
        class: "critical",
        idempotent: false,
        deadline_ms: 8_000,
    },
    TestOperation {
        request: "GET /payments/{id}",
        service: "till",
        class: "critical",
        idempotent: true,
        deadline_ms: 8_000,
    },
];

/// Pause of a caller between two attempts.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
const SLOW: &[&str] = &["--service-ms", "1500"];

/// Keepers, and daemons with one backend server of `till` each.
struct TillBed {
    bed: TestBed,
    keepers: Vec<ProcessGuard>,
    specs: Vec<DaemonSpec>,
    daemons: Vec<ProcessGuard>,
    backends: Vec<ProcessGuard>,
}

impl TillBed {
    async fn open(keepers: usize, backends: &[&[&str]]) -> TillBed {
        let mut bed = TestBed::open(&vec![ZONE; keepers]);
        let keepers = bed.start_keepers();
        bed.put_contract(
            keepers[0].addr("operator"),
            "sutravan",
            &contract_text("sutravan", &OPERATIONS),
        )
        .await;
        let specs: Vec<_> = backends.iter().map(|_| bed.add_daemon(ZONE)).collect();
        let daemons: Vec<_> = specs.iter().map(|spec| bed.start_daemon(spec)).collect();
        let start =
            |(daemon, more): (&ProcessGuard, &&[&str])| bed.start_backend(daemon, "till", more);
        let backends = daemons.iter().zip(backends).map(start).collect();
        let till = TillBed {
            bed,
            keepers,
            specs,
            daemons,
            backends,
        };
        for idx in 0..till.daemons.len() {
            till.wait_payable(idx).await;
        }
        till
    }

    /// Sends payments to daemon `idx`, each with a new key, until one is answered.
    async fn wait_payable(&self, idx: usize) {
        let mut sends = 0;
        loop {
            sends += 1;
            let response = self
                .pay(idx, &format!("probe-{idx}-{sends}"), 0, "card")
                .await;
            if outcome(&response) == "answered" {
                return;
            }
            assert!(sends < 200, "payments are not answered: {response:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn signal_keepers(&self, signal: Signal) {
        self.keepers.iter().for_each(|keeper| keeper.signal(signal));
    }

    async fn pay(&self, idx: usize, key: &str, attempt: u32, kind: &str) -> Option<TestResponse> {
        let addr = self.daemons[idx].addr("caller");
        pay(&self.bed.client, addr, key, attempt, kind).await
    }

    /// Returns how often backend server `idx` started the request `key`.
    async fn runs_at(&self, idx: usize, key: &str) -> u64 {
        let addr = self.backends[idx].addr("address");
        let counts = self
            .bed
            .client
            .get(addr, "/_runs")
            .await
            .expect("the server reports its counts");
        counts.json()["keys"][key].as_u64().unwrap_or(0)
    }

    async fn total_runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for idx in 0..self.backends.len() {
            runs += self.runs_at(idx, key).await;
        }
        runs
    }
}

fn outcome(response: &Option<TestResponse>) -> &str {
    response
        .as_ref()
        .map_or("none", |response| response.header("agatehill-outcome"))
}

/// Sends a payment to the daemon at `addr`.
async fn pay(
    client: &TestClient,
    addr: SocketAddr,
    key: &str,
    attempt: u32,
    kind: &str,
) -> Option<TestResponse> {
    let attempt = attempt.to_string();
    let headers = [
        ("agatehill-customer", "sutravan"),
        ("idempotency-key", key),
        ("agatehill-attempt", &attempt),
    ];
    let path = format!("/call/till/payments/{kind}");
    client
        .send("POST", addr, &path, &headers, "20 rupees")
        .await
}

/// Sends a payment again for as long as it has not run, as callers do; returns the last attempt and
/// its response.
async fn send_until_run(
    client: &TestClient,
    addr: SocketAddr,
    key: &str,
) -> (u32, Option<TestResponse>) {
    let mut attempt = 0;
    loop {
        let response = pay(client, addr, key, attempt, "card").await;
        if outcome(&response) != "not-run" {
            return (attempt, response);
        }
        attempt += 1;
        sleep(RESEND_PAUSE).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resends_to_any_daemon_get_the_first_response() {
    let till = TillBed::open(1, &[SLOW, SLOW]).await;
    let mut sends = JoinSet::new();
    let till = std::sync::Arc::new(till);
    for idx in [0, 1, 0, 1] {
        let till = till.clone();
        sends.spawn(async move { till.pay(idx, "p-1", 0, "card").await });
    }
    let responses: Vec<_> = sends.join_all().await.into_iter().flatten().collect();
    assert_eq!(responses.len(), 4);
    let bodies: std::collections::HashSet<_> = responses.iter().map(|a| a.body.clone()).collect();
    assert_eq!(bodies.len(), 1, "{responses:?}");
    let late = till.pay(1, "p-1", 1, "card").await;
    assert_eq!(outcome(&late), "replayed");
    assert_eq!(late.expect("a response").body, responses[0].body);
    assert_eq!(till.total_runs("p-1").await, 1);

    let other = till.pay(1, "p-1", 2, "cash").await.expect("a response");
    assert_eq!(other.status, 409);
    assert_eq!(till.total_runs("p-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_killed_during_a_run_leaves_the_outcome_unknown() {
    let mut till = TillBed::open(1, &[SLOW, SLOW]).await;
    let sent = till.pay(0, "p-2", 0, "card");
    let gate = async {
        loop {
            for idx in 0..2 {
                if till.runs_at(idx, "p-2").await > 0 {
                    return idx;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let idx = tokio::select! {
        response = sent => panic!("response before the run started: {response:?}"),
        idx = gate => idx,
    };
    till.daemons[idx].kill();
    let other = 1 - idx;
    let first = till.pay(other, "p-2", 1, "card").await;
    assert_eq!(outcome(&first), "unknown", "{first:?}");
    till.daemons[idx] = till.bed.start_daemon(&till.specs[idx]);
    let has_ended = || async {
        let response = till.pay(other, "p-2", 2, "card").await;
        let status = response.as_ref().map(|a| a.status.as_u16());
        assert_eq!(outcome(&response), "unknown", "{response:?}");
        // 502 without waiting for the other attempt: its claim is known to have ended.
        status == Some(502)
    };
    eventually(
        "the restarted daemon ends its claims",
        SETTLE_TIMEOUT,
        has_ended,
    )
    .await;
    assert_eq!(till.total_runs("p-2").await, 1);
}

/// Keepers that stall refuse claims, so that the payment runs only once its caller sends it again.
#[rstest]
#[case::keepers_run(Duration::ZERO)]
#[case::keepers_stall(Duration::from_secs(3))]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_killed_during_a_run_leaves_the_outcome_unknown(#[case] stall: Duration) {
    let mut till = TillBed::open(1, &[SLOW]).await;
    let addr = till.daemons[0].addr("caller");
    let client = till.bed.client.clone();
    if !stall.is_zero() {
        till.signal_keepers(Signal::SIGSTOP);
    }
    let sent = tokio::spawn(async move { send_until_run(&client, addr, "p-3").await });
    sleep(stall).await;
    till.signal_keepers(Signal::SIGCONT);
    eventually("the payment runs", SETTLE_TIMEOUT, || async {
        till.runs_at(0, "p-3").await == 1
    })
    .await;
    till.backends[0].kill();
    let (attempt, response) = sent.await.expect("the sender does not panic");
    assert_eq!(outcome(&response), "unknown", "{response:?}");
    till.backends[0] = till.bed.start_backend(&till.daemons[0], "till", SLOW);
    till.wait_payable(0).await;
    let again = till.pay(0, "p-3", attempt + 1, "card").await;
    assert_eq!(outcome(&again), "unknown", "{again:?}");
    assert_eq!(till.runs_at(0, "p-3").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_keepers_refuses_only_non_idempotent_requests() {
    let till = TillBed::open(3, &[&[]]).await;
    till.signal_keepers(Signal::SIGSTOP);
    let refused = till.pay(0, "p-4", 0, "card").await.expect("a response");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("agatehill-outcome"), "not-run");
    assert_ne!(refused.header("agatehill-retry-after-ms"), "");
    // Without keepers, the outcome of the earlier attempt is not known.
    let resent = till.pay(0, "p-4", 1, "card").await;
    assert_eq!(outcome(&resent), "unknown", "{resent:?}");
    till.bed
        .wait_served(&till.daemons[0], "sutravan", "/call/till/payments/7")
        .await;
    assert_eq!(till.runs_at(0, "p-4").await, 0);

    till.signal_keepers(Signal::SIGCONT);
    let attempts = std::sync::atomic::AtomicU32::new(2);
    eventually(
        "the payment runs once the keepers are back",
        SETTLE_TIMEOUT,
        || async {
            let attempt = attempts.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let response = till.pay(0, "p-4", attempt, "card").await;
            matches!(outcome(&response), "answered" | "replayed")
        },
    )
    .await;
    assert_eq!(till.runs_at(0, "p-4").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keeper_killed_during_a_run_loses_no_response() {
    let mut till = TillBed::open(3, &[SLOW, SLOW]).await;
    let addr = till.daemons[0].addr("caller");
    let client = till.bed.client.clone();
    let sent = tokio::spawn(async move {
        let headers = [
            ("agatehill-customer", "sutravan"),
            ("idempotency-key", "p-5"),
        ];
        let path = "/call/till/payments/card";
        client.send("POST", addr, path, &headers, "20 rupees").await
    });
    eventually("the payment runs", SETTLE_TIMEOUT, || async {
        till.total_runs("p-5").await == 1
    })
    .await;
    // The killed keeper may lead some of the groups or none.
    till.keepers[0].kill();
    let response = sent.await.expect("the sender does not panic");
    assert_eq!(outcome(&response), "answered", "{response:?}");
    let first = response.expect("a response").body;
    let attempts = std::sync::atomic::AtomicU32::new(1);
    eventually("the response is replayed", SETTLE_TIMEOUT, || async {
        let attempt = attempts.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let again = till.pay(1, "p-5", attempt, "card").await;
        assert_ne!(outcome(&again), "not-run", "{again:?}");
        outcome(&again) == "replayed" && again.is_some_and(|again| again.body == first)
    })
    .await;
    assert_eq!(till.total_runs("p-5").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_is_never_passed_on_as_complete() {
    let till = TillBed::open(1, &[&["--answer-bytes", "2000"]]).await;
    let paid = till.pay(0, "p-6", 0, "cut").await;
    assert_eq!(outcome(&paid), "unknown", "{paid:?}");
    assert_eq!(paid.expect("a response").status, 502);
    let again = till.pay(0, "p-6", 1, "cut").await;
    assert_eq!(outcome(&again), "unknown", "{again:?}");
    assert_eq!(till.runs_at(0, "p-6").await, 1);

    let headers = [("agatehill-customer", "sutravan")];
    let addr = till.daemons[0].addr("caller");
    let path = "/call/till/payments/cut";
    let read = till.bed.client.send("GET", addr, path, &headers, "").await;
    let is_success = read
        .as_ref()
        .is_some_and(|response| response.status.is_success());
    assert!(!is_success, "{read:?}");
}
