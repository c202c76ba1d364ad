//! What this daemon has seen of a server; updated on the path of a request without locks.

use crate::{priority::CallPriority, time::MonoTime};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU16, AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

/// Time for which a server is passed over after its first failure; doubles with each further one.
const PENALTY_FIRST: Duration = Duration::from_millis(250);
/// Doublings of [`PENALTY_FIRST`] at most: 8 s.
const PENALTY_DOUBLINGS_MAX: u32 = 5;
/// Time for which a reported load counts.
const REPORT_FRESH: Duration = Duration::from_secs(10);
/// Time for which a gate's level counts.
const LEVEL_FRESH: Duration = Duration::from_millis(500);
/// Time for which reports of a server that shed at a low reported load are ignored.
const DISTRUST_SPAN: Duration = Duration::from_secs(10);
/// A server that sheds while it reports less than this is not believed, in thousandths of its slots.
const SHED_LOAD_MIN: u16 = 800;
/// Added to each load so that latency also counts between idle servers, in thousandths.
const LOAD_BASE: u64 = 50;
/// A new latency sample weighs one part in `1 << LATENCY_SHIFT`.
const LATENCY_SHIFT: u32 = 4;

/// What an attempt at a server has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeSample {
    /// It answered.
    Answered {
        /// From sending the request to the head of the answer.
        elapsed: Duration,
        /// The level at which its gate cuts.
        level: CallPriority,
    },
    /// Its gate or the backend server refused it.
    Shed {
        /// The level at which its gate cuts.
        level: CallPriority,
    },
    /// It gave an error, no answer in time, or the connection failed.
    Failed,
}

/// What this daemon has seen of one server; outlives the tables that refer to it.
#[derive(Debug)]
pub struct ServerStats {
    in_flight: AtomicU32,
    report_load: AtomicU16,
    report_until: AtomicU64,
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
            report_load: AtomicU16::new(0),
            report_until: AtomicU64::new(0),
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
    /// Counts a request from here to the server until the guard is dropped.
    pub fn start_request(self: &Arc<ServerStats>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Returns the requests from here to the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Takes in what an attempt has shown.
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
                if self.report_load.load(Relaxed) < SHED_LOAD_MIN {
                    let until = now + DISTRUST_SPAN;
                    self.distrust_until.store(until.as_micros(), Relaxed);
                }
            }
            OutcomeSample::Failed => {
                let failures = self.failures.fetch_add(1, Relaxed);
                let span = PENALTY_FIRST * (1 << failures.min(PENALTY_DOUBLINGS_MAX));
                self.penalty_until.store((now + span).as_micros(), Relaxed);
            }
        }
    }

    /// Takes in the load that the server or its zone reports, in thousandths of its slots: a hint.
    pub fn report_load(&self, load_permille: u16, now: MonoTime) {
        self.report_load.store(load_permille, Relaxed);
        self.report_until
            .store((now + REPORT_FRESH).as_micros(), Relaxed);
    }

    /// Returns whether recent failures speak against the server.
    pub fn is_penalised(&self, now: MonoTime) -> bool {
        now.as_micros() < self.penalty_until.load(Relaxed)
    }

    /// Returns the level at which the server's gate cuts, if it was heard lately.
    pub fn level(&self, now: MonoTime) -> CallPriority {
        if now.as_micros() < self.level_until.load(Relaxed) {
            return CallPriority(self.level.load(Relaxed));
        }
        CallPriority::LOWEST
    }

    /// Returns the larger of the load seen from here and the load reported, in thousandths.
    pub fn load_permille(&self, slots: u32, now: MonoTime) -> u64 {
        let seen = u64::from(self.in_flight()) * 1_000 / u64::from(slots.max(1));
        seen.max(self.reported_permille(now))
    }

    /// Returns the load that the server's last report gives if it is believed, in thousandths.
    fn reported_permille(&self, now: MonoTime) -> u64 {
        if now.as_micros() < self.distrust_until.load(Relaxed) {
            return 1_000;
        }
        if now.as_micros() < self.report_until.load(Relaxed) {
            return u64::from(self.report_load.load(Relaxed));
        }
        0
    }

    /// Returns what the server is expected to cost beside `other`; only comparable with its.
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
            .store((now + LEVEL_FRESH).as_micros(), Relaxed);
    }

    /// Concurrent samples may overwrite one another; the average stays one of recent samples.
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

/// Counts one request in flight to a server; dropping it takes the request off.
#[derive(Debug)]
pub struct InFlightGuard(Arc<ServerStats>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Relaxed);
    }
}
