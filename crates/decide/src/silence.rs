//! Tells a connection that has gone silent from a slow answer.
//!
//! HTTP/1.1 has no pings, so the evidence is what happens beside a call. Either calls to the same
//! server that began later were answered, several of them and each much sooner; or few were, but
//! all that is remembered was answered much sooner still.

use std::{collections::VecDeque, time::Duration};

/// Other calls that must have been answered.
pub const WITNESSES_MIN: usize = 4;
/// Shortest wait after which a connection counts as silent.
pub const SILENCE_MIN: Duration = Duration::from_millis(500);
/// How many times longer than each later answer a call must have waited.
const LATER_FACTOR: u32 = 4;
/// How many times longer than every answer a call must have waited if there are few later ones.
const ANY_FACTOR: u32 = 16;
/// Answers that are remembered.
const ANSWERS_MAX: usize = 64;

/// Counts a call among those to one server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallOrder(u64);

/// The latest answers of one server.
#[derive(Clone, Debug, Default)]
pub struct AnswerLedger {
    begun: u64,
    answers: VecDeque<(CallOrder, Duration)>,
}

impl AnswerLedger {
    /// Counts a call that begins.
    pub fn begin(&mut self) -> CallOrder {
        self.begun += 1;
        CallOrder(self.begun)
    }

    /// Records that a call was answered after `elapsed`.
    pub fn answered(&mut self, call: CallOrder, elapsed: Duration) {
        if self.answers.len() == ANSWERS_MAX {
            self.answers.pop_front();
        }
        self.answers.push_back((call, elapsed));
    }

    /// Returns whether the connection of `call`, unanswered for `elapsed`, counts as silent.
    pub fn is_silent(&self, call: CallOrder, elapsed: Duration) -> bool {
        if elapsed < SILENCE_MIN || self.answers.len() < WITNESSES_MIN {
            return false;
        }
        let later_sooner = self.later(call).all(|span| span <= elapsed / LATER_FACTOR);
        let all_sooner = self
            .answers
            .iter()
            .all(|(_, span)| *span <= elapsed / ANY_FACTOR);
        later_sooner && (all_sooner || self.later(call).count() >= WITNESSES_MIN)
    }

    /// Returns whether no call that began after `call` was answered.
    pub fn is_alone(&self, call: CallOrder) -> bool {
        self.later(call).next().is_none()
    }

    fn later(&self, call: CallOrder) -> impl Iterator<Item = Duration> {
        let later = self.answers.iter().filter(move |(other, _)| *other > call);
        later.map(|(_, span)| *span)
    }
}
