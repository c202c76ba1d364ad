//! `agatehill-daemon serve SETTINGS`: runs the daemon until SIGTERM or `POST /drain`.
//!
//! Prints one line on standard output once it accepts calls:
//! `ready caller=ADDR forward=ADDR announce=ADDR operator=ADDR`.
//! Exits with 0 after a graceful stop and with 1 when it can't start.

use crate::{
    budget::DaemonBudget, dump::DaemonDump, feed::ContractFeed, route_updater::RouteUpdater,
};
use agatehill_backend::{
    announce,
    at_most_once::{ClaimRunner, KeeperClaims},
    attempt_tracker::AttemptTracker,
    gate::CallGate,
    quarantine::{QuarantineMonitor, QuarantineOptions, ZoneQuarantine, ZoneTransport},
    registry::ServerRegistry,
};
use agatehill_caller::{
    attempt::AttemptRunner,
    contracts::ContractView,
    entry::CallEntry,
    handler::{caller_router, forward_handler},
    levels::EntryLevels,
    routes::RouteView,
};
use agatehill_config::DaemonSettings;
use agatehill_decide::{name::Incarnation, retry::AttemptCounter};
use agatehill_operator::inspect::inspect_routes;
use agatehill_peer::{
    forward_client::ForwardClient, gossip::PeerSnapshot, keeper_client::KeeperClient,
};
use agatehill_process::{
    budget::ListenerBudget,
    clock::MonoClock,
    connection::SharedLimits,
    drain::DrainSignal,
    health::{self, ReadyFlag},
    serve::HttpServer,
};
use eyre::WrapErr;
use gotham::router::{Router, build_simple_router};
use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, SystemTime},
};
use tokio::{sync::watch, time::timeout};

/// Time for which a stopping daemon still accepts calls while others learn that it leaves.
const LEAVE_DELAY: Duration = Duration::from_millis(1_500);

/// Longest wait for runs that continue without a caller to end and to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(15);

/// Most request ids whose attempts are counted.
const COUNTED_REQUESTS_MAX: usize = 1 << 16;
/// Time for which the attempts of a request id are counted.
const ATTEMPT_COUNT_RETENTION: Duration = Duration::from_secs(60);

/// Arguments of the command.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Settings file in TOML.
    settings: PathBuf,
}

/// The HTTP listeners of a daemon.
struct DaemonListeners {
    caller: HttpServer,
    forward: HttpServer,
    announce: HttpServer,
    operator: HttpServer,
}

pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let settings: DaemonSettings = agatehill_config::load(&args.settings)?;
    agatehill_config::log::init(&settings.log)?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: DaemonSettings) -> eyre::Result<()> {
    let clock = MonoClock::open();
    let drain = DrainSignal::open().wrap_err("cannot listen for signals")?;
    let ready = ReadyFlag::default();
    let keepers = KeeperClient::open(settings.keepers.clone());
    let budget = DaemonBudget::open(&settings.limits);
    let entry = Arc::new(open_entry(&settings, &keepers, clock, &budget));
    let forward = bind_forward(&settings, &entry).await?;
    let feed = ContractFeed::open(keepers, entry.contracts.clone());
    let updater = join(
        &settings,
        &entry,
        forward.local_addr(),
        &feed,
        budget.control,
    )
    .await?;
    let dump = DaemonDump::new(&settings, entry.clone(), updater.subscribe());
    let operators = operator_router(dump, ready.clone(), drain.clone());
    let budgets = (budget.servers, budget.operators);
    let listeners = bind(&settings, &entry, forward, operators, budgets).await?;
    tokio::spawn(budget.all.report());

    let quarantine = entry.runner.gate.quarantine().clone();
    tokio::spawn(follow_peers(updater.subscribe(), quarantine));
    let seeds: Vec<_> = settings.seeds.iter().map(|seed| seed.control).collect();
    tokio::select! {
        () = feed.catch_up(&seeds) => {}
        // Stopped before it accepted calls: nothing is in flight.
        () = drain.wait() => return Ok(()),
    }
    feed.spawn(updater.subscribe());
    ready.set(true);
    println!("ready {}", listeners.addresses());
    spdlog::info!(
        "daemon {} accepts calls at {}",
        settings.name,
        listeners.caller.local_addr()
    );

    drain.wait().await;
    spdlog::info!("daemon {} is stopping gracefully", settings.name);
    updater.announce_leaving();
    tokio::time::sleep(LEAVE_DELAY).await;
    listeners.stop().await;
    updater.leave().await;
    if timeout(RECORD_TIMEOUT, entry.runner.gate.wait_recorded())
        .await
        .is_err()
    {
        spdlog::warn!(
            "some runs were not recorded; their outcome will be reported as unknown to resends"
        );
    }
    spdlog::info!("daemon {} has stopped", settings.name);
    Ok(())
}

fn open_entry(
    settings: &DaemonSettings,
    keepers: &KeeperClient,
    clock: MonoClock,
    budget: &DaemonBudget,
) -> CallEntry {
    let store = KeeperClaims::open(keepers.clone());
    let incarnation = incarnation();
    let claims = ClaimRunner::open(store, settings.name.clone(), incarnation);
    let quarantine = QuarantineMonitor::spawn(
        settings.name.clone(),
        incarnation,
        clock,
        QuarantineOptions::ZONE,
        ZoneTransport::open(),
    );
    let registry = Arc::new(ServerRegistry::open(clock));
    let runner = AttemptRunner {
        daemon: settings.name.clone(),
        routes: RouteView::default(),
        gate: CallGate::open(registry, claims, quarantine, clock),
        forward: ForwardClient::open(),
    };
    CallEntry {
        contracts: ContractView::default(),
        runner,
        tracker: AttemptTracker::open(clock),
        resends: Arc::new(Mutex::new(AttemptCounter::new(
            COUNTED_REQUESTS_MAX,
            ATTEMPT_COUNT_RETENTION,
        ))),
        levels: EntryLevels::default(),
        body_bytes_max: settings.limits.body_bytes_max,
        callers: budget.callers.clone(),
        daemons: budget.daemons.clone(),
    }
}

async fn bind_forward(
    settings: &DaemonSettings,
    entry: &Arc<CallEntry>,
) -> eyre::Result<HttpServer> {
    let addr = settings.listen.forward;
    let (handler, budget) = (forward_handler(entry.clone()), entry.daemons.clone());
    HttpServer::bind_within(addr, handler, SharedLimits::default(), budget)
        .await
        .wrap_err_with(|| format!("cannot bind listen.forward {addr}"))
}

async fn join(
    settings: &DaemonSettings,
    entry: &CallEntry,
    forward: SocketAddr,
    feed: &ContractFeed,
    budget: ListenerBudget,
) -> eyre::Result<RouteUpdater> {
    let runner = &entry.runner;
    let (registry, routes) = (runner.gate.registry(), runner.routes.clone());
    let listen = settings.listen;
    let (contracts, clock) = (feed.subscribe(), runner.gate.clock());
    RouteUpdater::bind(
        settings, registry, routes, forward, contracts, clock, budget,
    )
    .await
    .wrap_err_with(|| {
        format!(
            "cannot bind listen.gossip {} or listen.control {}",
            listen.gossip, listen.control
        )
    })
}

/// Keeps the quarantine monitor's list of peers up to date.
async fn follow_peers(mut view: watch::Receiver<Arc<PeerSnapshot>>, quarantine: ZoneQuarantine) {
    loop {
        let snapshot = view.borrow_and_update().clone();
        let members = snapshot.members.iter();
        let peers = members.map(|member| member.record.forward).collect();
        quarantine.set_peers(peers).await;
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Returns a number for this run of the daemon, larger than those of earlier runs.
///
/// If the clock was set back, claims reject the number and return one that is large enough.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(since.map_or(0, |since| since.as_micros() as u64))
}

async fn bind(
    settings: &DaemonSettings,
    entry: &Arc<CallEntry>,
    forward: HttpServer,
    operators: Router,
    (server_budget, operator_budget): (ListenerBudget, ListenerBudget),
) -> eyre::Result<DaemonListeners> {
    let listen = settings.listen;
    let gate = &entry.runner.gate;
    let announce = announce::router(gate.registry().clone());
    let callers = caller_router(entry.clone());
    let (limits, budget) = (SharedLimits::default(), entry.callers.clone());
    Ok(DaemonListeners {
        caller: HttpServer::bind_within(listen.caller, callers, limits.clone(), budget)
            .await
            .wrap_err_with(|| format!("cannot bind listen.caller {}", listen.caller))?,
        forward,
        announce: HttpServer::bind_within(listen.announce, announce, limits.clone(), server_budget)
            .await
            .wrap_err_with(|| format!("cannot bind listen.announce {}", listen.announce))?,
        operator: HttpServer::bind_within(listen.operator, operators, limits, operator_budget)
            .await
            .wrap_err_with(|| format!("cannot bind listen.operator {}", listen.operator))?,
    })
}

fn operator_router(dump: DaemonDump, ready: ReadyFlag, drain: DrainSignal) -> Router {
    build_simple_router(|route| {
        health::add_routes(route, ready, drain);
        inspect_routes(route, dump);
    })
}

impl DaemonListeners {
    fn addresses(&self) -> String {
        format!(
            "caller={} forward={} announce={} operator={}",
            self.caller.local_addr(),
            self.forward.local_addr(),
            self.announce.local_addr(),
            self.operator.local_addr()
        )
    }

    /// Stops the listeners and waits until every call in flight is answered.
    async fn stop(self) {
        self.caller.stop().await;
        self.forward.stop().await;
        self.announce.stop().await;
        self.operator.stop().await;
    }
}
