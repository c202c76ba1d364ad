//! Deadlines of a call chain.
//!
//! On the wire a deadline is sent as remaining time, never as a time of day, so the clocks of two
//! hosts need not agree. A margin per hop covers the transit time of messages.

use crate::time::MonoTime;
use std::time::Duration;

/// Time reserved at each hop for sending the response back.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Time on the local clock by which the complete response must have been passed on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallDeadline(MonoTime);

impl CallDeadline {
    /// Returns the deadline of a root call: the time `requested` by the caller, at most the
    /// contract's `max`, which also applies if the caller requests none.
    pub fn at_root(requested: Option<Duration>, max: Duration, now: MonoTime) -> CallDeadline {
        CallDeadline(now + requested.map_or(max, |span| span.min(max)))
    }

    /// Returns the deadline of a call that arrived with `millis` milliseconds remaining.
    pub fn from_wire(millis: u64, now: MonoTime) -> CallDeadline {
        CallDeadline(now + Duration::from_millis(millis))
    }

    /// Returns the deadline of a child call: the time `requested`, at most this deadline less
    /// [`HOP_MARGIN`].
    pub fn child(self, requested: Option<Duration>, now: MonoTime) -> CallDeadline {
        let inherited = CallDeadline(self.0 - HOP_MARGIN);
        match requested {
            Some(span) => inherited.min(CallDeadline(now + span)),
            None => inherited,
        }
    }

    /// Returns the remaining time to send to the next hop: milliseconds less [`HOP_MARGIN`], rounded
    /// down.
    ///
    /// Returns `None` if less than one millisecond remains; the call must not be forwarded then.
    pub fn to_wire(self, now: MonoTime) -> Option<u64> {
        let remaining = self.remaining(now).saturating_sub(HOP_MARGIN);
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        (millis > 0).then_some(millis)
    }

    /// Returns the remaining time, zero once the deadline has passed.
    pub fn remaining(self, now: MonoTime) -> Duration {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    pub fn has_passed(self, now: MonoTime) -> bool {
        self.0 <= now
    }

    /// Returns the deadline as a time on the local clock.
    pub fn at(self) -> MonoTime {
        self.0
    }
}

impl From<MonoTime> for CallDeadline {
    fn from(at: MonoTime) -> CallDeadline {
        CallDeadline(at)
    }
}
