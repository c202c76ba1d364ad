//! At most once over real processes: what callers are told against what ran.

use agatehill_tests::{
    bed::{DaemonSpec, SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestResponse, eventually},
    process::ProcessGuard,
};
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::{task::JoinSet, time::sleep};

const CONTRACT: &str = r#"
customer = "sutravan"
revision = 1
calls_per_second = 4000
calls_in_flight = 1200
retries_per_request = 2
remember_hours = 48

[[operation]]
service = "till"
method = "POST"
path = "/payments/{kind}"
class = "critical"
idempotent = false
deadline_ms = 8000

[[operation]]
service = "till"
method = "GET"
path = "/payments/{id}"
class = "critical"
idempotent = true
deadline_ms = 8000
"#;

const SLOW: &[&str] = &["--service-ms", "1500"];

/// Keepers, and daemons with a backend server of `till` each.
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
        bed.put_contract(keepers[0].addr("operator"), "sutravan", CONTRACT)
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
            till.claimable(idx).await;
        }
        till
    }

    /// Waits until a payment is answered at daemon `idx`; each wait uses a key of its own.
    async fn claimable(&self, idx: usize) {
        let mut tries = 0;
        loop {
            tries += 1;
            let answer = self
                .pay(idx, &format!("probe-{idx}-{tries}"), 0, "card")
                .await;
            if outcome(&answer) == "answered" {
                return;
            }
            assert!(tries < 200, "payments are not answered: {answer:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn pay(&self, idx: usize, key: &str, attempt: u32, kind: &str) -> Option<TestResponse> {
        let attempt = attempt.to_string();
        let headers = [
            ("agatehill-customer", "sutravan"),
            ("idempotency-key", key),
            ("agatehill-attempt", &attempt),
        ];
        let path = format!("/call/till/payments/{kind}");
        let addr = self.daemons[idx].addr("caller");
        self.bed
            .client
            .send("POST", addr, &path, &headers, "20 rupees")
            .await
    }

    /// Returns how often the request `key` was started at backend server `idx`.
    async fn runs(&self, idx: usize, key: &str) -> u64 {
        let addr = self.backends[idx].addr("address");
        let counts = self.bed.client.get(addr, "/_runs").await.expect("counts");
        counts.json()["keys"][key].as_u64().unwrap_or(0)
    }

    async fn all_runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for idx in 0..self.backends.len() {
            runs += self.runs(idx, key).await;
        }
        runs
    }
}

fn outcome(answer: &Option<TestResponse>) -> &str {
    answer
        .as_ref()
        .map_or("none", |answer| answer.header("agatehill-outcome"))
}

#[tokio::test(flavor = "multi_thread")]
async fn resends_anywhere_get_the_first_answer() {
    let till = TillBed::open(1, &[SLOW, SLOW]).await;
    let mut sends = JoinSet::new();
    let till = std::sync::Arc::new(till);
    for idx in [0, 1, 0, 1] {
        let till = till.clone();
        sends.spawn(async move { till.pay(idx, "p-1", 0, "card").await });
    }
    let answers: Vec<_> = sends.join_all().await.into_iter().flatten().collect();
    assert_eq!(answers.len(), 4);
    let bodies: std::collections::HashSet<_> = answers.iter().map(|a| a.body.clone()).collect();
    assert_eq!(bodies.len(), 1, "{answers:?}");
    let late = till.pay(1, "p-1", 1, "card").await;
    assert_eq!(outcome(&late), "replayed");
    assert_eq!(late.expect("an answer").body, answers[0].body);
    assert_eq!(till.all_runs("p-1").await, 1);

    let other = till.pay(1, "p-1", 2, "cash").await.expect("an answer");
    assert_eq!(other.status, 409);
    assert_eq!(till.all_runs("p-1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_that_is_killed_in_a_run_leaves_it_unknown() {
    let mut till = TillBed::open(1, &[SLOW, SLOW]).await;
    let sent = till.pay(0, "p-2", 0, "card");
    let gate = async {
        loop {
            for idx in 0..2 {
                if till.runs(idx, "p-2").await > 0 {
                    return idx;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let idx = tokio::select! {
        answer = sent => panic!("answered before the run began: {answer:?}"),
        idx = gate => idx,
    };
    till.daemons[idx].kill();
    let other = 1 - idx;
    let first = till.pay(other, "p-2", 1, "card").await;
    assert_eq!(outcome(&first), "unknown", "{first:?}");
    till.daemons[idx] = till.bed.start_daemon(&till.specs[idx]);
    let settled = || async {
        let answer = till.pay(other, "p-2", 2, "card").await;
        let status = answer.as_ref().map(|a| a.status.as_u16());
        assert_eq!(outcome(&answer), "unknown", "{answer:?}");
        // No twin is waited for any more: the claim is known to be over.
        status == Some(502)
    };
    eventually(
        "the restarted gate ends its claims",
        SETTLE_TIMEOUT,
        settled,
    )
    .await;
    assert_eq!(till.all_runs("p-2").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_is_killed_in_a_run_leaves_it_unknown() {
    let mut till = TillBed::open(1, &[SLOW]).await;
    let addr = till.daemons[0].addr("caller");
    let client = till.bed.client.clone();
    let sent = tokio::spawn(async move {
        let headers = [
            ("agatehill-customer", "sutravan"),
            ("idempotency-key", "p-3"),
        ];
        let path = "/call/till/payments/card";
        client.send("POST", addr, path, &headers, "20 rupees").await
    });
    eventually("it runs", SETTLE_TIMEOUT, || async {
        till.runs(0, "p-3").await == 1
    })
    .await;
    till.backends[0].kill();
    let answer = sent.await.expect("no panic");
    assert_eq!(outcome(&answer), "unknown", "{answer:?}");
    till.backends[0] = till.bed.start_backend(&till.daemons[0], "till", SLOW);
    till.claimable(0).await;
    let again = till.pay(0, "p-3", 1, "card").await;
    assert_eq!(outcome(&again), "unknown", "{again:?}");
    assert_eq!(till.runs(0, "p-3").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_cut_off_from_the_keepers_refuses_and_serves_the_rest() {
    let till = TillBed::open(3, &[&[]]).await;
    till.keepers
        .iter()
        .for_each(|keeper| keeper.signal(Signal::SIGSTOP));
    let refused = till.pay(0, "p-4", 0, "card").await.expect("an answer");
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("agatehill-outcome"), "not-run");
    assert_ne!(refused.header("agatehill-retry-after-ms"), "");
    // Nobody here can know what became of the attempt before.
    let resent = till.pay(0, "p-4", 1, "card").await;
    assert_eq!(outcome(&resent), "unknown", "{resent:?}");
    till.bed
        .wait_served(&till.daemons[0], "sutravan", "/call/till/payments/7")
        .await;
    assert_eq!(till.runs(0, "p-4").await, 0);

    till.keepers
        .iter()
        .for_each(|keeper| keeper.signal(Signal::SIGCONT));
    let attempts = std::sync::atomic::AtomicU32::new(2);
    eventually(
        "it runs when the keepers are back",
        SETTLE_TIMEOUT,
        || async {
            let attempt = attempts.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            let answer = till.pay(0, "p-4", attempt, "card").await;
            matches!(outcome(&answer), "answered" | "replayed")
        },
    )
    .await;
    assert_eq!(till.runs(0, "p-4").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keepers_that_are_killed_in_a_run_cost_no_answer() {
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
    eventually("it runs", SETTLE_TIMEOUT, || async {
        till.all_runs("p-5").await == 1
    })
    .await;
    // One of three, and it leads some of the groups or none; the run below covers the others.
    till.keepers[0].kill();
    let answer = sent.await.expect("no panic");
    assert_eq!(outcome(&answer), "answered", "{answer:?}");
    let first = answer.expect("an answer").body;
    let attempts = std::sync::atomic::AtomicU32::new(1);
    eventually("the answer is replayed", SETTLE_TIMEOUT, || async {
        let attempt = attempts.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let again = till.pay(1, "p-5", attempt, "card").await;
        assert_ne!(outcome(&again), "not-run", "{again:?}");
        outcome(&again) == "replayed" && again.is_some_and(|again| again.body == first)
    })
    .await;
    assert_eq!(till.all_runs("p-5").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_short_is_never_passed_on_as_whole() {
    let till = TillBed::open(1, &[&["--answer-bytes", "2000"]]).await;
    let paid = till.pay(0, "p-6", 0, "cut").await;
    assert_eq!(outcome(&paid), "unknown", "{paid:?}");
    assert_eq!(paid.expect("an answer").status, 502);
    let again = till.pay(0, "p-6", 1, "cut").await;
    assert_eq!(outcome(&again), "unknown", "{again:?}");
    assert_eq!(till.runs(0, "p-6").await, 1);

    let headers = [("agatehill-customer", "sutravan")];
    let addr = till.daemons[0].addr("caller");
    let path = "/call/till/payments/cut";
    let read = till.bed.client.send("GET", addr, path, &headers, "").await;
    let is_whole = read
        .as_ref()
        .is_some_and(|answer| answer.status.is_success());
    assert!(!is_whole, "{read:?}");
}
