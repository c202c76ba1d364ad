//! Claims: the replicated record that makes a non-idempotent request run at most once.
//!
//! A gate claims a request before it runs it and records the response afterwards. The keepers
//! replicate the table. A claim is granted to one owner at a time, and only that owner can withdraw
//! it, by stating that the request has not run under the claim and never will.

use crate::{
    name::{DaemonName, Incarnation},
    replicated_state::ReplicatedState,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

mod message;

pub use message::{
    ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest,
    DIGEST_BODY_BYTES_MAX, FencingToken, KeyHash, RequestDigest, STORED_RESPONSE_BYTES_MAX,
    StoredBody, StoredResponse, TICK_SECONDS_MAX,
};

/// Default bound on the memory of one table, in bytes.
pub const CLAIM_TABLE_BYTES_MAX: u64 = 1 << 30;
/// Log time for which a withdrawal or a retired run is remembered, in seconds; longer than any
/// attempt lasts.
pub const WITHDRAWAL_RETENTION_SECONDS: u64 = 3_600;
/// Log time covered by one expiry queue, in seconds.
const EXPIRY_QUEUE_SECONDS: u64 = 60;
/// Memory of one claim without its response, in bytes: its entry, its share of a tree
/// node and its expiry record.
const CLAIM_BYTES: u64 = 192;
/// Memory of one withdrawal, in bytes.
const WITHDRAWN_BYTES: u64 = 224;

#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClaimEntry {
    digest: RequestDigest,
    token: FencingToken,
    /// Log time from which on the claim may be forgotten, in seconds.
    expires: u64,
    state: ClaimState,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
enum ClaimState {
    Running(ClaimOwner),
    Answered(Box<StoredResponse>),
    Unknown,
}

/// The lowest attempt number of a request that can still be granted a claim.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct MinAttempt {
    attempt: u32,
    expires: u64,
}

/// The ended runs of a daemon: those before an incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct RetiredRuns {
    before: Incarnation,
    expires: u64,
}

/// The claims of one keeper group, the same on every replica.
///
/// It uses ordered collections only, so that neither the result of a command nor a snapshot depends
/// on a hash seed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ClaimTable {
    /// Log time since the table was created, in seconds.
    clock: u64,
    bytes: u64,
    bytes_max: u64,
    claims: BTreeMap<KeyHash, ClaimEntry>,
    running: BTreeMap<ClaimOwner, KeyHash>,
    withdrawn: BTreeSet<ClaimOwner>,
    /// Lowest attempt that can still be granted a claim, for each request with a withdrawal.
    min_attempts: BTreeMap<KeyHash, MinAttempt>,
    /// Daemons with ended runs; delayed copies of those runs' claims are refused.
    retired: BTreeMap<DaemonName, RetiredRuns>,
    /// Expiry queues by due time; an item may be out of date when its queue is due.
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
            ClaimCommand::Query(request) => self.query(&request).unwrap_or(ClaimReply::Absent),
            ClaimCommand::Withdraw(request) => self.withdraw(request),
            ClaimCommand::Finish {
                key,
                token,
                outcome,
            } => self.finish(key.hash(), token, outcome),
            ClaimCommand::RetireRuns { daemon, before } => self.retire_runs(daemon, before),
            ClaimCommand::Tick { elapsed_seconds } => self.tick(elapsed_seconds),
        }
    }
}

impl ClaimTable {
    /// Returns an empty table that refuses new claims once it uses `bytes_max` bytes of memory.
    pub fn with_bytes_max(bytes_max: u64) -> ClaimTable {
        ClaimTable {
            clock: 0,
            bytes: 0,
            bytes_max,
            claims: BTreeMap::new(),
            running: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            min_attempts: BTreeMap::new(),
            retired: BTreeMap::new(),
            retired_expiry: BTreeMap::new(),
            claim_expiry: BTreeMap::new(),
            withdrawn_expiry: BTreeMap::new(),
        }
    }

    /// Returns the reply to `command` if the command changes nothing and the reply is safe even if
    /// this replica lags; otherwise the command must go through the log.
    ///
    /// The state of a claim that this replica holds is safe to return: a response or an unknown
    /// outcome is final, and an owner whose request is running elsewhere asks again. The absence
    /// of a claim proves nothing, since other replicas may hold it.
    pub fn reply_without_log(&self, command: &ClaimCommand) -> Option<ClaimReply> {
        let (ClaimCommand::Claim(request) | ClaimCommand::Query(request)) = command else {
            return None;
        };
        let is_granted = |reply: &ClaimReply| matches!(reply, ClaimReply::Granted(_));
        self.query(request).filter(|reply| !is_granted(reply))
    }

    /// Returns the number of remembered claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the table holds no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the number of granted claims that have not ended.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the memory in use, in bytes, as counted for the bound.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the log time since the table was created, in seconds.
    pub fn clock_seconds(&self) -> u64 {
        self.clock
    }

    fn query(&self, request: &ClaimRequest) -> Option<ClaimReply> {
        let entry = self.claims.get(&request.key.hash())?;
        Some(entry.reply(request))
    }

    fn claim(&mut self, token: FencingToken, request: ClaimRequest) -> ClaimReply {
        let hash = request.key.hash();
        if let Some(reply) = self.query(&request) {
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
        let is_earlier = |min: &MinAttempt| request.attempt < min.attempt;
        self.withdrawn.contains(&request.owner)
            || self.min_attempts.get(&hash).is_some_and(is_earlier)
    }

    fn withdraw(&mut self, request: ClaimRequest) -> ClaimReply {
        let hash = request.key.hash();
        if self.running.remove(&request.owner).is_some() {
            self.claims.remove(&hash);
            self.bytes -= CLAIM_BYTES;
        }
        self.record_withdrawal(hash, &request);
        self.query(&request).unwrap_or(ClaimReply::Done)
    }

    fn record_withdrawal(&mut self, hash: KeyHash, request: &ClaimRequest) {
        let expires = self.clock + WITHDRAWAL_RETENTION_SECONDS;
        let attempt = request.attempt;
        let min = self
            .min_attempts
            .entry(hash)
            .or_insert(MinAttempt { attempt, expires });
        min.attempt = min.attempt.max(attempt);
        min.expires = expires;
        if self.withdrawn.insert(request.owner.clone()) {
            self.bytes += WITHDRAWN_BYTES;
            let record = (hash, request.owner.clone());
            push_expiry(&mut self.withdrawn_expiry, expires, record);
        }
    }

    fn finish(&mut self, hash: KeyHash, token: FencingToken, outcome: ClaimOutcome) -> ClaimReply {
        let free_bytes = self.bytes_max.saturating_sub(self.bytes);
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
            ClaimOutcome::Answered(response) => {
                ClaimState::Answered(Box::new(response.truncated_to(free_bytes)))
            }
        };
        self.bytes += entry.response_bytes();
        ClaimReply::Done
    }

    fn retire_runs(&mut self, daemon: DaemonName, before: Incarnation) -> ClaimReply {
        let owner = |incarnation| ClaimOwner {
            daemon: daemon.clone(),
            incarnation,
            sequence: 0,
        };
        let range = owner(Incarnation(0))..owner(before);
        let ended: Vec<_> = self
            .running
            .range(range)
            .map(|(o, h)| (o.clone(), *h))
            .collect();
        self.record_retirement(daemon, before);
        for (owner, hash) in ended {
            self.running.remove(&owner);
            if let Some(entry) = self.claims.get_mut(&hash) {
                entry.state = ClaimState::Unknown;
            }
        }
        ClaimReply::Done
    }

    fn record_retirement(&mut self, daemon: DaemonName, before: Incarnation) {
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
        let has_expired = |runs: &RetiredRuns| runs.expires <= clock;
        if self.retired.get(daemon).is_some_and(has_expired) {
            self.retired.remove(daemon);
        }
    }

    fn expire_withdrawal(&mut self, hash: KeyHash, owner: &ClaimOwner) {
        self.withdrawn.remove(owner);
        self.bytes -= WITHDRAWN_BYTES;
        let clock = self.clock;
        let has_expired = |min: &MinAttempt| min.expires <= clock;
        if self.min_attempts.get(&hash).is_some_and(has_expired) {
            self.min_attempts.remove(&hash);
        }
    }

    fn expire_claim(&mut self, hash: KeyHash) {
        let clock = self.clock;
        let expired = |entry: &ClaimEntry| entry.expires <= clock;
        if !self.claims.get(&hash).is_some_and(expired) {
            return;
        }
        let entry = self.claims.remove(&hash).expect("the claim was found");
        self.bytes -= CLAIM_BYTES + entry.response_bytes();
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
            ClaimState::Answered(response) => ClaimReply::Replay(response.as_ref().clone()),
            ClaimState::Unknown => ClaimReply::Unknown,
        }
    }

    fn response_bytes(&self) -> u64 {
        match &self.state {
            ClaimState::Answered(response) => response.bytes(),
            ClaimState::Running(_) | ClaimState::Unknown => 0,
        }
    }
}

/// Adds `item` to the queue that is due at `expires` or less than [`EXPIRY_QUEUE_SECONDS`] later.
fn push_expiry<T>(queues: &mut BTreeMap<u64, Vec<T>>, expires: u64, item: T) {
    let due = expires.next_multiple_of(EXPIRY_QUEUE_SECONDS);
    queues.entry(due).or_default().push(item);
}

fn pop_expiry<T>(queues: &mut BTreeMap<u64, Vec<T>>, clock: u64) -> Option<Vec<T>> {
    let first = queues.first_entry()?;
    (*first.key() <= clock).then(|| first.remove())
}
