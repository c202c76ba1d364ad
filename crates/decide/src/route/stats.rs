//! Statistics of a server as observed by this daemon, updated without locks on the request path.

use crate::{priority::CallPriority, time::MonoTime};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU16, AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

/// Time for which a server is avoided after its first failure; doubles with each further one.
const PENALTY_FIRST: Duration = Duration::from_millis(250);
/// Maximum number of doublings of [`PENALTY_FIRST`], which gives 8 s.
const PENALTY_DOUBLINGS_MAX: u32 = 5;
/// Time for which a reported load is used.
const REPORT_RETENTION: Duration = Duration::from_secs(10);
/// Time for which a gate's admission level is used.
const LEVEL_RETENTION: Duration = Duration::from_millis(500);
/// Time for which the reports of a server that shed at a low reported load are ignored.
const DISTRUST_DURATION: Duration = Duration::from_secs(10);
/// Reported load below which a server that sheds is distrusted, in thousandths of its slots.
const SHED_LOAD_MIN: u16 = 800;
/// Added to each load, in thousandths, so that latency also counts between idle servers.
const LOAD_BASE: u64 = 50;
/// The weight of a new latency sample is one in `1 << LATENCY_SHIFT`.
const LATENCY_SHIFT: u32 = 4;

/// Outcome of an attempt at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeSample {
    /// The server responded.
    Answered {
        /// Time from sending the request to the head of the response.
        elapsed: Duration,
        /// Admission level of its gate.
        level: CallPriority,
    },
    /// The gate or the backend server shed the request.
    Shed {
        /// Admission level of its gate.
        level: CallPriority,
    },
    /// The server returned an error or no response in time, or the connection failed.
    Failed,
}

/// Statistics of one server; shared by all route tables that contain it.
#[derive(Debug)]
pub struct ServerStats {
    in_flight: AtomicU32,
    reported_load: AtomicU16,
    reported_until: AtomicU64,
    distrust_until: AtomicU64,
    level: AtomicU16,
    level_until: AtomicU64,
    failures: AtomicU32,
    penalty_until: AtomicU64,
    latency_micros: AtomicU64,
}

impl Default for ServerStats {
    fn default() -> ServerStats {
        ServerStats {
            in_flight: AtomicU32::new(0),
            reported_load: AtomicU16::new(0),
            reported_until: AtomicU64::new(0),
            distrust_until: AtomicU64::new(0),
            level: AtomicU16::new(CallPriority::LOWEST.0),
            level_until: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            penalty_until: AtomicU64::new(0),
            latency_micros: AtomicU64::new(0),
        }
    }
}

impl ServerStats {
    /// Counts a request to the server as in flight until the guard is dropped.
    pub fn start_request(self: &Arc<ServerStats>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Returns the number of requests in flight from this daemon to the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Records the outcome of an attempt.
    pub fn record(&self, sample: OutcomeSample, now: MonoTime) {
        match sample {
            OutcomeSample::Answered { elapsed, level } => {
                self.failures.store(0, Relaxed);
                self.penalty_until.store(0, Relaxed);
                self.record_latency(elapsed);
                self.record_level(level, now);
            }
            OutcomeSample::Shed { level } => {
                self.record_level(level, now);
                if self.reported_load.load(Relaxed) < SHED_LOAD_MIN {
                    let until = now + DISTRUST_DURATION;
                    self.distrust_until.store(until.as_micros(), Relaxed);
                }
            }
            OutcomeSample::Failed => {
                let failures = self.failures.fetch_add(1, Relaxed);
                let penalty = PENALTY_FIRST * (1 << failures.min(PENALTY_DOUBLINGS_MAX));
                self.penalty_until
                    .store((now + penalty).as_micros(), Relaxed);
            }
        }
    }

    /// Records the load that the server or its zone reports, in thousandths of its slots; only a
    /// hint.
    pub fn report_load(&self, load_permille: u16, now: MonoTime) {
        self.reported_load.store(load_permille, Relaxed);
        self.reported_until
            .store((now + REPORT_RETENTION).as_micros(), Relaxed);
    }

    /// Returns whether the server is to be avoided after recent failures.
    pub fn is_penalised(&self, now: MonoTime) -> bool {
        now.as_micros() < self.penalty_until.load(Relaxed)
    }

    /// Returns the admission level of the server's gate, or the lowest priority if it isn't known.
    pub fn level(&self, now: MonoTime) -> CallPriority {
        if now.as_micros() < self.level_until.load(Relaxed) {
            return CallPriority(self.level.load(Relaxed));
        }
        CallPriority::LOWEST
    }

    /// Returns the greater of the load caused by this daemon and the reported load, in thousandths.
    pub fn load_permille(&self, slots: u32, now: MonoTime) -> u64 {
        let observed = u64::from(self.in_flight()) * 1_000 / u64::from(slots.max(1));
        observed.max(self.reported_permille(now))
    }

    /// Returns the last reported load in thousandths: full load for a distrusted server, 0 if there
    /// is no recent report.
    fn reported_permille(&self, now: MonoTime) -> u64 {
        if now.as_micros() < self.distrust_until.load(Relaxed) {
            return 1_000;
        }
        if now.as_micros() < self.reported_until.load(Relaxed) {
            return u64::from(self.reported_load.load(Relaxed));
        }
        0
    }

    /// Returns the expected cost of using this server, comparable only with that of `other`.
    pub(super) fn cost(&self, slots: u32, other: &ServerStats, now: MonoTime) -> u64 {
        let load = self.load_permille(slots, now) + LOAD_BASE;
        let latency = self.latency_micros.load(Relaxed);
        let other_latency = other.latency_micros.load(Relaxed);
        if latency == 0 || other_latency == 0 {
            return load.saturating_mul(latency.max(other_latency).max(1));
        }
        load.saturating_mul(latency)
    }

    fn record_level(&self, level: CallPriority, now: MonoTime) {
        self.level.store(level.0, Relaxed);
        self.level_until
            .store((now + LEVEL_RETENTION).as_micros(), Relaxed);
    }

    /// Updates the moving average. Concurrent updates may overwrite one another; the result is
    /// still an average of recent samples.
    fn record_latency(&self, elapsed: Duration) {
        let sample = u64::try_from(elapsed.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        let old = self.latency_micros.load(Relaxed);
        let new = match old {
            0 => sample,
            _ => old - (old >> LATENCY_SHIFT) + (sample >> LATENCY_SHIFT),
        };
        self.latency_micros.store(new.max(1), Relaxed);
    }
}

/// Counts one request in flight to a server until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<ServerStats>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Relaxed);
    }
}
