//! Stand-in for a real backend server, with configurable capacity, service time and child calls.

pub(crate) mod announce;
pub(crate) mod serve;

mod child;
mod count;
mod work;

pub(crate) use self::{child::ChildCall, count::RunSummary};

use self::{child::ChildCaller, count::RunCounter};
use agatehill_decide::name::ServiceName;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::sync::{Semaphore, watch};

/// Settings of a stand-in.
#[derive(Debug)]
pub(crate) struct StandInSettings {
    pub(crate) service: ServiceName,
    pub(crate) slots: usize,
    pub(crate) reported_slots: usize,
    pub(crate) connections: usize,
    pub(crate) service_time: ServiceTime,
    pub(crate) cold_duration: Duration,
    pub(crate) cold_factor: f64,
    pub(crate) hides_cold: bool,
    pub(crate) sheds: bool,
    pub(crate) filling_bytes: usize,
    pub(crate) calls: Vec<ChildCall>,
    pub(crate) daemon: Option<SocketAddr>,
    pub(crate) is_parallel: bool,
    pub(crate) call_retries: u32,
    pub(crate) seed: u64,
}

/// Distribution of service times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    pub(crate) mean: Duration,
    pub(crate) is_exponential: bool,
}

/// State that a server announces.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ServerState {
    Starting,
    Serving,
    Leaving,
}

/// The state of a running stand-in.
pub(crate) struct StandIn {
    address: SocketAddr,
    settings: StandInSettings,
    started: Instant,
    slots: Semaphore,
    counter: RunCounter,
    caller: Option<ChildCaller>,
    open_connections: AtomicUsize,
    /// Number of stalls; a connection accepted at a lower number is stalled.
    stall_epoch: AtomicU64,
    leaving: watch::Sender<bool>,
    rng: Mutex<StdRng>,
}

impl StandIn {
    /// Returns a stand-in that announces `address`.
    pub(crate) fn open(address: SocketAddr, settings: StandInSettings) -> Arc<StandIn> {
        let caller = settings.daemon.map(|daemon| {
            let retries = settings.call_retries;
            ChildCaller::open(daemon, retries, settings.seed)
        });
        Arc::new(StandIn {
            address,
            started: Instant::now(),
            slots: Semaphore::new(settings.slots),
            counter: RunCounter::default(),
            caller,
            open_connections: AtomicUsize::new(0),
            stall_epoch: AtomicU64::new(0),
            leaving: watch::Sender::new(false),
            rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            settings,
        })
    }

    /// Switches the announced state to leaving.
    pub(crate) fn leave(&self) {
        self.counter.record_leave();
        self.leaving.send_replace(true);
    }

    /// Returns the counts of requests so far.
    pub(crate) fn summary(&self) -> RunSummary {
        self.counter.summary()
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.settings.cold_duration
    }

    fn state(&self) -> ServerState {
        match (*self.leaving.borrow(), self.is_cold()) {
            (true, _) => ServerState::Leaving,
            (false, true) if !self.settings.hides_cold => ServerState::Starting,
            (false, _) => ServerState::Serving,
        }
    }

    fn stall_open_connections(&self) {
        self.stall_epoch.fetch_add(1, Ordering::Relaxed);
    }

    fn stall_epoch(&self) -> u64 {
        self.stall_epoch.load(Ordering::Relaxed)
    }

    fn draw_service_time(&self) -> Duration {
        let ServiceTime {
            mean,
            is_exponential,
        } = self.settings.service_time;
        let scale = if self.is_cold() {
            self.settings.cold_factor
        } else {
            1.0
        };
        if !is_exponential {
            return mean.mul_f64(scale);
        }
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let uniform: f64 = rng.random();
        mean.mul_f64(scale * -(1.0 - uniform).ln())
    }
}
