//! Tells a backend server's resend of a child call from a new call.
//!
//! Libraries inside backend servers retry by themselves, at every hop. A call that equals an
//! earlier one of the same parent, which has failed or has not ended, is such a resend and is paid
//! from the chain's retry budget.

use std::collections::HashMap;

/// Distinct child calls of one parent that are told apart; further ones share one entry.
///
/// A parent with more of them gets a stricter count, never a looser one.
const CHILD_CALLS_MAX: usize = 1024;

/// Fingerprint of a child call: a hash of service, method, path, query and request id.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ChildFingerprint(pub u64);

/// Stands for all child calls past [`CHILD_CALLS_MAX`].
const SHARED_PRINT: ChildFingerprint = ChildFingerprint(0);

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ChildState {
    running: u32,
    has_failed: bool,
}

/// The child calls of one parent.
#[derive(Clone, Debug, Default)]
pub struct ResendDetector {
    children: HashMap<ChildFingerprint, ChildState>,
}

impl ResendDetector {
    /// Records a child call that starts; returns whether it is a resend.
    pub fn begin(&mut self, print: ChildFingerprint) -> bool {
        let print = self.known(print);
        let state = self.children.entry(print).or_default();
        let is_resend = state.has_failed || state.running > 0;
        state.running += 1;
        is_resend
    }

    /// Records the end of a child call.
    pub fn end(&mut self, print: ChildFingerprint, is_answered: bool) {
        let print = self.known(print);
        if let Some(state) = self.children.get_mut(&print) {
            state.running = state.running.saturating_sub(1);
            state.has_failed = !is_answered;
        }
    }

    fn known(&self, print: ChildFingerprint) -> ChildFingerprint {
        let is_full = self.children.len() >= CHILD_CALLS_MAX;
        if is_full && !self.children.contains_key(&print) {
            return SHARED_PRINT;
        }
        print
    }
}
