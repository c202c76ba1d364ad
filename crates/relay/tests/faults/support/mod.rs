//! Daemons in this process, and backend servers whose faults the test selects.

mod server;

use agatehill_backend::quarantine::{CrashReportQueue, QuarantineMonitor, QuarantineOptions};
use agatehill_decide::{
    host_directory::{HostRecord, ServerRecord},
    name::{DaemonName, Incarnation, RegionName, ServiceName, ZoneName},
    quota::QuotaTolerance,
    service_config::{
        CallerLimits, ClientAccount, HostRoutes, RouteKind, RouteRule, ServiceConfig, ServiceSpec,
        WeightedService,
    },
};
use agatehill_peer::handler::{client_addr, respond};
use agatehill_process::{
    budget::ListenerBudget, clock::MonoClock, health::AssertUnwindSafeHandler, serve::HttpServer,
};
use agatehill_relay::{
    decision_log::DecisionLog,
    entry::{EntryOptions, RequestEntry},
    gate::RequestGate,
    gate_view::GateView,
    headers::HeaderNames,
    host_server::HostServer,
};
use http::HeaderName;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use server::read_head;
pub(crate) use server::{EndlessBytes, ServerBehavior, TestServer, header};

pub(crate) const HEAD_BYTES_MAX: usize = 16_384;
pub(crate) const BODY_BYTES_MAX: usize = 1 << 20;
/// Size of a part of a body that is sent slowly, in bytes.
const SLOW_PART_BYTES: usize = 9_000;
/// Time between two parts of a body that is sent slowly.
const SLOW_PART_INTERVAL: Duration = Duration::from_millis(3);
/// Time within which a response must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon and the backend server on its host.
pub(crate) struct TestDaemon {
    pub(crate) server: TestServer,
    pub(crate) local: HostServer,
    pub(crate) entry: Arc<RequestEntry>,
    pub(crate) gates: GateView,
    callers: HttpServer,
    daemons: HttpServer,
}

impl TestDaemon {
    async fn spawn(id: &str) -> TestDaemon {
        TestDaemon::spawn_within(id, ListenerBudget::unlimited()).await
    }

    /// Starts a daemon that opens as many connections as `outgoing` allows.
    async fn spawn_within(id: &str, outgoing: ListenerBudget) -> TestDaemon {
        let clock = MonoClock::open();
        let server = TestServer::spawn(id).await;
        let local = HostServer::open(Duration::from_secs(10), clock);
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
        let budget = ListenerBudget::unlimited();
        let gate = RequestGate::spawn(
            names.clone(),
            local.clone(),
            quarantine,
            log.clone(),
            clock,
            outgoing.clone(),
        );
        let entry = RequestEntry::spawn(EntryOptions {
            gate,
            log,
            names,
            service: ServiceName::try_from("front").unwrap(),
            gate_addr: daemons.local_addr(),
            gates: gates.clone(),
            zones: vec![zone()],
            quota_tolerance: QuotaTolerance::NONE,
            callers: budget.clone(),
            daemons: budget,
            outgoing,
            clock,
        });
        *entry_cell.lock().unwrap() = Some(entry.clone());
        let shared = entry.clone();
        let callers = HttpServer::bind(
            "127.0.0.1:0".parse().unwrap(),
            AssertUnwindSafeHandler(move || {
                let entry = shared.clone();
                Ok(move |state| {
                    let sender = client_addr(&state);
                    respond(state, move |req| async move {
                        entry.handle_call(req, sender).await
                    })
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

    pub(crate) fn record(&self) -> HostRecord {
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
            left: None,
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

/// Returns a daemon that knows only itself and opens one connection at a time, with a configuration in force.
pub(crate) async fn one_daemon_with_one_connection() -> TestDaemon {
    let outgoing = ListenerBudget::with_connections_max(1);
    let daemon = TestDaemon::spawn_within("s-1", outgoing).await;
    daemon.gates.set(&[daemon.record()]);
    daemon.entry.set_table(config().into());
    daemon
}

/// Returns two daemons that know each other, with these client accounts and one public route.
pub(crate) async fn two_daemons_with(accounts: Vec<ClientAccount>) -> [TestDaemon; 2] {
    let daemons = two_daemons().await;
    let config = config_with(accounts);
    for daemon in &daemons {
        daemon.entry.set_table(config.clone().into());
    }
    daemons
}

/// Returns a configuration with these client accounts and one public route.
pub(crate) fn config_with(accounts: Vec<ClientAccount>) -> ServiceConfig {
    let mut config = config();
    config.accounts = accounts;
    config.hosts[0].routes.push(RouteRule {
        is_public: true,
        ..rule("/open/", RouteKind::Idempotent)
    });
    config
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

/// Sends a request whose body comes in `parts` parts, a few milliseconds apart.
pub(crate) async fn send_slowly(
    addr: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    parts: usize,
) -> Option<TestResponse> {
    let part = vec![b'x'; SLOW_PART_BYTES];
    let mut text = format!(
        "{line} HTTP/1.1\r\nhost: a.example\r\ncontent-length: {}\r\n",
        part.len() * parts
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let stream = TcpStream::connect(addr).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (mut receiver, mut sender) = stream.into_split();
    let sending = tokio::spawn(async move {
        let mut sent = sender.write_all((text + "\r\n").as_bytes()).await;
        for _ in 0..parts {
            if sent.is_err() {
                break;
            }
            tokio::time::sleep(SLOW_PART_INTERVAL).await;
            sent = sender.write_all(&part).await;
        }
        sender
    });
    let response = timeout(RESPONSE_TIMEOUT, read_response(&mut receiver)).await;
    sending.abort();
    response.unwrap()
}

async fn read_response(stream: &mut (impl AsyncRead + Unpin)) -> Option<TestResponse> {
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
        account: HeaderName::from_static("x-account"),
        caller_service: HeaderName::from_static("x-caller"),
        expected_server: HeaderName::from_static("x-expected"),
        response_seal: HeaderName::from_static("x-seal"),
        not_executed: HeaderName::from_static("x-unrun"),
        server_limit: HeaderName::from_static("x-limit"),
        server_leaving: HeaderName::from_static("x-leaving"),
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

fn rule(prefix: &str, kind: RouteKind) -> RouteRule {
    RouteRule {
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
        is_public: false,
    }
}

fn config() -> ServiceConfig {
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
        accounts: Vec::new(),
    }
}
