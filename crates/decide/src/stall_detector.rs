//! Tells a stalled connection from a slow response.
//!
//! HTTP/1.1 has no pings, so the decision rests on other calls to the same server. A call counts as
//! stalled if several calls that began later were answered, each in a much shorter time. If fewer
//! were, all remembered calls must have been answered in a still shorter time.

use std::{collections::VecDeque, time::Duration};

/// Minimum number of other calls that must have been answered.
pub const LATER_ANSWERS_MIN: usize = 4;
/// Shortest wait after which a connection may count as stalled.
pub const STALL_WAIT_MIN: Duration = Duration::from_millis(500);
/// Factor by which a call must have waited longer than each later call took.
const LATER_FACTOR: u32 = 4;
/// Factor by which it must have waited longer than any remembered call took, if few are later.
const ANY_FACTOR: u32 = 16;
/// Number of answered calls that are remembered.
const ANSWERS_MAX: usize = 64;

/// Sequence number of a call among those to one server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallSequence(u64);

/// Detects stalled calls to one server by its latest answered calls.
#[derive(Clone, Debug, Default)]
pub struct StallDetector {
    begun: u64,
    answers: VecDeque<(CallSequence, Duration)>,
}

impl StallDetector {
    /// Records the start of a call and returns its sequence number.
    pub fn start_call(&mut self) -> CallSequence {
        self.begun += 1;
        CallSequence(self.begun)
    }

    /// Records that a call was answered after `elapsed`.
    pub fn record_answer(&mut self, call: CallSequence, elapsed: Duration) {
        if self.answers.len() == ANSWERS_MAX {
            self.answers.pop_front();
        }
        self.answers.push_back((call, elapsed));
    }

    /// Returns whether the connection of `call`, unanswered for `elapsed`, counts as stalled.
    pub fn is_stalled(&self, call: CallSequence, elapsed: Duration) -> bool {
        if elapsed < STALL_WAIT_MIN || self.answers.len() < LATER_ANSWERS_MIN {
            return false;
        }
        let later_faster = self.later(call).all(|took| took <= elapsed / LATER_FACTOR);
        let all_faster = self
            .answers
            .iter()
            .all(|(_, took)| *took <= elapsed / ANY_FACTOR);
        later_faster && (all_faster || self.later(call).count() >= LATER_ANSWERS_MIN)
    }

    /// Returns whether no remembered answer belongs to a call that began after `call`.
    pub fn lacks_later_answer(&self, call: CallSequence) -> bool {
        self.later(call).next().is_none()
    }

    fn later(&self, call: CallSequence) -> impl Iterator<Item = Duration> {
        let later = self.answers.iter().filter(move |(other, _)| *other > call);
        later.map(|(_, took)| *took)
    }
}
