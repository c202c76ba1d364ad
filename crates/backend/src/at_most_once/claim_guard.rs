//! Guard of a claim that has been sent and not yet granted.

use super::{ClaimStore, store::record};
use agatehill_decide::claim::{ClaimCommand, ClaimRequest};
use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

/// Withdraws the claim on drop if a copy of it may still be granted and would not be run.
#[derive(Debug)]
pub(super) struct ClaimGuard<S: ClaimStore> {
    store: S,
    tasks: TaskTracker,
    withdraw: Option<ClaimCommand>,
    copies_sent: u32,
}

impl<S: ClaimStore> ClaimGuard<S> {
    /// Returns the guard of `claim`, of which no copy has been sent.
    pub(super) fn new(store: S, tasks: TaskTracker, claim: &ClaimRequest) -> ClaimGuard<S> {
        ClaimGuard {
            store,
            tasks,
            withdraw: Some(ClaimCommand::Withdraw(claim.clone())),
            copies_sent: 0,
        }
    }

    /// Counts a copy of the claim; it may be granted at any time from now on.
    pub(super) fn record_sent(&mut self) {
        self.copies_sent += 1;
    }

    /// Removes from the count a copy that could not be sent.
    pub(super) fn record_not_sent(&mut self) {
        self.copies_sent -= 1;
    }

    /// Disables the withdrawal: no copy can be granted any more, or the run records its outcome.
    pub(super) fn disarm(&mut self) {
        self.withdraw = None;
    }
}

impl<S: ClaimStore> Drop for ClaimGuard<S> {
    fn drop(&mut self) {
        let is_sent = self.copies_sent > 0;
        if let Some(withdraw) = self.withdraw.take().filter(|_| is_sent) {
            let recorded = record(self.store.clone(), withdraw);
            // Without a runtime the process is exiting; its next run retires the claim.
            if let Ok(handle) = Handle::try_current() {
                self.tasks.spawn_on(recorded, &handle);
            }
        }
    }
}
