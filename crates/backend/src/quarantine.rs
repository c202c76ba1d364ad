//! Stops requests that crash backend servers before they crash more of them.
//!
//! Drives [`QuarantineState`] and [`ServerRuns`] for the calls at this daemon's gates. When a call
//! loses its connection, the server is probed; if nothing listens any more, it has crashed.

mod detection;
mod guard;
mod probe;
mod transport;

use agatehill_decide::{
    name::{DaemonName, Incarnation},
    quarantine::{
        CrashId, CrashReport, QUARANTINE_DURATION, QuarantineState, RequestContent,
        RequestFingerprint, RunDecision, ServerRuns,
    },
    time::MonoTime,
};
use agatehill_process::clock::MonoClock;
use parking_lot::{Mutex, MutexGuard};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::sleep;

use detection::ServerProbe;
pub use guard::QuarantineGuard;
pub use transport::{CrashReportQueue, CrashReportTransport, ZoneTransport};

/// Time between two removals of expired suspects.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Time without a response after which a request may have crashed a server that misses its heartbeats;
/// longer than most requests run.
const SILENCE_TIME: Duration = Duration::from_secs(1);
/// The quarantine of an availability zone, which its daemons keep among themselves.
pub type ZoneQuarantine = QuarantineMonitor<ZoneTransport>;
/// The quarantine of a deployment, which the keepers hand on.
pub type FleetQuarantine = QuarantineMonitor<CrashReportQueue>;

/// Why a suspect was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineRefusal {
    /// The request has crashed servers; holds the remaining time of its quarantine.
    Quarantined(Duration),
    /// The deadline passed before the suspect could be run.
    Deadline,
}

/// How strictly a monitor bounds the number of crashes.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineOptions {
    /// Duration of the quarantine after the second strike.
    pub first_quarantine: Duration,
    /// Whether a strike is recorded at all daemons before a suspect runs. Needed where several gates
    /// may run the same suspect at once.
    pub records_ahead: bool,
    /// Longest time for which a lost call waits for a response to another one, which shows that the
    /// server still runs, before the server is probed.
    pub response_wait: Duration,
    /// Time for which a probing connection must stay open for the server to count as running.
    pub probe_open_time: Duration,
}

impl QuarantineOptions {
    /// At most two crashes in the zone, for a broadcast before each run of a suspect.
    pub const ZONE: QuarantineOptions = QuarantineOptions {
        first_quarantine: QUARANTINE_DURATION,
        records_ahead: true,
        response_wait: Duration::ZERO,
        probe_open_time: Duration::from_millis(300),
    };
    /// At most three crashes once all daemons know of them, without a message before a run and
    /// mostly without a probe after a lost connection.
    pub const FLEET: QuarantineOptions = QuarantineOptions {
        // A caller that waits for a response is still there; crashed servers are mostly back.
        first_quarantine: Duration::from_secs(5),
        records_ahead: false,
        response_wait: Duration::from_millis(40),
        probe_open_time: Duration::from_millis(40),
    };
}

/// Monitors the requests in flight at this daemon's servers and the suspects that are known.
#[derive(Clone, Debug)]
pub struct QuarantineMonitor<T: CrashReportTransport> {
    shared: Arc<MonitorShared<T>>,
}

#[derive(Debug)]
struct MonitorShared<T> {
    clock: MonoClock,
    options: QuarantineOptions,
    state: Mutex<MonitorState>,
    /// Whether `quarantine` holds any request; lets ordinary calls skip the lock.
    has_suspects: AtomicBool,
    transport: T,
    /// Held while a crash is recorded and broadcast.
    broadcast: tokio::sync::Mutex<()>,
}

#[derive(Debug)]
struct MonitorState {
    daemon: DaemonName,
    incarnation: Incarnation,
    quarantine: QuarantineState,
    servers: HashMap<SocketAddr, MonitoredServer>,
    /// Number of crash ids assigned so far.
    crash_ids: u64,
}

/// A server whose requests in flight are monitored.
#[derive(Debug)]
struct MonitoredServer {
    runs: ServerRuns,
    /// Locked during a probe, so that calls lost meanwhile wait for its result.
    last_probe: Arc<tokio::sync::Mutex<Option<ServerProbe>>>,
}

impl QuarantineMonitor<ZoneTransport> {
    /// Sets the forward addresses of the zone's other daemons; new ones are sent all strikes.
    pub async fn set_peers(&self, peers: Vec<SocketAddr>) {
        let new = self.shared.transport.set_peers(peers);
        self.shared.transport.send_to(&new, &self.reports()).await;
    }

    /// Merges the strikes that a peer of the zone has sent.
    ///
    /// Returns the strikes to reply with: those for the crashes that the same requests, if in
    /// flight here, may cause.
    pub fn exchange_strikes(&self, reports: &[CrashReport]) -> Vec<CrashReport> {
        self.shared.change(|state, now| {
            let mut own = Vec::new();
            for report in reports {
                if state.quarantine.merge(now, *report) && !report.cleared {
                    own.extend(state.strike_running(now, report.fingerprint));
                }
            }
            own
        })
    }
}

impl QuarantineMonitor<CrashReportQueue> {
    /// Merges strikes that came with a request or its response; queues those that were new, because
    /// their sender may be cut off from the keepers.
    pub fn learn(&self, reports: &[CrashReport]) {
        let new = self.merge(reports);
        if !new.is_empty() {
            self.transport().push(new);
        }
    }
}

impl<T: CrashReportTransport> QuarantineMonitor<T> {
    /// Opens the monitor of one run of a daemon and spawns the removal of expired suspects.
    pub fn spawn(
        daemon: DaemonName,
        incarnation: Incarnation,
        clock: MonoClock,
        options: QuarantineOptions,
        transport: T,
    ) -> QuarantineMonitor<T> {
        let state = MonitorState {
            daemon,
            incarnation,
            quarantine: QuarantineState::new(options.first_quarantine),
            servers: HashMap::new(),
            crash_ids: 0,
        };
        let shared = Arc::new(MonitorShared {
            clock,
            options,
            state: Mutex::new(state),
            has_suspects: AtomicBool::new(false),
            transport,
            broadcast: tokio::sync::Mutex::default(),
        });
        let weak = Arc::downgrade(&shared);
        tokio::spawn(async move {
            while let Some(shared) = weak.upgrade() {
                let suspects = shared.change(|state, now| {
                    state.quarantine.remove_expired(now);
                    state.quarantine.len()
                });
                metrics::gauge!("agatehill_quarantine_suspects").set(suspects as f64);
                drop(shared);
                sleep(EXPIRY_INTERVAL).await;
            }
        });
        QuarantineMonitor { shared }
    }

    /// Returns what carries the reports of this daemon to the others.
    pub fn transport(&self) -> &T {
        &self.shared.transport
    }

    /// Merges strikes without a reply; returns those that were new.
    pub fn merge(&self, reports: &[CrashReport]) -> Vec<CrashReport> {
        if reports.is_empty() {
            return Vec::new();
        }
        self.shared.change(|state, now| {
            let is_new = |report: &CrashReport| state.quarantine.merge(now, *report);
            reports.iter().copied().filter(is_new).collect()
        })
    }

    /// Returns reports of all strikes.
    pub fn reports(&self) -> Vec<CrashReport> {
        let now = self.shared.clock.now();
        self.shared.lock().quarantine.reports(now).collect()
    }

    /// Returns reports of the strikes of one request and its group.
    pub fn reports_of(&self, content: RequestContent) -> Vec<CrashReport> {
        let now = self.shared.clock.now();
        let state = self.shared.lock();
        let reports_of = |fingerprint| state.quarantine.reports_of(now, fingerprint);
        content.fingerprints().flat_map(reports_of).collect()
    }

    /// Returns a digest of all strikes.
    pub fn digest(&self) -> u64 {
        self.shared.lock().quarantine.digest()
    }

    /// Returns the number of requests with strikes, cleared ones included.
    pub fn suspect_count(&self) -> usize {
        self.shared.lock().quarantine.len()
    }

    /// Returns whether any request has strikes, cleared ones included. Costs no lock.
    pub fn has_suspects(&self) -> bool {
        self.shared.has_suspects.load(Ordering::Acquire)
    }

    /// Returns how a request may run, before its server is selected.
    pub fn decide(&self, content: RequestContent) -> RunDecision {
        if !self.has_suspects() {
            return RunDecision::Unrestricted;
        }
        let now = self.shared.clock.now();
        self.shared.lock().quarantine.decide_content(now, content)
    }

    /// Returns the fingerprint that selects the gate for a request that must run serially.
    pub fn serial_fingerprint(&self, content: RequestContent) -> RequestFingerprint {
        let now = self.shared.clock.now();
        let state = self.shared.lock();
        state.quarantine.serial_fingerprint(now, content)
    }

    /// Returns the guard of a call to the server at `addr`.
    pub fn guard(&self, addr: SocketAddr, content: RequestContent) -> QuarantineGuard<T> {
        QuarantineGuard::new(self.shared.clone(), addr, content)
    }

    /// Records that the server at `addr` has started anew without leaving first: it has crashed.
    pub async fn record_restart(&self, addr: SocketAddr) {
        self.shared.record_crash(addr).await;
    }

    /// Records that the server at `addr` leaves as planned.
    pub async fn record_leave(&self, addr: SocketAddr) {
        let reports = self.shared.change(|state, now| {
            state.runs_at(addr).record_response(now);
            state.end_silence(addr, now)
        });
        self.shared.broadcast(reports).await;
    }

    /// Records that the server at `addr` has shown that it runs, without a response to a request.
    pub async fn record_alive(&self, addr: SocketAddr) {
        let reports = self.shared.change(|state, now| {
            state.runs_at(addr).record_alive(now);
            state.end_silence(addr, now)
        });
        self.shared.broadcast(reports).await;
    }

    /// Records that the server at `addr` has missed its heartbeats: it may have crashed without
    /// closing its connections. Strikes the requests that were sent [`SILENCE_TIME`] ago or earlier
    /// if it has responded to none since; the strikes are withdrawn when it shows that it runs.
    pub async fn record_silence(&self, addr: SocketAddr) {
        let reports = self.shared.change(|state, now| {
            let runs = state.runs_at(addr);
            let struck = runs.strike_ahead(now, SILENCE_TIME);
            let crash = runs.next_crash();
            state.quarantine.record_strikes(now, crash, struck)
        });
        self.shared.broadcast(reports).await;
    }
}

impl<T: CrashReportTransport> MonitorShared<T> {
    /// Sends `reports` to the other daemons and merges their replies.
    async fn broadcast(&self, reports: Vec<CrashReport>) {
        if reports.is_empty() {
            return;
        }
        let replies = self.transport.exchange(reports).await;
        self.change(|state, now| {
            replies.into_iter().for_each(|report| {
                state.quarantine.merge(now, report);
            });
        });
    }

    fn change<R>(&self, change: impl FnOnce(&mut MonitorState, MonoTime) -> R) -> R {
        let mut state = self.lock();
        let result = change(&mut state, self.clock.now());
        self.has_suspects
            .store(!state.quarantine.is_empty(), Ordering::Release);
        result
    }

    fn lock(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock()
    }
}

impl MonitorState {
    fn runs_at(&mut self, addr: SocketAddr) -> &mut ServerRuns {
        &mut self.server(addr).runs
    }

    fn server(&mut self, addr: SocketAddr) -> &mut MonitoredServer {
        if !self.servers.contains_key(&addr) {
            let server = MonitoredServer {
                runs: ServerRuns::new(self.next_crash_id()),
                last_probe: Arc::default(),
            };
            self.servers.insert(addr, server);
        }
        self.servers.get_mut(&addr).expect("it was just inserted")
    }

    fn next_crash_id(&mut self) -> CrashId {
        self.crash_ids += 1;
        CrashId::of(&self.daemon, self.incarnation, self.crash_ids)
    }

    fn decision(
        &mut self,
        now: MonoTime,
        addr: SocketAddr,
        content: RequestContent,
    ) -> RunDecision {
        let runs = self.runs_at(addr);
        if runs.is_struck_ahead(content.fingerprint) {
            return self.quarantine.decide_content(now, content);
        }
        let own = runs.next_crash();
        let decision = self.quarantine.decide(now, content.fingerprint, own);
        decision.stricter(self.quarantine.decide_group(now, content.group))
    }

    /// Withdraws the strikes for a crash of the server at `addr` that did not happen; returns the
    /// reports to send.
    fn end_silence(&mut self, addr: SocketAddr, now: MonoTime) -> Vec<CrashReport> {
        if !self.runs_at(addr).has_struck_ahead() {
            return Vec::new();
        }
        let next = self.next_crash_id();
        let (crash, struck) = self.runs_at(addr).end_silence(next);
        let quarantine = &mut self.quarantine;
        let withdraw = |fingerprint| quarantine.withdraw_strike(now, fingerprint, crash);
        struck.into_iter().flat_map(withdraw).collect()
    }

    /// Records a strike against every request in flight at `addr`; returns the strikes to broadcast.
    fn record_crash(&mut self, addr: SocketAddr, now: MonoTime) -> Vec<CrashReport> {
        metrics::counter!("agatehill_server_crashes_total").increment(1);
        let next = self.next_crash_id();
        let (crash, fingerprints) = self.runs_at(addr).record_crash(next);
        self.quarantine.record_strikes(now, crash, fingerprints)
    }

    /// Records a strike against a request for the next crash of each server that runs it; returns
    /// the strikes to reply with.
    fn strike_running(
        &mut self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
    ) -> Vec<CrashReport> {
        let servers = self.servers.values().map(|server| &server.runs);
        let running = servers.filter(|runs| runs.contains_request(fingerprint));
        let crash_ids: Vec<_> = running.map(ServerRuns::next_crash).collect();
        let quarantine = &mut self.quarantine;
        let strike = |crash| quarantine.record_strikes(now, crash, [fingerprint]);
        crash_ids.into_iter().flat_map(strike).collect()
    }
}
