//! Monotonic time, passed as an argument.

use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::Duration,
};

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
