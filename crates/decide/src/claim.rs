//! Claims: the replicated record that makes a non-idempotent request run at most once.
//!
//! A gate claims a request before it runs it and records the answer after. The table is replicated
//! by the keepers; a claim is granted to one claimer at a time, and only the claimer itself can
//! give a granted claim back, by proving that it has not started and never will.

use crate::{
    name::{DaemonName, Incarnation},
    replicated_state::ReplicatedState,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

mod message;

pub use message::{
    AnswerBody, ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest,
    DIGEST_BODY_BYTES_MAX, FencingToken, KeyHash, RequestDigest, STORED_RESPONSE_BYTES_MAX,
    StoredResponse, TICK_SECONDS_MAX,
};

/// Default bound on the memory of one table, in bytes.
pub const CLAIM_TABLE_BYTES_MAX: u64 = 1 << 30;
/// Log time for which a withdrawal is remembered, in seconds; longer than any attempt lasts.
pub const WITHDRAWAL_RETENTION_SECONDS: u64 = 3_600;
/// Log time between two expiry queues, in seconds.
const EXPIRY_SECONDS: u64 = 60;
/// Memory of one claim without its answer, in bytes: entry, tree node share and expiry record.
const CLAIM_BYTES: u64 = 192;
/// Memory of one withdrawal, in bytes.
const WITHDRAWN_BYTES: u64 = 224;

#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClaimEntry {
    digest: RequestDigest,
    token: FencingToken,
    expires: u64,
    state: ClaimState,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
enum ClaimState {
    Running(ClaimOwner),
    Answered(Box<StoredResponse>),
    Unknown,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct AttemptFence {
    attempt: u32,
    expires: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct RetiredRuns {
    before: Incarnation,
    expires: u64,
}

/// The claims of one group of keepers, the same on every replica.
///
/// Ordered maps only: neither the result of a command nor a snapshot depends on a hash seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimTable {
    /// Seconds of log time since the table was made.
    clock: u64,
    bytes: u64,
    bytes_max: u64,
    claims: BTreeMap<KeyHash, ClaimEntry>,
    running: BTreeMap<ClaimOwner, KeyHash>,
    withdrawn: BTreeSet<ClaimOwner>,
    /// Requests with a withdrawal; only the attempt that is named and later ones may run.
    fences: BTreeMap<KeyHash, AttemptFence>,
    /// Daemons with runs that are over; late copies of those runs' claims are refused.
    retired: BTreeMap<DaemonName, RetiredRuns>,
    /// What to look at when the clock reaches the key; a record may be out of date.
    claim_expiry: BTreeMap<u64, Vec<KeyHash>>,
    withdrawn_expiry: BTreeMap<u64, Vec<(KeyHash, ClaimOwner)>>,
    retired_expiry: BTreeMap<u64, Vec<DaemonName>>,
}

impl Default for ClaimTable {
    fn default() -> ClaimTable {
        ClaimTable::with_bytes_max(CLAIM_TABLE_BYTES_MAX)
    }
}

impl ReplicatedState for ClaimTable {
    type Command = ClaimCommand;
    type Reply = ClaimReply;

    fn apply(&mut self, position: u64, command: ClaimCommand) -> ClaimReply {
        match command {
            ClaimCommand::Claim(request) => self.claim(FencingToken(position), request),
            ClaimCommand::Query(request) => self.look(&request).unwrap_or(ClaimReply::Absent),
            ClaimCommand::Withdraw(request) => self.withdraw(request),
            ClaimCommand::Finish {
                key,
                token,
                outcome,
            } => self.finish(key.hash(), token, outcome),
            ClaimCommand::RetireRuns { daemon, before } => self.retire(daemon, before),
            ClaimCommand::Tick { elapsed_seconds } => self.tick(elapsed_seconds),
        }
    }
}

impl ClaimTable {
    /// Returns an empty table that refuses new claims at `bytes_max` bytes of memory.
    pub fn with_bytes_max(bytes_max: u64) -> ClaimTable {
        ClaimTable {
            clock: 0,
            bytes: 0,
            bytes_max,
            claims: BTreeMap::new(),
            running: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            fences: BTreeMap::new(),
            retired: BTreeMap::new(),
            retired_expiry: BTreeMap::new(),
            claim_expiry: BTreeMap::new(),
            withdrawn_expiry: BTreeMap::new(),
        }
    }

    /// Returns the reply to `command` if it changes nothing and is right also where this replica is
    /// behind; otherwise the command must pass through the log.
    ///
    /// What a replica says of a claim that it holds was true and stays safe: answers and unknown
    /// runs are final, and who hears of a running one asks again. An absent claim may be held
    /// elsewhere.
    pub fn reply_without_log(&self, command: &ClaimCommand) -> Option<ClaimReply> {
        let (ClaimCommand::Claim(request) | ClaimCommand::Query(request)) = command else {
            return None;
        };
        let is_granted = |reply: &ClaimReply| matches!(reply, ClaimReply::Granted(_));
        self.look(request).filter(|reply| !is_granted(reply))
    }

    /// Returns the number of claims that are remembered.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the number of granted claims that have not ended.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the memory in use, in bytes, as the bound counts it.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the seconds of log time since the table was made.
    pub fn clock_seconds(&self) -> u64 {
        self.clock
    }

    fn look(&self, request: &ClaimRequest) -> Option<ClaimReply> {
        let entry = self.claims.get(&request.key.hash())?;
        Some(entry.reply(request))
    }

    fn claim(&mut self, token: FencingToken, request: ClaimRequest) -> ClaimReply {
        let hash = request.key.hash();
        if let Some(reply) = self.look(&request) {
            return reply;
        }
        if let Some(before) = self.retired_before(&request.owner) {
            return ClaimReply::OwnerRetired(before);
        }
        if self.is_withdrawn(hash, &request) {
            return ClaimReply::Withdrawn;
        }
        if self.bytes + CLAIM_BYTES > self.bytes_max {
            return ClaimReply::Full;
        }
        let expires = self.clock + u64::from(request.remember_seconds);
        let entry = ClaimEntry {
            digest: request.digest,
            token,
            expires,
            state: ClaimState::Running(request.owner.clone()),
        };
        self.claims.insert(hash, entry);
        self.running.insert(request.owner, hash);
        self.bytes += CLAIM_BYTES;
        push_expiry(&mut self.claim_expiry, expires, hash);
        ClaimReply::Granted(token)
    }

    fn retired_before(&self, owner: &ClaimOwner) -> Option<Incarnation> {
        let before = self.retired.get(&owner.daemon)?.before;
        (owner.incarnation < before).then_some(before)
    }

    fn is_withdrawn(&self, hash: KeyHash, request: &ClaimRequest) -> bool {
        let is_fenced = |fence: &AttemptFence| request.attempt < fence.attempt;
        self.withdrawn.contains(&request.owner) || self.fences.get(&hash).is_some_and(is_fenced)
    }

    fn withdraw(&mut self, request: ClaimRequest) -> ClaimReply {
        let hash = request.key.hash();
        if self.running.remove(&request.owner).is_some() {
            self.claims.remove(&hash);
            self.bytes -= CLAIM_BYTES;
        }
        self.fence(hash, &request);
        self.look(&request).unwrap_or(ClaimReply::Done)
    }

    fn fence(&mut self, hash: KeyHash, request: &ClaimRequest) {
        let expires = self.clock + WITHDRAWAL_RETENTION_SECONDS;
        let attempt = request.attempt;
        let fence = self
            .fences
            .entry(hash)
            .or_insert(AttemptFence { attempt, expires });
        fence.attempt = fence.attempt.max(attempt);
        fence.expires = expires;
        if self.withdrawn.insert(request.owner.clone()) {
            self.bytes += WITHDRAWN_BYTES;
            let record = (hash, request.owner.clone());
            push_expiry(&mut self.withdrawn_expiry, expires, record);
        }
    }

    fn finish(&mut self, hash: KeyHash, token: FencingToken, outcome: ClaimOutcome) -> ClaimReply {
        let room = self.bytes_max.saturating_sub(self.bytes);
        let Some(entry) = self.claims.get_mut(&hash).filter(|e| e.token == token) else {
            return ClaimReply::StaleToken;
        };
        if matches!(entry.state, ClaimState::Answered(_)) {
            return ClaimReply::Done;
        }
        if let ClaimState::Running(owner) = &entry.state {
            self.running.remove(owner);
        }
        entry.state = match outcome {
            ClaimOutcome::Unknown => ClaimState::Unknown,
            ClaimOutcome::Answered(answer) => {
                ClaimState::Answered(Box::new(answer.truncated_to(room)))
            }
        };
        self.bytes += entry.answer_bytes();
        ClaimReply::Done
    }

    fn retire(&mut self, daemon: DaemonName, before: Incarnation) -> ClaimReply {
        let owner = |incarnation| ClaimOwner {
            daemon: daemon.clone(),
            incarnation,
            sequence: 0,
        };
        let range = owner(Incarnation(0))..owner(before);
        let over: Vec<_> = self
            .running
            .range(range)
            .map(|(o, h)| (o.clone(), *h))
            .collect();
        self.retire_runs(daemon, before);
        for (owner, hash) in over {
            self.running.remove(&owner);
            if let Some(entry) = self.claims.get_mut(&hash) {
                entry.state = ClaimState::Unknown;
            }
        }
        ClaimReply::Done
    }

    fn retire_runs(&mut self, daemon: DaemonName, before: Incarnation) {
        let expires = self.clock + WITHDRAWAL_RETENTION_SECONDS;
        let runs = RetiredRuns { before, expires };
        let runs = self.retired.entry(daemon.clone()).or_insert(runs);
        runs.before = runs.before.max(before);
        runs.expires = expires;
        push_expiry(&mut self.retired_expiry, expires, daemon);
    }

    fn tick(&mut self, elapsed_seconds: u32) -> ClaimReply {
        self.clock += u64::from(elapsed_seconds.min(TICK_SECONDS_MAX));
        while let Some(hashes) = pop_expiry(&mut self.claim_expiry, self.clock) {
            hashes.into_iter().for_each(|hash| self.expire_claim(hash));
        }
        while let Some(records) = pop_expiry(&mut self.withdrawn_expiry, self.clock) {
            for (hash, owner) in records {
                self.expire_withdrawal(hash, &owner);
            }
        }
        while let Some(daemons) = pop_expiry(&mut self.retired_expiry, self.clock) {
            daemons
                .iter()
                .for_each(|daemon| self.expire_retired(daemon));
        }
        ClaimReply::Done
    }

    fn expire_retired(&mut self, daemon: &DaemonName) {
        let clock = self.clock;
        let is_over = |runs: &RetiredRuns| runs.expires <= clock;
        if self.retired.get(daemon).is_some_and(is_over) {
            self.retired.remove(daemon);
        }
    }

    fn expire_withdrawal(&mut self, hash: KeyHash, owner: &ClaimOwner) {
        self.withdrawn.remove(owner);
        self.bytes -= WITHDRAWN_BYTES;
        let clock = self.clock;
        let is_over = |fence: &AttemptFence| fence.expires <= clock;
        if self.fences.get(&hash).is_some_and(is_over) {
            self.fences.remove(&hash);
        }
    }

    fn expire_claim(&mut self, hash: KeyHash) {
        let clock = self.clock;
        let expired = |entry: &ClaimEntry| entry.expires <= clock;
        if !self.claims.get(&hash).is_some_and(expired) {
            return;
        }
        let entry = self.claims.remove(&hash).expect("the claim was found");
        self.bytes -= CLAIM_BYTES + entry.answer_bytes();
        if let ClaimState::Running(owner) = entry.state {
            self.running.remove(&owner);
        }
    }
}

impl ClaimEntry {
    fn reply(&self, request: &ClaimRequest) -> ClaimReply {
        if self.digest != request.digest {
            return ClaimReply::Mismatch;
        }
        match &self.state {
            ClaimState::Running(owner) if *owner == request.owner => {
                ClaimReply::Granted(self.token)
            }
            ClaimState::Running(owner) => ClaimReply::Running(owner.clone()),
            ClaimState::Answered(answer) => ClaimReply::Replay(answer.as_ref().clone()),
            ClaimState::Unknown => ClaimReply::Unknown,
        }
    }

    fn answer_bytes(&self) -> u64 {
        match &self.state {
            ClaimState::Answered(answer) => answer.bytes(),
            ClaimState::Running(_) | ClaimState::Unknown => 0,
        }
    }
}

/// Puts `item` into the queue that comes due at `expires` or up to a minute later.
fn push_expiry<T>(queues: &mut BTreeMap<u64, Vec<T>>, expires: u64, item: T) {
    let due = expires.next_multiple_of(EXPIRY_SECONDS);
    queues.entry(due).or_default().push(item);
}

fn pop_expiry<T>(queues: &mut BTreeMap<u64, Vec<T>>, clock: u64) -> Option<Vec<T>> {
    let first = queues.first_entry()?;
    (*first.key() <= clock).then(|| first.remove())
}
