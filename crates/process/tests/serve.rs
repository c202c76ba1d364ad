//! The limit on open connections.

use agatehill_process::serve::HttpServer;
use gotham::{helpers::http::response::create_empty_response, state::State};
use http::StatusCode;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Time in which a connection past the limit must stay unanswered.
const QUIET: Duration = Duration::from_millis(300);
/// Only ends a test that hangs.
const GIVE_UP: Duration = Duration::from_secs(30);

fn ok(state: State) -> (State, http::Response<gotham::helpers::http::Body>) {
    let response = create_empty_response(&state, StatusCode::OK);
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
    let server = HttpServer::bind_limited(addr, || Ok(ok), 1)
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
