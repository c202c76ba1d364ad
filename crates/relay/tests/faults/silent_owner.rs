//! The daemon that hands out an account's tokens, behind connections that go silent while new ones work.

use crate::support::{TestDaemon, config_with, send, two_daemons};
use agatehill_decide::{
    host_directory::HostRecord,
    name::{AccountName, ServiceName},
    quota::owner_order,
    service_config::{ClientAccount, KeyDigest, RateLimit},
};
use agatehill_tests::tcp_proxy::{StallDirection, StallingProxy};
use futures_util::future::join_all;
use std::time::{Duration, Instant};

/// Requests at once, which leave as many idle connections to the owner.
const CONNECTIONS: usize = 6;
/// Time for which requests are sent over silent connections.
const SILENT_FOR: Duration = Duration::from_secs(4);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(50);
/// Latency of a request that has waited in vain for the owner.
const LATE: Duration = Duration::from_millis(250);

async fn request(daemon: &TestDaemon) -> u16 {
    let headers = [
        ("x-id", "r-1"),
        ("x-deadline", "5000"),
        ("authorization", "Bearer k-1"),
    ];
    let sent = send(daemon.addr(), "GET /safe/x", &headers, b"").await;
    sent.expect("every request gets a response").status
}

/// Requests waited for the owner again and again, each over the next of the connections that had gone silent.
#[tokio::test]
async fn few_requests_wait_for_an_owner_whose_connections_went_silent() {
    let daemons = two_daemons().await;
    let mut owner = daemons[1].record();
    // All requests are served here.
    owner.server.as_mut().unwrap().service = ServiceName::try_from("other").unwrap();
    let proxy = StallingProxy::bind(owner.gate).await;
    let records = [
        daemons[0].record(),
        HostRecord {
            gate: proxy.local_addr(),
            ..owner
        },
    ];
    let hosts = records.each_ref().map(|record| record.gate);
    let owned = |name: &AccountName| owner_order(name, &hosts)[0] == proxy.local_addr();
    let mut names = (0..).map(|idx| AccountName::try_from(format!("a-{idx}").as_str()).unwrap());
    let account = ClientAccount {
        name: names.find(owned).unwrap(),
        keys: vec![KeyDigest::of("k-1")],
        rank: None,
        limit: Some(RateLimit {
            rate: 1e6,
            burst: 1e6,
        }),
    };
    daemons[0].gates.set(&records);
    for daemon in &daemons {
        daemon
            .entry
            .set_table(config_with(vec![account.clone()]).into());
    }
    let first = join_all((0..CONNECTIONS).map(|_| request(&daemons[0]))).await;
    assert_eq!(first, [200; CONNECTIONS]);
    assert!(proxy.accepted() > 1, "the owner is not asked");

    proxy.stall_open(StallDirection::Both);
    let end = Instant::now() + SILENT_FOR;
    let mut late = 0;
    while Instant::now() < end {
        let start = Instant::now();
        assert_eq!(request(&daemons[0]).await, 200);
        late += u32::from(start.elapsed() > LATE);
        tokio::time::sleep(PAUSE).await;
    }
    assert!(late <= 1, "{late} requests waited");
}
