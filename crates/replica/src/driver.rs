//! Carries out the outputs of a replica: syncs, then sends and applies.

use crate::{
    group::{GroupEvent, GroupShared, GroupState, ProposeError},
    outbox::PeerOutbox,
    voter_log::{VoterLog, log_proposed_change},
};
use agatehill_decide::{
    replica::{
        EntryPayload, LogEntry, PersistBatch, ReplicaInput, ReplicaNode, ReplicaOutput,
        ReplicaSnapshot,
    },
    replicated_state::ReplicatedState,
    time::MonoTime,
};
use agatehill_store::GroupStore;
use metrics::{counter, gauge};
use spdlog::{info, warn};
use std::{
    collections::HashMap,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    thread,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Longest time between two ticks of a replica.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Most further events that are handled together with the first, so that they share one sync.
const EVENT_BATCH_MAX: usize = 1_024;
/// Fewest entries since a snapshot before the next one.
const SNAPSHOT_ENTRIES_MIN: u64 = 512;
/// Smallest size of the log before the next snapshot, as a multiple of the last snapshot's size.
const LOG_TO_SNAPSHOT_RATIO: u64 = 2;
/// Delay before a failed write or sync is retried.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between two commands that advance the clock of a state, by which its records expire.
const AGE_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two publications of the reports on the keepers.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

type ReplySender<S> = oneshot::Sender<Result<<S as ReplicatedState>::Reply, ProposeError>>;

/// Drives the replica of one group; runs in the group's thread.
pub(crate) struct GroupDriver<S: GroupState> {
    node: ReplicaNode,
    store: GroupStore,
    outbox: PeerOutbox,
    shared: Arc<GroupShared<S>>,
    proposals: HashMap<u64, ReplySender<S>>,
    next_token: u64,
    /// Index of the last entry applied to the state.
    applied: u64,
    snapshot_bytes: u64,
    log_bytes: u64,
    /// Time of the last tick command; `None` unless this keeper leads.
    ticked_at: Option<Instant>,
    voter_log: VoterLog,
    /// Time from which on the reports on the keepers are published again.
    reports_due_at: MonoTime,
}

impl<S: GroupState> GroupDriver<S> {
    pub(crate) fn new(
        node: ReplicaNode,
        store: GroupStore,
        outbox: PeerOutbox,
        shared: Arc<GroupShared<S>>,
    ) -> GroupDriver<S> {
        let voter_log = VoterLog::open(outbox.group());
        GroupDriver {
            node,
            store,
            outbox,
            shared,
            proposals: HashMap::new(),
            next_token: 0,
            applied: 0,
            snapshot_bytes: 0,
            log_bytes: 0,
            ticked_at: None,
            voter_log,
            reports_due_at: MonoTime::ZERO,
        }
    }

    /// Starts from `snapshot` and handles events until the last handle is dropped.
    pub(crate) fn run(
        mut self,
        snapshot: Option<ReplicaSnapshot>,
        inbox: &Receiver<GroupEvent<S::Reply>>,
    ) {
        if let Some(snapshot) = snapshot {
            self.restore(&snapshot);
        }
        loop {
            let mut events = Vec::new();
            match inbox.recv_timeout(TICK_INTERVAL) {
                Ok(event) => events.push(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            events.extend(inbox.try_iter().take(EVENT_BATCH_MAX));
            self.handle_events(events);
        }
    }

    /// Advances the replica by `events` and publishes its new status.
    fn handle_events(&mut self, events: Vec<GroupEvent<S::Reply>>) {
        let mut outputs = self.step(ReplicaInput::Tick);
        let mut commands = Vec::new();
        for event in events {
            match event {
                GroupEvent::Message(envelope) => {
                    outputs.extend(self.step(ReplicaInput::Message(envelope)));
                }
                GroupEvent::AddKeepers(names) => {
                    outputs.extend(self.step(ReplicaInput::AddKeepers(names)));
                }
                GroupEvent::TransferLeadership => {
                    outputs.extend(self.step(ReplicaInput::TransferLeadership))
                }
                GroupEvent::Propose { command, reply } => {
                    let token = self.new_token();
                    self.proposals.insert(token, reply);
                    commands.push((token, command));
                }
            }
        }
        if let Some(command) = self.next_tick_command() {
            commands.push((self.new_token(), command));
        }
        if !commands.is_empty() {
            outputs.extend(self.step(ReplicaInput::Propose(commands)));
        }
        while !outputs.is_empty() {
            self.carry_out(outputs);
            outputs = self.step(ReplicaInput::Persisted);
        }
        self.snapshot_if_due();
        self.publish();
    }

    fn step(&mut self, input: ReplicaInput) -> Vec<ReplicaOutput> {
        self.node
            .step(input, self.shared.clock.now(), rand::random())
    }

    /// Carries out `outputs` in order; what follows a write waits for its sync.
    fn carry_out(&mut self, outputs: Vec<ReplicaOutput>) {
        let mut dirty = false;
        for output in outputs {
            if let ReplicaOutput::Persist(batch) = output {
                dirty = self.write(batch);
                continue;
            }
            if std::mem::take(&mut dirty) {
                self.sync();
            }
            self.carry_out_synced(output);
        }
        if dirty {
            self.sync();
        }
    }

    fn carry_out_synced(&mut self, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Persist(_) => unreachable!("handled by carry_out"),
            ReplicaOutput::Send(envelope) => self.outbox.send(envelope),
            ReplicaOutput::Restore(snapshot) => self.restore(&snapshot),
            ReplicaOutput::Apply { entry, token } => self.apply(entry, token),
            ReplicaOutput::NotLeader { token, leader } => {
                self.reply(token, Err(ProposeError::NotLeader(leader)));
            }
            ReplicaOutput::OutcomeUnknown { token } => {
                self.reply(token, Err(ProposeError::Unknown))
            }
            ReplicaOutput::VoterChange(change) => log_proposed_change(self.group(), &change),
            ReplicaOutput::BecameLeader { term } => {
                self.ticked_at = None;
                info!("became leader of the group", kv: { group = self.group(), term });
            }
        }
    }

    /// Writes `batch`; returns whether it still has to be synced.
    fn write(&mut self, batch: PersistBatch) -> bool {
        if batch.snapshot.is_none() {
            self.log_bytes += batch_bytes(&batch);
            self.store.append(&batch);
            return true;
        }
        self.log_bytes = batch_bytes(&batch);
        self.retry_until_written(|store| store.persist(&batch));
        false
    }

    fn sync(&mut self) {
        let start = Instant::now();
        self.retry_until_written(GroupStore::sync);
        counter!("agatehill_log_syncs").increment(1);
        gauge!("agatehill_log_sync_seconds").set(start.elapsed().as_secs_f64());
    }

    /// Retries a write until it succeeds; meanwhile this replica handles and sends nothing.
    fn retry_until_written(
        &mut self,
        mut write: impl FnMut(&mut GroupStore) -> Result<(), agatehill_store::StoreError>,
    ) {
        let mut failing = false;
        self.shared.set_write_since(Some(self.shared.clock.now()));
        while let Err(error) = write(&mut self.store) {
            if !failing {
                warn!("cannot write to disk, will retry", kv: { error = error.to_string() });
            }
            failing = true;
            self.shared.status().current_until = None;
            gauge!("agatehill_disk_failing", "group" => self.group().to_string()).set(1.0);
            thread::sleep(DISK_RETRY_DELAY);
        }
        self.shared.set_write_since(None);
        if failing {
            info!("disk is writable again");
            gauge!("agatehill_disk_failing", "group" => self.group().to_string()).set(0.0);
        }
    }

    fn apply(&mut self, entry: LogEntry, token: Option<u64>) {
        self.applied = entry.index;
        if let EntryPayload::Command(command) = &entry.payload {
            let command =
                postcard::from_bytes(command).expect("commands in the log are well-formed");
            let state = self.shared.state.write();
            let mut state = state.expect("no holder of the lock panics");
            let reply = state.apply(entry.index, command);
            drop(state);
            if let Some(token) = token {
                self.reply(token, Ok(reply));
            }
        }
        if let EntryPayload::Config(config) = &entry.payload {
            self.voter_log
                .record_change(config, self.shared.clock.now());
        }
        self.shared.applied.send_replace(entry.index);
    }

    fn restore(&mut self, snapshot: &ReplicaSnapshot) {
        let state = if snapshot.data.is_empty() {
            S::default()
        } else {
            postcard::from_bytes(&snapshot.data).expect("the snapshot passed its checksum")
        };
        *self
            .shared
            .state
            .write()
            .expect("no holder of the lock panics") = state;
        let now = self.shared.clock.now();
        self.voter_log.restore(&snapshot.meta.config, now);
        self.applied = snapshot.meta.index;
        self.snapshot_bytes = snapshot.data.len() as u64;
        self.shared.applied.send_replace(self.applied);
    }

    fn reply(&mut self, token: u64, outcome: Result<S::Reply, ProposeError>) {
        if let Some(sender) = self.proposals.remove(&token) {
            // The proposer may have stopped waiting.
            let _ = sender.send(outcome);
        }
    }

    fn snapshot_if_due(&mut self) {
        let due = self.node.entries_since_snapshot() >= SNAPSHOT_ENTRIES_MIN
            && self.log_bytes >= LOG_TO_SNAPSHOT_RATIO * self.snapshot_bytes;
        if !due {
            return;
        }
        let state = self.shared.state.read();
        let data = postcard::to_stdvec(&*state.expect("no holder of the lock panics"));
        let data = data.expect("states are serialisable");
        self.snapshot_bytes = data.len() as u64;
        let compact = ReplicaInput::Compact {
            index: self.applied,
            data: data.into(),
        };
        let outputs = self.step(compact);
        self.carry_out(outputs);
        counter!("agatehill_snapshots").increment(1);
    }

    /// Returns the command that advances the state's clock, if this keeper leads and one is due.
    fn next_tick_command(&mut self) -> Option<Arc<[u8]>> {
        if !self.node.is_leader() {
            self.ticked_at = None;
            return None;
        }
        let elapsed = self.ticked_at.get_or_insert_with(Instant::now).elapsed();
        if elapsed < AGE_INTERVAL {
            return None;
        }
        self.ticked_at = Some(Instant::now());
        let command = S::tick_command(elapsed)?;
        let command = postcard::to_stdvec(&command).expect("commands are serialisable");
        Some(command.into())
    }

    fn new_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn group(&self) -> u16 {
        self.outbox.group()
    }

    fn publish(&mut self) {
        self.publish_reports();
        let status = self.node.status();
        let mut published = self.shared.status();
        if published.role != status.role || published.leader != status.leader {
            info!("replica changed role or leader", kv: {
                group = self.group(),
                role = status.role,
                term = status.term,
                leader = status.leader.as_ref().map_or("none", |name| name.as_str())
            });
        }
        *published = status;
    }

    /// Publishes what is known of the voters and the other keepers, if that is due.
    fn publish_reports(&mut self) {
        let now = self.shared.clock.now();
        if now < self.reports_due_at {
            return;
        }
        self.reports_due_at = now + REPORT_INTERVAL;
        let mut voters = self.shared.voters();
        voters.keepers = self.node.keeper_reports();
        voters.since.clone_from(self.voter_log.since());
    }
}

/// Returns the size of the payloads in `batch`, in bytes.
fn batch_bytes(batch: &PersistBatch) -> u64 {
    let bytes: usize = batch.entries.iter().map(|e| e.payload.bytes()).sum();
    bytes as u64
}
