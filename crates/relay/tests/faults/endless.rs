//! A backend server whose response has no end: the caller gets a true answer in time, and nothing of the
//! request stays behind.

use crate::support::{
    EndlessBytes, ServerBehavior, TestDaemon, TestResponse, header, one_daemon, send, wait_until,
};
use rstest::rstest;
use std::time::{Duration, Instant};

/// Timeout of the routes, and time for an answer of the daemon to arrive after it.
const ANSWERED_WITHIN: Duration = Duration::from_millis(600 + 500);

async fn request(daemon: &TestDaemon, line: &str, id: &str) -> Option<TestResponse> {
    let headers = [("x-id", id), ("x-deadline", "5000")];
    send(daemon.addr(), line, &headers, b"").await
}

#[rstest]
#[case::status_line(EndlessBytes::StatusLine)]
#[case::header_line(EndlessBytes::HeaderLine)]
#[case::header_lines(EndlessBytes::HeaderLines)]
#[case::informational(EndlessBytes::InformationalResponses)]
#[case::body_with_length(EndlessBytes::BodyWithLength)]
#[case::body_without_length(EndlessBytes::BodyWithoutLength)]
#[case::chunks(EndlessBytes::Chunks)]
#[case::chunk_extension(EndlessBytes::ChunkExtension)]
#[case::trailers(EndlessBytes::Trailers)]
#[case::slow_body(EndlessBytes::SlowBody)]
#[case::slow_head(EndlessBytes::SlowHead)]
#[tokio::test]
async fn request_ends_in_time(
    #[case] bytes: EndlessBytes,
    #[values("GET /safe/x", "POST /once/x")] line: &str,
) {
    let daemon = one_daemon().await;
    daemon.server.set_behavior(ServerBehavior::Endless(bytes));
    let start = Instant::now();
    let response = request(&daemon, line, "r-1").await;
    assert!(start.elapsed() <= ANSWERED_WITHIN, "{:?}", start.elapsed());
    // It may have run. What was passed on before the end must not look complete.
    if let Some(response) = response {
        let is_own = [502, 504].contains(&response.status);
        assert!(is_own || !response.is_complete, "{}", response.head);
        if is_own {
            assert_eq!(header(&response.head, "x-seal"), None);
        }
    }
    assert_eq!(daemon.server.runs(), 1);
    wait_until(|| daemon.server.cancelled() == 1).await;
    wait_until(|| daemon.local.load() == (0, 0)).await;
    assert!(start.elapsed() <= 2 * ANSWERED_WITHIN);
    // Its connection is not used again.
    daemon.server.set_behavior(ServerBehavior::Respond);
    let next = request(&daemon, line, "r-2").await.unwrap();
    assert_eq!((next.status, next.body.as_slice()), (200, &b"hello"[..]));
    assert_eq!(header(&next.head, "x-seal").as_deref(), Some("s-r-2"));
}
