//! The rule for requests that differ in nothing but their query.
//!
//! Such requests often have nothing else in common, and many of them may be in flight when several
//! servers lose power at once or crash under another request. So a group is restricted only after more
//! strikes than a single request; crashes that another request with several strikes explains don't count,
//! and those at about the same time count once when the quarantine is prolonged. A response to any request
//! of the group clears it.

use super::{CrashId, QUARANTINE_DURATION, RequestFingerprint, RunDecision, Strikes};
use crate::time::MonoTime;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Number of uncleared strikes that quarantine a group.
const GROUP_STRIKES_MAX: usize = 3;
/// Number of uncleared strikes from which a request explains the crashes that it was struck for.
const EXPLAINING_STRIKES_MIN: usize = 2;
/// Number of separate crashes that quarantine a group for [`QUARANTINE_DURATION`]: those of the first
/// strikes, and of two trials.
const GROUP_CRASHES_MAX: usize = 3;
/// Time from one strike to the next from which their crashes count as separate.
const SEPARATE_CRASH_PAUSE: Duration = Duration::from_secs(2);

/// Returns how the requests of `group` may run. Costs a look at all strikes if it has three or more.
pub(super) fn decide(
    now: MonoTime,
    suspects: &BTreeMap<RequestFingerprint, Strikes>,
    group: RequestFingerprint,
    first_quarantine: Duration,
) -> RunDecision {
    let strikes = suspects.get(&group).into_iter().flatten();
    let uncleared = strikes.filter(|(_, strike)| !strike.cleared);
    let mut strikes: Vec<_> = uncleared
        .map(|(crash, strike)| (*crash, strike.at))
        .collect();
    if strikes.len() < GROUP_STRIKES_MAX {
        return RunDecision::Unrestricted;
    }
    let explained = explained_crashes(suspects, group);
    strikes.retain(|(crash, _)| !explained.contains(crash));
    if strikes.len() < GROUP_STRIKES_MAX {
        return RunDecision::Unrestricted;
    }
    let mut struck_at: Vec<_> = strikes.into_iter().map(|(_, at)| at).collect();
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

/// Returns the crashes that requests outside `group` explain.
fn explained_crashes(
    suspects: &BTreeMap<RequestFingerprint, Strikes>,
    group: RequestFingerprint,
) -> BTreeSet<CrashId> {
    let others = suspects.iter().filter(|(other, _)| !other.is_in(group));
    let uncleared = others.map(|(_, strikes)| {
        let uncleared = strikes.iter().filter(|(_, strike)| !strike.cleared);
        uncleared.map(|(crash, _)| *crash).collect::<Vec<_>>()
    });
    uncleared
        .filter(|crashes| crashes.len() >= EXPLAINING_STRIKES_MIN)
        .flatten()
        .collect()
}
