//! Quarantine: a request that crashes backend servers is stopped before it crashes a third.
//!
//! All requests in flight at a crash get a strike and are suspects. A suspect runs only in the lane
//! of a server, one at a time, and a whole answer clears it. Two strikes that no answer has
//! cleared quarantine it at every daemon of the availability zone.
//!
//! Two suspects' runs must not both count as the second, so a strike is written ahead: a gate
//! strikes a suspect for the crash that its run may cause, tells the zone, takes in what the
//! peers reply (they strike their own runs of it in the same way), and runs it only if the verdict
//! still allows. An end without a crash takes that strike back.
//!
//! Daemons tell each other [`CrashReport`]s; merging them is commutative, associative and
//! idempotent, so order and copies don't matter.

use crate::{
    claim::RequestDigest,
    name::{CustomerName, DaemonName, Incarnation},
    time::MonoTime,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, mem, time::Duration};

mod server_runs;

pub use server_runs::{RunKey, ServerRuns};

/// Strikes without an answer since that quarantine a request.
pub const STRIKES_MAX: usize = 2;
/// Time for which a request is held after its last strike; doubles with each strike from the third.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
/// Most doublings of [`QUARANTINE_DURATION`].
const HOLD_DOUBLINGS_MAX: u32 = 6;
/// Most requests in one book; the one that was struck longest ago gives way.
pub const SUSPECTS_MAX: usize = 10_000;
/// Most strikes that are held of one request.
const STRIKES_HELD_MAX: usize = 16;

/// Tells requests of the same content from others, whatever their request ids.
///
/// The request id is left out because the caller of a poison request may send it again under a
/// new one. Frequent requests of the same content are cleared by their own answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Returns the fingerprint of the request of `customer` with the digest `digest`.
    pub fn of(customer: &CustomerName, digest: RequestDigest) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new();
        hasher.update(customer.as_str().as_bytes());
        hasher.update(digest.as_bytes());
        let hash = hasher.finalize();
        RequestFingerprint(hash.as_bytes()[..16].try_into().expect("sixteen bytes"))
    }
}

/// Names one crash of a backend server, before it happens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the name of the crash that a run of a daemon counts as `sequence`.
    pub fn of(daemon: &DaemonName, incarnation: Incarnation, sequence: u64) -> CrashId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&incarnation.0.to_le_bytes());
        hasher.update(&sequence.to_le_bytes());
        hasher.update(daemon.as_str().as_bytes());
        let hash = hasher.finalize();
        CrashId(u64::from_le_bytes(
            hash.as_bytes()[..8].try_into().expect("eight bytes"),
        ))
    }
}

/// What daemons tell each other about one request and one crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// A crash at which it was in flight, or which its run may cause.
    pub crash: CrashId,
    /// Whether the request has been cleared of it.
    pub cleared: bool,
    /// Time since the strike, in seconds; a copy that is told on carries the time until then.
    pub age_seconds: u32,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDecision {
    /// Beside others.
    Unrestricted,
    /// In the lane, one suspect at a time.
    Serial,
    /// Not before the time given.
    Quarantined(Duration),
}

#[derive(Clone, Copy, Debug)]
struct CrashMark {
    at: MonoTime,
    cleared: bool,
}

type CrashMarks = BTreeMap<CrashId, CrashMark>;

/// The suspects that one daemon knows of.
#[derive(Clone, Debug, Default)]
pub struct QuarantineState {
    suspects: BTreeMap<RequestFingerprint, CrashMarks>,
}

impl QuarantineState {
    /// Returns whether no request is in the book.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests in the book, those that are cleared included.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns how the request may run at the server whose next crash is `own`.
    pub fn verdict(
        &self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        own: CrashId,
    ) -> RunDecision {
        let Some(marks) = self.suspects.get(&fingerprint) else {
            return RunDecision::Unrestricted;
        };
        let strikes = marks
            .iter()
            .filter(|(crash, mark)| !mark.cleared && **crash != own);
        let count = strikes.clone().count();
        let Some(last) = strikes.map(|(_, mark)| mark.at).max() else {
            return RunDecision::Unrestricted;
        };
        let left = (last + hold_time(count)).since(now);
        if count < STRIKES_MAX || left.is_zero() {
            return RunDecision::Serial;
        }
        RunDecision::Quarantined(left)
    }

    /// Strikes requests for a crash, real or possible; returns what to tell.
    pub fn record_strikes(
        &mut self,
        now: MonoTime,
        crash: CrashId,
        fingerprints: impl IntoIterator<Item = RequestFingerprint>,
    ) -> Vec<CrashReport> {
        let note = |fingerprint| CrashReport {
            fingerprint,
            crash,
            cleared: false,
            age_seconds: 0,
        };
        let mut notes: Vec<_> = fingerprints.into_iter().map(note).collect();
        notes.retain(|note| self.merge(now, *note));
        notes
    }

    /// Takes back the strike for a crash that did not happen; returns what to tell.
    pub fn withdraw_strike(
        &mut self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        crash: CrashId,
    ) -> Vec<CrashReport> {
        self.clear_where(now, fingerprint, |other| other == crash)
    }

    /// Clears the request of every strike known here, after a whole answer; returns what to tell.
    pub fn clear(&mut self, now: MonoTime, fingerprint: RequestFingerprint) -> Vec<CrashReport> {
        self.clear_where(now, fingerprint, |_| true)
    }

    /// Takes in what a peer tells; returns whether it was news.
    pub fn merge(&mut self, now: MonoTime, note: CrashReport) -> bool {
        let marks = self.suspects.entry(note.fingerprint).or_default();
        if let Some(mark) = marks.get_mut(&note.crash) {
            return note.cleared && !mem::replace(&mut mark.cleared, true);
        }
        let at = now - Duration::from_secs(u64::from(note.age_seconds));
        let cleared = note.cleared;
        marks.insert(note.crash, CrashMark { at, cleared });
        trim(marks);
        self.make_room();
        true
    }

    /// Forgets requests whose strikes are long past; call it every few seconds.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.suspects.retain(|_, marks| !is_over(now, marks));
    }

    /// Returns all that is known, for a peer that has just joined.
    pub fn reports(&self, now: MonoTime) -> impl Iterator<Item = CrashReport> {
        self.suspects.iter().flat_map(move |(fingerprint, marks)| {
            marks
                .iter()
                .map(move |(crash, mark)| note_of(now, *fingerprint, *crash, *mark))
        })
    }

    fn clear_where(
        &mut self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        wanted: impl Fn(CrashId) -> bool,
    ) -> Vec<CrashReport> {
        let Some(marks) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let mut notes = Vec::new();
        for (crash, mark) in marks {
            if wanted(*crash) && !mem::replace(&mut mark.cleared, true) {
                notes.push(note_of(now, fingerprint, *crash, *mark));
            }
        }
        notes
    }

    fn make_room(&mut self) {
        if self.suspects.len() <= SUSPECTS_MAX {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, marks)| last_mark(marks));
        let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
        self.suspects.remove(&oldest.expect("the book is full"));
    }
}

/// Returns for how long after its last strike a request with `strikes` strikes is held.
fn hold_time(strikes: usize) -> Duration {
    let doublings = strikes.saturating_sub(STRIKES_MAX) as u32;
    QUARANTINE_DURATION * 2_u32.pow(doublings.min(HOLD_DOUBLINGS_MAX))
}

/// Returns whether the lane after the hold, as long as the hold itself, is past too.
fn is_over(now: MonoTime, marks: &CrashMarks) -> bool {
    let count = marks.values().filter(|mark| !mark.cleared).count();
    let keep = hold_time(count) * 2;
    last_mark(marks).is_none_or(|last| (last + keep).since(now).is_zero())
}

fn last_mark(marks: &CrashMarks) -> Option<MonoTime> {
    marks.values().map(|mark| mark.at).max()
}

fn trim(marks: &mut CrashMarks) {
    if marks.len() <= STRIKES_HELD_MAX {
        return;
    }
    // Cleared marks give way first: they only guard against late copies.
    let rank = |(_, mark): &(&CrashId, &CrashMark)| (!mark.cleared, mark.at);
    let oldest = marks.iter().min_by_key(rank).map(|(crash, _)| *crash);
    marks.remove(&oldest.expect("there are marks"));
}

fn note_of(
    now: MonoTime,
    fingerprint: RequestFingerprint,
    crash: CrashId,
    mark: CrashMark,
) -> CrashReport {
    CrashReport {
        fingerprint,
        crash,
        cleared: mark.cleared,
        age_seconds: u32::try_from(now.since(mark.at).as_secs()).unwrap_or(u32::MAX),
    }
}
