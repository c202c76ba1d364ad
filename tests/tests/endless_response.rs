//! A backend server whose responses have no end: its daemon frees the slots, keeps its memory and serves others.

use agatehill_tests::{
    bed::{SETTLE_TIMEOUT, TestBed, ZONE},
    client::{TestClient, eventually},
    contract::{TestOperation, contract_text},
    process_usage::peak_memory,
};
use rstest::rstest;
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};

const OPERATIONS: [TestOperation; 2] = [
    TestOperation {
        request: "GET /certificates/{id}",
        service: "certdesk",
        class: "critical",
        idempotent: true,
        deadline_ms: 2_000,
    },
    TestOperation {
        request: "POST /certificates/{id}",
        service: "certdesk",
        class: "critical",
        idempotent: false,
        deadline_ms: 2_000,
    },
];
/// Requests in flight at once whose responses have no end.
const REQUESTS: usize = 40;
/// Slots that the server announces.
const SLOTS: usize = REQUESTS + 4;
/// Deadline of the operations, and time for the end to arrive.
const ENDED_WITHIN: Duration = Duration::from_millis(2_000 + 1_000);
/// Memory that a daemon may use beside what its connections buffer, in KiB.
const BASE_KIB: u64 = 40 * 1024;
/// Memory for each request in flight, in KiB: its buffers at the connections to the server and to the caller, and the
/// part of its body that is held.
const REQUEST_KIB: u64 = 4 * 64;
/// Time between two writes of the server.
const SEND_INTERVAL: Duration = Duration::from_millis(5);
/// A path that contains this text gets a response without an end.
const ENDLESS: &str = "endless";

/// Which part of the response has no end.
#[derive(Clone, Copy, Debug)]
enum EndlessPart {
    Head,
    Body,
    ChunkedBody,
}

impl EndlessPart {
    /// Returns the first bytes of the response, and those that follow without an end.
    fn bytes(self) -> (&'static str, Vec<u8>) {
        let filling = vec![b'a'; 1024];
        match self {
            EndlessPart::Head => ("HTTP/1.1 200 OK\r\nx-a: ", filling),
            EndlessPart::Body => ("HTTP/1.1 200 OK\r\n\r\n", filling),
            EndlessPart::ChunkedBody => {
                let chunk = [b"400\r\n", &filling[..], b"\r\n"].concat();
                (
                    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                    chunk,
                )
            }
        }
    }
}

/// Starts a server that sends `part` without an end to some requests; returns the number of those that it sends to.
async fn spawn_server(announce: SocketAddr, part: EndlessPart) -> Arc<AtomicU32> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let open = Arc::new(AtomicU32::new(0));
    let counted = open.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, part, counted.clone()));
        }
    });
    let body = json!({
        "service": "certdesk", "address": address, "slots": SLOTS, "connections": 200, "state": "serving",
    });
    tokio::spawn(async move {
        let client = TestClient::default();
        loop {
            client
                .send("POST", announce, "/announce", &[], body.to_string())
                .await;
            sleep(Duration::from_millis(500)).await;
        }
    });
    open
}

async fn serve(mut stream: TcpStream, part: EndlessPart, open: Arc<AtomicU32>) {
    let mut head = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(count) = stream.read(&mut buf).await {
        head.extend_from_slice(&buf[..count]);
        if count == 0 {
            return;
        }
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        if String::from_utf8_lossy(&head).contains(ENDLESS) {
            open.fetch_add(1, Ordering::SeqCst);
            send_endless(&mut stream, part).await;
            open.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        head.clear();
        let written = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        if written.await.is_err() {
            return;
        }
    }
}

/// Sends until the connection closes.
async fn send_endless(stream: &mut TcpStream, part: EndlessPart) {
    let (start, more) = part.bytes();
    let mut sent = stream.write_all(start.as_bytes()).await;
    while sent.is_ok() {
        sleep(SEND_INTERVAL).await;
        sent = stream.write_all(&more).await;
    }
}

/// Operators saw a machine run out of memory that kept the bytes of a response without an end, and its clients' requests end.
#[rstest]
#[case::head("GET", EndlessPart::Head)]
#[case::body("GET", EndlessPart::Body)]
#[case::chunked_body("GET", EndlessPart::ChunkedBody)]
#[case::head_that_runs_once("POST", EndlessPart::Head)]
#[case::body_that_runs_once("POST", EndlessPart::Body)]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_an_end_is_cut_at_its_deadline(
    #[case] method: &'static str,
    #[case] part: EndlessPart,
) {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    let contract = contract_text("dansk", &OPERATIONS);
    bed.put_contract(keepers[0].addr("operator"), "dansk", &contract)
        .await;
    let spec = bed.add_daemon(ZONE);
    let daemon = bed.start_daemon(&spec);
    let open = spawn_server(daemon.addr("announce"), part).await;
    bed.wait_served(&daemon, "dansk", "/call/certdesk/certificates/1")
        .await;

    let addr = daemon.addr("caller");
    let mut callers = JoinSet::new();
    for number in 0..REQUESTS {
        callers.spawn(async move {
            let start = Instant::now();
            let key = format!("{ENDLESS}-{number}");
            let path = format!("/call/certdesk/certificates/{key}");
            let headers = [("agatehill-customer", "dansk"), ("idempotency-key", &key)];
            let response = TestClient::default()
                .send(method, addr, &path, &headers, "")
                .await;
            (start.elapsed(), response)
        });
    }
    sleep(Duration::from_millis(500)).await;
    bed.wait_served(&daemon, "dansk", "/call/certdesk/certificates/2")
        .await;
    for (elapsed, response) in callers.join_all().await {
        assert!(elapsed <= ENDED_WITHIN, "{elapsed:?}");
        // A body that was passed on is no whole response.
        assert!(response.is_none_or(|response| !response.status.is_success()));
    }
    eventually(
        "the server's connections are closed",
        SETTLE_TIMEOUT,
        || async { open.load(Ordering::SeqCst) == 0 },
    )
    .await;
    let peak = peak_memory(daemon.pid());
    let allowed = BASE_KIB + REQUEST_KIB * REQUESTS as u64;
    println!("peak {peak} KiB, {allowed} KiB allowed");
    assert!(peak <= allowed, "{peak} KiB");
    bed.wait_served(&daemon, "dansk", "/call/certdesk/certificates/3")
        .await;
}
