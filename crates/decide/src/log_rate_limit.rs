//! Bounds the log lines of one kind: so many a second, and a count of those that were left out.

use crate::time::MonoTime;

/// A bucket of lines that fills with time.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    per_second: f64,
    burst: f64,
    saved: f64,
    filled_at: MonoTime,
    suppressed: u64,
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogDecision {
    /// It is written; `suppressed` lines were not since the last one that was.
    Write {
        /// Lines left out since the last one that was written.
        suppressed: u64,
    },
    /// It is left out and counted.
    Suppress,
}

impl LogRateLimiter {
    /// Returns a budget of `per_second` lines, of which up to `burst` are saved up.
    pub fn new(per_second: f64, burst: f64) -> LogRateLimiter {
        LogRateLimiter {
            per_second,
            burst,
            saved: burst,
            filled_at: MonoTime::ZERO,
            suppressed: 0,
        }
    }

    /// Decides on a line at `now`.
    pub fn check(&mut self, now: MonoTime) -> LogDecision {
        let earned = now.since(self.filled_at).as_secs_f64() * self.per_second;
        self.saved = (self.saved + earned).min(self.burst);
        self.filled_at = now;
        if self.saved < 1.0 {
            self.suppressed += 1;
            return LogDecision::Suppress;
        }
        self.saved -= 1.0;
        let suppressed = std::mem::take(&mut self.suppressed);
        LogDecision::Write { suppressed }
    }
}
