//! Stops requests that crash backend servers before they crash more of them.
//!
//! Drives [`QuarantineState`] and [`ServerRuns`] for the calls at this daemon's gates. When a call
//! loses its connection, the server is probed; if nothing listens any more, it has crashed.

use agatehill_decide::{
    name::{DaemonName, Incarnation},
    quarantine::{
        CrashId, CrashReport, QuarantineState, RequestFingerprint, RunDecision, RunKey, ServerRuns,
    },
    time::MonoTime,
};
use agatehill_peer::crash_report::CrashReportClient;
use agatehill_process::clock::MonoClock;
use arc_swap::ArcSwap;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{sleep, timeout},
};

/// Time between two checks of whether another suspect's run at the server has ended.
const SERIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for the connection that probes a server.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a probing connection must stay open for the server to count as running.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(300);
/// Time between two removals of expired suspects.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Why a suspect was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineRefusal {
    /// The request has crashed servers; holds the remaining time of its quarantine.
    Quarantined(Duration),
    /// The deadline passed before the suspect could be run.
    Deadline,
}

/// Monitors the requests in flight at this daemon's servers and the suspects of its zone.
#[derive(Clone, Debug)]
pub struct QuarantineMonitor {
    shared: Arc<MonitorShared>,
}

#[derive(Debug)]
struct MonitorShared {
    clock: MonoClock,
    state: Mutex<MonitorState>,
    /// Whether `quarantine` holds any request; lets ordinary calls skip the lock.
    has_suspects: AtomicBool,
    /// Forward addresses of the other daemons of the zone.
    peers: ArcSwap<Vec<SocketAddr>>,
    client: CrashReportClient,
    /// Held while a crash is recorded and broadcast.
    broadcast: tokio::sync::Mutex<()>,
}

#[derive(Debug)]
struct MonitorState {
    daemon: DaemonName,
    incarnation: Incarnation,
    quarantine: QuarantineState,
    servers: HashMap<SocketAddr, ServerRuns>,
    /// Number of crash ids assigned so far.
    crash_ids: u64,
}

impl QuarantineMonitor {
    /// Opens the monitor of one run of a daemon and spawns the removal of expired suspects.
    pub fn spawn(
        daemon: DaemonName,
        incarnation: Incarnation,
        clock: MonoClock,
    ) -> QuarantineMonitor {
        let state = MonitorState {
            daemon,
            incarnation,
            quarantine: QuarantineState::default(),
            servers: HashMap::new(),
            crash_ids: 0,
        };
        let shared = Arc::new(MonitorShared {
            clock,
            state: Mutex::new(state),
            has_suspects: AtomicBool::new(false),
            peers: ArcSwap::default(),
            client: CrashReportClient::open(),
            broadcast: tokio::sync::Mutex::default(),
        });
        let weak = Arc::downgrade(&shared);
        tokio::spawn(async move {
            while let Some(shared) = weak.upgrade() {
                shared.change(|state, now| state.quarantine.remove_expired(now));
                drop(shared);
                sleep(EXPIRY_INTERVAL).await;
            }
        });
        QuarantineMonitor { shared }
    }

    /// Sets the forward addresses of the zone's other daemons; new ones are sent all strikes.
    pub async fn set_peers(&self, peers: Vec<SocketAddr>) {
        let old = self.shared.peers.swap(Arc::new(peers.clone()));
        let new: Vec<_> = peers
            .into_iter()
            .filter(|peer| !old.contains(peer))
            .collect();
        let now = self.shared.clock.now();
        let reports: Vec<_> = self.shared.lock().quarantine.reports(now).collect();
        self.shared.client.exchange(&new, &reports).await;
    }

    /// Merges the strikes that a peer has sent.
    ///
    /// Returns the strikes to reply with: those for the crashes that the same requests, if in
    /// flight here, may cause.
    pub fn merge_strikes(&self, reports: &[CrashReport]) -> Vec<CrashReport> {
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

    /// Returns the number of suspects.
    pub fn suspect_count(&self) -> usize {
        self.shared.lock().quarantine.len()
    }

    /// Returns the guard of a call to the server at `addr`.
    pub fn guard(&self, addr: SocketAddr, fingerprint: RequestFingerprint) -> QuarantineGuard {
        QuarantineGuard {
            shared: self.shared.clone(),
            addr,
            fingerprint,
            run: None,
            has_started: false,
            pending_strike: None,
            is_answered: false,
        }
    }
}

impl MonitorShared {
    fn lock(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock().expect("no lock holder panics")
    }

    fn change<T>(&self, change: impl FnOnce(&mut MonitorState, MonoTime) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state, self.clock.now());
        self.has_suspects
            .store(!state.quarantine.is_empty(), Ordering::Release);
        result
    }

    /// Sends `reports` to the zone's daemons and merges their replies.
    async fn broadcast(&self, reports: Vec<CrashReport>) {
        if reports.is_empty() {
            return;
        }
        let replies = self.client.exchange(&self.peers.load(), &reports).await;
        self.change(|state, now| {
            replies.into_iter().for_each(|report| {
                state.quarantine.merge(now, report);
            });
        });
    }

    /// Ends `run`, whose connection was lost, and all other runs at the server if that has crashed.
    ///
    /// Returns whether the server has crashed, after the zone has been notified.
    async fn end_lost(&self, addr: SocketAddr, run: RunKey) -> bool {
        let has_crashed = is_down(addr).await;
        // All calls that a crash has ended return only after the zone has been notified of it.
        let _broadcast = self.broadcast.lock().await;
        let reports = self.change(|state, now| {
            if has_crashed {
                return state.record_crash(addr, run, now);
            }
            state.runs_at(addr).end(run);
            Vec::new()
        });
        self.broadcast(reports).await;
        has_crashed
    }
}

impl MonitorState {
    fn runs_at(&mut self, addr: SocketAddr) -> &mut ServerRuns {
        if !self.servers.contains_key(&addr) {
            let runs = ServerRuns::new(self.next_crash_id());
            self.servers.insert(addr, runs);
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
        fingerprint: RequestFingerprint,
    ) -> RunDecision {
        let own = self.runs_at(addr).next_crash();
        self.quarantine.decide(now, fingerprint, own)
    }

    /// Records a strike against every request in flight at `addr`, unless `run` ended with an
    /// earlier crash; returns the strikes to broadcast.
    fn record_crash(&mut self, addr: SocketAddr, run: RunKey, now: MonoTime) -> Vec<CrashReport> {
        if !self.runs_at(addr).contains_run(run) {
            return Vec::new();
        }
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
        let running = self
            .servers
            .values()
            .filter(|runs| runs.contains_request(fingerprint));
        let crash_ids: Vec<_> = running.map(ServerRuns::next_crash).collect();
        let quarantine = &mut self.quarantine;
        let strike = |crash| quarantine.record_strikes(now, crash, [fingerprint]);
        crash_ids.into_iter().flat_map(strike).collect()
    }
}

/// One monitored call; dropping it ends the run and updates the strikes of the request.
#[derive(Debug)]
pub struct QuarantineGuard {
    shared: Arc<MonitorShared>,
    addr: SocketAddr,
    fingerprint: RequestFingerprint,
    run: Option<RunKey>,
    has_started: bool,
    /// The crash for which a strike was recorded before the run.
    pending_strike: Option<CrashId>,
    is_answered: bool,
}

impl QuarantineGuard {
    /// Waits until the call may be started; returns at once unless the request is a suspect.
    ///
    /// # Errors
    ///
    /// The request is quarantined, or `deadline` passes first.
    pub async fn wait_ready(&mut self, deadline: MonoTime) -> Result<(), QuarantineRefusal> {
        while self.shared.has_suspects.load(Ordering::Acquire) {
            self.withdraw_stale_strike().await;
            match self.decision() {
                (RunDecision::Unrestricted, _) => return Ok(()),
                (RunDecision::Quarantined(remaining), _) => {
                    return Err(QuarantineRefusal::Quarantined(remaining));
                }
                (RunDecision::Serial, false) if self.pending_strike.is_some() => return Ok(()),
                (RunDecision::Serial, false) => self.record_pending_strike().await,
                (RunDecision::Serial, true) => sleep(SERIAL_POLL_INTERVAL).await,
            }
            if self.shared.clock.now() >= deadline {
                return Err(QuarantineRefusal::Deadline);
            }
        }
        Ok(())
    }

    /// Starts the run; if false, [`QuarantineGuard::wait_ready`] must be called again.
    pub fn try_start(&mut self) -> bool {
        let (addr, fingerprint, pending_strike) =
            (self.addr, self.fingerprint, self.pending_strike);
        self.run = self.shared.change(|state, now| {
            let decision = state.decision(now, addr, fingerprint);
            let runs = state.runs_at(addr);
            if decision == RunDecision::Serial && pending_strike != Some(runs.next_crash()) {
                return None;
            }
            runs.start(fingerprint, decision)
        });
        self.has_started = self.run.is_some();
        self.has_started
    }

    /// Records that the complete response has arrived.
    pub fn record_answer(&mut self) {
        self.is_answered = true;
    }

    /// Records that the connection was lost; returns whether the server has crashed, after the zone
    /// has been notified.
    pub async fn record_lost(&mut self) -> bool {
        match self.run.take() {
            Some(run) => self.shared.end_lost(self.addr, run).await,
            None => false,
        }
    }

    /// Records that the connection was lost in the middle of the response.
    pub fn record_aborted(&mut self) {
        if let Some(run) = self.run.take() {
            let (shared, addr) = (self.shared.clone(), self.addr);
            tokio::spawn(async move {
                shared.end_lost(addr, run).await;
            });
        }
    }

    /// Returns the decision and whether a suspect is running at the server.
    fn decision(&self) -> (RunDecision, bool) {
        let (addr, fingerprint) = (self.addr, self.fingerprint);
        self.shared.change(|state, now| {
            let decision = state.decision(now, addr, fingerprint);
            (decision, state.runs_at(addr).has_suspect())
        })
    }

    /// Records a strike for the crash that the suspect's run may cause, and notifies the zone.
    async fn record_pending_strike(&mut self) {
        let (addr, fingerprint) = (self.addr, self.fingerprint);
        let (crash, reports) = self.shared.change(|state, now| {
            let crash = state.runs_at(addr).next_crash();
            (
                crash,
                state.quarantine.record_strikes(now, crash, [fingerprint]),
            )
        });
        self.pending_strike = Some(crash);
        self.shared.broadcast(reports).await;
    }

    /// Withdraws the strike for a crash that happened before the run has started.
    async fn withdraw_stale_strike(&mut self) {
        let (addr, fingerprint, pending_strike) =
            (self.addr, self.fingerprint, self.pending_strike);
        let reports = self.shared.change(|state, now| {
            let next = state.runs_at(addr).next_crash();
            let stale = pending_strike.filter(|crash| *crash != next);
            stale.map(|crash| state.quarantine.withdraw_strike(now, fingerprint, crash))
        });
        if let Some(reports) = reports {
            self.pending_strike = None;
            self.shared.broadcast(reports).await;
        }
    }
}

impl Drop for QuarantineGuard {
    fn drop(&mut self) {
        let (addr, fingerprint) = (self.addr, self.fingerprint);
        let reports = self.shared.change(|state, now| {
            self.run
                .into_iter()
                .for_each(|run| state.runs_at(addr).end(run));
            if self.is_answered {
                return state.quarantine.clear(now, fingerprint);
            }
            let runs = state.runs_at(addr);
            let next = runs.next_crash();
            // After a crash `next` is the one that follows, so a run that has crashed its server
            // keeps its strike.
            let own_crash = if self.has_started {
                Some(next)
            } else {
                self.pending_strike
            };
            match own_crash {
                Some(crash) if crash != next || !runs.contains_request(fingerprint) => {
                    state.quarantine.withdraw_strike(now, fingerprint, crash)
                }
                _ => Vec::new(),
            }
        });
        let shared = self.shared.clone();
        if !reports.is_empty()
            && let Ok(handle) = tokio::runtime::Handle::try_current()
        {
            handle.spawn(async move { shared.broadcast(reports).await });
        }
    }
}

/// Returns whether nothing listens at `addr` any more.
///
/// The kernel closes the sockets of a dying process one by one, so its listener may still accept a
/// connection after that of the call was closed. A connection therefore counts only if it stays
/// open.
pub(crate) async fn is_down(addr: SocketAddr) -> bool {
    loop {
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
        match connected {
            Ok(Ok(stream)) => {
                if !closes_soon(stream).await {
                    return false;
                }
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionReset => {}
            Ok(Err(e)) => return e.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => return false,
        }
    }
}

/// Returns whether the server closes `stream`, on which nothing was sent, in a short time.
async fn closes_soon(mut stream: TcpStream) -> bool {
    timeout(PROBE_OPEN_TIME, stream.read(&mut [0]))
        .await
        .is_ok()
}
