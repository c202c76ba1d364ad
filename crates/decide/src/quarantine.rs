//! Quarantine: stops a request that crashes backend servers before it crashes a third one.
//!
//! Each request in flight at a crash gets a strike and becomes a suspect. A server runs suspects one
//! at a time, and a complete response clears a suspect of its strikes. Two strikes that no response
//! has cleared quarantine the request at every daemon of the availability zone.
//!
//! Two gates must not both run a suspect that has one strike, because both runs could crash their
//! server. So strikes are written ahead. Before a gate runs a suspect, it records a strike for the
//! crash that the run may cause, sends the strike to the zone and merges the replies: peers record
//! strikes for their own runs of the request in the same way. It then runs the suspect only if the
//! decision still allows it. If the run ends without a crash, the strike is withdrawn.
//!
//! Where every daemon sends a suspect to the same gate, the serial run there replaces the strike
//! written ahead.
//!
//! A request that crashes servers may come again with another query each time. So requests that differ
//! in nothing but their query form a group, which is struck as well; the module `group` has its rule.
//!
//! Daemons exchange [`CrashReport`]s. Merging them is commutative, associative and idempotent, so
//! their order and duplicates don't matter.

use crate::time::MonoTime;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    mem,
    time::Duration,
};

mod group;
mod identity;
mod server_runs;

pub use identity::{CrashId, RequestContent, RequestFingerprint};
pub use server_runs::{RunKey, ServerRuns};

/// Number of uncleared strikes that quarantine a request.
pub const STRIKES_MAX: usize = 2;
/// Duration of a quarantine after the last strike; doubles with each strike from the third.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
/// Most doublings of [`QUARANTINE_DURATION`].
const QUARANTINE_DOUBLINGS_MAX: u32 = 6;
/// Most requests in a [`QuarantineState`]; the one whose last strike is oldest is removed first.
pub const SUSPECTS_MAX: usize = 10_000;
/// Most strikes that are stored for one request.
const STRIKES_STORED_MAX: usize = 16;

/// Report of a strike of one request, sent between daemons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// A crash at which the request was in flight, or one that its run may cause.
    pub crash: CrashId,
    /// Whether the request has been cleared of the strike.
    pub cleared: bool,
    /// Age of the strike in seconds when the report is sent; in a forwarded report, the age when it
    /// was forwarded.
    pub age_seconds: u32,
}

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDecision {
    /// Alongside any other requests.
    Unrestricted,
    /// As the only suspect at the server.
    Serial,
    /// Not until this time has passed.
    Quarantined(Duration),
}

impl RunDecision {
    /// Returns the stricter of two decisions.
    pub fn stricter(self, other: RunDecision) -> RunDecision {
        match (self, other) {
            (RunDecision::Quarantined(remaining), RunDecision::Quarantined(other)) => {
                RunDecision::Quarantined(remaining.max(other))
            }
            (RunDecision::Quarantined(_), _) | (_, RunDecision::Unrestricted) => self,
            (_, RunDecision::Quarantined(_)) | (RunDecision::Unrestricted, _) => other,
            (RunDecision::Serial, RunDecision::Serial) => self,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Strike {
    at: MonoTime,
    cleared: bool,
    /// Number of the change that recorded or cleared it.
    change: u64,
}

type Strikes = BTreeMap<CrashId, Strike>;

/// The strikes that one daemon or keeper knows of.
#[derive(Clone, Debug)]
pub struct QuarantineState {
    suspects: BTreeMap<RequestFingerprint, Strikes>,
    /// Duration of the quarantine after [`STRIKES_MAX`] strikes.
    first_quarantine: Duration,
    changes: u64,
    /// Digest of the strikes, unless they have changed since it was computed.
    digest: Option<u64>,
}

/// A state in which the first quarantine takes [`QUARANTINE_DURATION`].
impl Default for QuarantineState {
    fn default() -> QuarantineState {
        QuarantineState::new(QUARANTINE_DURATION)
    }
}

impl QuarantineState {
    /// Returns a state without strikes.
    ///
    /// `first_quarantine` is the duration of the quarantine after [`STRIKES_MAX`] strikes. A short one
    /// lets a request that was twice in flight beside a poison request run again soon, at the price of
    /// a third crash by the poison request.
    pub fn new(first_quarantine: Duration) -> QuarantineState {
        QuarantineState {
            suspects: BTreeMap::new(),
            first_quarantine,
            changes: 0,
            digest: None,
        }
    }

    /// Returns whether no request has strikes, cleared ones included.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests with strikes, cleared ones included.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns how the request may run at the server whose next crash is `own`; a strike for that
    /// crash is the request's own and does not count.
    pub fn decide(
        &self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        own: CrashId,
    ) -> RunDecision {
        self.decide_without(now, fingerprint, Some(own))
    }

    /// Returns how a request with this content may run, before its server is selected.
    pub fn decide_content(&self, now: MonoTime, content: RequestContent) -> RunDecision {
        let decision = self.decide_at_entry(now, content.fingerprint);
        decision.stricter(self.decide_group(now, content.group))
    }

    /// Returns the fingerprint that selects the gate for a request that must run serially: that of its
    /// group, if all requests of the group must.
    pub fn serial_fingerprint(&self, now: MonoTime, content: RequestContent) -> RequestFingerprint {
        match self.decide_group(now, content.group) {
            RunDecision::Unrestricted => content.fingerprint,
            _ => content.group.unwrap_or(content.fingerprint),
        }
    }

    /// Returns how the requests of a group may run.
    pub fn decide_group(&self, now: MonoTime, group: Option<RequestFingerprint>) -> RunDecision {
        group.map_or(RunDecision::Unrestricted, |group| {
            group::decide(now, &self.suspects, group, self.first_quarantine)
        })
    }

    /// Returns how the request may run, before its server is selected: all its strikes count.
    pub fn decide_at_entry(&self, now: MonoTime, fingerprint: RequestFingerprint) -> RunDecision {
        self.decide_without(now, fingerprint, None)
    }

    fn decide_without(
        &self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        own: Option<CrashId>,
    ) -> RunDecision {
        let Some(strikes) = self.suspects.get(&fingerprint) else {
            return RunDecision::Unrestricted;
        };
        let uncleared = strikes
            .iter()
            .filter(|(crash, strike)| !strike.cleared && Some(**crash) != own);
        let count = uncleared.clone().count();
        let Some(last) = uncleared.map(|(_, strike)| strike.at).max() else {
            return RunDecision::Unrestricted;
        };
        let remaining = (last + self.quarantine_duration(count)).since(now);
        if count < STRIKES_MAX || remaining.is_zero() {
            return RunDecision::Serial;
        }
        RunDecision::Quarantined(remaining)
    }

    /// Records a strike of each request for a crash that happened or may happen.
    ///
    /// Returns the reports to send to the peers.
    pub fn record_strikes(
        &mut self,
        now: MonoTime,
        crash: CrashId,
        fingerprints: impl IntoIterator<Item = RequestFingerprint>,
    ) -> Vec<CrashReport> {
        let report = |fingerprint| CrashReport {
            fingerprint,
            crash,
            cleared: false,
            age_seconds: 0,
        };
        let mut reports: Vec<_> = fingerprints.into_iter().map(report).collect();
        reports.retain(|report| self.merge(now, *report));
        reports
    }

    /// Withdraws the strike for a crash that did not happen.
    ///
    /// Returns the reports to send to the peers.
    pub fn withdraw_strike(
        &mut self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        crash: CrashId,
    ) -> Vec<CrashReport> {
        self.clear_where(now, fingerprint, |other| other == crash)
    }

    /// Clears the request of all strikes known here, after a complete response.
    ///
    /// Returns the reports to send to the peers.
    pub fn clear(&mut self, now: MonoTime, fingerprint: RequestFingerprint) -> Vec<CrashReport> {
        self.clear_where(now, fingerprint, |_| true)
    }

    /// Merges a report; returns whether it changed anything.
    pub fn merge(&mut self, now: MonoTime, report: CrashReport) -> bool {
        let change = self.changes + 1;
        let strikes = self.suspects.entry(report.fingerprint).or_default();
        if let Some(strike) = strikes.get_mut(&report.crash) {
            if !report.cleared || strike.cleared {
                return false;
            }
            strike.cleared = true;
            strike.change = change;
            self.set_changed(change);
            return true;
        }
        let strike = Strike {
            at: now - Duration::from_secs(u64::from(report.age_seconds)),
            cleared: report.cleared,
            change,
        };
        strikes.insert(report.crash, strike);
        remove_excess(strikes);
        self.set_changed(change);
        self.evict_oldest_if_full();
        true
    }

    /// Removes requests whose last strike is older than twice their quarantine, or than twice
    /// [`QUARANTINE_DURATION`] if that is longer; to be called every few seconds.
    pub fn remove_expired(&mut self, now: MonoTime) {
        let count = self.suspects.len();
        self.suspects.retain(|_, strikes| !is_expired(now, strikes));
        if self.suspects.len() != count {
            self.digest = None;
        }
    }

    fn set_changed(&mut self, change: u64) {
        self.changes = change;
        self.digest = None;
    }

    /// Returns the duration of the quarantine of a request with `strikes` uncleared strikes.
    fn quarantine_duration(&self, strikes: usize) -> Duration {
        match strikes {
            STRIKES_MAX => self.first_quarantine,
            _ => doubled_duration(strikes),
        }
    }

    /// Returns reports of all strikes, for a peer that has just joined.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = CrashReport> {
        self.iter()
            .map(move |(fingerprint, crash, strike)| report_of(now, fingerprint, crash, strike))
    }

    /// Returns reports of the strikes of one request.
    pub fn reports_of(&self, now: MonoTime, fingerprint: RequestFingerprint) -> Vec<CrashReport> {
        let strikes = self.suspects.get(&fingerprint).into_iter().flatten();
        strikes
            .map(|(crash, strike)| report_of(now, fingerprint, *crash, *strike))
            .collect()
    }

    /// Returns the number of changes so far.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns reports of the strikes that changed after change number `after`. Costs a look at each
    /// strike, unless nothing has changed.
    pub fn changed_after(&self, now: MonoTime, after: u64) -> Vec<CrashReport> {
        if after >= self.changes {
            return Vec::new();
        }
        self.iter()
            .filter(|(_, _, strike)| strike.change > after)
            .map(|(fingerprint, crash, strike)| report_of(now, fingerprint, crash, strike))
            .collect()
    }

    /// Returns a hash that is equal for equal sets of strikes, whatever their ages. Costs a look at
    /// each strike after a change.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let mut hasher = DefaultHasher::new();
        for (fingerprint, crash, strike) in self.iter() {
            (fingerprint, crash, strike.cleared).hash(&mut hasher);
        }
        *self.digest.insert(hasher.finish())
    }

    fn iter(&self) -> impl Iterator<Item = (RequestFingerprint, CrashId, Strike)> {
        self.suspects.iter().flat_map(|(fingerprint, strikes)| {
            strikes
                .iter()
                .map(|(crash, strike)| (*fingerprint, *crash, *strike))
        })
    }

    fn clear_where(
        &mut self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        is_cleared: impl Fn(CrashId) -> bool,
    ) -> Vec<CrashReport> {
        let Some(strikes) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let mut reports = Vec::new();
        for (crash, strike) in strikes {
            if is_cleared(*crash) && !mem::replace(&mut strike.cleared, true) {
                self.changes += 1;
                self.digest = None;
                strike.change = self.changes;
                reports.push(report_of(now, fingerprint, *crash, *strike));
            }
        }
        reports
    }

    fn evict_oldest_if_full(&mut self) {
        if self.suspects.len() <= SUSPECTS_MAX {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, strikes)| last_strike(strikes));
        let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
        self.suspects
            .remove(&oldest.expect("there are too many suspects"));
    }
}

/// Returns [`QUARANTINE_DURATION`], doubled with each of the `strikes` from the third.
fn doubled_duration(strikes: usize) -> Duration {
    let doublings = strikes.saturating_sub(STRIKES_MAX) as u32;
    QUARANTINE_DURATION * 2_u32.pow(doublings.min(QUARANTINE_DOUBLINGS_MAX))
}

/// Returns whether the quarantine and an equally long time of serial runs after it have passed.
fn is_expired(now: MonoTime, strikes: &Strikes) -> bool {
    let count = strikes.values().filter(|strike| !strike.cleared).count();
    let keep = doubled_duration(count) * 2;
    last_strike(strikes).is_none_or(|last| (last + keep).since(now).is_zero())
}

fn last_strike(strikes: &Strikes) -> Option<MonoTime> {
    strikes.values().map(|strike| strike.at).max()
}

fn remove_excess(strikes: &mut Strikes) {
    if strikes.len() <= STRIKES_STORED_MAX {
        return;
    }
    // Cleared strikes are removed first: they are kept only against delayed reports.
    let rank = |(_, strike): &(&CrashId, &Strike)| (!strike.cleared, strike.at);
    let oldest = strikes.iter().min_by_key(rank).map(|(crash, _)| *crash);
    strikes.remove(&oldest.expect("there are too many strikes"));
}

fn report_of(
    now: MonoTime,
    fingerprint: RequestFingerprint,
    crash: CrashId,
    strike: Strike,
) -> CrashReport {
    CrashReport {
        fingerprint,
        crash,
        cleared: strike.cleared,
        age_seconds: u32::try_from(now.since(strike.at).as_secs()).unwrap_or(u32::MAX),
    }
}
