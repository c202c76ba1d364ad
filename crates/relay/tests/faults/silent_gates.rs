//! Connections to the gates of other daemons that go silent for good, while new ones work.

use crate::support::{TestDaemon, send, two_daemons};
use agatehill_decide::host_directory::HostRecord;
use agatehill_tests::tcp_proxy::{StallDirection, StallingProxy};
use futures_util::future::join_all;
use rstest::rstest;
use std::time::{Duration, Instant};

/// Requests at once, which leave as many idle connections to each gate.
const CONNECTIONS: usize = 8;
/// Longest latency of a request that is sent over a silent connection first: the time for its gate to read it, and as much
/// again for the rest.
const SERVED_WITHIN: Duration = Duration::from_millis(400);

async fn request(daemon: &TestDaemon, line: &str) -> (u16, Duration) {
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let start = Instant::now();
    let sent = send(daemon.addr(), line, &headers, b"").await;
    let status = sent.expect("every request gets a response").status;
    (status, start.elapsed())
}

/// Returns a daemon that reaches the second one through two proxies, as two gates, and the proxies.
async fn daemon_behind_proxies(daemons: &[TestDaemon; 2]) -> [StallingProxy; 2] {
    let gate = daemons[1].record();
    let proxies = [
        StallingProxy::bind(gate.gate).await,
        StallingProxy::bind(gate.gate).await,
    ];
    let records = proxies.each_ref().map(|proxy| HostRecord {
        gate: proxy.local_addr(),
        ..gate.clone()
    });
    daemons[0].gates.set(&records);
    proxies
}

/// A request that may run once was refused, as it met a silent connection to one gate after the other; requests that may be
/// repeated waited at the next ones for all their time.
#[rstest]
#[case::once(1)]
#[case::in_series(3)]
#[tokio::test]
async fn requests_are_served_in_time_once_a_connection_is_found_silent(#[case] silences: usize) {
    let daemons = two_daemons().await;
    let proxies = daemon_behind_proxies(&daemons).await;
    for _ in 0..silences {
        // Until the gates have announced that they hold, and there are idle connections to both.
        for _ in 0..3 {
            let first = join_all((0..CONNECTIONS).map(|_| request(&daemons[0], "GET /safe/x")));
            assert!(first.await.iter().all(|(status, _)| *status == 200));
        }
        assert!(proxies.iter().all(|proxy| proxy.accepted() > 1));
        for proxy in &proxies {
            proxy.stall_open(StallDirection::Both);
        }
        let (status, latency) = request(&daemons[0], "POST /once/x").await;
        assert_eq!(status, 200);
        assert!(latency < SERVED_WITHIN, "{latency:?}");
        for _ in 0..2 * CONNECTIONS {
            let (status, latency) = request(&daemons[0], "GET /safe/x").await;
            assert_eq!(status, 200);
            assert!(latency < SERVED_WITHIN, "{latency:?}");
        }
    }
}
