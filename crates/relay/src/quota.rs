//! Limits of client accounts: asks the host that hands out an account's tokens in this zone, and hands
//! out those of the accounts that this host is asked for.

mod message;

use crate::{
    error::RelayError,
    gate_view::GateView,
    pool::{ConnectionPool, PoolOptions},
};
use agatehill_decide::{
    name::{AccountName, ZoneName},
    quota::{
        LedgerOptions, OwnerBackoff, QuotaLedger, QuotaReply, QuotaTolerance, TOKEN_LIFETIME,
        owner_order,
    },
    service_config::{ClientAccount, RateLimit, RouteTable},
    time::MonoTime,
};
use agatehill_peer::body::CallBody;
use agatehill_process::{budget::ListenerBudget, clock::BootClock};
use arc_swap::ArcSwapOption;
use http::{HeaderMap, Request, Response};
use message::{QuotaCommand, QuotaOutcome};
use parking_lot::{Mutex, MutexGuard};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

pub(crate) use message::QUOTA;

/// Timeout for connecting to the host that is asked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a reply from a host in the same zone, which may wait for other zones.
const TAKE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a reply from a host in another zone.
const LEND_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time that a request is delayed for the tokens of other zones.
const LOAN_WAIT_MAX: Duration = Duration::from_millis(160);
// A request that has waited for a loan must have time left to spend its token.
const _: () = assert!(2 * LOAN_WAIT_MAX.as_millis() < TOKEN_LIFETIME.as_millis());
/// Time between two checks for them.
const LOAN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two settlements of the ledger.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time in which hosts of the zone are asked one after the other.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Retry-after if none of them replies.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Options of the quotas.
#[derive(Clone, Debug)]
pub struct QuotaOptions {
    /// All availability zones that the limits are divided between, the own one included.
    pub zones: Vec<ZoneName>,
    /// What accounts may send beyond their limits.
    pub tolerance: QuotaTolerance,
    /// Address of the gate on this host.
    pub gate_addr: SocketAddr,
    /// The gates of all hosts.
    pub gates: GateView,
    /// The connections that the process may open to others.
    pub outgoing: ListenerBudget,
}

/// The quotas of client accounts at one daemon; clones share them.
#[derive(Clone)]
pub(crate) struct AccountQuotas {
    shared: Arc<QuotaShared>,
}

struct QuotaShared {
    options: QuotaOptions,
    pool: ConnectionPool,
    clock: BootClock,
    /// Whether this host stops and leaves its accounts to others.
    is_draining: AtomicBool,
    state: Mutex<QuotaState>,
}

struct QuotaState {
    ledger: QuotaLedger,
    /// The hosts of this zone, and since when they have been the same.
    hosts: Vec<SocketAddr>,
    hosts_since: MonoTime,
    backoff: OwnerBackoff,
}

impl AccountQuotas {
    /// Starts the quotas of this host.
    pub(crate) fn spawn(options: QuotaOptions) -> AccountQuotas {
        let clock = BootClock;
        let ledger_options = LedgerOptions {
            zones: u32::try_from(options.zones.len().max(1)).unwrap_or(u32::MAX),
            tolerance: options.tolerance,
        };
        let quotas = AccountQuotas {
            shared: Arc::new(QuotaShared {
                pool: ConnectionPool::open(PoolOptions {
                    budget: options.outgoing.clone(),
                    connect_timeout: CONNECT_TIMEOUT,
                    idle_timeout: IDLE_TIMEOUT,
                }),
                options,
                clock,
                is_draining: AtomicBool::new(false),
                state: Mutex::new(QuotaState {
                    ledger: QuotaLedger::new(ledger_options, clock.now()),
                    hosts: Vec::new(),
                    hosts_since: clock.now(),
                    backoff: OwnerBackoff::default(),
                }),
            }),
        };
        tokio::spawn(quotas.clone().run_maintenance());
        quotas
    }

    /// Leaves the accounts of this host to the other hosts of the zone.
    pub(crate) fn set_draining(&self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of accounts whose tokens this host hands out.
    pub(crate) fn account_count(&self) -> usize {
        self.lock().ledger.account_count()
    }

    /// Waits for a token for a request of `account`.
    ///
    /// # Errors
    ///
    /// The account has reached its limit, or no host of the zone replies.
    pub(crate) async fn take(&self, account: &ClientAccount) -> Result<(), RelayError> {
        let Some(limit) = account.limit else {
            return Ok(());
        };
        let started = self.shared.clock.now();
        for owner in self.owners(&account.name) {
            let asked_at = self.shared.clock.now();
            if asked_at.since(started) > SEARCH_TIMEOUT {
                break;
            }
            let reply = match owner == self.shared.options.gate_addr {
                true => self.take_here(&account.name, limit).await,
                false => self.take_at(owner, &account.name).await,
            };
            let wait = match reply {
                Some(QuotaReply::Granted { wait }) => wait,
                Some(QuotaReply::Denied { retry_after }) => {
                    return Err(RelayError::OverLimit { retry_after });
                }
                None => continue,
            };
            if self.wait_token(asked_at, wait).await {
                return Ok(());
            }
        }
        Err(RelayError::QuotaUnknown {
            retry_after: NO_OWNER_RETRY_AFTER,
        })
    }

    /// Handles a message of another host; `table` is the configuration in force.
    pub(crate) async fn handle(
        &self,
        headers: &HeaderMap,
        table: &ArcSwapOption<RouteTable>,
    ) -> Response<CallBody> {
        let outcome = match (QuotaCommand::read(headers), table.load_full()) {
            (Some(command), Some(table)) => self.run(command, &table).await,
            _ => None,
        };
        let outcome = outcome.unwrap_or(QuotaOutcome::Declined);
        let mut response = Response::new(CallBody::buffered(Default::default()));
        outcome.write(response.headers_mut());
        response
    }

    async fn run(&self, command: QuotaCommand, table: &RouteTable) -> Option<QuotaOutcome> {
        if self.shared.is_draining.load(Ordering::Relaxed) {
            return None;
        }
        match command {
            QuotaCommand::Take { account } => {
                let limit = limit_of(table, &account)?;
                let reply = self.take_here(&account, limit).await?;
                Some(QuotaOutcome::from(reply))
            }
            QuotaCommand::Lend { account, amount } => {
                let limit = limit_of(table, &account)?;
                let now = self.shared.clock.now();
                let amount = self.lock().ledger.lend(&account, limit, amount, now);
                Some(QuotaOutcome::Lent { amount })
            }
        }
    }

    /// Takes a token of an account that this host hands out. If there is none, waits for those of other
    /// zones that are on their way.
    async fn take_here(&self, account: &AccountName, limit: RateLimit) -> Option<QuotaReply> {
        if self.shared.is_draining.load(Ordering::Relaxed) && self.has_neighbors() {
            return None;
        }
        let started = self.shared.clock.now();
        let owned_since = self.owned_since(account, started);
        let mut reply = self
            .lock()
            .ledger
            .take(account, limit, owned_since, started);
        self.borrow(account, limit);
        while matches!(reply, QuotaReply::Denied { .. }) && self.is_loan_due(account, started) {
            tokio::time::sleep(LOAN_CHECK_INTERVAL).await;
            let now = self.shared.clock.now();
            reply = self.lock().ledger.take_again(account, limit, now);
        }
        Some(reply)
    }

    /// Returns since when this host has been the first of its zone to be asked for `account`, as far as a
    /// new bucket needs it.
    fn owned_since(&self, account: &AccountName, now: MonoTime) -> MonoTime {
        let state = self.lock();
        if state.ledger.has_bucket(account) {
            return now;
        }
        let first = owner_order(account, &state.hosts).first().copied();
        match first == Some(self.shared.options.gate_addr) {
            true => state.hosts_since,
            false => now,
        }
    }

    /// Returns whether a request that came at `started` waits for tokens that are on their way.
    fn is_loan_due(&self, account: &AccountName, started: MonoTime) -> bool {
        let now = self.shared.clock.now();
        now.since(started) < LOAN_WAIT_MAX && self.lock().ledger.is_borrowing(account, now)
    }

    async fn take_at(&self, owner: SocketAddr, account: &AccountName) -> Option<QuotaReply> {
        let command = QuotaCommand::Take {
            account: account.clone(),
        };
        let outcome = self.ask(owner, &command, TAKE_TIMEOUT).await;
        let reply = outcome.and_then(|outcome| QuotaReply::try_from(outcome).ok());
        if reply.is_none() {
            metrics::counter!("agatehill_quota_owner_failures").increment(1);
            let now = self.shared.clock.now();
            self.lock().backoff.record_failure(owner, now);
        }
        reply
    }

    /// Waits until a token exists that was asked for at `asked_at`; returns whether it is still valid
    /// after the wait, in which this process may have been paused.
    async fn wait_token(&self, asked_at: MonoTime, wait: Duration) -> bool {
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let age = self.shared.clock.now().since(asked_at);
        age <= wait + TOKEN_LIFETIME
    }

    /// Starts to ask the owners of `account` in the other zones for tokens, if they run short here.
    fn borrow(&self, account: &AccountName, limit: RateLimit) {
        let now = self.shared.clock.now();
        let amount = self.lock().ledger.begin_loan(account, limit, now);
        if let Some(amount) = amount {
            metrics::counter!("agatehill_quota_loans").increment(1);
            tokio::spawn(self.clone().collect_loan(account.clone(), amount));
        }
    }

    async fn collect_loan(self, account: AccountName, amount: u32) {
        let options = &self.shared.options;
        let others = options
            .zones
            .iter()
            .filter(|zone| *zone != options.gates.zone());
        let loans = others.map(|zone| self.borrow_from(&account, amount, zone));
        let lent = futures_util::future::join_all(loans).await;
        let now = self.shared.clock.now();
        let tokens = lent.into_iter().flatten().sum();
        self.lock().ledger.end_loan(&account, tokens, now);
    }

    async fn borrow_from(
        &self,
        account: &AccountName,
        amount: u32,
        zone: &ZoneName,
    ) -> Option<u32> {
        let mut owners = owner_order(account, &self.shared.options.gates.in_zone(zone));
        self.lock()
            .backoff
            .apply(&mut owners, self.shared.clock.now());
        let owner = *owners.first()?;
        let command = QuotaCommand::Lend {
            account: account.clone(),
            amount,
        };
        match self.ask(owner, &command, LEND_TIMEOUT).await {
            Some(QuotaOutcome::Lent { amount }) => Some(amount),
            _ => {
                let now = self.shared.clock.now();
                self.lock().backoff.record_failure(owner, now);
                None
            }
        }
    }

    async fn ask(
        &self,
        host: SocketAddr,
        command: &QuotaCommand,
        limit: Duration,
    ) -> Option<QuotaOutcome> {
        let mut req = Request::new(CallBody::buffered(Default::default()));
        command.write(req.headers_mut());
        let exchange = async {
            let response = self.shared.pool.send(host, req).await.ok()?;
            let (head, _) = response.read((), None).await.ok()?;
            QuotaOutcome::read(&head.headers)
        };
        let outcome = tokio::time::timeout(limit, exchange).await.ok().flatten();
        if outcome.is_none() {
            // What kept the reply away may keep away those on all connections that are open now.
            self.shared.pool.close_idle(host);
        }
        outcome
    }

    /// Returns the hosts of this zone in the order in which they are asked for `account`. A host that the
    /// others don't ask hands out tokens itself only if none of them replies.
    fn owners(&self, account: &AccountName) -> Vec<SocketAddr> {
        let options = &self.shared.options;
        let hosts = options.gates.in_zone(options.gates.zone());
        let mut order = owner_order(account, &hosts);
        let now = self.shared.clock.now();
        self.lock().backoff.apply(&mut order, now);
        if !order.contains(&options.gate_addr) {
            order.push(options.gate_addr);
        }
        order
    }

    fn has_neighbors(&self) -> bool {
        let options = &self.shared.options;
        let hosts = options.gates.in_zone(options.gates.zone());
        hosts.iter().any(|host| *host != options.gate_addr)
    }

    async fn run_maintenance(self) {
        loop {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            let now = self.shared.clock.now();
            self.note_hosts(now);
            self.lock().ledger.settle(now);
            self.shared.pool.close_expired();
        }
    }

    fn note_hosts(&self, now: MonoTime) {
        let options = &self.shared.options;
        let mut hosts = options.gates.in_zone(options.gates.zone());
        hosts.sort_unstable();
        let mut state = self.lock();
        if state.hosts != hosts {
            state.hosts = hosts;
            state.hosts_since = now;
        }
    }

    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.shared.state.lock()
    }
}

fn limit_of(table: &RouteTable, account: &AccountName) -> Option<RateLimit> {
    table.account(account.as_str())?.limit
}
