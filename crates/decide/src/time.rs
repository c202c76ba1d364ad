//! Monotonic time, passed as an argument.

use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Longest time span that is taken from outside, a year. Sums and small multiples of such spans don't
/// overflow.
pub const SPAN_MAX: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Returns a time span of `seconds`, [`SPAN_MAX`] at most; `None` if that is negative or no number.
pub fn span_from_seconds(seconds: f64) -> Option<Duration> {
    if seconds >= SPAN_MAX.as_secs_f64() {
        return Some(SPAN_MAX);
    }
    Duration::try_from_secs_f64(seconds).ok()
}

/// A point in time on the driver's monotonic clock, in microseconds since the driver started.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Start of the driver's clock.
    pub const ZERO: MonoTime = MonoTime(0);

    /// Returns the point `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> MonoTime {
        MonoTime(micros)
    }

    /// Returns the point `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> MonoTime {
        MonoTime(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: MonoTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = MonoTime;

    fn add(self, span: Duration) -> MonoTime {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        MonoTime(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = MonoTime;

    fn sub(self, span: Duration) -> MonoTime {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        MonoTime(self.0.saturating_sub(micros))
    }
}
