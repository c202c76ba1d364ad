//! Gates that accept requests and do not read them, as frozen daemons do.

use crate::support::{ServerBehavior, one_daemon, send, two_daemons};
use agatehill_decide::host_directory::HostRecord;
use rstest::rstest;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// A gate on another host, which answers by itself until it is frozen.
struct TestGate {
    addr: SocketAddr,
    is_frozen: Arc<AtomicBool>,
    /// Requests whose whole body has arrived.
    runs: Arc<AtomicU32>,
}

impl TestGate {
    /// Starts a gate; one that `holds` announces that it reads a body only when it handles the request.
    async fn spawn(holds: bool) -> TestGate {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let gate = TestGate {
            addr: listener.local_addr().unwrap(),
            is_frozen: Arc::default(),
            runs: Arc::default(),
        };
        let (is_frozen, runs) = (gate.is_frozen.clone(), gate.runs.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, holds, is_frozen.clone(), runs.clone()));
            }
        });
        gate
    }

    fn record(&self, like: &HostRecord) -> HostRecord {
        HostRecord {
            gate: self.addr,
            ..like.clone()
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    holds: bool,
    is_frozen: Arc<AtomicBool>,
    runs: Arc<AtomicU32>,
) {
    loop {
        let Some(head) = read_until(&mut stream, "\r\n\r\n").await else {
            return;
        };
        while is_frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if head.contains("expect: 100-continue") {
            let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        if head.contains("transfer-encoding: chunked")
            && read_until(&mut stream, "0\r\n\r\n").await.is_none()
        {
            return;
        }
        runs.fetch_add(1, Ordering::SeqCst);
        let holds = if holds { "agatehill-holds: 1\r\n" } else { "" };
        let response = format!(
            "HTTP/1.1 200 OK\r\n{holds}agatehill-hop-end: answered\r\ncontent-length: 2\r\n\r\nok"
        );
        let _ = stream.write_all(response.as_bytes()).await;
    }
}

async fn read_until(stream: &mut TcpStream, end: &str) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with(end) {
        text.push(char::from(stream.read_u8().await.ok()?));
    }
    Some(text)
}

#[rstest]
#[case::without_body(b"")]
#[case::with_body(b"an entry")]
#[tokio::test]
async fn a_request_that_a_frozen_gate_has_not_read_runs_elsewhere(
    #[case] body: &[u8],
    #[values("GET /once/x", "POST /once/x")] line: &str,
) {
    let daemon = one_daemon().await;
    let gate = TestGate::spawn(true).await;
    let own = daemon.record();
    daemon.gates.set(&[gate.record(&own), own.clone()]);
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    // Until the other gate has announced that it holds.
    while gate.runs.load(Ordering::SeqCst) < 2 {
        let response = send(daemon.addr(), line, &headers, body).await;
        assert_eq!(response.unwrap().status, 200);
    }
    daemon.gates.set(&[gate.record(&own)]);
    gate.is_frozen.store(true, Ordering::SeqCst);
    let gates = daemon.gates.clone();
    let both = [gate.record(&own), own];
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        gates.set(&both);
    });
    let before = (gate.runs.load(Ordering::SeqCst), daemon.server.runs());
    let started = Instant::now();
    let response = send(daemon.addr(), line, &headers, body).await.unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert!(started.elapsed() < Duration::from_millis(550));
    assert_eq!(daemon.server.runs(), before.1 + 1);
    // When it wakes, it finds a request that has been cancelled.
    gate.is_frozen.store(false, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(gate.runs.load(Ordering::SeqCst), before.0);
}

/// A gate that is slow to answer, but has read the request, runs it: nothing else may.
#[rstest]
#[tokio::test]
async fn a_request_that_a_gate_has_read_is_sent_nowhere_else(
    #[values("GET /once/slow", "POST /once/slow")] line: &str,
) {
    let [first, second] = two_daemons().await;
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let runs = || first.server.runs() + second.server.runs();
    // Until each has announced that it holds.
    for _ in 0..40 {
        send(first.addr(), "POST /once/x", &headers, b"")
            .await
            .unwrap();
    }
    first.gates.set(&[second.record()]);
    second.server.set_behavior(ServerBehavior::Silent);
    let before = runs();
    let response = send(first.addr(), line, &headers, b"").await.unwrap();
    assert_eq!(response.status, 504, "{response:?}");
    assert_eq!(runs(), before + 1);
}

#[tokio::test]
async fn a_request_that_only_a_frozen_gate_could_take_has_not_run() {
    let daemon = one_daemon().await;
    let gate = TestGate::spawn(true).await;
    daemon.gates.set(&[gate.record(&daemon.record())]);
    let headers = [("x-id", "r-1"), ("x-deadline", "5000")];
    let response = send(daemon.addr(), "POST /once/x", &headers, b"").await;
    assert_eq!(response.unwrap().status, 200);
    gate.is_frozen.store(true, Ordering::SeqCst);
    let response = send(daemon.addr(), "POST /once/x", &headers, b"")
        .await
        .unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    gate.is_frozen.store(false, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(gate.runs.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_gate_that_does_not_hold_gets_requests_as_before() {
    let daemon = one_daemon().await;
    let gate = TestGate::spawn(false).await;
    daemon.gates.set(&[gate.record(&daemon.record())]);
    let headers = [("x-id", "r-1"), ("x-deadline", "400")];
    for _ in 0..3 {
        let response = send(daemon.addr(), "POST /once/x", &headers, b"").await;
        assert_eq!(response.unwrap().status, 200);
    }
    gate.is_frozen.store(true, Ordering::SeqCst);
    // It may run later: nothing is promised.
    let response = send(daemon.addr(), "POST /once/x", &headers, b"")
        .await
        .unwrap();
    assert_eq!(response.status, 504, "{response:?}");
}
