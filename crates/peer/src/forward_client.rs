//! Sends calls to the gates of other daemons and replaces dead connections.
//!
//! HTTP/1.1 has no pings. When a response is late, the client queries the attempt's status at the
//! gate over a new connection. If the gate doesn't know the attempt, or has already responded to
//! it, the call or the response was lost: the client drops the pooled connections to that host and
//! reports at once whether the attempt may have run.

use crate::{
    body::CallBody,
    forward::{
        ATTEMPT_STATUS_HEADER, FORWARD_HEADER, ForwardHead, absolute_uri, attempt_query_value,
        attempt_status,
    },
};
use agatehill_decide::attempt_status::AttemptStatus;
use arc_swap::ArcSwap;
use http::{Method, Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use std::{collections::HashMap, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

/// Time after which an unused pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time to open a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time until the first keep-alive probe of an idle connection, and time without acknowledgement
/// of sent data after which a connection is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);
/// Most idle connections to one host.
const IDLE_PER_HOST_MAX: usize = 64;
/// Time without a response before the first status query; doubles while the attempt runs.
const QUERY_DELAY: Duration = Duration::from_millis(400);
/// Longest time between two status queries.
const QUERY_DELAY_MAX: Duration = Duration::from_secs(3);
/// Time limit of a status query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Time in which a response sent before the status query must arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);
/// Unanswered status queries after which the gate counts as lost.
const UNANSWERED_QUERIES_MAX: u32 = 3;

type HttpClient = Client<HttpConnector, CallBody>;
type ConnectionMap = HashMap<SocketAddr, Arc<HostConnections>>;

/// Why a forwarded call got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardSendError {
    /// The call was never sent, or its gate will refuse it if it still arrives.
    NotSent,
    /// The call was sent but no response arrived; it may have run.
    Lost,
}

/// The pooled connections to one host.
#[derive(Debug)]
struct HostConnections {
    client: HttpClient,
}

/// Sends calls to the gates of other daemons; clones share pooled connections.
#[derive(Clone, Debug)]
pub struct ForwardClient {
    connections: Arc<ArcSwap<ConnectionMap>>,
    /// Opens a new connection for each status query.
    query_client: HttpClient,
}

impl ForwardClient {
    /// Opens a client without connections.
    pub fn open() -> ForwardClient {
        ForwardClient {
            connections: Arc::default(),
            query_client: http_client(0),
        }
    }

    /// Sends `req` with `head` to the daemon whose forward port is `addr`.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives; the error says whether the call may have run.
    pub async fn send(
        &self,
        addr: SocketAddr,
        head: &ForwardHead,
        mut req: Request<CallBody>,
    ) -> Result<Response<Incoming>, ForwardSendError> {
        req.headers_mut().insert(FORWARD_HEADER, head.into());
        *req.uri_mut() = absolute_uri(addr, req.uri());
        let connections = self.host_connections(addr);
        let mut sent = pin!(connections.client.request(req));
        let mut monitor = AttemptMonitor::default();
        loop {
            tokio::select! {
                response = &mut sent => return response.map_err(|e| send_error(&e)),
                () = tokio::time::sleep(monitor.delay) => {
                    let status = self.query_status(addr, head).await;
                    if let Some(error) = monitor.record_status(status) {
                        self.replace(addr, &connections);
                        return Err(error);
                    }
                }
            }
        }
    }

    /// Queries the status of the attempt at the gate at `addr`; `None` without a reply in time.
    async fn query_status(&self, addr: SocketAddr, head: &ForwardHead) -> Option<AttemptStatus> {
        metrics::counter!("agatehill_forward_questions_total").increment(1);
        let mut req = Request::new(CallBody::empty());
        *req.method_mut() = Method::POST;
        *req.uri_mut() = absolute_uri(addr, &Uri::from_static("/"));
        req.headers_mut()
            .insert(ATTEMPT_STATUS_HEADER, attempt_query_value(head.id));
        let response = self.query_client.request(req);
        let response = tokio::time::timeout(QUERY_TIMEOUT, response)
            .await
            .ok()?
            .ok()?;
        attempt_status(response.headers()).ok()
    }

    fn host_connections(&self, addr: SocketAddr) -> Arc<HostConnections> {
        if let Some(connections) = self.connections.load().get(&addr) {
            return connections.clone();
        }
        let opened = HostConnections::open();
        self.connections.rcu(|map| {
            let mut map = ConnectionMap::clone(map);
            map.entry(addr).or_insert_with(|| opened.clone());
            map
        });
        self.connections
            .load()
            .get(&addr)
            .cloned()
            .unwrap_or(opened)
    }

    /// Drops the connections `stale` to `addr`, unless they have been replaced already.
    fn replace(&self, addr: SocketAddr, stale: &Arc<HostConnections>) {
        metrics::counter!("agatehill_forward_links_replaced_total").increment(1);
        self.connections.rcu(|map| {
            let mut map = ConnectionMap::clone(map);
            if map
                .get(&addr)
                .is_some_and(|present| Arc::ptr_eq(present, stale))
            {
                map.remove(&addr);
            }
            map
        });
    }
}

impl HostConnections {
    fn open() -> Arc<HostConnections> {
        Arc::new(HostConnections {
            client: http_client(IDLE_PER_HOST_MAX),
        })
    }
}

/// Determines from the gate's status replies whether an attempt has failed.
#[derive(Debug)]
struct AttemptMonitor {
    delay: Duration,
    unanswered: u32,
    has_ended: bool,
}

impl Default for AttemptMonitor {
    fn default() -> AttemptMonitor {
        AttemptMonitor {
            delay: QUERY_DELAY,
            unanswered: 0,
            has_ended: false,
        }
    }
}

impl AttemptMonitor {
    /// Records the result of a status query; returns the attempt's error once it is certain.
    fn record_status(&mut self, status: Option<AttemptStatus>) -> Option<ForwardSendError> {
        match status {
            Some(AttemptStatus::Absent) => return Some(ForwardSendError::NotSent),
            Some(AttemptStatus::Ended) if self.has_ended => return Some(ForwardSendError::Lost),
            Some(AttemptStatus::Ended) => {
                self.has_ended = true;
                self.delay = RESPONSE_GRACE;
            }
            Some(AttemptStatus::Running) => {
                self.unanswered = 0;
                self.delay = (self.delay * 2).min(QUERY_DELAY_MAX);
            }
            None => {
                self.unanswered += 1;
                self.delay = RESPONSE_GRACE;
            }
        }
        (self.unanswered >= UNANSWERED_QUERIES_MAX).then_some(ForwardSendError::Lost)
    }
}

fn send_error(e: &hyper_util::client::legacy::Error) -> ForwardSendError {
    if e.is_connect() {
        ForwardSendError::NotSent
    } else {
        ForwardSendError::Lost
    }
}

fn http_client(idle_max: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(UNACKED_TIMEOUT));
    connector.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_max)
        .build(connector)
}
