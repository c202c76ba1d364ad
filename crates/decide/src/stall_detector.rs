//! Tells a connection that has gone silent from a slow answer.
//!
//! HTTP/1.1 has no pings, so the evidence is what happens beside a call. Either calls to the same
//! server that began later were answered, several of them and each much sooner; or few were, but
//! all that is remembered was answered much sooner still.

use std::{collections::VecDeque, time::Duration};

/// Other calls that must have been answered.
pub const LATER_ANSWERS_MIN: usize = 4;
/// Shortest wait after which a connection counts as silent.
pub const STALL_WAIT_MIN: Duration = Duration::from_millis(500);
/// How many times longer than each later answer a call must have waited.
const LATER_FACTOR: u32 = 4;
/// How many times longer than every answer a call must have waited if there are few later ones.
const ANY_FACTOR: u32 = 16;
/// Answers that are remembered.
const ANSWERS_MAX: usize = 64;

/// Counts a call among those to one server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallSequence(u64);

/// The latest answers of one server.
#[derive(Clone, Debug, Default)]
pub struct StallDetector {
    begun: u64,
    answers: VecDeque<(CallSequence, Duration)>,
}

impl StallDetector {
    /// Counts a call that begins.
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

    /// Returns whether the connection of `call`, unanswered for `elapsed`, counts as silent.
    pub fn is_stalled(&self, call: CallSequence, elapsed: Duration) -> bool {
        if elapsed < STALL_WAIT_MIN || self.answers.len() < LATER_ANSWERS_MIN {
            return false;
        }
        let later_sooner = self.later(call).all(|span| span <= elapsed / LATER_FACTOR);
        let all_sooner = self
            .answers
            .iter()
            .all(|(_, span)| *span <= elapsed / ANY_FACTOR);
        later_sooner && (all_sooner || self.later(call).count() >= LATER_ANSWERS_MIN)
    }

    /// Returns whether no call that began after `call` was answered.
    pub fn lacks_later_answer(&self, call: CallSequence) -> bool {
        self.later(call).next().is_none()
    }

    fn later(&self, call: CallSequence) -> impl Iterator<Item = Duration> {
        let later = self.answers.iter().filter(move |(other, _)| *other > call);
        later.map(|(_, span)| *span)
    }
}
