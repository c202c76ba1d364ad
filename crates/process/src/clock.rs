//! The monotonic clocks of a process.

use agatehill_decide::time::MonoTime;
use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// Source of [`MonoTime`] for the state machines.
#[derive(Clone, Copy, Debug)]
pub struct MonoClock {
    start: Instant,
}

impl MonoClock {
    /// Starts a clock at [`MonoTime::ZERO`].
    pub fn open() -> MonoClock {
        MonoClock {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was opened.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + self.start.elapsed()
    }

    /// Converts `time` to an instant for timers of the runtime.
    pub fn to_instant(&self, time: MonoTime) -> Instant {
        self.start + Duration::from_micros(time.as_micros())
    }
}

/// Source of [`MonoTime`] for permissions that run out: unlike [`MonoClock`] it goes on while the host is
/// suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the host was started.
    pub fn now(self) -> MonoTime {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
        MonoTime::ZERO + Duration::from(time)
    }
}
