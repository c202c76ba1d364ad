//! One replicated group of this keeper.

use agatehill_decide::state::ReplicatedState;
use std::sync::{Arc, RwLock};
use tokio::sync::watch;

/// A handle on a group; clones share it.
pub(crate) struct GroupHandle<S> {
    state: Arc<RwLock<S>>,
    applied: Arc<watch::Sender<u64>>,
}

impl<S> Clone for GroupHandle<S> {
    fn clone(&self) -> GroupHandle<S> {
        GroupHandle {
            state: self.state.clone(),
            applied: self.applied.clone(),
        }
    }
}

impl<S: Default + ReplicatedState> GroupHandle<S> {
    /// Opens a group that lives in memory.
    pub(crate) fn open() -> GroupHandle<S> {
        GroupHandle {
            state: Arc::default(),
            applied: Arc::new(watch::channel(0).0),
        }
    }

    /// Runs `command` and returns its reply.
    pub(crate) fn propose(&self, command: S::Command) -> S::Reply {
        let mut state = self.state.write().expect("no holder of the lock panics");
        let position = *self.applied.borrow() + 1;
        let reply = state.apply(position, command);
        self.applied.send_replace(position);
        reply
    }

    /// Reads the state as far as it is applied here.
    pub(crate) fn read<T>(&self, get: impl FnOnce(&S) -> T) -> T {
        get(&self.state.read().expect("no holder of the lock panics"))
    }

    /// Watches the applied log position.
    pub(crate) fn applied(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }
}
