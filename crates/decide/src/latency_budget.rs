//! Divides the target latency of a caller's request into the time that it may wait for slots, at all gates
//! together, and the time after which its caller may come back.
//!
//! Designed for a service without room for all requests. If each gate let a request wait for the same time
//! again, it would be served late by the second gate or refused after the third, while requests behind it
//! become late as well. If a refused caller were told to come back when its target latency is nearly over,
//! what room there is would serve it late.

use std::time::Duration;

/// Share of the target latency that a caller's request may wait for slots in all.
const WAIT_SHARE: f64 = 0.3;
/// Share of the target latency that a call of a backend server may wait at each gate; if it is refused, the
/// work done for its root is lost.
const CALL_WAIT_SHARE: f64 = 0.5;
/// Share of the remaining time of a request that it may wait at one gate.
const REMAINING_SHARE: f64 = 0.7;
/// Share of what the target latency leaves besides serving the request after which its caller may come
/// back; the rest is for the jitter and for another wait.
const RETURN_SHARE: f64 = 0.5;
/// Shortest retry-after, before jitter.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// What one request may still spend of its target latency.
#[derive(Clone, Copy, Debug)]
pub struct LatencyBudget {
    target: Duration,
    wait_left: Duration,
    is_call: bool,
}

impl LatencyBudget {
    /// Returns the budget of a caller's request whose route has the target latency `target`.
    pub fn of_root(target: Duration) -> LatencyBudget {
        LatencyBudget {
            target,
            wait_left: target.mul_f64(WAIT_SHARE),
            is_call: false,
        }
    }

    /// Returns the budget of a call that a backend server makes for a request that it runs.
    pub fn of_call(target: Duration) -> LatencyBudget {
        LatencyBudget {
            target,
            wait_left: target.mul_f64(CALL_WAIT_SHARE),
            is_call: true,
        }
    }

    /// Returns how long the request may wait at the next gate if it has `remaining` time.
    pub fn wait_max(&self, remaining: Duration) -> Duration {
        self.wait_left.min(remaining.mul_f64(REMAINING_SHARE))
    }

    /// Records that a gate has refused the request after `elapsed`.
    pub fn record_refusal(&mut self, elapsed: Duration) {
        if !self.is_call {
            self.wait_left = self.wait_left.saturating_sub(elapsed);
        }
    }

    /// Returns the time after which the caller is told to come back, before jitter.
    ///
    /// `proposed` is when there is likely to be room, `elapsed` the age of the request and `latency` the
    /// time that serving it is expected to take. A caller that can't be served within its target latency
    /// even if it comes back after [`RETRY_AFTER_MIN`] is told `proposed`.
    pub fn retry_after(
        &self,
        proposed: Duration,
        elapsed: Duration,
        latency: Duration,
    ) -> Duration {
        let left = self.target.saturating_sub(elapsed + latency);
        let latest = left.mul_f64(RETURN_SHARE);
        let delay = match latest >= RETRY_AFTER_MIN {
            true => proposed.min(latest),
            false => proposed,
        };
        delay.max(RETRY_AFTER_MIN)
    }
}
