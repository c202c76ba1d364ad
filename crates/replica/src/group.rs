//! One replicated group of this keeper: the thread that drives it and the handle on it.

use crate::{driver::GroupDriver, outbox::PeerOutbox};
use agatehill_decide::{
    claim::{ClaimCommand, ClaimTable},
    config_history::ConfigHistory,
    contract_history::ContractHistory,
    name::KeeperName,
    replica::{ReplicaEnvelope, ReplicaNode, ReplicaSettings, ReplicaStatus},
    replicated_state::ReplicatedState,
};
use agatehill_process::clock::MonoClock;
use agatehill_store::{GroupStore, OpenedGroup, StoreError};
use std::{
    path::Path,
    sync::{
        Arc, Mutex, RwLock,
        mpsc::{SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};
use tokio::sync::{oneshot, watch};

/// Events that wait for a group's thread before further ones are dropped.
const EVENT_QUEUE_MAX: usize = 16_384;
/// Time after which a proposer no longer waits for the fate of its command; shorter than the time
/// limits of those who wait for the proposer, so that they get an answer.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A state that a group of this keeper can replicate.
pub trait GroupState: Default + ReplicatedState + Send + Sync + 'static {
    /// Returns the command that ages the state by time the leader has measured, if there is one.
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

/// Why a command has no reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProposeError {
    /// Another keeper leads; nothing was proposed.
    NotLeader(Option<KeeperName>),
    /// The command may or may not be run.
    Unknown,
}

/// What a group's thread is told.
pub(crate) enum GroupEvent<R> {
    /// A message of another replica.
    Message(ReplicaEnvelope),
    /// A serialised command to be replicated.
    Propose {
        /// The command.
        command: Arc<[u8]>,
        /// Where its fate goes.
        reply: oneshot::Sender<Result<R, ProposeError>>,
    },
    /// Further keepers were found.
    AddKeepers(Vec<KeeperName>),
    /// The process is about to stop.
    TransferLeadership,
}

/// What a group's thread shows to others.
pub(crate) struct GroupShared<S> {
    pub(crate) state: RwLock<S>,
    pub(crate) applied: watch::Sender<u64>,
    pub(crate) status: Mutex<ReplicaStatus>,
}

/// Ends the process if the thread panics: without its thread a group would look alive.
struct AbortGuard;

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if thread::panicking() {
            std::process::abort();
        }
    }
}

/// A handle on a group; clones share it.
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
    /// The incarnation in `settings` is that of a new folder.
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
            state: RwLock::default(),
            applied: watch::channel(0).0,
            status: Mutex::new(node.status()),
        });
        let (events, inbox) = sync_channel(EVENT_QUEUE_MAX);
        let driver = GroupDriver::new(node, store, clock, outbox, shared.clone());
        thread::Builder::new()
            .name(format!("group-{group}"))
            .spawn(move || {
                let _guard = AbortGuard;
                driver.run(snapshot, &inbox);
            })
            .expect("the system has room for a thread");
        Ok(GroupHandle { shared, events })
    }

    /// Proposes `command` and waits for its reply.
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

    /// Makes further keepers known to the replica.
    pub fn add_keepers(&self, names: Vec<KeeperName>) {
        // When the thread can't keep up, the keepers are told of again with the next look.
        let _ = self.events.try_send(GroupEvent::AddKeepers(names));
    }

    /// Hands the lead over, if this keeper leads.
    pub fn transfer_leadership(&self) {
        let _ = self.events.try_send(GroupEvent::TransferLeadership);
    }

    /// Takes a message of another replica; it is dropped if too many wait.
    pub fn deliver(&self, envelope: ReplicaEnvelope) {
        let _ = self.events.try_send(GroupEvent::Message(envelope));
    }

    /// Reads the state as far as it is applied here.
    pub fn read<T>(&self, get: impl FnOnce(&S) -> T) -> T {
        let state = self.shared.state.read();
        get(&state.expect("no holder of the lock panics"))
    }

    /// Watches the applied log position.
    pub fn subscribe_applied(&self) -> watch::Receiver<u64> {
        self.shared.applied.subscribe()
    }

    /// Returns what the replica is at the moment.
    pub fn status(&self) -> ReplicaStatus {
        let status = self.shared.status.lock();
        status.expect("no holder of the lock panics").clone()
    }
}
