//! The rule for requests that differ in nothing but their query.
//!
//! Such requests often have nothing else in common, and many of them may be in flight when several
//! servers lose power at once. So a group is restricted only after more strikes than a single request,
//! and crashes at about the same time count once when its quarantine is prolonged. A response to any
//! request of the group clears it.

use super::{QUARANTINE_DURATION, RunDecision};
use crate::time::MonoTime;
use std::time::Duration;

/// Number of uncleared strikes that quarantine a group.
const GROUP_STRIKES_MAX: usize = 3;
/// Number of separate crashes that quarantine a group for [`QUARANTINE_DURATION`]: those of the first
/// strikes, and of two trials.
const GROUP_CRASHES_MAX: usize = 3;
/// Time from one strike to the next from which their crashes count as separate.
const SEPARATE_CRASH_PAUSE: Duration = Duration::from_secs(2);

/// Returns how the requests of a group with uncleared strikes at the times `struck_at` may run.
pub(super) fn decide(
    now: MonoTime,
    mut struck_at: Vec<MonoTime>,
    first_quarantine: Duration,
) -> RunDecision {
    if struck_at.len() < GROUP_STRIKES_MAX {
        return RunDecision::Unrestricted;
    }
    struck_at.sort_unstable();
    let pauses = struck_at.windows(2).map(|pair| pair[1].since(pair[0]));
    let crashes = 1 + pauses
        .filter(|pause| *pause >= SEPARATE_CRASH_PAUSE)
        .count();
    let duration = if crashes < GROUP_CRASHES_MAX {
        first_quarantine
    } else {
        QUARANTINE_DURATION
    };
    let last = struck_at[struck_at.len() - 1];
    let remaining = (last + duration).since(now);
    if remaining.is_zero() {
        return RunDecision::Serial;
    }
    RunDecision::Quarantined(remaining)
}
