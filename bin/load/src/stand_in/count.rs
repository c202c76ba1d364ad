//! Counts the requests that ran at a stand-in, so that tests can check reported outcomes.

use serde::Serialize;
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// Counts requests by how they ran.
#[derive(Default)]
pub(crate) struct RunCounter {
    inner: Mutex<CounterState>,
}

#[derive(Default)]
struct CounterState {
    summary: RunSummary,
    leaving_since: Option<Instant>,
}

/// Counts as returned by `GET /_runs`.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RunSummary {
    /// Started requests.
    pub(crate) started: u64,
    /// Requests that ran to their end.
    pub(crate) finished: u64,
    /// Requests abandoned because the caller closed the stream or the deadline passed.
    pub(crate) cancelled: u64,
    /// Requests refused because all slots were taken.
    pub(crate) shed: u64,
    /// Requests in flight.
    pub(crate) in_flight: u64,
    /// Largest number of requests in flight at once.
    pub(crate) in_flight_max: u64,
    /// Time from SIGTERM to the last start of a request, in milliseconds.
    pub(crate) last_start_after_leaving_ms: Option<u64>,
    /// Number of starts by idempotency key.
    pub(crate) keys: BTreeMap<String, u64>,
}

/// Request in flight; counts as cancelled on drop unless [`RunGuard::finish`] was called.
pub(crate) struct RunGuard<'a> {
    counter: &'a RunCounter,
    is_finished: bool,
}

impl RunCounter {
    /// Records the start of the request with idempotency key `key`.
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

    /// Records a request that was shed.
    pub(crate) fn record_shed(&self) {
        self.lock().summary.shed += 1;
    }

    /// Records that the server is leaving.
    pub(crate) fn record_leave(&self) {
        self.lock().leaving_since = Some(Instant::now());
    }

    /// Returns a copy of the counts.
    pub(crate) fn summary(&self) -> RunSummary {
        self.lock().summary.clone()
    }

    fn lock(&self) -> MutexGuard<'_, CounterState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunGuard<'_> {
    /// Records the request as finished.
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
