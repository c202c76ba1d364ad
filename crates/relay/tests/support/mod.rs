//! Daemons in this process, and backend servers whose faults the test selects.

use agatehill_backend::quarantine::{CrashReportQueue, QuarantineMonitor, QuarantineOptions};
use agatehill_decide::{
    host_directory::{HostRecord, ServerRecord},
    name::{DaemonName, Incarnation, RegionName, ServiceName, ZoneName},
    server_tracker::ServerHeartbeat,
    service_config::{
        CallerLimits, HostRoutes, RouteKind, RouteRule, ServiceConfig, ServiceSpec, WeightedService,
    },
};
use agatehill_peer::handler::respond;
use agatehill_process::{clock::MonoClock, health::AssertUnwindSafeHandler, serve::HttpServer};
use agatehill_relay::{
    decision_log::DecisionLog,
    entry::{EntryOptions, RequestEntry},
    gate::RequestGate,
    gate_view::GateView,
    headers::HeaderNames,
    host_server::HostServer,
};
use http::HeaderName;
use socket2::SockRef;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

pub(crate) const HEAD_BYTES_MAX: usize = 16_384;
pub(crate) const BODY_BYTES_MAX: usize = 1 << 20;
/// Time within which a response must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a backend server does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerBehavior {
    /// Runs it and responds.
    Respond,
    /// Runs it and responds with a server error.
    Fail,
    /// Rejects it without running it.
    Shed,
    /// Rejects it, because it is not the expected server.
    Misdirected,
    /// Runs it and resets the connection.
    Reset,
    /// Runs it and closes the connection.
    Close,
    /// Runs it and closes the connection in the middle of the response.
    Truncate,
    /// Runs it and sends bytes that are no HTTP response.
    Garble,
    /// Runs it and responds with the id of another request.
    ForeignId,
    /// Runs it and responds without the seal header.
    Unsealed,
    /// Runs it and responds with a content encoding.
    Encoded,
    /// Runs it and sends a second response after the first.
    ExtraResponse,
    /// Runs it and responds without a content length.
    Unframed,
    /// Runs it, responds without a content length and resets the connection in the middle of the
    /// body.
    UnframedReset,
    /// Runs it and sends nothing until the connection closes.
    Silent,
    /// Rejects it before it reads the body.
    RejectEarly,
}

/// A backend server with a fault that the test selects.
pub(crate) struct TestServer {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    behavior: Arc<Mutex<ServerBehavior>>,
    runs: Arc<AtomicU32>,
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
    cancelled: Arc<AtomicU32>,
}

impl TestServer {
    pub(crate) async fn spawn(id: &str) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = TestServer {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            behavior: Arc::new(Mutex::new(ServerBehavior::Respond)),
            runs: Arc::default(),
            bodies: Arc::default(),
            cancelled: Arc::default(),
        };
        let shared = (
            server.behavior.clone(),
            server.runs.clone(),
            server.bodies.clone(),
            server.cancelled.clone(),
        );
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (behavior, runs, bodies, cancelled) = shared.clone();
                tokio::spawn(async move {
                    if serve(stream, behavior, runs, bodies).await == ServeEnd::Cancelled {
                        cancelled.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        server
    }

    pub(crate) fn set_behavior(&self, behavior: ServerBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns the number of requests that it has run.
    pub(crate) fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose connection closed while they ran.
    pub(crate) fn cancelled(&self) -> u32 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Returns the bodies of the requests that it has run.
    pub(crate) fn bodies(&self) -> Vec<Vec<u8>> {
        self.bodies.lock().unwrap().clone()
    }

    pub(crate) fn heartbeat(&self, sequence: u64) -> ServerHeartbeat {
        ServerHeartbeat {
            id: self.id.clone(),
            started_ms: 1,
            sequence,
            service: service(),
            address: self.address,
            slots: 2,
            is_leaving: false,
            slow_start_left: Duration::ZERO,
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    behavior: Arc<Mutex<ServerBehavior>>,
    runs: Arc<AtomicU32>,
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
) -> ServeEnd {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf).await {
        let behavior = *behavior.lock().unwrap();
        let id = header(&head, "x-id").unwrap_or_default();
        if behavior == ServerBehavior::RejectEarly {
            let text =
                format!("HTTP/1.1 503 x\r\nx-id: {id}\r\nx-unrun: 1\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.write_all(text.as_bytes()).await;
        }
        let Some(body) = read_body(&mut stream, &mut buf, &head).await else {
            return ServeEnd::Closed;
        };
        match behavior {
            ServerBehavior::RejectEarly => continue,
            ServerBehavior::Shed | ServerBehavior::Misdirected => {}
            _ => {
                runs.fetch_add(1, Ordering::Relaxed);
                bodies.lock().unwrap().push(body);
            }
        }
        if behavior == ServerBehavior::Silent {
            // The daemon sends nothing more on this connection, so a read ends when it closes.
            let _ = stream.read(&mut [0]).await;
            return ServeEnd::Cancelled;
        }
        if !send_response(&mut stream, behavior, &id).await {
            return ServeEnd::Closed;
        }
    }
    ServeEnd::Closed
}

/// How a connection to a backend server ended.
#[derive(Eq, PartialEq)]
enum ServeEnd {
    /// Between two requests, or by the server.
    Closed,
    /// By the daemon, while a request ran.
    Cancelled,
}

/// Responds by `behavior`; returns whether the connection stays open.
async fn send_response(stream: &mut TcpStream, behavior: ServerBehavior, id: &str) -> bool {
    let complete = |id: &str, status: &str, extra: &str| {
        format!(
            "HTTP/1.1 {status}\r\nx-id: {id}\r\nx-seal: s-{id}\r\n{extra}content-length: 5\r\n\r\nhello"
        )
    };
    let text = match behavior {
        ServerBehavior::Respond => complete(id, "200 OK", ""),
        ServerBehavior::Fail => complete(id, "500 x", ""),
        ServerBehavior::Shed => {
            format!("HTTP/1.1 503 x\r\nx-id: {id}\r\nx-unrun: 1\r\ncontent-length: 0\r\n\r\n")
        }
        ServerBehavior::Misdirected => {
            format!("HTTP/1.1 421 x\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n")
        }
        ServerBehavior::Truncate => complete(id, "200 OK", "").replace("length: 5", "length: 50"),
        ServerBehavior::Garble => "once upon a time\r\n\r\n".to_owned(),
        ServerBehavior::ForeignId => complete("another", "200 OK", ""),
        ServerBehavior::Unsealed => complete(id, "200 OK", "").replace("x-seal", "x-other"),
        ServerBehavior::Encoded => complete(id, "200 OK", "content-encoding: gzip\r\n"),
        ServerBehavior::ExtraResponse => complete(id, "200 OK", "") + &complete(id, "200 OK", ""),
        ServerBehavior::Unframed | ServerBehavior::UnframedReset => {
            format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s-{id}\r\n\r\nhello")
        }
        ServerBehavior::Reset
        | ServerBehavior::Close
        | ServerBehavior::RejectEarly
        | ServerBehavior::Silent => String::new(),
    };
    let _ = stream.write_all(text.as_bytes()).await;
    if behavior == ServerBehavior::UnframedReset {
        // Otherwise the reset discards the response before the daemon reads it.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if matches!(
        behavior,
        ServerBehavior::Reset | ServerBehavior::UnframedReset
    ) {
        let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        return false;
    }
    !matches!(
        behavior,
        ServerBehavior::Close
            | ServerBehavior::Truncate
            | ServerBehavior::Unframed
            | ServerBehavior::Garble
    )
}

async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = buf.drain(..end + 4).collect::<Vec<_>>();
            return String::from_utf8(head).ok();
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_body(stream: &mut TcpStream, buf: &mut Vec<u8>, head: &str) -> Option<Vec<u8>> {
    let len: usize = header(head, "content-length").map_or(0, |text| text.parse().unwrap());
    while buf.len() < len {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    Some(buf.drain(..len).collect())
}

pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    Some(found.next()?.1.trim().to_owned())
}

/// A daemon and the backend server on its host.
pub(crate) struct TestDaemon {
    pub(crate) server: TestServer,
    pub(crate) local: HostServer,
    pub(crate) entry: Arc<RequestEntry>,
    gates: GateView,
    callers: HttpServer,
    daemons: HttpServer,
}

impl TestDaemon {
    async fn spawn(id: &str) -> TestDaemon {
        let clock = MonoClock::open();
        let server = TestServer::spawn(id).await;
        let local = HostServer::open(Duration::from_secs(60), clock);
        local.record_heartbeat(server.heartbeat(1));
        let log = Arc::new(DecisionLog::open());
        let names = Arc::new(names());
        // The gate's listener is bound before the entry is opened, whose options need its address.
        let entry_cell: Arc<Mutex<Option<Arc<RequestEntry>>>> = Arc::default();
        let shared = entry_cell.clone();
        let daemons = HttpServer::bind(
            "127.0.0.1:0".parse().unwrap(),
            AssertUnwindSafeHandler(move || {
                let entry = shared.lock().unwrap().clone().unwrap();
                Ok(move |state| {
                    respond(state, move |req| async move {
                        entry.handle_forwarded(req).await
                    })
                })
            }),
        );
        let daemons = daemons.await.unwrap();
        let gates = GateView::open(region(), zone());
        let quarantine = QuarantineMonitor::spawn(
            DaemonName::try_from(id).unwrap(),
            Incarnation(1),
            clock,
            QuarantineOptions::FLEET,
            CrashReportQueue::default(),
        );
        let gate = RequestGate::spawn(names.clone(), local.clone(), quarantine, log.clone(), clock);
        let entry = RequestEntry::spawn(EntryOptions {
            gate,
            log,
            names,
            service: ServiceName::try_from("front").unwrap(),
            gate_addr: daemons.local_addr(),
            gates: gates.clone(),
            clock,
        });
        *entry_cell.lock().unwrap() = Some(entry.clone());
        let shared = entry.clone();
        let callers = HttpServer::bind(
            "127.0.0.1:0".parse().unwrap(),
            AssertUnwindSafeHandler(move || {
                let entry = shared.clone();
                Ok(move |state| {
                    respond(
                        state,
                        move |req| async move { entry.handle_call(req).await },
                    )
                })
            }),
        );
        TestDaemon {
            server,
            local,
            entry,
            gates,
            callers: callers.await.unwrap(),
            daemons,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.callers.local_addr()
    }

    fn record(&self) -> HostRecord {
        HostRecord {
            gate: self.daemons.local_addr(),
            run: Incarnation(1),
            sequence: 1,
            region: region(),
            zone: zone(),
            server: Some(ServerRecord {
                service: service(),
                id: self.server.id.clone(),
                slots: 2,
            }),
        }
    }
}

/// Returns two daemons that know each other, with a configuration in force.
pub(crate) async fn two_daemons() -> [TestDaemon; 2] {
    let daemons = [
        TestDaemon::spawn("s-1").await,
        TestDaemon::spawn("s-2").await,
    ];
    let records: Vec<_> = daemons.iter().map(TestDaemon::record).collect();
    for daemon in &daemons {
        daemon.gates.set(&records);
        daemon.entry.set_table(config().into());
    }
    daemons
}

/// Returns a daemon that knows only itself, with a configuration in force.
pub(crate) async fn one_daemon() -> TestDaemon {
    let daemon = TestDaemon::spawn("s-1").await;
    daemon.gates.set(&[daemon.record()]);
    daemon.entry.set_table(config().into());
    daemon
}

/// Returns a daemon without a configuration.
pub(crate) async fn unconfigured_daemon() -> TestDaemon {
    TestDaemon::spawn("s-1").await
}

/// A response as received.
#[derive(Debug)]
pub(crate) struct TestResponse {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the whole body that the head declares arrived.
    pub(crate) is_complete: bool,
}

/// Sends a request on a new connection and closes the connection once `condition` holds.
pub(crate) async fn send_and_disconnect(
    addr: SocketAddr,
    line: &str,
    condition: impl Fn() -> bool,
) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let text =
        format!("{line} HTTP/1.1\r\nhost: a.example\r\nx-id: gone\r\nx-deadline: 5000\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    wait_until(condition).await;
}

/// Waits until `condition` holds; panics after [`RESPONSE_TIMEOUT`].
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(RESPONSE_TIMEOUT, wait).await.unwrap();
}

/// Sends a request on a new connection; returns `None` if the connection ends without a response.
pub(crate) async fn send(
    addr: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<TestResponse> {
    let mut text = format!(
        "{line} HTTP/1.1\r\nhost: a.example\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    send_bytes(addr, &bytes).await
}

/// Sends the bytes of one request on a new connection; returns `None` if the connection ends
/// without a response.
pub(crate) async fn send_bytes(addr: SocketAddr, bytes: &[u8]) -> Option<TestResponse> {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The daemon may respond and close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    timeout(RESPONSE_TIMEOUT, read_response(&mut stream))
        .await
        .unwrap()
}

async fn read_response(stream: &mut TcpStream) -> Option<TestResponse> {
    let mut buf = Vec::new();
    let head = read_head(stream, &mut buf).await?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let len: Option<usize> = header(&head, "content-length").map(|text| text.parse().unwrap());
    let is_complete = match len {
        Some(len) => loop {
            if buf.len() >= len {
                break true;
            }
            if !matches!(stream.read_buf(&mut buf).await, Ok(read) if read > 0) {
                break false;
            }
        },
        // Chunked; the last chunk is empty.
        None => loop {
            if buf.ends_with(b"0\r\n\r\n") {
                break true;
            }
            if !matches!(stream.read_buf(&mut buf).await, Ok(read) if read > 0) {
                break false;
            }
        },
    };
    Some(TestResponse {
        status,
        head,
        body: buf,
        is_complete,
    })
}

fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-id"),
        deadline_ms: HeaderName::from_static("x-deadline"),
        caller_service: HeaderName::from_static("x-caller"),
        expected_server: HeaderName::from_static("x-expected"),
        response_seal: HeaderName::from_static("x-seal"),
        not_executed: HeaderName::from_static("x-unrun"),
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("techreg").unwrap()
}

fn region() -> RegionName {
    RegionName::try_from("vest").unwrap()
}

fn zone() -> ZoneName {
    ZoneName::try_from("herning-1").unwrap()
}

fn config() -> ServiceConfig {
    let rule = |prefix: &str, kind| RouteRule {
        name: prefix.to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_millis(600),
        target_latency: Duration::from_millis(500),
        priority: 0,
        weighted_services: vec![WeightedService {
            service: service(),
            weight: 1,
        }],
        servers_max: 2,
    };
    ServiceConfig {
        version: 1,
        services: vec![ServiceSpec {
            name: service(),
            health_path: "/health".to_owned(),
            connections_max: 10,
        }],
        limits: CallerLimits {
            head_bytes_max: HEAD_BYTES_MAX,
            body_bytes_max: BODY_BYTES_MAX as u64,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        hosts: vec![HostRoutes {
            host: "a.example".to_owned(),
            routes: vec![
                rule("/safe/", RouteKind::Idempotent),
                rule("/once/", RouteKind::AtMostOnce),
                rule("/upload/", RouteKind::Upload),
            ],
        }],
    }
}
