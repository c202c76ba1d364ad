//! Daemons in this process and backend servers that answer as they are told.

use agatehill_decide::{
    host_directory::{HostRecord, ServerRecord},
    name::{Incarnation, RegionName, ServiceName, ZoneName},
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
    local_server::LocalServer,
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
/// Time within which any answer must come.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// How a backend server treats a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Manner {
    /// Runs it and answers.
    Answer,
    /// Runs it and answers with an error of its own.
    Fail,
    /// Rejects it.
    Shed,
    /// Says that it isn't the server that was meant.
    Misdirected,
    /// Runs it and resets the connection.
    Reset,
    /// Runs it and closes the connection.
    Close,
    /// Runs it and breaks its answer off.
    Truncate,
    /// Runs it and answers with bytes that are no answer.
    Garble,
    /// Runs it and answers with another request's id.
    Foreign,
    /// Runs it and answers without its seal.
    Unsealed,
    /// Runs it and answers with a coded body.
    Coded,
    /// Runs it and sends a second answer after the first.
    Extra,
    /// Runs it and answers without a length.
    Unframed,
    /// The same, and resets the connection in the middle of the body.
    UnframedReset,
    /// Runs it and says nothing until its caller goes.
    Silent,
    /// Rejects it before its body is read.
    Early,
}

/// A backend server.
pub(crate) struct TestServer {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    runs: Arc<AtomicU32>,
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
    cuts: Arc<AtomicU32>,
}

impl TestServer {
    pub(crate) async fn spawn(id: &str) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = TestServer {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            manner: Arc::new(Mutex::new(Manner::Answer)),
            runs: Arc::default(),
            bodies: Arc::default(),
            cuts: Arc::default(),
        };
        let shared = (
            server.manner.clone(),
            server.runs.clone(),
            server.bodies.clone(),
            server.cuts.clone(),
        );
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (manner, runs, bodies, cuts) = shared.clone();
                tokio::spawn(async move {
                    if serve(stream, manner, runs, bodies).await == ServeEnd::Cut {
                        cuts.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        server
    }

    pub(crate) fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// Returns how many requests it has run.
    pub(crate) fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Returns how many requests lost their caller while they ran.
    pub(crate) fn cuts(&self) -> u32 {
        self.cuts.load(Ordering::Relaxed)
    }

    /// Returns the bodies of the requests that it has run.
    pub(crate) fn bodies(&self) -> Vec<Vec<u8>> {
        self.bodies.lock().unwrap().clone()
    }

    pub(crate) fn beat(&self, sequence: u64) -> ServerHeartbeat {
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
    manner: Arc<Mutex<Manner>>,
    runs: Arc<AtomicU32>,
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
) -> ServeEnd {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf).await {
        let manner = *manner.lock().unwrap();
        let id = header(&head, "x-id").unwrap_or_default();
        if manner == Manner::Early {
            let text =
                format!("HTTP/1.1 503 x\r\nx-id: {id}\r\nx-unrun: 1\r\ncontent-length: 0\r\n\r\n");
            let _ = stream.write_all(text.as_bytes()).await;
        }
        let Some(body) = read_body(&mut stream, &mut buf, &head).await else {
            return ServeEnd::Closed;
        };
        match manner {
            Manner::Early => continue,
            Manner::Shed | Manner::Misdirected => {}
            _ => {
                runs.fetch_add(1, Ordering::Relaxed);
                bodies.lock().unwrap().push(body);
            }
        }
        if manner == Manner::Silent {
            // Nothing more is sent on this connection: a read ends when it closes.
            let _ = stream.read(&mut [0]).await;
            return ServeEnd::Cut;
        }
        if !answer(&mut stream, manner, &id).await {
            return ServeEnd::Closed;
        }
    }
    ServeEnd::Closed
}

/// How a connection to a backend server ended.
#[derive(Eq, PartialEq)]
enum ServeEnd {
    /// Between two requests, or as the server wanted.
    Closed,
    /// By its caller, while a request ran.
    Cut,
}

/// Answers in `manner`; returns whether the connection stays open.
async fn answer(stream: &mut TcpStream, manner: Manner, id: &str) -> bool {
    let whole = |id: &str, status: &str, extra: &str| {
        format!(
            "HTTP/1.1 {status}\r\nx-id: {id}\r\nx-seal: s-{id}\r\n{extra}content-length: 5\r\n\r\nhello"
        )
    };
    let text = match manner {
        Manner::Answer => whole(id, "200 OK", ""),
        Manner::Fail => whole(id, "500 x", ""),
        Manner::Shed => {
            format!("HTTP/1.1 503 x\r\nx-id: {id}\r\nx-unrun: 1\r\ncontent-length: 0\r\n\r\n")
        }
        Manner::Misdirected => format!("HTTP/1.1 421 x\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n"),
        Manner::Truncate => whole(id, "200 OK", "").replace("length: 5", "length: 50"),
        Manner::Garble => "once upon a time\r\n\r\n".to_owned(),
        Manner::Foreign => whole("another", "200 OK", ""),
        Manner::Unsealed => whole(id, "200 OK", "").replace("x-seal", "x-other"),
        Manner::Coded => whole(id, "200 OK", "content-encoding: gzip\r\n"),
        Manner::Extra => whole(id, "200 OK", "") + &whole(id, "200 OK", ""),
        Manner::Unframed | Manner::UnframedReset => {
            format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s-{id}\r\n\r\nhello")
        }
        Manner::Reset | Manner::Close | Manner::Early | Manner::Silent => String::new(),
    };
    let _ = stream.write_all(text.as_bytes()).await;
    if manner == Manner::UnframedReset {
        // The answer is on its way before the reset overtakes it.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if matches!(manner, Manner::Reset | Manner::UnframedReset) {
        let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        return false;
    }
    !matches!(
        manner,
        Manner::Close | Manner::Truncate | Manner::Unframed | Manner::Garble
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

/// A daemon with the server beside it.
pub(crate) struct TestDaemon {
    pub(crate) server: TestServer,
    pub(crate) local: LocalServer,
    pub(crate) entry: Arc<RequestEntry>,
    gates: GateView,
    callers: HttpServer,
    daemons: HttpServer,
}

impl TestDaemon {
    async fn spawn(id: &str) -> TestDaemon {
        let clock = MonoClock::open();
        let server = TestServer::spawn(id).await;
        let local = LocalServer::open(Duration::from_secs(60), clock);
        local.record_heartbeat(server.beat(1));
        let log = Arc::new(DecisionLog::open());
        let names = Arc::new(names());
        // The listener of the gate comes first, as its address is the gate's name.
        let slot: Arc<Mutex<Option<Arc<RequestEntry>>>> = Arc::default();
        let shared = slot.clone();
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
        let entry = RequestEntry::spawn(EntryOptions {
            gate: RequestGate::spawn(names.clone(), local.clone(), log.clone(), clock),
            log,
            names,
            service: ServiceName::try_from("front").unwrap(),
            gate_addr: daemons.local_addr(),
            gates: gates.clone(),
            clock,
        });
        *slot.lock().unwrap() = Some(entry.clone());
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

/// Two daemons that know each other, with the configuration in force.
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

/// A daemon that knows itself alone, with the configuration in force.
pub(crate) async fn one_daemon() -> TestDaemon {
    let daemon = TestDaemon::spawn("s-1").await;
    daemon.gates.set(&[daemon.record()]);
    daemon.entry.set_table(config().into());
    daemon
}

/// A daemon without a configuration.
pub(crate) async fn blank_daemon() -> TestDaemon {
    TestDaemon::spawn("s-1").await
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct TestAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    /// Whether the body came to the end that its head announced.
    pub(crate) is_whole: bool,
}

/// Sends a request on a new connection and closes it as soon as `is_enough`.
pub(crate) async fn send_and_leave(addr: SocketAddr, line: &str, is_enough: impl Fn() -> bool) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let text =
        format!("{line} HTTP/1.1\r\nhost: a.example\r\nx-id: gone\r\nx-deadline: 5000\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    eventually(is_enough).await;
}

/// Waits until `is_so`.
pub(crate) async fn eventually(is_so: impl Fn() -> bool) {
    let wait = async {
        while !is_so() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(ANSWER_LIMIT, wait).await.unwrap();
}

/// Sends a request on a new connection; `None` if the connection ends without an answer.
pub(crate) async fn send(
    addr: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<TestAnswer> {
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

/// Sends the bytes of one request on a connection of its own; `None` without an answer.
pub(crate) async fn send_bytes(addr: SocketAddr, bytes: &[u8]) -> Option<TestAnswer> {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // A daemon may answer and close before it has read all.
    let _ = stream.write_all(bytes).await;
    timeout(ANSWER_LIMIT, read_answer(&mut stream))
        .await
        .unwrap()
}

async fn read_answer(stream: &mut TcpStream) -> Option<TestAnswer> {
    let mut buf = Vec::new();
    let head = read_head(stream, &mut buf).await?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let len: Option<usize> = header(&head, "content-length").map(|text| text.parse().unwrap());
    let is_whole = match len {
        Some(len) => loop {
            if buf.len() >= len {
                break true;
            }
            if !matches!(stream.read_buf(&mut buf).await, Ok(read) if read > 0) {
                break false;
            }
        },
        // In chunks; the last one is empty.
        None => loop {
            if buf.ends_with(b"0\r\n\r\n") {
                break true;
            }
            if !matches!(stream.read_buf(&mut buf).await, Ok(read) if read > 0) {
                break false;
            }
        },
    };
    Some(TestAnswer {
        status,
        head,
        body: buf,
        is_whole,
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
