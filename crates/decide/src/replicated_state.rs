//! Interface between the replicated log and the state machine that it replicates.

use serde::{Serialize, de::DeserializeOwned};

/// A deterministic state machine: replicas that apply the same commands have the same state.
///
/// A snapshot is the serialised state.
pub trait ReplicatedState: DeserializeOwned + Serialize {
    /// A change of the state.
    type Command: Clone + DeserializeOwned + Serialize;
    /// Result that the proposer of a command receives.
    type Reply: Clone + DeserializeOwned + Serialize;

    /// Applies `command`, the log's entry at `position`, and returns its reply.
    ///
    /// Must depend only on the state and the arguments.
    fn apply(&mut self, position: u64, command: Self::Command) -> Self::Reply;
}
