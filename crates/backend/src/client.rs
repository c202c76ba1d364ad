//! HTTP client for the backend servers on this host; replaces stalled connections.

use agatehill_decide::stall_detector::{CallSequence, STALL_WAIT_MIN, StallDetector};
use agatehill_peer::{body::CallBody, forward::absolute_uri};
use arc_swap::ArcSwap;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use parking_lot::{Mutex, MutexGuard};
use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for opening a connection on this host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest buffer of a connection, in bytes; also the largest response head.
const READ_BUFFER_BYTES_MAX: usize = 64 * 1024;
/// Time between two checks of a pending call for a stalled connection.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

type HttpClient = Client<HttpConnector, CallBody>;
type PoolMap = HashMap<SocketAddr, Arc<ServerPool>>;

/// Why a call to a backend server has no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The request was never sent.
    NotSent,
    /// The request was sent and the response did not arrive completely.
    Lost,
}

/// Calls backend servers over pooled connections.
#[derive(Clone, Debug, Default)]
pub struct BackendClient {
    pools: Arc<ArcSwap<PoolMap>>,
}

/// The pooled connections to one backend server and the detector of stalled ones.
#[derive(Debug)]
struct ServerPool {
    client: HttpClient,
    /// Carried over when the pool is replaced.
    detector: Arc<Mutex<StallDetector>>,
}

impl BackendClient {
    /// Opens a client with an empty connection pool.
    pub fn open() -> BackendClient {
        BackendClient::default()
    }

    /// Sends `req` to the backend server at `addr`.
    ///
    /// A call on a connection that seems stalled is abandoned after `stall_timeout`, so that it can
    /// be retried elsewhere. Without a timeout it keeps waiting, as only the response tells whether
    /// the request ran.
    ///
    /// # Errors
    ///
    /// No response came; the failure tells whether the request was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<CallBody>,
        stall_timeout: Option<Duration>,
    ) -> Result<Response<Incoming>, CallFailure> {
        *req.uri_mut() = absolute_uri(addr, req.uri());
        let pool = self.pool(addr);
        let mut call = PendingCall::begin(self, addr, &pool);
        let mut sent = pin!(pool.client.request(req));
        loop {
            tokio::select! {
                result = &mut sent => return call.record_result(result),
                () = tokio::time::sleep(STALL_CHECK_INTERVAL) => {
                    if call.is_stalled() {
                        self.replace(addr, &pool);
                        if stall_timeout.is_some_and(|timeout| call.started.elapsed() >= timeout) {
                            return Err(CallFailure::Lost);
                        }
                    }
                }
            }
        }
    }

    fn pool(&self, addr: SocketAddr) -> Arc<ServerPool> {
        if let Some(pool) = self.pools.load().get(&addr) {
            return pool.clone();
        }
        let created = Arc::new(ServerPool::open(Arc::default()));
        self.pools.rcu(|pools| {
            let mut pools = PoolMap::clone(pools);
            pools.entry(addr).or_insert_with(|| created.clone());
            pools
        });
        self.pools.load().get(&addr).cloned().unwrap_or(created)
    }

    /// Replaces the pool `stalled` by an empty one, unless it has been replaced already.
    fn replace(&self, addr: SocketAddr, stalled: &Arc<ServerPool>) {
        let is_current = |pools: &PoolMap| {
            let pool = pools.get(&addr);
            pool.is_some_and(|pool| Arc::ptr_eq(pool, stalled))
        };
        if !is_current(&self.pools.load()) {
            return;
        }
        metrics::counter!("agatehill_backend_links_replaced_total").increment(1);
        let replacement = Arc::new(ServerPool::open(stalled.detector.clone()));
        self.pools.rcu(|pools| {
            let mut pools = PoolMap::clone(pools);
            if is_current(&pools) {
                pools.insert(addr, replacement.clone());
            }
            pools
        });
    }
}

impl ServerPool {
    fn open(detector: Arc<Mutex<StallDetector>>) -> ServerPool {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .http1_max_buf_size(READ_BUFFER_BYTES_MAX)
            .build(connector);
        ServerPool { client, detector }
    }

    fn detector(&self) -> MutexGuard<'_, StallDetector> {
        self.detector.lock()
    }
}

/// A call that waits for its response.
///
/// If it is dropped first and no call that began later was answered, its pool is replaced: the
/// time may have run out because the connections are stalled.
struct PendingCall<'a> {
    client: &'a BackendClient,
    addr: SocketAddr,
    pool: &'a Arc<ServerPool>,
    sequence: CallSequence,
    started: Instant,
    is_answered: bool,
}

impl<'a> PendingCall<'a> {
    fn begin(
        client: &'a BackendClient,
        addr: SocketAddr,
        pool: &'a Arc<ServerPool>,
    ) -> PendingCall<'a> {
        PendingCall {
            client,
            addr,
            pool,
            sequence: pool.detector().start_call(),
            started: Instant::now(),
            is_answered: false,
        }
    }

    fn is_stalled(&self) -> bool {
        self.pool
            .detector()
            .is_stalled(self.sequence, self.started.elapsed())
    }

    fn record_result(
        &mut self,
        result: Result<Response<Incoming>, hyper_util::client::legacy::Error>,
    ) -> Result<Response<Incoming>, CallFailure> {
        self.is_answered = true;
        if result.is_ok() {
            self.pool
                .detector()
                .record_answer(self.sequence, self.started.elapsed());
        }
        result.map_err(|e| {
            if e.is_connect() {
                CallFailure::NotSent
            } else {
                CallFailure::Lost
            }
        })
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if self.is_answered || self.started.elapsed() < STALL_WAIT_MIN {
            return;
        }
        if self.pool.detector().lacks_later_answer(self.sequence) {
            self.client.replace(self.addr, self.pool);
        }
    }
}
