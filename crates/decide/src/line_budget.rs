//! Bounds the log lines of one kind: so many a second, and a count of those that were left out.

use crate::time::MonoTime;

/// A bucket of lines that fills with time.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    per_second: f64,
    burst: f64,
    saved: f64,
    filled_at: MonoTime,
    left_out: u64,
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineVerdict {
    /// It is written; `left_out` lines were not since the last one that was.
    Write {
        /// Lines left out since the last one that was written.
        left_out: u64,
    },
    /// It is left out and counted.
    LeaveOut,
}

impl LineBudget {
    /// Returns a budget of `per_second` lines, of which up to `burst` are saved up.
    pub fn new(per_second: f64, burst: f64) -> LineBudget {
        LineBudget {
            per_second,
            burst,
            saved: burst,
            filled_at: MonoTime::ZERO,
            left_out: 0,
        }
    }

    /// Decides on a line at `now`.
    pub fn ask(&mut self, now: MonoTime) -> LineVerdict {
        let earned = now.since(self.filled_at).as_secs_f64() * self.per_second;
        self.saved = (self.saved + earned).min(self.burst);
        self.filled_at = now;
        if self.saved < 1.0 {
            self.left_out += 1;
            return LineVerdict::LeaveOut;
        }
        self.saved -= 1.0;
        let left_out = std::mem::take(&mut self.left_out);
        LineVerdict::Write { left_out }
    }
}
