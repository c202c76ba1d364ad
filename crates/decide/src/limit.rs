//! Concurrency limit of one backend server and the time for which its calls hold their slots.
//!
//! The limit is the number of announced slots. It is lowered while the server itself sheds calls, and
//! it rises gradually after the server has started (slow start).

use std::time::Duration;

/// Limit at the beginning of a slow start, as a share of the slots.
const SLOW_START_SHARE: f64 = 0.3;
/// Factor by which the limit grows after a window in which it was reached, during a slow start.
const SLOW_START_GROWTH: f64 = 1.35;
/// Factor by which a limit lowered by sheds grows after a window in which it was reached.
const GROWTH: f64 = 1.05;
/// Factor by which the limit changes after a window in which the server shed calls.
const SHED_DECREASE: f64 = 0.9;

/// Concurrency limit of one backend server, between 1 and its announced slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    is_slow_start: bool,
    has_shed: bool,
}

impl ConcurrencyLimit {
    /// Returns the limit of a server that announced `slots` slots.
    pub fn new(slots: u32) -> ConcurrencyLimit {
        let slots = slots.max(1);
        ConcurrencyLimit {
            slots,
            limit: f64::from(slots),
            is_slow_start: false,
            has_shed: false,
        }
    }

    /// Returns the number of calls that may run at once.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Sets the number of announced slots and scales the limit with it.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.limit *= f64::from(slots) / f64::from(self.slots);
            self.slots = slots;
            self.clamp();
        }
    }

    /// Begins the slow start of a server that has just started.
    pub fn begin_slow_start(&mut self) {
        self.is_slow_start = true;
        self.limit = f64::from(self.slots) * SLOW_START_SHARE;
        self.clamp();
    }

    /// Records that the server itself shed a call.
    pub fn record_shed(&mut self) {
        self.has_shed = true;
    }

    /// Ends a measurement window in which the limit was or was not reached, and adjusts the limit.
    pub fn close_window(&mut self, is_limit_reached: bool) {
        if std::mem::take(&mut self.has_shed) {
            self.is_slow_start = false;
            self.limit *= SHED_DECREASE;
        } else if is_limit_reached {
            let growth = if self.is_slow_start {
                SLOW_START_GROWTH
            } else {
                GROWTH
            };
            self.limit *= growth;
        }
        self.clamp();
        self.is_slow_start &= self.limit < f64::from(self.slots);
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(1.0, f64::from(self.slots));
    }
}

/// Moving estimate of the time for which a call holds its slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldEstimate {
    micros: Option<f64>,
}

impl HoldEstimate {
    /// Weight of a new sample.
    const WEIGHT: f64 = 0.02;

    /// Records that a call held its slot for `span`.
    pub fn record(&mut self, span: Duration) {
        let sample = span.as_micros() as f64;
        let micros = match self.micros {
            None => sample,
            Some(old) => old + (sample - old) * Self::WEIGHT,
        };
        self.micros = Some(micros);
    }

    /// Returns the estimate, zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.micros.unwrap_or(0.0) as u64)
    }
}
