//! Detects child calls that a backend server sends again.
//!
//! Libraries inside backend servers retry by themselves, at every hop. A call is such a resend if it
//! equals an earlier call of the same parent that failed or is still in flight; it uses the chain's
//! retry budget.

use std::collections::HashMap;

/// Most distinct child calls of one parent that have their own entry; all others share one.
///
/// With a shared entry, a new call may count as a resend, but a resend never counts as new.
const CHILD_CALLS_MAX: usize = 1024;

/// Identifies equal child calls: a hash of service, method, path, query and request id.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ChildFingerprint(pub u64);

/// Shared fingerprint of all child calls beyond [`CHILD_CALLS_MAX`].
const SHARED_FINGERPRINT: ChildFingerprint = ChildFingerprint(0);

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ChildState {
    running: u32,
    has_failed: bool,
}

/// Child calls of one parent.
#[derive(Clone, Debug, Default)]
pub struct ResendDetector {
    children: HashMap<ChildFingerprint, ChildState>,
}

impl ResendDetector {
    /// Records the start of a child call; returns whether it is a resend.
    pub fn begin(&mut self, fingerprint: ChildFingerprint) -> bool {
        let fingerprint = self.stored_fingerprint(fingerprint);
        let state = self.children.entry(fingerprint).or_default();
        let is_resend = state.has_failed || state.running > 0;
        state.running += 1;
        is_resend
    }

    /// Records the end of a child call and whether it was answered.
    pub fn end(&mut self, fingerprint: ChildFingerprint, is_answered: bool) {
        let fingerprint = self.stored_fingerprint(fingerprint);
        if let Some(state) = self.children.get_mut(&fingerprint) {
            state.running = state.running.saturating_sub(1);
            state.has_failed = !is_answered;
        }
    }

    fn stored_fingerprint(&self, fingerprint: ChildFingerprint) -> ChildFingerprint {
        let is_full = self.children.len() >= CHILD_CALLS_MAX;
        if is_full && !self.children.contains_key(&fingerprint) {
            return SHARED_FINGERPRINT;
        }
        fingerprint
    }
}
