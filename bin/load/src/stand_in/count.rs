//! What ran at a stand-in, so that outcomes can be checked against the truth.

use serde::Serialize;
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Counts of what ran.
#[derive(Default)]
pub(crate) struct RunCounter {
    inner: Mutex<CounterState>,
}

#[derive(Default)]
struct CounterState {
    summary: RunSummary,
    leaving_since: Option<Instant>,
}

/// What ran, as `GET /_runs` shows it.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RunSummary {
    /// Requests that were started.
    pub(crate) started: u64,
    /// Requests whose answer was complete.
    pub(crate) finished: u64,
    /// Requests given up because the other end closed the stream or the deadline passed.
    pub(crate) cancelled: u64,
    /// Requests refused because all slots were taken.
    pub(crate) shed: u64,
    /// Requests being worked on.
    pub(crate) in_flight: u64,
    /// Largest number of requests worked on at once.
    pub(crate) in_flight_max: u64,
    /// Time from the order to leave to the last start of a request, in milliseconds.
    pub(crate) last_start_after_leaving_ms: Option<u64>,
    /// Starts by idempotency-key.
    pub(crate) keys: BTreeMap<String, u64>,
}

/// A request being worked on; counts as cancelled unless it is finished.
pub(crate) struct RunGuard<'a> {
    counter: &'a RunCounter,
    is_finished: bool,
}

impl RunCounter {
    /// Counts the start of the request with key `key`.
    pub(crate) fn record_start(&self, key: Option<&str>) -> RunGuard<'_> {
        let mut inner = self.lock();
        let since = inner
            .leaving_since
            .map(|at| at.elapsed().as_millis() as u64);
        let summary = &mut inner.summary;
        summary.last_start_after_leaving_ms = since;
        summary.started += 1;
        summary.in_flight += 1;
        summary.in_flight_max = summary.in_flight_max.max(summary.in_flight);
        if let Some(key) = key {
            *summary.keys.entry(key.to_owned()).or_default() += 1;
        }
        RunGuard {
            counter: self,
            is_finished: false,
        }
    }

    /// Counts a request that was refused.
    pub(crate) fn record_shed(&self) {
        self.lock().summary.shed += 1;
    }

    /// Starts the time after which requests count as started late.
    pub(crate) fn record_leave(&self) {
        self.lock().leaving_since = Some(Instant::now());
    }

    /// Returns the counts so far.
    pub(crate) fn summary(&self) -> RunSummary {
        self.lock().summary.clone()
    }

    fn lock(&self) -> MutexGuard<'_, CounterState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunGuard<'_> {
    /// Counts the request as finished.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let summary = &mut self.counter.lock().summary;
        summary.in_flight -= 1;
        if self.is_finished {
            summary.finished += 1;
        } else {
            summary.cancelled += 1;
        }
    }
}
