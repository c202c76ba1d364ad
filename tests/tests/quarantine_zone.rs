//! A poison request, which crashes every server that runs it, crashes at most two servers of a zone,
//! and the requests that run beside it are answered.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestClient, eventually},
    contract::certificate_contract,
    process::ProcessGuard,
};
use std::{net::SocketAddr, time::Duration};
use tokio::task::JoinSet;

const SERVERS: usize = 4;
const BYSTANDERS: usize = 8;
/// Largest number of servers that one request may crash in an availability zone.
const CRASHES_MAX: usize = 2;

/// Sends a request without an idempotency key, so that each send counts as a new request; returns
/// the status, or 0 without a response.
async fn send_get(client: &TestClient, addr: SocketAddr, id: &str) -> u16 {
    let path = format!("/call/techreg/certificates/{id}");
    let headers = [("agatehill-customer", "dansk")];
    let response = client.send("GET", addr, &path, &headers, "").await;
    response.map_or(0, |response| response.status.as_u16())
}

fn crash_count(backends: &mut [ProcessGuard]) -> usize {
    let exits = backends
        .iter_mut()
        .map(|backend| backend.wait_exit(Duration::ZERO));
    exits.flatten().count()
}

#[tokio::test(flavor = "multi_thread")]
async fn at_most_two_servers_crash_and_bystanders_are_answered() {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(
        keepers[0].addr("operator"),
        "dansk",
        &certificate_contract(),
    )
    .await;
    let specs: Vec<_> = (0..SERVERS).map(|_| bed.add_daemon(ZONE)).collect();
    let daemons: Vec<_> = specs.iter().map(|spec| bed.start_daemon(spec)).collect();
    let slow = ["--service-ms", "300"];
    let start = |daemon| bed.start_backend(daemon, "techreg", &slow);
    let mut backends: Vec<_> = daemons.iter().map(start).collect();
    for daemon in &daemons {
        let operator = daemon.addr("operator");
        eventually("all servers are known", SETTLE_TIMEOUT, || async {
            let dump = bed.client.get(operator, "/dump").await;
            dump.is_some_and(|dump| dump.json()["routes"].as_array().map(Vec::len) == Some(SERVERS))
        })
        .await;
    }
    let addrs: Vec<_> = daemons.iter().map(|daemon| daemon.addr("caller")).collect();

    let mut bystanders = JoinSet::new();
    for idx in 0..BYSTANDERS {
        let (client, addrs) = (bed.client.clone(), addrs.clone());
        bystanders.spawn(async move {
            let mut statuses = Vec::new();
            for round in 0..16 {
                let status = send_get(&client, addrs[round % SERVERS], &format!("by-{idx}")).await;
                statuses.push(status);
            }
            statuses
        });
    }
    for round in 0..12 {
        let status = send_get(&bed.client, addrs[round % SERVERS], "poison").await;
        let crashes = crash_count(&mut backends);
        assert!(
            crashes <= CRASHES_MAX,
            "{crashes} servers crashed after {} sends",
            round + 1
        );
        if round >= 2 {
            assert_eq!(status, 422, "send {}", round + 1);
        }
    }
    assert!(crash_count(&mut backends) > 0, "no server crashed");
    for (idx, statuses) in bystanders.join_all().await.into_iter().enumerate() {
        let is_answered = statuses.contains(&200);
        assert!(
            is_answered,
            "bystander {idx} was never answered: {statuses:?}"
        );
    }
    for idx in 0..BYSTANDERS {
        for addr in &addrs {
            assert_eq!(
                send_get(&bed.client, *addr, &format!("by-{idx}")).await,
                200
            );
        }
    }
    assert!(crash_count(&mut backends) <= CRASHES_MAX);
}
