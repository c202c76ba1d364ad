//! The attempts of one request stay within the contract's bound in the whole call chain, although
//! the caller and every server retry failed calls at once.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::eventually,
    process::ProcessGuard,
};
use rstest::rstest;
use std::fmt::Write;

/// Retries that the contract allows for one request, the caller's resends included.
const RETRIES: u64 = 2;
/// Resends by the caller, more than the contract allows.
const RESENDS: u32 = 5;
/// Retries by each server itself, for each of its calls.
const SERVER_RETRIES: &str = "3";

fn contract(depth: usize) -> String {
    let mut text = format!(
        "customer = \"dansk\"\nrevision = 1\ncalls_per_second = 4000\ncalls_in_flight = 1200\n\
         retries_per_request = {RETRIES}\nremember_hours = 48\n"
    );
    for hop in 0..depth {
        write!(
            text,
            "[[operation]]\nservice = \"s{hop}\"\nmethod = \"GET\"\npath = \"/x/{{mark}}\"\n\
             class = \"critical\"\nidempotent = true\ndeadline_ms = 20000\n"
        )
        .expect("writing to a string succeeds");
    }
    text
}

async fn start_chain(bed: &TestBed, daemon: &ProcessGuard, depth: usize) -> Vec<ProcessGuard> {
    let mut servers = Vec::new();
    for hop in 0..depth {
        let mark = if hop + 2 == depth { "fail" } else { "ok" };
        let call = format!("s{}:/x/{mark}", hop + 1);
        let more = ["--call", &call, "--call-retries", SERVER_RETRIES];
        let more = if hop + 1 < depth { &more[..] } else { &[] };
        servers.push(bed.start_backend(daemon, &format!("s{hop}"), more));
    }
    wait_routes(bed, daemon, depth).await;
    servers
}

#[rstest]
#[case::depth_3_caller_counts_attempts(3, true)]
#[case::depth_3_caller_does_not_count_attempts(3, false)]
#[case::depth_9_caller_counts_attempts(9, true)]
#[case::depth_9_caller_does_not_count_attempts(9, false)]
#[tokio::test(flavor = "multi_thread")]
async fn attempts_stay_within_the_bound(#[case] depth: usize, #[case] counts_attempts: bool) {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(keepers[0].addr("operator"), "dansk", &contract(depth))
        .await;
    let spec = bed.add_daemon(ZONE);
    let daemon = bed.start_daemon(&spec);
    let servers = start_chain(&bed, &daemon, depth).await;

    for resend in 0..=RESENDS {
        let attempt = if counts_attempts {
            resend.to_string()
        } else {
            "0".to_owned()
        };
        let headers = [
            ("agatehill-customer", "dansk"),
            ("idempotency-key", "r-1"),
            ("agatehill-attempt", &attempt),
        ];
        let request = bed
            .client
            .send("GET", daemon.addr("caller"), "/call/s0/x/ok", &headers, "");
        let response = request.await.expect("a response");
        assert!(
            !response.status.is_success(),
            "the deepest server must fail: {response:?}"
        );
    }
    for (hop, server) in servers.iter().enumerate() {
        let runs = bed
            .client
            .get(server.addr("address"), "/_runs")
            .await
            .expect("the server reports its counts");
        let started = runs.json()["started"].as_u64().expect("a count");
        assert!(
            (1..=RETRIES + 1).contains(&started),
            "{started} attempts at hop {hop}"
        );
    }
}

/// Retries that one try leaves unused return to the budget, so that an attempt makes all tries of
/// its share.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_uses_its_full_share_of_tries() {
    /// The first attempt's share of the 5 tries that the contract allows.
    const SHARE: u64 = 3;

    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    let text = contract(1).replace("retries_per_request = 2", "retries_per_request = 4");
    bed.put_contract(keepers[0].addr("operator"), "dansk", &text)
        .await;
    let spec = bed.add_daemon(ZONE);
    let daemon = bed.start_daemon(&spec);
    let full = ["--shed", "--slots", "0", "--report-slots", "1"];
    let servers: Vec<_> = (0..4)
        .map(|_| bed.start_backend(&daemon, "s0", &full))
        .collect();
    wait_routes(&bed, &daemon, servers.len()).await;

    let headers = [("agatehill-customer", "dansk"), ("idempotency-key", "r-1")];
    let request = bed
        .client
        .send("GET", daemon.addr("caller"), "/call/s0/x/ok", &headers, "");
    let response = request.await.expect("a response");
    assert_eq!(
        (
            response.status.as_u16(),
            response.header("agatehill-outcome")
        ),
        (503, "not-run")
    );
    let mut tries = 0;
    for server in &servers {
        let runs = bed
            .client
            .get(server.addr("address"), "/_runs")
            .await
            .expect("the server reports its counts");
        tries += runs.json()["shed"].as_u64().expect("a count");
    }
    assert_eq!(tries, SHARE);
}

async fn wait_routes(bed: &TestBed, daemon: &ProcessGuard, count: usize) {
    let operator = daemon.addr("operator");
    eventually("all servers are known", SETTLE_TIMEOUT, || async {
        let dump = bed.client.get(operator, "/dump").await;
        dump.is_some_and(|dump| dump.json()["routes"].as_array().map(Vec::len) == Some(count))
    })
    .await;
}
