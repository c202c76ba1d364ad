//! A claim that is asked for and not yet in hand.

use super::{ClaimStore, store::record};
use agatehill_decide::claim::{ClaimCommand, ClaimRequest};
use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

/// Withdraws the claim on drop if a copy of it may be granted and nobody will run it.
#[derive(Debug)]
pub(super) struct ClaimGuard<S: ClaimStore> {
    store: S,
    tasks: TaskTracker,
    withdraw: Option<ClaimCommand>,
    exposed: u32,
}

impl<S: ClaimStore> ClaimGuard<S> {
    /// Guards `claim`, of which no copy has been sent.
    pub(super) fn new(store: S, tasks: TaskTracker, claim: &ClaimRequest) -> ClaimGuard<S> {
        ClaimGuard {
            store,
            tasks,
            withdraw: Some(ClaimCommand::Withdraw(claim.clone())),
            exposed: 0,
        }
    }

    /// Counts a copy of the claim that may be granted at any later time.
    pub(super) fn expose(&mut self) {
        self.exposed += 1;
    }

    /// Takes back the count of a copy that was not sent.
    pub(super) fn not_sent(&mut self) {
        self.exposed -= 1;
    }

    /// No copy will be granted any more, or who runs the request records its end.
    pub(super) fn disarm(&mut self) {
        self.withdraw = None;
    }
}

impl<S: ClaimStore> Drop for ClaimGuard<S> {
    fn drop(&mut self) {
        let is_exposed = self.exposed > 0;
        if let Some(withdraw) = self.withdraw.take().filter(|_| is_exposed) {
            let recorded = record(self.store.clone(), withdraw);
            // Without a runtime the process is at its end, and its claims end with the run.
            if let Ok(handle) = Handle::try_current() {
                self.tasks.spawn_on(recorded, &handle);
            }
        }
    }
}
