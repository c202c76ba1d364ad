//! A replicated log without I/O: elections with pre-vote, majority commit, snapshots and
//! replacement of voters that lost their disk.
//!
//! The protocol is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote and single-server
//! membership changes from Ongaro's dissertation. It differs in three points:
//!
//! - A replica is identified by the keeper's name and an incarnation, the identity of its disk.
//!   Votes and acknowledgements count only if the configuration contains both. A keeper that has
//!   lost its disk is therefore not counted until it has caught up with the leader and the
//!   configuration names its new incarnation.
//! - A group is formed once, when every keeper that [`VoterPolicy`] requires is present and none
//!   has any state.
//! - No read or commit relies on a clock. A leader that was frozen or partitioned can't acknowledge
//!   anything after it returns, because acknowledgements need a majority in its own term.
//!
//! A driver calls [`ReplicaNode::step`] and executes the outputs in order. A
//! [`ReplicaOutput::Persist`] must be durable before any later output of the same or a later step
//! is executed; the outputs before it need not wait for it. Once all outputs are durable, the
//! driver passes [`ReplicaInput::Persisted`].

mod election;
mod follower;
mod formation;
mod interface;
mod leader;
mod log;
mod message;
mod node;
mod progress;
mod snapshot_transfer;
mod validity;
mod voter_change;
mod voter_report;

pub use self::{
    interface::{
        PersistBatch, RecoveredState, ReplicaInput, ReplicaOutput, ReplicaSettings, ReplicaStatus,
        VoterPolicy,
    },
    log::ReplicaLog,
    message::{
        AppendResult, EntryPayload, GroupConfig, HardState, LogEntry, ReplicaEnvelope, ReplicaId,
        ReplicaMessage, ReplicaSnapshot, SnapshotMeta,
    },
    node::ReplicaNode,
    voter_change::{VoterAction, VoterChange, VoterReason},
    voter_report::{KeeperReport, KeeperState},
};
