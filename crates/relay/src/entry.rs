//! The entry of a daemon: accepts requests from callers on this host, and requests that the entries
//! of other daemons forward to the backend server on this host.

mod forward;

use crate::{
    call::RequestCall,
    decision_log::DecisionLog,
    gate::RequestGate,
    gate_view::GateView,
    headers::HeaderNames,
    notice::KnownNotices,
    pool::{ConnectionPool, PoolOptions},
    quota::{AccountQuotas, QuotaOptions},
};
use agatehill_decide::{
    gate_selection::{GateSelector, RouteKey},
    name::{ServiceName, ZoneName},
    quota::QuotaTolerance,
    service_config::{ClientAccount, RouteRule, RouteTable},
    service_retry_budget::ServiceRetryBudget,
    weighted_round_robin::WeightedRoundRobin,
};
use agatehill_peer::body::CallBody;
use agatehill_process::{budget::ListenerBudget, clock::MonoClock};
use arc_swap::ArcSwapOption;
use gotham::helpers::http::Body;
use http::{HeaderValue, Request, Response, header::CONNECTION};
use parking_lot::{Mutex, MutexGuard};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Timeout for connecting to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an idle connection to another daemon is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two removals of expired connections.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Options of an entry.
pub struct EntryOptions {
    /// Header names of the protocol with callers and servers.
    pub names: Arc<HeaderNames>,
    /// The service on this host, named as the caller of requests from this host.
    pub service: ServiceName,
    /// Address of the gate on this host, as [`GateView`] lists it.
    pub gate_addr: SocketAddr,
    /// The gate on this host.
    pub gate: RequestGate,
    /// The gates of all hosts.
    pub gates: GateView,
    /// All availability zones, between which limits of client accounts are divided.
    pub zones: Vec<ZoneName>,
    /// What client accounts may send beyond their limits.
    pub quota_tolerance: QuotaTolerance,
    /// What callers may hold.
    pub callers: ListenerBudget,
    /// What other daemons may hold.
    pub daemons: ListenerBudget,
    /// The connections that the process may open to others.
    pub outgoing: ListenerBudget,
    /// Records the decisions.
    pub log: Arc<DecisionLog>,
    /// Clock of deadlines and measured times.
    pub clock: MonoClock,
}

/// The entry of this host.
pub struct RequestEntry {
    pub(crate) options: EntryOptions,
    pub(crate) pool: ConnectionPool,
    pub(crate) quotas: AccountQuotas,
    pub(crate) table: ArcSwapOption<RouteTable>,
    state: Mutex<EntryState>,
    is_draining: AtomicBool,
    is_closed: AtomicBool,
}

/// State that requests of an entry share.
#[derive(Default)]
pub(crate) struct EntryState {
    pub(crate) selector: GateSelector,
    pub(crate) retry_budget: ServiceRetryBudget,
    pub(crate) notices: KnownNotices,
    /// Gates that run no request before they have its whole body, and say when they begin to read it.
    holding_gates: HashSet<SocketAddr>,
    round_robins: HashMap<RouteKey, WeightedRoundRobin>,
}

impl RequestEntry {
    /// Starts an entry without a configuration.
    pub fn spawn(options: EntryOptions) -> Arc<RequestEntry> {
        let quotas = AccountQuotas::spawn(QuotaOptions {
            outgoing: options.outgoing.clone(),
            zones: options.zones.clone(),
            tolerance: options.quota_tolerance,
            gate_addr: options.gate_addr,
            gates: options.gates.clone(),
        });
        let entry = Arc::new(RequestEntry {
            quotas,
            pool: ConnectionPool::open(PoolOptions {
                budget: options.outgoing.clone(),
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
            }),
            options,
            table: ArcSwapOption::empty(),
            state: Mutex::default(),
            is_draining: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
        });
        tokio::spawn(close_expired(entry.pool.clone()));
        entry
    }

    /// Puts a configuration in force.
    pub fn set_table(&self, table: RouteTable) {
        self.table.store(Some(Arc::new(table)));
    }

    /// Returns whether a configuration is in force.
    pub fn has_table(&self) -> bool {
        self.table.load().is_some()
    }

    /// Returns the version of the configuration in force, 0 without one.
    pub fn config_version(&self) -> u64 {
        let table = self.table.load();
        table.as_ref().map_or(0, |table| table.config().version)
    }

    /// Returns whether the configuration in force names `service`; `None` without a configuration.
    pub fn has_service(&self, service: &ServiceName) -> Option<bool> {
        let table = self.table.load();
        Some(table.as_ref()?.has_service(service))
    }

    /// Returns the client accounts of the configuration in force; their keys are digests.
    pub fn accounts(&self) -> Vec<ClientAccount> {
        let table = self.table.load();
        let accounts = table.as_ref().map(|table| table.config().accounts.clone());
        accounts.unwrap_or_default()
    }

    /// Returns the number of client accounts whose tokens this host hands out.
    pub fn quota_count(&self) -> usize {
        self.quotas.account_count()
    }

    /// Sets `Connection: close` on every later response to callers, and leaves the limits of client
    /// accounts to other hosts.
    pub fn set_draining(&self) {
        self.quotas.set_draining();
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Refuses requests of callers that have not been sent on yet. Calls of the server on this host go on, as
    /// the requests that they belong to are in flight.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Returns whether requests of callers are refused.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Returns what callers and what other daemons may hold.
    pub fn budgets(&self) -> (ListenerBudget, ListenerBudget) {
        (self.options.callers.clone(), self.options.daemons.clone())
    }

    /// Returns the gate on this host.
    pub fn gate(&self) -> &RequestGate {
        &self.options.gate
    }

    /// Handles a request of a caller or of the server on this host, whose end of the connection is
    /// `sender`.
    pub async fn handle_call(&self, req: Request<Body>, sender: SocketAddr) -> Response<CallBody> {
        let (head, body) = req.into_parts();
        let mut response = RequestCall::new(self, head, sender).respond(body).await;
        if self.is_draining.load(Ordering::Relaxed) {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns the service that the next request of `rule` goes to.
    pub(crate) fn pick_service(&self, rule: &RouteRule, route: RouteKey) -> ServiceName {
        let mut state = self.lock();
        let round_robin = state.round_robins.entry(route).or_default();
        let idx = round_robin.next_index(&rule.weighted_services);
        rule.weighted_services[idx].service.clone()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock()
    }
}

async fn close_expired(pool: ConnectionPool) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        pool.close_expired();
    }
}
