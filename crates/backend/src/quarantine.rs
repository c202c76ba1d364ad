//! Keeps requests that crash backend servers from crashing more of them.
//!
//! Drives [`QuarantineState`] and [`ServerRuns`] for the calls at this daemon's gates. A call whose
//! connection is lost asks whether its server still listens; if it doesn't, it has crashed.

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

/// Time between two looks for a free lane.
const LANE_PAUSE: Duration = Duration::from_millis(20);
/// Time to find out whether a server still listens.
const PROBE_LIMIT: Duration = Duration::from_millis(250);
/// Time for which a probing connection stays open at a server that lives.
const CLOSE_SPAN: Duration = Duration::from_millis(300);
/// Time between two rounds of forgetting.
const AGE_INTERVAL: Duration = Duration::from_secs(10);

/// Why a suspect may not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineRefusal {
    /// The request has crashed servers; the time says for how long it is held.
    Quarantined(Duration),
    /// The lane did not become free in time.
    Deadline,
}

/// The requests in flight at this daemon's servers, and the suspects of the zone.
#[derive(Clone, Debug)]
pub struct QuarantineMonitor {
    shared: Arc<WatchShared>,
}

#[derive(Debug)]
struct WatchShared {
    clock: MonoClock,
    state: Mutex<WatchState>,
    /// Whether the book holds any request, so that ordinary calls needn't look.
    has_suspects: AtomicBool,
    /// Forward addresses of the other daemons of the zone.
    peers: ArcSwap<Vec<SocketAddr>>,
    client: CrashReportClient,
    /// Held while the zone is told of a crash.
    telling: tokio::sync::Mutex<()>,
}

#[derive(Debug)]
struct WatchState {
    daemon: DaemonName,
    incarnation: Incarnation,
    book: QuarantineState,
    servers: HashMap<SocketAddr, ServerRuns>,
    /// Counts the crashes that have got a name.
    crashes: u64,
}

impl QuarantineMonitor {
    /// Spawns the watch of one run of a daemon.
    pub fn spawn(
        daemon: DaemonName,
        incarnation: Incarnation,
        clock: MonoClock,
    ) -> QuarantineMonitor {
        let state = WatchState {
            daemon,
            incarnation,
            book: QuarantineState::default(),
            servers: HashMap::new(),
            crashes: 0,
        };
        let shared = Arc::new(WatchShared {
            clock,
            state: Mutex::new(state),
            has_suspects: AtomicBool::new(false),
            peers: ArcSwap::default(),
            client: CrashReportClient::open(),
            telling: tokio::sync::Mutex::default(),
        });
        let weak = Arc::downgrade(&shared);
        tokio::spawn(async move {
            while let Some(shared) = weak.upgrade() {
                shared.change(|state, now| state.book.remove_expired(now));
                drop(shared);
                sleep(AGE_INTERVAL).await;
            }
        });
        QuarantineMonitor { shared }
    }

    /// Takes over the forward addresses of the zone's other daemons; new ones are told all strikes.
    pub async fn set_peers(&self, peers: Vec<SocketAddr>) {
        let old = self.shared.peers.swap(Arc::new(peers.clone()));
        let new: Vec<_> = peers
            .into_iter()
            .filter(|peer| !old.contains(peer))
            .collect();
        let now = self.shared.clock.now();
        let notes: Vec<_> = self.shared.lock().book.reports(now).collect();
        self.shared.client.exchange(&new, &notes).await;
    }

    /// Takes in what a peer tells and returns what it must learn in turn: strikes for the crashes
    /// that the same requests, in flight here, may cause.
    pub fn merge_strikes(&self, notes: &[CrashReport]) -> Vec<CrashReport> {
        self.shared.change(|state, now| {
            let mut own = Vec::new();
            for note in notes {
                if state.book.merge(now, *note) && !note.cleared {
                    own.extend(state.strike_running(now, note.fingerprint));
                }
            }
            own
        })
    }

    /// Returns the number of suspects, for a dump.
    pub fn suspect_count(&self) -> usize {
        self.shared.lock().book.len()
    }

    /// Begins the part of the watch in a call to the server at `addr`.
    pub fn guard(&self, addr: SocketAddr, fingerprint: RequestFingerprint) -> QuarantineGuard {
        QuarantineGuard {
            shared: self.shared.clone(),
            addr,
            fingerprint,
            run: None,
            has_started: false,
            told: None,
            is_answered: false,
        }
    }
}

impl WatchShared {
    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().expect("no holder of the watch panics")
    }

    fn change<T>(&self, change: impl FnOnce(&mut WatchState, MonoTime) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state, self.clock.now());
        self.has_suspects
            .store(!state.book.is_empty(), Ordering::Release);
        result
    }

    /// Tells the zone and takes in the replies.
    async fn tell(&self, notes: Vec<CrashReport>) {
        if notes.is_empty() {
            return;
        }
        let replies = self.client.exchange(&self.peers.load(), &notes).await;
        self.change(|state, now| {
            replies.into_iter().for_each(|note| {
                state.book.merge(now, note);
            });
        });
    }

    /// Ends `run`, whose connection was lost, and with it all others at its server if that has
    /// crashed; returns whether it has, when the zone knows.
    async fn end_lost(&self, addr: SocketAddr, run: RunKey) -> bool {
        let has_crashed = is_down(addr).await;
        // Calls that a crash has ended together return together, once the zone knows.
        let _telling = self.telling.lock().await;
        let notes = self.change(|state, now| {
            if has_crashed {
                return state.crash(addr, run, now);
            }
            state.runs_at(addr).end(run);
            Vec::new()
        });
        self.tell(notes).await;
        has_crashed
    }
}

impl WatchState {
    fn runs_at(&mut self, addr: SocketAddr) -> &mut ServerRuns {
        if !self.servers.contains_key(&addr) {
            let runs = ServerRuns::new(self.name_crash());
            self.servers.insert(addr, runs);
        }
        self.servers.get_mut(&addr).expect("it was just inserted")
    }

    fn name_crash(&mut self) -> CrashId {
        self.crashes += 1;
        CrashId::of(&self.daemon, self.incarnation, self.crashes)
    }

    fn verdict(
        &mut self,
        now: MonoTime,
        addr: SocketAddr,
        print: RequestFingerprint,
    ) -> RunDecision {
        let own = self.runs_at(addr).next_crash();
        self.book.verdict(now, print, own)
    }

    /// Strikes all that is in flight at `addr`, unless `run` has ended with an earlier crash.
    fn crash(&mut self, addr: SocketAddr, run: RunKey, now: MonoTime) -> Vec<CrashReport> {
        if !self.runs_at(addr).contains_run(run) {
            return Vec::new();
        }
        metrics::counter!("agatehill_server_crashes_total").increment(1);
        let next = self.name_crash();
        let (crash, struck) = self.runs_at(addr).record_crash(next);
        self.book.record_strikes(now, crash, struck)
    }

    /// Strikes a request for the next crash of each server that runs it.
    fn strike_running(&mut self, now: MonoTime, print: RequestFingerprint) -> Vec<CrashReport> {
        let running = self
            .servers
            .values()
            .filter(|runs| runs.contains_request(print));
        let crashes: Vec<_> = running.map(ServerRuns::next_crash).collect();
        let book = &mut self.book;
        let strike = |crash| book.record_strikes(now, crash, [print]);
        crashes.into_iter().flat_map(strike).collect()
    }
}

/// One call under the watch; ends on drop.
#[derive(Debug)]
pub struct QuarantineGuard {
    shared: Arc<WatchShared>,
    addr: SocketAddr,
    fingerprint: RequestFingerprint,
    run: Option<RunKey>,
    has_started: bool,
    /// The crash that the call was struck for before its run.
    told: Option<CrashId>,
    is_answered: bool,
}

impl QuarantineGuard {
    /// Waits until the call may be tried: at once, unless it is a suspect.
    ///
    /// # Errors
    ///
    /// The request is quarantined, or `deadline` passes first.
    pub async fn wait_ready(&mut self, deadline: MonoTime) -> Result<(), QuarantineRefusal> {
        while self.shared.has_suspects.load(Ordering::Acquire) {
            self.take_back_stale().await;
            match self.look() {
                (RunDecision::Unrestricted, _) => return Ok(()),
                (RunDecision::Quarantined(left), _) => {
                    return Err(QuarantineRefusal::Quarantined(left));
                }
                (RunDecision::Serial, false) if self.told.is_some() => return Ok(()),
                (RunDecision::Serial, false) => self.write_ahead().await,
                (RunDecision::Serial, true) => sleep(LANE_PAUSE).await,
            }
            if self.shared.clock.now() >= deadline {
                return Err(QuarantineRefusal::Deadline);
            }
        }
        Ok(())
    }

    /// Starts the run; false if the call must get [`QuarantineGuard::wait_ready`] again.
    pub fn try_start(&mut self) -> bool {
        let (addr, print, told) = (self.addr, self.fingerprint, self.told);
        self.run = self.shared.change(|state, now| {
            let verdict = state.verdict(now, addr, print);
            let runs = state.runs_at(addr);
            if verdict == RunDecision::Serial && told != Some(runs.next_crash()) {
                return None;
            }
            runs.start(print, verdict)
        });
        self.has_started = self.run.is_some();
        self.has_started
    }

    /// The whole answer has come.
    pub fn record_answer(&mut self) {
        self.is_answered = true;
    }

    /// The connection was lost; returns whether the server has crashed, when the zone knows.
    pub async fn record_lost(&mut self) -> bool {
        match self.run.take() {
            Some(run) => self.shared.end_lost(self.addr, run).await,
            None => false,
        }
    }

    /// The connection was lost in the middle of the answer.
    pub fn record_aborted(&mut self) {
        if let Some(run) = self.run.take() {
            let (shared, addr) = (self.shared.clone(), self.addr);
            tokio::spawn(async move {
                shared.end_lost(addr, run).await;
            });
        }
    }

    /// Returns the verdict and whether the server's lane is busy.
    fn look(&self) -> (RunDecision, bool) {
        let (addr, print) = (self.addr, self.fingerprint);
        self.shared.change(|state, now| {
            let verdict = state.verdict(now, addr, print);
            (verdict, state.runs_at(addr).has_suspect())
        })
    }

    /// Strikes the suspect for the crash that its run may cause, and tells the zone.
    async fn write_ahead(&mut self) {
        let (addr, print) = (self.addr, self.fingerprint);
        let (crash, notes) = self.shared.change(|state, now| {
            let crash = state.runs_at(addr).next_crash();
            (crash, state.book.record_strikes(now, crash, [print]))
        });
        self.told = Some(crash);
        self.shared.tell(notes).await;
    }

    /// Takes back the strike for a crash that has come before the run has started.
    async fn take_back_stale(&mut self) {
        let (addr, print, told) = (self.addr, self.fingerprint, self.told);
        let notes = self.shared.change(|state, now| {
            let next = state.runs_at(addr).next_crash();
            let stale = told.filter(|crash| *crash != next);
            stale.map(|crash| state.book.withdraw_strike(now, print, crash))
        });
        if let Some(notes) = notes {
            self.told = None;
            self.shared.tell(notes).await;
        }
    }
}

impl Drop for QuarantineGuard {
    fn drop(&mut self) {
        let (addr, print) = (self.addr, self.fingerprint);
        let notes = self.shared.change(|state, now| {
            self.run
                .into_iter()
                .for_each(|run| state.runs_at(addr).end(run));
            if self.is_answered {
                return state.book.clear(now, print);
            }
            let runs = state.runs_at(addr);
            let next = runs.next_crash();
            // A run that has crashed its server keeps its strike, which is not the next crash's.
            let possible = if self.has_started {
                Some(next)
            } else {
                self.told
            };
            match possible {
                Some(crash) if crash != next || !runs.contains_request(print) => {
                    state.book.withdraw_strike(now, print, crash)
                }
                _ => Vec::new(),
            }
        });
        let shared = self.shared.clone();
        if !notes.is_empty()
            && let Ok(handle) = tokio::runtime::Handle::try_current()
        {
            handle.spawn(async move { shared.tell(notes).await });
        }
    }
}

/// Returns whether nothing listens at `addr` any more.
///
/// The kernel closes the sockets of a process that dies one by one: its listener may still take a
/// connection after the call's has been closed. So a connection counts only if it stays open.
pub(crate) async fn is_down(addr: SocketAddr) -> bool {
    loop {
        let connected = timeout(PROBE_LIMIT, TcpStream::connect(addr)).await;
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

/// Returns whether the other end closes `stream`, which has asked for nothing.
async fn closes_soon(mut stream: TcpStream) -> bool {
    timeout(CLOSE_SPAN, stream.read(&mut [0])).await.is_ok()
}
