//! Concurrency limit of one backend server, and how long its calls hold their slots.
//!
//! The limit is the announced slots, lowered while the server itself sheds calls and raised by and
//! by after a start.

use std::time::Duration;

/// Share of the slots that a starting server begins with.
const RAMP_START: f64 = 0.3;
/// Growth of the limit in a window in which it was reached, while a server ramps up.
const RAMP_GROWTH: f64 = 1.35;
/// Growth of the limit in a window in which it was reached, after sheds.
const GROWTH: f64 = 1.05;
/// Share of the limit that is kept after a window in which the server shed calls.
const SHED_DECREASE: f64 = 0.9;

/// Concurrency limit of one backend server, between 1 and its announced slots.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    is_ramping: bool,
    has_shed: bool,
}

impl ConcurrencyLimit {
    /// Returns the limit of a server that announced `slots`.
    pub fn new(slots: u32) -> ConcurrencyLimit {
        let slots = slots.max(1);
        ConcurrencyLimit {
            slots,
            limit: f64::from(slots),
            is_ramping: false,
            has_shed: false,
        }
    }

    /// Returns the calls that may run at once.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Takes a new announcement of slots.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.limit *= f64::from(slots) / f64::from(self.slots);
            self.slots = slots;
            self.clamp();
        }
    }

    /// Begins the ramp of a server that has just started.
    pub fn begin_slow_start(&mut self) {
        self.is_ramping = true;
        self.limit = f64::from(self.slots) * RAMP_START;
        self.clamp();
    }

    /// Records that the server itself shed a call.
    pub fn record_shed(&mut self) {
        self.has_shed = true;
    }

    /// Ends a window of measurement; `is_full` tells whether the limit was reached in it.
    pub fn close_window(&mut self, is_full: bool) {
        if std::mem::take(&mut self.has_shed) {
            self.is_ramping = false;
            self.limit *= SHED_DECREASE;
        } else if is_full {
            let growth = if self.is_ramping { RAMP_GROWTH } else { GROWTH };
            self.limit *= growth;
        }
        self.clamp();
        self.is_ramping &= self.limit < f64::from(self.slots);
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(1.0, f64::from(self.slots));
    }
}

/// Running estimate of how long a call holds its slot.
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
