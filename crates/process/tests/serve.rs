//! Limits of a listener's connections: their number, head timeout and idle timeout.

use agatehill_process::{
    budget::ListenerBudget,
    connection::{ConnectionLimits, SharedLimits},
    serve::HttpServer,
};
use gotham::{
    handler::HandlerFuture,
    helpers::http::response::{create_empty_response, create_response},
    mime,
    state::{FromState, State},
};
use http::{HeaderMap, StatusCode};
use rstest::rstest;
use std::{pin::Pin, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Time in which a connection beyond the limit must get no response.
const WAITING_TIME: Duration = Duration::from_millis(300);
/// A timeout that passes within a test.
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);
/// A timeout that does not pass within a test.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);
/// Size of a long response, in bytes.
const LONG_RESPONSE_BYTES: usize = 32 << 20;
/// Start of a connection over HTTP/2 (RFC 9113).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Time after which a test that hangs fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn ok(state: State) -> (State, http::Response<gotham::helpers::http::Body>) {
    let response = create_empty_response(&state, StatusCode::OK);
    (state, response)
}

/// Responds with the values of the caller's `x-request-id` headers.
fn echo_request_ids(mut state: State) -> (State, http::Response<gotham::helpers::http::Body>) {
    let headers = HeaderMap::take_from(&mut state);
    let ids = headers.get_all("x-request-id").iter();
    let ids: Vec<_> = ids.map(|value| value.as_bytes()).collect();
    let body = ids.join(&b'|');
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN, body);
    (state, response)
}

/// Sends a request and returns whether response bytes arrive within `limit`.
async fn request(stream: &mut TcpStream, limit: Duration) -> bool {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .expect("an open connection");
    let read = tokio::time::timeout(limit, stream.read(&mut [0; 512])).await;
    matches!(read, Ok(Ok(n)) if n > 0)
}

/// Returns a server that may have one connection open.
async fn narrow_server() -> HttpServer {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let budget = ListenerBudget::with_connections_max(1);
    let limits = SharedLimits::default();
    let server = HttpServer::bind_within(addr, || Ok(slow_ok), limits, budget);
    server.await.expect("a free port")
}

async fn open(server: &HttpServer) -> TcpStream {
    let stream = TcpStream::connect(server.local_addr()).await;
    stream.expect("a connection")
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit_wait_for_requests_in_flight() {
    let server = narrow_server().await;
    let mut first = open(&server).await;
    assert!(!request(&mut first, WAITING_TIME).await, "it is in flight");
    let mut second = open(&server).await;
    assert!(
        !request(&mut second, WAITING_TIME / 2).await,
        "the limit is 1"
    );
    let read = tokio::time::timeout(TEST_TIMEOUT, first.read(&mut [0; 512])).await;
    assert!(matches!(read, Ok(Ok(n)) if n > 0), "it is not cut");
    drop(first);
    let read = tokio::time::timeout(TEST_TIMEOUT, second.read(&mut [0; 512])).await;
    assert!(
        matches!(read, Ok(Ok(n)) if n > 0),
        "the second connection is served once the first is closed"
    );
}

/// Guards against crowds that keep connections open and so keep others out.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_gives_way_to_one_beyond_the_limit() {
    let server = narrow_server().await;
    let mut first = open(&server).await;
    let mut second = open(&server).await;
    assert!(request(&mut second, TEST_TIMEOUT).await);
    assert_eq!(read_all(&mut first).await, "");
}

/// Guards against crowds that keep heads unfinished: what they have begun gives way, and is told that it has not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_unfinished_head_gives_way_to_a_connection_beyond_the_limit() {
    let server = narrow_server().await;
    let mut first = open(&server).await;
    first.write_all(b"GET / HTTP/1.1\r\nhost").await.unwrap();
    tokio::time::sleep(WAITING_TIME).await;
    let mut second = open(&server).await;
    assert!(request(&mut second, TEST_TIMEOUT).await);
    let text = read_all(&mut first).await;
    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    assert!(text.contains("retry-after: "), "{text}");
}

fn slow_ok(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        tokio::time::sleep(SHORT_TIMEOUT * 4).await;
        Ok(ok(state))
    })
}

async fn connect(limits: &SharedLimits) -> (HttpServer, TcpStream) {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind_within(
        addr,
        || Ok(slow_ok),
        limits.clone(),
        ListenerBudget::unlimited(),
    )
    .await
    .expect("a free port");
    let stream = TcpStream::connect(server.local_addr())
        .await
        .expect("a connection");
    (server, stream)
}

fn shared_limits(head_timeout: Duration, idle_timeout: Duration) -> SharedLimits {
    let shared = SharedLimits::default();
    shared.set(ConnectionLimits {
        head_timeout,
        idle_timeout,
        ..ConnectionLimits::default()
    });
    shared
}

/// Reads until the connection ends.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_string(&mut text));
    read.await.expect("the connection ends").expect("no reset");
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_head_times_out_with_408() {
    let (_server, mut stream) = connect(&shared_limits(SHORT_TIMEOUT, LONG_TIMEOUT)).await;
    stream.write_all(b"GET / HTTP/1.1\r\nhost").await.unwrap();
    assert!(read_all(&mut stream).await.starts_with("HTTP/1.1 408 "));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_head_on_a_reused_connection_times_out_with_408() {
    let (_server, mut stream) = connect(&shared_limits(SHORT_TIMEOUT, LONG_TIMEOUT)).await;
    assert!(request(&mut stream, TEST_TIMEOUT).await);
    // The head timeout doesn't apply between two requests.
    tokio::time::sleep(SHORT_TIMEOUT * 2).await;
    assert!(request(&mut stream, TEST_TIMEOUT).await);
    stream.write_all(b"GET / HT").await.unwrap();
    assert!(read_all(&mut stream).await.starts_with("HTTP/1.1 408 "));
}

/// Responds with more than the buffers between a server and a client hold.
fn respond_at_length(state: State) -> (State, http::Response<gotham::helpers::http::Body>) {
    let body = vec![b'a'; LONG_RESPONSE_BYTES];
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN, body);
    (state, response)
}

/// Guards against callers that don't read what they have asked for: their responses were held without an end.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_whose_response_is_not_read_is_closed() {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let limits = shared_limits(LONG_TIMEOUT, SHORT_TIMEOUT);
    let budget = ListenerBudget::with_connections_max(1);
    let server = HttpServer::bind_within(addr, || Ok(respond_at_length), limits, budget);
    let server = server.await.expect("a free port");
    let mut first = open(&server).await;
    first
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    tokio::time::sleep(4 * SHORT_TIMEOUT).await;
    // The only connection that may be open.
    let mut second = open(&server).await;
    assert!(request(&mut second, TEST_TIMEOUT).await);
    let mut received = Vec::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, first.read_to_end(&mut received)).await;
    // It may end with a reset.
    let _ = read.expect("the connection ends");
    assert!(received.len() < LONG_RESPONSE_BYTES);
}

/// Guards against connections over HTTP/2 that are kept open and send nothing: they had no timeout.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_over_http2_is_closed() {
    let (_server, mut stream) = connect(&shared_limits(LONG_TIMEOUT, SHORT_TIMEOUT)).await;
    let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    stream.write_all(HTTP2_PREFACE).await.unwrap();
    stream.write_all(&settings).await.unwrap();
    let mut received = Vec::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await;
    read.expect("the connection ends").expect("no reset");
    assert!(!received.is_empty(), "it has been accepted");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_is_closed_without_a_response() {
    let (_server, mut stream) = connect(&shared_limits(LONG_TIMEOUT, SHORT_TIMEOUT)).await;
    // A request takes longer than the idle timeout, which doesn't apply while it is in flight.
    assert!(request(&mut stream, TEST_TIMEOUT).await);
    assert_eq!(read_all(&mut stream).await, "");
}

#[tokio::test(flavor = "multi_thread")]
async fn new_timeouts_apply_to_open_connections() {
    let shared = shared_limits(LONG_TIMEOUT, LONG_TIMEOUT);
    let (_server, mut stream) = connect(&shared).await;
    assert!(request(&mut stream, TEST_TIMEOUT).await);
    shared.set(ConnectionLimits {
        head_timeout: SHORT_TIMEOUT,
        idle_timeout: LONG_TIMEOUT,
        ..ConnectionLimits::default()
    });
    stream.write_all(b"GET / HT").await.unwrap();
    assert!(read_all(&mut stream).await.starts_with("HTTP/1.1 408 "));
}

/// A head without an end is kept in memory up to the configured size only; a valid head of that size is served.
#[rstest]
#[case::default_size(16 * 1024, 60 * 1024, "200")]
#[case::too_large(16 * 1024, 100 * 1024, "431")]
#[case::configured_size(300 * 1024, 250 * 1024, "200")]
#[case::larger_than_any(1 << 40, 600 * 1024, "431")]
#[tokio::test(flavor = "multi_thread")]
async fn heads_are_read_up_to_the_configured_size(
    #[case] head_bytes_max: usize,
    #[case] head_bytes: usize,
    #[case] status: &str,
) {
    let shared = SharedLimits::default();
    shared.set(ConnectionLimits {
        head_bytes_max,
        ..ConnectionLimits::default()
    });
    let (_server, mut stream) = connect(&shared).await;
    let filling = "a".repeat(head_bytes);
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-a: {filling}\r\n\r\n");
    // The server may respond and close the connection before it has read everything.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut start = [0; 12];
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_exact(&mut start));
    read.await.expect("a response in time").expect("a response");
    assert_eq!(&start, format!("HTTP/1.1 {status}").as_bytes());
}

/// Gotham reads `x-request-id` for its own logs; any number and value of it must reach the handler.
#[rstest]
#[case::none(b"", b"")]
#[case::one(b"x-request-id: a\r\n", b"a")]
#[case::two(b"x-request-id: a\r\nx-request-id: b\r\n", b"a|b")]
#[case::not_text(b"x-request-id: \xff\xfe\r\n", b"\xff\xfe")]
#[tokio::test(flavor = "multi_thread")]
async fn request_id_headers_of_callers_are_unchanged(
    #[case] header: &[u8],
    #[case] expected: &[u8],
) {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(addr, || Ok(echo_request_ids))
        .await
        .expect("a port");
    let mut stream = TcpStream::connect(server.local_addr())
        .await
        .expect("a connection");
    let head = [
        b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n",
        header,
        b"\r\n",
    ];
    stream.write_all(&head.concat()).await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut response));
    read.await.expect("the connection ends").expect("no reset");
    assert!(response.starts_with(b"HTTP/1.1 200 "), "{response:?}");
    assert!(
        response.ends_with(&[b"\r\n\r\n", expected].concat()),
        "{response:?}"
    );
}
