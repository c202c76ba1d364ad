//! The limits on open connections: their number, and the time for a head and between requests.

use agatehill_process::{
    connection::{ConnectionTimeouts, SharedTimeouts},
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

/// Time in which a connection past the limit must stay unanswered.
const QUIET: Duration = Duration::from_millis(300);
/// A limit that passes within a test.
const SHORT: Duration = Duration::from_millis(150);
/// A limit that does not pass within a test.
const LONG: Duration = Duration::from_secs(600);
/// Only ends a test that hangs.
const GIVE_UP: Duration = Duration::from_secs(30);

fn ok(state: State) -> (State, http::Response<gotham::helpers::http::Body>) {
    let response = create_empty_response(&state, StatusCode::OK);
    (state, response)
}

/// Answers with the ids that the caller's header names.
fn ids(mut state: State) -> (State, http::Response<gotham::helpers::http::Body>) {
    let headers = HeaderMap::take_from(&mut state);
    let ids = headers.get_all("x-request-id").iter();
    let ids: Vec<_> = ids.map(|value| value.as_bytes()).collect();
    let body = ids.join(&b'|');
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN, body);
    (state, response)
}

async fn ask(stream: &mut TcpStream, limit: Duration) -> bool {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .expect("an open connection");
    let read = tokio::time::timeout(limit, stream.read(&mut [0; 512])).await;
    matches!(read, Ok(Ok(n)) if n > 0)
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_past_the_limit_wait() {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind_with_connection_limit(addr, || Ok(ok), 1)
        .await
        .expect("a free port");
    let mut first = TcpStream::connect(server.local_addr())
        .await
        .expect("a connection");
    assert!(ask(&mut first, GIVE_UP).await);

    let mut second = TcpStream::connect(server.local_addr())
        .await
        .expect("a connection");
    assert!(!ask(&mut second, QUIET).await, "the limit is 1");
    drop(first);
    let read = tokio::time::timeout(GIVE_UP, second.read(&mut [0; 512])).await;
    assert!(
        matches!(read, Ok(Ok(n)) if n > 0),
        "the second gets its turn"
    );
}

fn slow(state: State) -> Pin<Box<HandlerFuture>> {
    Box::pin(async move {
        tokio::time::sleep(SHORT * 4).await;
        Ok(ok(state))
    })
}

async fn open(limits: &SharedTimeouts) -> (HttpServer, TcpStream) {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind_with_timeouts(addr, || Ok(slow), limits.clone())
        .await
        .expect("a free port");
    let stream = TcpStream::connect(server.local_addr())
        .await
        .expect("a connection");
    (server, stream)
}

fn limits(head: Duration, idle: Duration) -> SharedTimeouts {
    let limits = SharedTimeouts::default();
    limits.set(ConnectionTimeouts { head, idle });
    limits
}

/// Reads until the connection ends.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let read = tokio::time::timeout(GIVE_UP, stream.read_to_string(&mut text));
    read.await.expect("the connection ends").expect("no reset");
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn half_a_head_is_answered_408_in_time() {
    let (_server, mut stream) = open(&limits(SHORT, LONG)).await;
    stream.write_all(b"GET / HTTP/1.1\r\nhost").await.unwrap();
    assert!(read_all(&mut stream).await.starts_with("HTTP/1.1 408 "));
}

#[tokio::test(flavor = "multi_thread")]
async fn half_a_head_on_a_kept_connection_is_answered_408() {
    let (_server, mut stream) = open(&limits(SHORT, LONG)).await;
    assert!(ask(&mut stream, GIVE_UP).await);
    // A connection between two requests has the other limit.
    tokio::time::sleep(SHORT * 2).await;
    assert!(ask(&mut stream, GIVE_UP).await);
    stream.write_all(b"GET / HT").await.unwrap();
    assert!(read_all(&mut stream).await.starts_with("HTTP/1.1 408 "));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_ends_without_a_word() {
    let (_server, mut stream) = open(&limits(LONG, SHORT)).await;
    // At work on a request for longer than either limit, it does not end.
    assert!(ask(&mut stream, GIVE_UP).await);
    assert_eq!(read_all(&mut stream).await, "");
}

#[tokio::test(flavor = "multi_thread")]
async fn new_limits_hold_on_open_connections() {
    let shared = limits(LONG, LONG);
    let (_server, mut stream) = open(&shared).await;
    assert!(ask(&mut stream, GIVE_UP).await);
    shared.set(ConnectionTimeouts {
        head: SHORT,
        idle: LONG,
    });
    stream.write_all(b"GET / HT").await.unwrap();
    assert!(read_all(&mut stream).await.starts_with("HTTP/1.1 408 "));
}

/// A header that gotham would take for its own logs is the caller's: any value, any number.
#[rstest]
#[case::none(b"", b"")]
#[case::one(b"x-request-id: a\r\n", b"a")]
#[case::two(b"x-request-id: a\r\nx-request-id: b\r\n", b"a|b")]
#[case::no_text(b"x-request-id: \xff\xfe\r\n", b"\xff\xfe")]
#[tokio::test(flavor = "multi_thread")]
async fn request_ids_of_callers_stay_as_they_are(#[case] header: &[u8], #[case] ids_: &[u8]) {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(addr, || Ok(ids)).await.expect("a port");
    let mut stream = TcpStream::connect(server.local_addr())
        .await
        .expect("a connection");
    let head = [
        b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n",
        header,
        b"\r\n",
    ];
    stream.write_all(&head.concat()).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(GIVE_UP, stream.read_to_end(&mut answer));
    read.await.expect("the connection ends").expect("no reset");
    assert!(answer.starts_with(b"HTTP/1.1 200 "), "{answer:?}");
    assert!(
        answer.ends_with(&[b"\r\n\r\n", ids_].concat()),
        "{answer:?}"
    );
}
