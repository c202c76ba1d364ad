//! Rate limit for log lines of one kind, with a count of the suppressed ones.

use crate::time::MonoTime;

/// Token bucket for log lines.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: MonoTime,
    suppressed: u64,
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogDecision {
    /// The line is written.
    Write {
        /// Number of lines suppressed since the last written one.
        suppressed: u64,
    },
    /// The line is suppressed and counted.
    Suppress,
}

impl LogRateLimiter {
    /// Returns a limiter that allows `per_second` lines on average and `burst` lines at once.
    pub fn new(per_second: f64, burst: f64) -> LogRateLimiter {
        LogRateLimiter {
            per_second,
            burst,
            tokens: burst,
            refilled_at: MonoTime::ZERO,
            suppressed: 0,
        }
    }

    /// Decides whether a line at `now` is written.
    pub fn check(&mut self, now: MonoTime) -> LogDecision {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return LogDecision::Suppress;
        }
        self.tokens -= 1.0;
        let suppressed = std::mem::take(&mut self.suppressed);
        LogDecision::Write { suppressed }
    }
}
