//! One replicated group of this keeper: its thread and the handle to it.

use crate::{
    driver::GroupDriver,
    outbox::PeerOutbox,
    voter_log::{VoterAge, VoterStatus, voter_ages},
};
use agatehill_decide::{
    claim::{ClaimCommand, ClaimTable},
    config_history::ConfigHistory,
    contract_history::ContractHistory,
    name::KeeperName,
    replica::{KeeperReport, ReplicaEnvelope, ReplicaNode, ReplicaSettings, ReplicaStatus},
    replicated_state::ReplicatedState,
    time::MonoTime,
};
use agatehill_process::clock::MonoClock;
use agatehill_store::{GroupStore, OpenedGroup, StoreError};
use serde::Serialize;
use std::{
    path::Path,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        mpsc::{SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};
use tokio::sync::{oneshot, watch};

/// Most events queued for a group's thread; further ones are dropped.
const EVENT_QUEUE_MAX: usize = 16_384;
/// Longest wait for the outcome of a proposed command. Shorter than the timeouts of the proposer's
/// own clients, so that they still get a reply.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A state that a group can replicate.
pub trait GroupState: Default + ReplicatedState + Send + Sync + 'static {
    /// Returns the command that advances the state's clock by `elapsed`, as measured by the leader;
    /// `None` for a state without a clock.
    fn tick_command(elapsed: Duration) -> Option<Self::Command>;
}

impl GroupState for ContractHistory {
    fn tick_command(_: Duration) -> Option<Self::Command> {
        None
    }
}

impl GroupState for ConfigHistory {
    fn tick_command(_: Duration) -> Option<Self::Command> {
        None
    }
}

impl GroupState for ClaimTable {
    fn tick_command(elapsed: Duration) -> Option<ClaimCommand> {
        let elapsed_seconds = u32::try_from(elapsed.as_secs()).unwrap_or(u32::MAX);
        Some(ClaimCommand::Tick { elapsed_seconds })
    }
}

/// Why a proposed command has no reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposeError {
    /// This keeper does not lead the group, or its queue is full. The command will not run.
    NotLeader(Option<KeeperName>),
    /// The command may or may not run.
    Unknown,
}

/// An event for a group's thread.
pub(crate) enum GroupEvent<R> {
    /// A message from another replica.
    Message(ReplicaEnvelope),
    /// A command to replicate.
    Propose {
        /// The command in postcard.
        command: Arc<[u8]>,
        /// Receives the outcome.
        reply: oneshot::Sender<Result<R, ProposeError>>,
    },
    /// Keepers to add to the known ones.
    AddKeepers(Vec<KeeperName>),
    /// Transfers the leadership, if this keeper leads.
    TransferLeadership,
}

/// State that a group's thread shares with the handles.
pub(crate) struct GroupShared<S> {
    pub(crate) clock: MonoClock,
    pub(crate) state: RwLock<S>,
    pub(crate) applied: watch::Sender<u64>,
    status: Mutex<ReplicaStatus>,
    voters: Mutex<VoterStatus>,
    /// Start of the write or sync to disk that is under way.
    write_since: Mutex<Option<MonoTime>>,
}

impl<S> GroupShared<S> {
    /// Returns the status that the group's thread has published last.
    pub(crate) fn status(&self) -> MutexGuard<'_, ReplicaStatus> {
        self.status.lock().expect("no holder of the lock panics")
    }

    /// Returns what the group's thread has published last on the voters.
    pub(crate) fn voters(&self) -> MutexGuard<'_, VoterStatus> {
        self.voters.lock().expect("no holder of the lock panics")
    }

    /// Sets the start of the write or sync that is under way; `None` once it has ended.
    pub(crate) fn set_write_since(&self, since: Option<MonoTime>) {
        *self.write_since() = since;
    }

    fn write_since(&self) -> MutexGuard<'_, Option<MonoTime>> {
        self.write_since
            .lock()
            .expect("no holder of the lock panics")
    }
}

/// The state of a group's replica at one time, for dumps and metrics.
#[derive(Clone, Debug, Serialize)]
pub struct GroupReport {
    /// What the group's thread has published last.
    #[serde(flatten)]
    pub status: ReplicaStatus,
    /// See [`GroupHandle::is_current`].
    pub current: bool,
    /// Index of the last entry that is applied here.
    pub applied: u64,
    /// Time since [`ReplicaStatus::contact_at`], in milliseconds.
    pub contact_ms: Option<u64>,
    /// Time since the start of the write or sync to disk that is under way, in milliseconds.
    pub write_ms: Option<u64>,
    /// Since when each voter votes.
    pub voter_ages: Vec<VoterAge>,
    /// What the leader knows of each keeper; empty at the others.
    pub keeper_reports: Vec<KeeperReport>,
}

/// Aborts the process if the thread panics: otherwise the group would stand still while the process
/// looks healthy.
struct AbortGuard;

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if thread::panicking() {
            std::process::abort();
        }
    }
}

/// A handle to a group; clones refer to the same group.
pub struct GroupHandle<S: ReplicatedState> {
    shared: Arc<GroupShared<S>>,
    events: SyncSender<GroupEvent<S::Reply>>,
}

impl<S: ReplicatedState> Clone for GroupHandle<S> {
    fn clone(&self) -> GroupHandle<S> {
        GroupHandle {
            shared: self.shared.clone(),
            events: self.events.clone(),
        }
    }
}

impl<S: GroupState> GroupHandle<S>
where
    S::Reply: Send,
{
    /// Opens the group whose files are in `folder` and starts its thread.
    ///
    /// A new folder gets the incarnation in `settings`; an existing one keeps its own.
    ///
    /// # Errors
    ///
    /// The files can't be read or written, or are damaged.
    pub fn open(
        mut settings: ReplicaSettings,
        folder: &Path,
        clock: MonoClock,
        outbox: PeerOutbox,
    ) -> Result<GroupHandle<S>, StoreError> {
        let OpenedGroup {
            store,
            incarnation,
            recovered,
        } = GroupStore::open(folder, settings.id.incarnation)?;
        settings.id.incarnation = incarnation;
        let group = settings.group;
        let snapshot = recovered.snapshot.clone();
        let node = ReplicaNode::open(settings, recovered, clock.now(), rand::random());
        let shared = Arc::new(GroupShared {
            clock,
            state: RwLock::default(),
            applied: watch::channel(0).0,
            status: Mutex::new(node.status()),
            voters: Mutex::default(),
            write_since: Mutex::default(),
        });
        let (events, inbox) = sync_channel(EVENT_QUEUE_MAX);
        let driver = GroupDriver::new(node, store, outbox, shared.clone());
        thread::Builder::new()
            .name(format!("group-{group}"))
            .spawn(move || {
                let _guard = AbortGuard;
                driver.run(snapshot, &inbox);
            })
            .expect("cannot spawn the thread of a group");
        Ok(GroupHandle { shared, events })
    }

    /// Proposes `command` and waits for its reply.
    ///
    /// # Errors
    ///
    /// This keeper does not lead the group, or the outcome of the command is unknown.
    pub async fn propose(&self, command: &S::Command) -> Result<S::Reply, ProposeError> {
        let command = postcard::to_stdvec(command).expect("commands are serialisable");
        let (reply, replied) = oneshot::channel();
        let event = GroupEvent::Propose {
            command: command.into(),
            reply,
        };
        if self.events.try_send(event).is_err() {
            return Err(ProposeError::NotLeader(None));
        }
        match tokio::time::timeout(PROPOSE_TIMEOUT, replied).await {
            Ok(Ok(outcome)) => outcome,
            _ => Err(ProposeError::Unknown),
        }
    }

    /// Adds keepers to those that the replica knows.
    pub fn add_keepers(&self, names: Vec<KeeperName>) {
        // If the queue is full, the caller's next round adds them again.
        let _ = self.events.try_send(GroupEvent::AddKeepers(names));
    }

    /// Transfers the leadership to another keeper, if this one leads.
    pub fn transfer_leadership(&self) {
        let _ = self.events.try_send(GroupEvent::TransferLeadership);
    }

    /// Queues a message from another replica; drops it if the queue is full.
    pub fn deliver(&self, envelope: ReplicaEnvelope) {
        let _ = self.events.try_send(GroupEvent::Message(envelope));
    }

    /// Reads the state as applied on this keeper, which may lag behind the leader.
    pub fn read<T>(&self, get: impl FnOnce(&S) -> T) -> T {
        let state = self.shared.state.read();
        get(&state.expect("no holder of the lock panics"))
    }

    /// Returns a receiver of the index of the last applied entry.
    pub fn subscribe_applied(&self) -> watch::Receiver<u64> {
        self.shared.applied.subscribe()
    }

    /// Returns the current status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.shared.status().clone()
    }

    /// Returns whether the applied state is as recent as the leader's was a moment ago. Not for longer than an
    /// election timeout after the group's thread has ceased to handle messages, as while its disk hangs.
    pub fn is_current(&self) -> bool {
        self.shared.status().is_current(self.shared.clock.now())
    }

    /// Returns the state of the replica, with the times that the group's thread can't publish while it waits
    /// for the disk.
    pub fn report(&self) -> GroupReport {
        let status = self.status();
        let voters = self.shared.voters().clone();
        let now = self.shared.clock.now();
        let age_ms = |at: MonoTime| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        GroupReport {
            current: status.is_current(now),
            applied: *self.shared.applied.borrow(),
            contact_ms: status.contact_at.map(age_ms),
            write_ms: self.shared.write_since().map(age_ms),
            voter_ages: voter_ages(&voters.since, now),
            keeper_reports: voters.keepers,
            status,
        }
    }
}
