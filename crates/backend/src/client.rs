//! HTTP calls to a backend server on this host, over connections that are replaced when silent.

use agatehill_decide::stall_detector::{CallSequence, STALL_WAIT_MIN, StallDetector};
use agatehill_peer::{body::CallBody, forward::absolute_uri};
use arc_swap::ArcSwap;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Time after which an unused pooled connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Time to open a connection on this host.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Time between two looks at whether a connection has gone silent.
const SILENCE_INTERVAL: Duration = Duration::from_millis(250);

type HttpClient = Client<HttpConnector, CallBody>;
type LinkMap = HashMap<SocketAddr, Arc<ServerLink>>;

/// How a call to a backend server failed on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The call was never sent.
    NotSent,
    /// The call was sent and its answer did not come whole.
    Lost,
}

/// Calls backend servers over pooled connections.
#[derive(Clone, Debug, Default)]
pub struct BackendClient {
    links: Arc<ArcSwap<LinkMap>>,
}

/// The pooled connections to one backend server, and its latest answers.
#[derive(Debug)]
struct ServerLink {
    client: HttpClient,
    /// The same over all links to the server.
    ledger: Arc<Mutex<StallDetector>>,
}

impl BackendClient {
    /// Opens a client with an empty connection pool.
    pub fn open() -> BackendClient {
        BackendClient::default()
    }

    /// Sends `req` to the backend server at `addr`.
    ///
    /// A call whose connection seems to be silent is given up after `patience`, so that it can be
    /// tried elsewhere; without one it waits on, as only the answer tells what became of it.
    ///
    /// # Errors
    ///
    /// No answer came; the failure tells whether the call was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<CallBody>,
        patience: Option<Duration>,
    ) -> Result<Response<Incoming>, CallFailure> {
        *req.uri_mut() = absolute_uri(addr, req.uri());
        let link = self.link(addr);
        let mut call = PendingCall::begin(self, addr, &link);
        let mut sent = pin!(link.client.request(req));
        loop {
            tokio::select! {
                answer = &mut sent => return call.answered(answer),
                () = tokio::time::sleep(SILENCE_INTERVAL) => {
                    if call.is_silent() {
                        self.replace(addr, &link);
                        if patience.is_some_and(|span| call.began.elapsed() >= span) {
                            return Err(CallFailure::Lost);
                        }
                    }
                }
            }
        }
    }

    fn link(&self, addr: SocketAddr) -> Arc<ServerLink> {
        if let Some(link) = self.links.load().get(&addr) {
            return link.clone();
        }
        let fresh = Arc::new(ServerLink::open(Arc::default()));
        self.links.rcu(|links| {
            let mut links = LinkMap::clone(links);
            links.entry(addr).or_insert_with(|| fresh.clone());
            links
        });
        self.links.load().get(&addr).cloned().unwrap_or(fresh)
    }

    /// Gives up the connections of `silent`, unless they have been replaced already.
    fn replace(&self, addr: SocketAddr, silent: &Arc<ServerLink>) {
        let is_silent = |links: &LinkMap| {
            let link = links.get(&addr);
            link.is_some_and(|link| Arc::ptr_eq(link, silent))
        };
        if !is_silent(&self.links.load()) {
            return;
        }
        metrics::counter!("agatehill_backend_links_replaced_total").increment(1);
        let fresh = Arc::new(ServerLink::open(silent.ledger.clone()));
        self.links.rcu(|links| {
            let mut links = LinkMap::clone(links);
            if is_silent(&links) {
                links.insert(addr, fresh.clone());
            }
            links
        });
    }
}

impl ServerLink {
    fn open(ledger: Arc<Mutex<StallDetector>>) -> ServerLink {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .build(connector);
        ServerLink { client, ledger }
    }

    fn ledger(&self) -> MutexGuard<'_, StallDetector> {
        self.ledger.lock().expect("no holder of a ledger panics")
    }
}

/// A call without an answer. Dropped as such, it gives up the link's connections if none has
/// answered since it began: its time may have run out because they are silent.
struct PendingCall<'a> {
    client: &'a BackendClient,
    addr: SocketAddr,
    link: &'a Arc<ServerLink>,
    order: CallSequence,
    began: Instant,
    is_answered: bool,
}

impl<'a> PendingCall<'a> {
    fn begin(
        client: &'a BackendClient,
        addr: SocketAddr,
        link: &'a Arc<ServerLink>,
    ) -> PendingCall<'a> {
        PendingCall {
            client,
            addr,
            link,
            order: link.ledger().start_call(),
            began: Instant::now(),
            is_answered: false,
        }
    }

    fn is_silent(&self) -> bool {
        self.link
            .ledger()
            .is_stalled(self.order, self.began.elapsed())
    }

    fn answered(
        &mut self,
        answer: Result<Response<Incoming>, hyper_util::client::legacy::Error>,
    ) -> Result<Response<Incoming>, CallFailure> {
        self.is_answered = true;
        if answer.is_ok() {
            self.link
                .ledger()
                .record_answer(self.order, self.began.elapsed());
        }
        answer.map_err(|e| {
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
        if self.is_answered || self.began.elapsed() < STALL_WAIT_MIN {
            return;
        }
        if self.link.ledger().lacks_later_answer(self.order) {
            self.client.replace(self.addr, self.link);
        }
    }
}
