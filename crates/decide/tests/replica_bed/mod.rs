//! Several replicas over a network and disks that fail, in virtual time.

use agatehill_decide::{
    contract_history::{
        AcceptedRevision, ContractHistory, ContractPut, ContractReply, text_digest,
    },
    name::{CustomerName, Incarnation, KeeperName},
    replica::{
        EntryPayload, GroupConfig, LogEntry, PersistBatch, RecoveredState, ReplicaEnvelope,
        ReplicaId, ReplicaInput, ReplicaNode, ReplicaOutput, ReplicaSettings, VoterPolicy,
    },
    replicated_state::ReplicatedState,
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

const TICK: Duration = Duration::from_millis(10);
const SNAPSHOT_ENTRIES: u64 = 20;
/// Keepers that form the group where keepers are found.
const FOUNDERS: usize = 3;
/// Time without a message after which a voter that was found gives way to another keeper.
const RETIRE_AFTER: Duration = Duration::from_secs(1);

/// How rough a schedule is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BedSettings {
    pub(crate) seed: u64,
    pub(crate) voters: usize,
    pub(crate) learners: usize,
    /// Whether keepers are found, from the first [`FOUNDERS`] on, instead of listed.
    pub(crate) is_found: bool,
    /// Messages lost and sent twice, each per thousand.
    pub(crate) loss: u32,
    /// Chance of a fault at each tick, per thousand.
    pub(crate) faults: u32,
}

/// One keeper: its disk, and its process when that runs.
struct BedKeeper {
    name: KeeperName,
    incarnation: u64,
    disk: RecoveredState,
    node: Option<ReplicaNode>,
    book: ContractHistory,
    applied: u64,
    frozen_until: MonoTime,
    restart_at: MonoTime,
    inbox: Vec<ReplicaEnvelope>,
}

/// The keepers, the network between them and what operators were told.
pub(crate) struct ReplicaBed {
    settings: BedSettings,
    rng: StdRng,
    now: MonoTime,
    rough: bool,
    keepers: Vec<BedKeeper>,
    network: BTreeMap<(MonoTime, u64), ReplicaEnvelope>,
    sent: u64,
    /// Keepers that are cut off from all others, by index.
    cut: Vec<usize>,
    /// Entries that were applied anywhere, by index.
    applied: HashMap<u64, LogEntry>,
    committed_config: (u64, GroupConfig),
    puts: HashMap<u64, ContractPut>,
    /// What operators were told, by customer and revision.
    pub(crate) accepted: BTreeMap<(CustomerName, u64), (AcceptedRevision, ContractPut)>,
    pub(crate) lost_disks: usize,
    pub(crate) crashes: usize,
}

impl ReplicaBed {
    pub(crate) fn open(settings: BedSettings) -> ReplicaBed {
        let count = settings.voters + settings.learners;
        let name = |idx: usize| KeeperName::try_from(format!("keeper-{idx}")).unwrap();
        let keeper = |idx| BedKeeper {
            name: name(idx),
            incarnation: 0,
            disk: RecoveredState::default(),
            node: None,
            book: ContractHistory::default(),
            applied: 0,
            frozen_until: MonoTime::ZERO,
            restart_at: MonoTime::ZERO,
            inbox: Vec::new(),
        };
        ReplicaBed {
            settings,
            rng: StdRng::seed_from_u64(settings.seed),
            now: MonoTime::ZERO,
            rough: false,
            keepers: (0..count).map(keeper).collect(),
            network: BTreeMap::new(),
            sent: 0,
            cut: Vec::new(),
            applied: HashMap::new(),
            committed_config: (0, GroupConfig::default()),
            puts: HashMap::new(),
            accepted: BTreeMap::new(),
            lost_disks: 0,
            crashes: 0,
        }
    }

    /// Runs `span` of virtual time, with faults if `rough`.
    pub(crate) fn run(&mut self, span: Duration, rough: bool) {
        let end = self.now + span;
        while self.now < end {
            self.tick(rough);
            if self.chance(300) {
                self.put_something();
            }
        }
    }

    /// Runs without faults until the voters are whole, at most `span`.
    pub(crate) fn run_until_whole(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end && !self.is_whole() {
            self.run(TICK, false);
        }
    }

    /// Runs `span` of virtual time without faults and operators.
    pub(crate) fn quiet(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick(false);
        }
    }

    fn tick(&mut self, rough: bool) {
        self.rough = rough;
        self.now = self.now + TICK;
        if rough && self.chance(self.settings.faults) {
            self.fault();
        }
        self.start_keepers();
        self.deliver();
        let names: Vec<_> = self.keepers.iter().map(|k| k.name.clone()).collect();
        for idx in 0..self.keepers.len() {
            if self.settings.is_found {
                self.step(idx, ReplicaInput::AddKeepers(names.clone()));
            }
            self.step(idx, ReplicaInput::Tick);
        }
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        self.cut.clear();
        for keeper in &mut self.keepers {
            keeper.frozen_until = MonoTime::ZERO;
            keeper.restart_at = MonoTime::ZERO;
        }
    }

    /// Proposes `put` at the leader, as operators do when an answer was lost.
    pub(crate) fn put(&mut self, put: ContractPut) {
        let leads = |keeper: &BedKeeper| keeper.node.as_ref().is_some_and(ReplicaNode::is_leader);
        let leaders: Vec<_> = (0..self.keepers.len())
            .filter(|idx| leads(&self.keepers[*idx]))
            .collect();
        if leaders.is_empty() {
            return;
        }
        let idx = leaders[self.rng.random_range(0..leaders.len())];
        let token = self.puts.len() as u64;
        let command = postcard::to_stdvec(&put).unwrap();
        self.puts.insert(token, put);
        self.step(idx, ReplicaInput::Propose(vec![(token, command.into())]));
    }

    /// Panics unless every keeper holds every accepted revision, and the same state.
    pub(crate) fn check_converged(&self) {
        let first = &self.keepers[0];
        for keeper in &self.keepers {
            assert_eq!(keeper.applied, first.applied, "{} lags", keeper.name);
            assert_eq!(keeper.book, first.book, "{} differs", keeper.name);
            for ((customer, revision), (accepted, _)) in &self.accepted {
                let record = keeper.book.get(customer);
                let log = record.expect("an accepted contract is lost").revisions();
                let found = log.iter().find(|a| a.revision == *revision);
                assert_eq!(found, Some(accepted), "an accepted revision is lost");
            }
        }
    }

    /// Returns whether the group's voters are the present incarnations of the settings' voters or,
    /// where keepers are found, of any keepers.
    pub(crate) fn is_whole(&self) -> bool {
        let config = &self.committed_config.1;
        if self.settings.is_found {
            let keys: Vec<_> = (0..self.keepers.len()).map(|idx| self.key(idx)).collect();
            let are_present = config.voters.iter().all(|voter| keys.contains(voter));
            return config.voters.len() == self.settings.voters && are_present;
        }
        let is_voter = |idx: usize| config.contains(&self.key(idx));
        config.voters.len() == self.settings.voters && (0..self.settings.voters).all(is_voter)
    }

    /// Empties the disk of the keeper at `idx` and kills its process.
    pub(crate) fn lose_disk(&mut self, idx: usize) {
        self.crash(idx);
        let keeper = &mut self.keepers[idx];
        keeper.disk = RecoveredState::default();
        keeper.incarnation += 1;
        self.lost_disks += 1;
    }

    fn key(&self, idx: usize) -> ReplicaId {
        let keeper = &self.keepers[idx];
        ReplicaId {
            name: keeper.name.clone(),
            incarnation: Incarnation(keeper.incarnation),
        }
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < per_thousand
    }

    fn fault(&mut self) {
        let idx = self.rng.random_range(0..self.keepers.len());
        let span = Duration::from_millis(self.rng.random_range(50..4_000));
        match self.rng.random_range(0..8) {
            0 => {
                self.crash(idx);
                self.keepers[idx].restart_at = self.now + span;
            }
            5 => self.step(idx, ReplicaInput::TransferLeadership),
            6 => (0..self.keepers.len()).for_each(|idx| self.crash(idx)),
            1 => self.keepers[idx].frozen_until = self.now + span,
            2 => self.cut = vec![idx],
            3 => self.cut.push(idx),
            4 => self.cut.clear(),
            _ if self.can_lose(idx) => {
                self.lose_disk(idx);
                self.keepers[idx].restart_at = self.now + span;
            }
            _ => {}
        }
    }

    /// Whether the voters that keep their disk are still a majority of those committed. Where keepers
    /// are found, as many disks may be lost at once as the voters are there to bear, and a lost one
    /// counts until its place is taken again: the log may hold a further voter that was found and is
    /// not yet committed.
    fn can_lose(&self, idx: usize) -> bool {
        let config = &self.committed_config.1;
        let is_out = |other: &usize| {
            let name = &self.keepers[*other].name;
            let is_empty = self.keepers[*other].disk.snapshot.is_none();
            let voter = config.voter(name);
            let is_stale = voter.is_some_and(|voter| *voter != self.key(*other));
            *other != idx && (is_empty || is_stale)
        };
        let missing = self.settings.voters.saturating_sub(config.voters.len());
        let out = (0..self.keepers.len()).filter(is_out).count() + missing;
        if self.settings.is_found && out >= (self.settings.voters - 1) / 2 {
            return false;
        }
        let keeps = |other: &usize| *other != idx && config.contains(&self.key(*other));
        let kept = (0..self.keepers.len()).filter(keeps).count();
        !config.voters.is_empty() && kept >= config.quorum()
    }

    fn crash(&mut self, idx: usize) {
        let keeper = &mut self.keepers[idx];
        keeper.node = None;
        keeper.inbox.clear();
        self.crashes += 1;
    }

    fn start_keepers(&mut self) {
        let names: Vec<_> = self.keepers.iter().map(|k| k.name.clone()).collect();
        for idx in 0..self.keepers.len() {
            let random = self.rng.random();
            let id = self.key(idx);
            let keeper = &mut self.keepers[idx];
            if keeper.node.is_some() || self.now < keeper.restart_at {
                continue;
            }
            let policy = match self.settings.is_found {
                false => VoterPolicy::Listed(names[..self.settings.voters].to_vec()),
                true => VoterPolicy::Discovered {
                    founders: match keeper.incarnation {
                        0 => names[..FOUNDERS].to_vec(),
                        _ => Vec::new(),
                    },
                    voter_count: self.settings.voters,
                    replace_after: RETIRE_AFTER,
                },
            };
            let known = match self.settings.is_found {
                false => names.clone(),
                true => vec![keeper.name.clone()],
            };
            let settings = ReplicaSettings {
                group: 0,
                group_count: 1,
                id,
                keepers: known,
                voter_policy: policy,
                heartbeat_interval: Duration::from_millis(50),
                election_timeout: Duration::from_millis(300),
                snapshot_chunk_bytes: match self.settings.is_found {
                    false => 100,
                    // A keeper that is cut off for long gives its vote up, so that the others go on and
                    // it has more to catch up with, one part a round trip.
                    true => 1_000,
                },
            };
            let snapshot = keeper.disk.snapshot.as_ref();
            let start = snapshot.map_or(0, |s| s.meta.index);
            keeper.book = snapshot.map_or_else(ContractHistory::default, |s| restore(&s.data));
            keeper.applied = start;
            let disk = keeper.disk.clone();
            keeper.node = Some(ReplicaNode::open(settings, disk, self.now, random));
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.network.first_entry() {
            if first.key().0 > self.now {
                break;
            }
            let envelope = first.remove();
            if self.rough && self.chance(self.settings.loss) {
                continue;
            }
            if self.rough && self.chance(self.settings.loss) {
                self.transmit(envelope.clone());
            }
            let index = |name: &KeeperName| self.keepers.iter().position(|k| k.name == *name);
            let (Some(from), Some(to)) = (index(&envelope.from.name), index(&envelope.to)) else {
                continue;
            };
            if self.cut.contains(&from) || self.cut.contains(&to) {
                continue;
            }
            self.keepers[to].inbox.push(envelope);
        }
        for idx in 0..self.keepers.len() {
            if self.keepers[idx].frozen_until > self.now {
                continue;
            }
            for envelope in std::mem::take(&mut self.keepers[idx].inbox) {
                self.step(idx, ReplicaInput::Message(envelope));
            }
        }
    }

    fn transmit(&mut self, envelope: ReplicaEnvelope) {
        let delay = Duration::from_millis(self.rng.random_range(1..40));
        self.sent += 1;
        self.network.insert((self.now + delay, self.sent), envelope);
    }

    fn step(&mut self, idx: usize, input: ReplicaInput) {
        let now = self.now;
        let random = self.rng.random();
        let keeper = &mut self.keepers[idx];
        if keeper.frozen_until > now {
            return;
        }
        let Some(node) = &mut keeper.node else { return };
        let outputs = node.step(input, now, random);
        // A crash between two outputs, sometimes, when it matters most.
        let writes = outputs
            .iter()
            .any(|o| matches!(o, ReplicaOutput::Persist(_)));
        let crash = self.rough && writes && self.chance(self.settings.faults / 2);
        let stop = crash.then(|| self.rng.random_range(0..=outputs.len()));
        let settled = stop.is_none() && !outputs.is_empty();
        for output in outputs.into_iter().take(stop.unwrap_or(usize::MAX)) {
            self.carry_out(idx, output);
        }
        if stop.is_some() {
            self.crash(idx);
            self.keepers[idx].restart_at = now + Duration::from_millis(200);
            let other = self.rng.random_range(0..self.keepers.len());
            self.crash(other);
        }
        if settled {
            self.settle(idx);
        }
    }

    /// Tells the node that its outputs are durable, and lets it compact its log.
    fn settle(&mut self, idx: usize) {
        let keeper = &mut self.keepers[idx];
        let Some(node) = &mut keeper.node else { return };
        let mut outputs = node.step(ReplicaInput::Persisted, self.now, 0);
        if node.entries_since_snapshot() > SNAPSHOT_ENTRIES && outputs.is_empty() {
            let compact = ReplicaInput::Compact {
                index: keeper.applied,
                data: postcard::to_stdvec(&keeper.book).unwrap().into(),
            };
            outputs = node.step(compact, self.now, 0);
        }
        for output in outputs {
            self.carry_out(idx, output);
        }
    }

    fn carry_out(&mut self, idx: usize, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Send(envelope) => self.transmit(envelope),
            ReplicaOutput::Persist(batch) => persist(&mut self.keepers[idx].disk, batch),
            ReplicaOutput::Restore(snapshot) => {
                let keeper = &mut self.keepers[idx];
                keeper.book = restore(&snapshot.data);
                keeper.applied = snapshot.meta.index;
                self.note_config(snapshot.meta.index, &snapshot.meta.config);
            }
            ReplicaOutput::Apply { entry, token } => self.apply(idx, entry, token),
            ReplicaOutput::NotLeader { .. }
            | ReplicaOutput::OutcomeUnknown { .. }
            | ReplicaOutput::BecameLeader { .. } => {}
        }
    }

    fn apply(&mut self, idx: usize, entry: LogEntry, token: Option<u64>) {
        let known = self.applied.entry(entry.index).or_insert(entry.clone());
        assert_eq!(*known, entry, "two entries were committed at one index");
        let keeper = &mut self.keepers[idx];
        assert_eq!(keeper.applied + 1, entry.index, "entries apply in order");
        keeper.applied = entry.index;
        match entry.payload {
            EntryPayload::Noop => {}
            EntryPayload::Config(config) => self.note_config(entry.index, &config),
            EntryPayload::Command(command) => {
                let put = postcard::from_bytes(&command).unwrap();
                let reply = keeper.book.apply(entry.index, put);
                if let Some(token) = token {
                    self.answer(token, reply);
                }
            }
        }
    }

    fn note_config(&mut self, index: u64, config: &GroupConfig) {
        if index > self.committed_config.0 {
            self.committed_config = (index, config.clone());
        }
    }

    /// An operator gets an answer: it must never contradict an earlier one.
    fn answer(&mut self, token: u64, reply: ContractReply) {
        let put = self.puts[&token].clone();
        let digest = text_digest(&put.text);
        let key = (put.customer.clone(), put.revision);
        if let Some((first, _)) = self.accepted.get(&key) {
            let first = *first;
            let wanted = if first.digest == digest {
                ContractReply::Accepted(first)
            } else {
                ContractReply::Conflict(first)
            };
            assert_eq!(reply, wanted, "an answer contradicts the first");
        } else if let ContractReply::Accepted(accepted) = reply {
            assert_eq!(accepted.digest, digest);
            self.accepted.insert(key, (accepted, put));
        }
    }

    /// Two operators race with the next revision, or one resends an old change.
    fn put_something(&mut self) {
        if self.chance(200) && !self.accepted.is_empty() {
            let nth = self.rng.random_range(0..self.accepted.len());
            let (_, put) = self.accepted.values().nth(nth).unwrap().clone();
            return self.put(put);
        }
        let customer = format!("customer-{}", self.rng.random_range(0..3));
        let customer = CustomerName::try_from(customer).unwrap();
        let accepted = self.accepted.keys().filter(|key| key.0 == customer);
        let revision = accepted.map(|key| key.1).max().unwrap_or(0) + 1;
        for _ in 0..self.rng.random_range(1..3) {
            let text: u32 = self.rng.random();
            self.put(ContractPut {
                customer: customer.clone(),
                revision,
                text: text.to_string().into(),
            });
        }
    }
}

fn restore(data: &[u8]) -> ContractHistory {
    if data.is_empty() {
        return ContractHistory::default();
    }
    postcard::from_bytes(data).unwrap()
}

/// What a disk holds after `batch`.
pub(crate) fn persist(disk: &mut RecoveredState, batch: PersistBatch) {
    if let Some(hard_state) = batch.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(snapshot) = batch.snapshot {
        disk.snapshot = Some(snapshot);
        disk.entries = batch.entries;
        return;
    }
    if let Some(first) = batch.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
        disk.entries.extend(batch.entries);
    }
}
