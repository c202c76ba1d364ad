//! Remaining time of a call chain.
//!
//! Over the wire a deadline is the time left, never a point on a clock, so that the clocks of two
//! hosts need not agree. What the message spent on its way is covered by a margin a hop.

use crate::time::MonoTime;
use std::time::Duration;

/// Time set aside at each hop for the answer's way back.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// The point on the local clock by which the whole answer must have been passed on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallDeadline(MonoTime);

impl CallDeadline {
    /// Returns the deadline of a root call: `asked`, or the contract's `ceiling` where the caller
    /// names none or a longer one.
    pub fn at_root(asked: Option<Duration>, ceiling: Duration, now: MonoTime) -> CallDeadline {
        CallDeadline(now + asked.map_or(ceiling, |span| span.min(ceiling)))
    }

    /// Returns the deadline of a call that came with `millis` milliseconds left.
    pub fn from_wire(millis: u64, now: MonoTime) -> CallDeadline {
        CallDeadline(now + Duration::from_millis(millis))
    }

    /// Returns the deadline of a call made on behalf of this one, never later than it.
    pub fn child(self, asked: Option<Duration>, now: MonoTime) -> CallDeadline {
        let inherited = CallDeadline(self.0 - HOP_MARGIN);
        match asked {
            Some(span) => inherited.min(CallDeadline(now + span)),
            None => inherited,
        }
    }

    /// Returns the milliseconds to state to the next hop, less the margin for the way back.
    ///
    /// Rounded down; `None` when less than one is left, and the call must not be sent on.
    pub fn to_wire(self, now: MonoTime) -> Option<u64> {
        let left = self.remaining(now).saturating_sub(HOP_MARGIN);
        let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        (millis > 0).then_some(millis)
    }

    /// Returns the time left, zero once it has passed.
    pub fn remaining(self, now: MonoTime) -> Duration {
        self.0.since(now)
    }

    /// Returns whether no time is left.
    pub fn has_passed(self, now: MonoTime) -> bool {
        self.0 <= now
    }

    /// Returns the point on the local clock.
    pub fn at(self) -> MonoTime {
        self.0
    }
}

impl From<MonoTime> for CallDeadline {
    fn from(at: MonoTime) -> CallDeadline {
        CallDeadline(at)
    }
}
