//! The interface between the replicated log and what it replicates.

use serde::{Serialize, de::DeserializeOwned};

/// A state that is the same on every replica after the same commands.
///
/// A snapshot is the serialised state itself.
pub trait ReplicatedState: DeserializeOwned + Serialize {
    /// One change of the state.
    type Command: Clone + DeserializeOwned + Serialize;
    /// What the proposer of a command gets back.
    type Reply: Clone + DeserializeOwned + Serialize;

    /// Applies `command`, the log's entry at `position`, and returns its reply.
    ///
    /// Depends on nothing but the state and the arguments.
    fn apply(&mut self, position: u64, command: Self::Command) -> Self::Reply;
}
