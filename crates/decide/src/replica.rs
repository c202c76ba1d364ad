//! A replicated log without I/O: terms, majority commit, pre-vote, snapshots and voters that are
//! replaced by incarnation.
//!
//! The protocol is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote and changes of one
//! voter at a time from Ongaro's dissertation. What differs:
//!
//! - A member is a name and an incarnation, the identity of its disk. Votes and acknowledgements
//!   count only if both are in the configuration, so a keeper that has lost its disk counts for
//!   nothing until the leader has fed it and the voters have replaced its old incarnation.
//! - A new group is formed once, when every listed keeper is present and none has any state.
//! - No read or commit relies on a clock: a leader that is frozen or cut off can't acknowledge
//!   anything when it comes back, because acknowledgements need a majority in its own term.
//!
//! A driver calls [`ReplicaNode::step`] and carries out the outputs in their order; a
//! [`ReplicaOutput::Persist`] must be durable before any later output of the same or a later step
//! is carried out. Outputs that stand before it need not wait. When all outputs are durable the
//! driver says so with [`ReplicaInput::Persisted`].

mod elect;
mod follow;
mod form;
mod install;
mod interface;
mod lead;
mod log;
mod message;
mod node;
mod repair;

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
};
