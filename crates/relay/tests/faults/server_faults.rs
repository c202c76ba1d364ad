//! Faults of a backend server at each step of a request: the response that the caller gets, and how
//! often the request runs.

use crate::support::{
    BODY_BYTES_MAX, HEAD_BYTES_MAX, ServerBehavior, TestDaemon, TestResponse, header, one_daemon,
    one_daemon_with_one_connection, send, send_and_disconnect, send_bytes, send_slowly,
    two_daemons, unconfigured_daemon, wait_until,
};
use rstest::rstest;

const GET: &str = "GET /safe/x";
const POST: &str = "POST /once/x";
/// Number of uploads in a case of [`a_response_that_is_reset_during_the_upload_is_not_complete`].
const UPLOADS: usize = 6;

async fn send_request(daemon: &TestDaemon, line: &str, id: &str) -> TestResponse {
    let headers = [("x-id", id), ("x-deadline", "5000")];
    let sent = send(daemon.addr(), line, &headers, b"").await;
    sent.expect("every request gets a response")
}

/// Sends requests until the retry budget allows a retry.
async fn fill_retry_budget(daemon: &TestDaemon) {
    for idx in 0..60 {
        assert_eq!(
            send_request(daemon, GET, &format!("fill-{idx}"))
                .await
                .status,
            200
        );
    }
}

/// Guards against requests that take the last descriptors: one that finds none for its connection is refused, and the
/// refusal is true.
#[tokio::test]
async fn a_request_without_a_descriptor_has_not_run() {
    let daemon = one_daemon_with_one_connection().await;
    assert_eq!(send_request(&daemon, POST, "r-0").await.status, 200);
    daemon.server.set_behavior(ServerBehavior::Silent);
    let (first, second) = tokio::join!(
        send_request(&daemon, POST, "r-1"),
        send_request(&daemon, POST, "r-2"),
    );
    let mut statuses = [first.status, second.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [503, 504]);
    assert_eq!(
        daemon.server.runs(),
        2,
        "the first one and the one that got 504"
    );
    daemon.server.set_behavior(ServerBehavior::Respond);
    assert_eq!(send_request(&daemon, POST, "r-3").await.status, 200);
}

/// Checks the status and the number of runs of one request at one server.
#[rstest]
#[case::respond(ServerBehavior::Respond, 200, 1)]
#[case::fail(ServerBehavior::Fail, 500, 1)]
#[case::shed(ServerBehavior::Shed, 503, 0)]
#[case::misdirected(ServerBehavior::Misdirected, 503, 0)]
#[case::reset(ServerBehavior::Reset, 502, 1)]
#[case::close(ServerBehavior::Close, 502, 1)]
#[case::truncate(ServerBehavior::Truncate, 502, 1)]
#[case::garble(ServerBehavior::Garble, 502, 1)]
#[case::foreign_id(ServerBehavior::ForeignId, 502, 1)]
#[case::unsealed(ServerBehavior::Unsealed, 502, 1)]
#[case::encoded(ServerBehavior::Encoded, 502, 1)]
#[case::extra_response(ServerBehavior::ExtraResponse, 200, 1)]
#[case::lists_headers(ServerBehavior::ListsHeaders, 200, 1)]
#[case::unframed(ServerBehavior::Unframed, 200, 1)]
#[case::unframed_reset(ServerBehavior::UnframedReset, 502, 1)]
#[case::no_status(ServerBehavior::NoStatus, 502, 1)]
#[case::silent(ServerBehavior::Silent, 504, 1)]
#[tokio::test]
async fn fault_at_only_server(
    #[values(GET, POST, "POST /upload/x")] line: &str,
    #[case] behavior: ServerBehavior,
    #[case] status: u16,
    #[case] runs: u32,
) {
    let daemon = one_daemon().await;
    daemon.server.set_behavior(behavior);
    let response = send_request(&daemon, line, "r-1").await;
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(daemon.server.runs(), runs);
    let seal = header(&response.head, "x-seal");
    match status {
        200 | 500 => {
            assert_eq!(seal.as_deref(), Some("s-r-1"));
            assert_eq!(response.body, b"hello");
            assert!(response.is_complete);
        }
        _ => assert_eq!(seal, None, "a response of the daemon itself has no seal"),
    }
    assert_eq!(
        header(&response.head, "retry-after").is_some(),
        status == 503
    );
    assert_eq!(
        header(&response.head, "x-own"),
        None,
        "it is for the daemon only"
    );
    // No leftover bytes of the connection reach the next request.
    daemon.server.set_behavior(ServerBehavior::Respond);
    let next = send_request(&daemon, line, "r-2").await;
    assert_eq!(header(&next.head, "x-seal").as_deref(), Some("s-r-2"));
}

/// A request that may run only once is sent to a second server only if the first states that it has
/// not run it.
#[rstest]
#[case::shed(ServerBehavior::Shed, true)]
#[case::misdirected(ServerBehavior::Misdirected, true)]
#[case::reset(ServerBehavior::Reset, false)]
#[case::close(ServerBehavior::Close, false)]
#[case::truncate(ServerBehavior::Truncate, false)]
#[case::garble(ServerBehavior::Garble, false)]
#[case::foreign_id(ServerBehavior::ForeignId, false)]
#[case::unsealed(ServerBehavior::Unsealed, false)]
#[case::silent(ServerBehavior::Silent, false)]
#[tokio::test]
async fn fault_at_both_servers(#[case] behavior: ServerBehavior, #[case] is_safe_to_retry: bool) {
    for line in [GET, POST] {
        let [first, second] = two_daemons().await;
        fill_retry_budget(&first).await;
        let before = first.server.runs() + second.server.runs();
        first.server.set_behavior(behavior);
        second.server.set_behavior(behavior);
        let response = send_request(&first, line, "r-1").await;
        let runs = first.server.runs() + second.server.runs() - before;
        assert_ne!(response.status, 200, "{line}");
        match (line, is_safe_to_retry) {
            (_, true) => assert_eq!((runs, response.status), (0, 503), "{line}"),
            (POST, false) => assert_eq!(runs, 1, "{line}"),
            (_, false) => assert!((1..=2).contains(&runs), "{line}: {runs} runs"),
        }
    }
}

/// A request is cancelled when its caller disconnects, at the local server and at that of another
/// host.
#[tokio::test]
async fn disconnect_cancels_request() {
    for line in [GET, POST] {
        let [first, second] = two_daemons().await;
        first.server.set_behavior(ServerBehavior::Silent);
        second.server.set_behavior(ServerBehavior::Silent);
        let cancelled = || first.server.cancelled() + second.server.cancelled();
        let runs = || first.server.runs() + second.server.runs();
        // Both entries select the same server: for one it is local, for the other remote.
        for (idx, daemon) in (1..).zip([&first, &second]) {
            send_and_disconnect(daemon.addr(), line, || runs() == idx).await;
            wait_until(|| cancelled() == idx).await;
        }
        assert_eq!(first.server.runs(), 2);
    }
}

/// An idempotent request whose response is lost is retried at another server.
#[tokio::test]
async fn idempotent_request_is_retried_after_lost_response() {
    let [first, second] = two_daemons().await;
    fill_retry_budget(&first).await;
    first.server.set_behavior(ServerBehavior::Reset);
    second.server.set_behavior(ServerBehavior::Respond);
    let response = send_request(&first, GET, "r-1").await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// At no point do retries exceed a fifth of the requests, even if all of them fail.
#[tokio::test]
async fn retries_stay_within_budget() {
    let [first, second] = two_daemons().await;
    first.server.set_behavior(ServerBehavior::Reset);
    second.server.set_behavior(ServerBehavior::Reset);
    let mut retries = 0;
    for count in 1..=60 {
        send_request(&first, GET, &format!("r-{count}")).await;
        retries = first.server.runs() + second.server.runs() - count;
        assert!(retries * 5 <= count, "{retries} of {count}");
    }
    assert!(retries > 0, "some requests are retried");
}

/// After a server rejects an upload before reading the body, the rest of the body is not taken for
/// another request.
#[tokio::test]
async fn early_rejection_of_upload_discards_body() {
    let daemon = one_daemon().await;
    daemon.server.set_behavior(ServerBehavior::RejectEarly);
    let body = vec![b'x'; 500_000];
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let response = send(daemon.addr(), "POST /upload/x", &headers, &body).await;
    assert_eq!(response.unwrap().status, 503);
    daemon.server.set_behavior(ServerBehavior::Respond);
    let headers = [("x-id", "r-2"), ("x-deadline", "5000")];
    let response = send(daemon.addr(), "POST /upload/x", &headers, &body).await;
    assert_eq!(response.unwrap().status, 200);
    assert_eq!(daemon.server.bodies(), [body]);
}

#[rstest]
#[case::small(10)]
#[case::buffered(200_000)]
#[case::streamed(900_000)]
#[tokio::test]
async fn bodies_arrive_unchanged(#[case] size: usize) {
    let [first, second] = two_daemons().await;
    let body: Vec<u8> = (0..size).map(|idx| (idx % 251) as u8).collect();
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let response = send(first.addr(), "POST /upload/x", &headers, &body).await;
    assert_eq!(response.unwrap().status, 200);
    let bodies = [first.server.bodies(), second.server.bodies()].concat();
    assert_eq!(bodies, [body]);
}

#[rstest]
#[case::no_route("GET /other/x", b"", 404)]
#[case::too_large("POST /upload/x", &[b'x'; BODY_BYTES_MAX + 1], 413)]
#[tokio::test]
async fn rejected_request_does_not_run(
    #[case] line: &str,
    #[case] body: &[u8],
    #[case] status: u16,
) {
    let daemon = one_daemon().await;
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let response = send(daemon.addr(), line, &headers, body).await.unwrap();
    assert_eq!(response.status, status);
    assert_eq!(daemon.server.runs(), 0);
}

/// A request head may have exactly the configured size, counted in bytes as sent, and no more.
#[rstest]
#[case::largest(0, 200)]
#[case::too_large(1, 431)]
#[tokio::test]
async fn head_size_is_limited(#[case] excess: usize, #[case] status: u16) {
    let daemon = one_daemon().await;
    let mut lines = vec![GET.to_owned() + " HTTP/1.1"];
    for line in ["host: a.example", "x-id: r-1", "x-deadline: 5000"] {
        lines.push(line.to_owned());
    }
    let size = |lines: &[String]| lines.iter().map(|line| line.len() + 2).sum::<usize>() + 2;
    let rest = HEAD_BYTES_MAX + excess - size(&lines) - "x-fill: \r\n".len();
    lines.push(format!("x-fill: {}", "f".repeat(rest)));
    assert_eq!(size(&lines), HEAD_BYTES_MAX + excess);
    let text = lines.join("\r\n") + "\r\n\r\n";
    let response = send_bytes(daemon.addr(), text.as_bytes()).await.unwrap();
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(daemon.server.runs(), u32::from(status == 200));
}

#[tokio::test]
async fn missing_configuration_is_not_reported_as_missing_route() {
    let daemon = unconfigured_daemon().await;
    let response = send_request(&daemon, "GET /other/x", "r-1").await;
    assert_eq!(response.status, 503);
    assert!(header(&response.head, "retry-after").is_some());
}

#[tokio::test]
async fn leaving_server_gets_no_requests() {
    let daemon = one_daemon().await;
    assert_eq!(send_request(&daemon, GET, "r-1").await.status, 200);
    let mut heartbeat = daemon.server.heartbeat(2);
    heartbeat.is_leaving = true;
    daemon.local.record_heartbeat(heartbeat);
    assert_eq!(send_request(&daemon, GET, "r-2").await.status, 503);
    assert_eq!(daemon.server.runs(), 1);
}

/// The copy arrives where the response to the next request is expected.
#[rstest]
#[tokio::test]
async fn a_late_copy_of_a_response_reaches_no_other_caller(#[values(GET, POST)] line: &str) {
    let daemon = one_daemon().await;
    assert_eq!(send_request(&daemon, line, "r-1").await.status, 200);
    daemon.server.set_behavior(ServerBehavior::LateCopy);
    let response = send_request(&daemon, line, "r-2").await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(header(&response.head, "x-seal"), None);
    daemon.server.set_behavior(ServerBehavior::Respond);
    let response = send_request(&daemon, line, "r-3").await;
    assert_eq!(response.status, 200);
    assert_eq!(header(&response.head, "x-seal").as_deref(), Some("s-r-3"));
}

/// MIXED: an answer without a length that was reset while the upload was still being written looked complete, as the kernel
/// had told the writing side of the reset, and the reading side of an end.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_is_reset_during_the_upload_is_not_complete(
    #[values(0, 5, 50, 120)] after_ms: u64,
    #[values(5, 100_000)] part_bytes: usize,
    #[values(false, true)] is_forwarded: bool,
) {
    let [first, second] = two_daemons().await;
    let behavior = ServerBehavior::EarlyReset {
        after_ms,
        part_bytes,
    };
    first.server.set_behavior(behavior);
    second.server.set_behavior(behavior);
    if is_forwarded {
        first.gates.set(&[second.record()]);
    } else {
        first.gates.set(&[first.record()]);
    }
    for idx in 0..UPLOADS {
        let id = format!("r-{idx}");
        let headers = [("x-id", id.as_str()), ("x-deadline", "5000")];
        let response = send_slowly(first.addr(), "POST /upload/x", &headers, 100).await;
        if let Some(response) = response {
            let is_own = response.status == 502;
            assert!(is_own || !response.is_complete, "{response:?}");
        }
    }
}
