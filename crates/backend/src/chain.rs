//! State that a call running at a backend server shares with the child calls the server makes.

use agatehill_decide::{
    chain::{ChainBudget, ChainGuard},
    level::PathLevels,
    resend::{ChildFingerprint, ResendDetector},
    retry::{RetryBudget, RetryLease},
};
use parking_lot::{Mutex, MutexGuard};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Retry budget, child calls and gate levels of one running call, shared with its child calls.
#[derive(Clone, Debug)]
pub struct ChainHandle {
    shared: Arc<ChainShared>,
}

#[derive(Debug)]
struct ChainShared {
    budget: Mutex<RetryBudget>,
    children: Mutex<ResendDetector>,
    child_micros: AtomicU64,
    levels: Mutex<PathLevels>,
}

impl ChainHandle {
    /// Opens the handle of a call that may spend `retries` retries, child calls included.
    pub fn open(retries: u32) -> ChainHandle {
        let shared = ChainShared {
            budget: Mutex::new(RetryBudget::from_lease(retries)),
            children: Mutex::default(),
            child_micros: AtomicU64::new(0),
            levels: Mutex::default(),
        };
        ChainHandle {
            shared: Arc::new(shared),
        }
    }

    /// Records the start of the child call `fingerprint` and leases retries to it.
    ///
    /// A resend spends a retry first; returns `None` if none is left for it.
    pub fn begin_child(&self, fingerprint: ChildFingerprint) -> Option<ChildLease> {
        let is_resend = self.lock_children().begin(fingerprint);
        let mut budget = self.lock_budget();
        if is_resend && !budget.try_spend() {
            drop(budget);
            self.lock_children().end(fingerprint, false);
            return None;
        }
        let lease = Some(budget.lease());
        Some(ChildLease {
            handle: self.clone(),
            fingerprint,
            lease,
            is_answered: false,
        })
    }

    /// Returns the total duration of the ended child calls; parallel ones are added up.
    pub fn child_time(&self) -> Duration {
        Duration::from_micros(self.shared.child_micros.load(Ordering::Relaxed))
    }

    /// Returns the levels of the gates that child calls have passed.
    pub fn levels(&self) -> PathLevels {
        *self.lock_levels()
    }

    fn lock_levels(&self) -> MutexGuard<'_, PathLevels> {
        self.shared.levels.lock()
    }

    fn lock_children(&self) -> MutexGuard<'_, ResendDetector> {
        self.shared.children.lock()
    }

    fn lock_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.shared.budget.lock()
    }
}

impl ChainBudget for ChainHandle {
    fn remaining(&self) -> u32 {
        self.lock_budget().remaining()
    }
}

/// Retries leased to a child call.
///
/// If it is dropped without [`ChildLease::end`], the retries count as spent and the call as failed.
#[derive(Debug)]
pub struct ChildLease {
    handle: ChainHandle,
    fingerprint: ChildFingerprint,
    lease: Option<RetryLease>,
    is_answered: bool,
}

impl ChildLease {
    /// Returns the number of retries leased.
    pub fn tokens(&self) -> u32 {
        self.lease.as_ref().map_or(0, RetryLease::tokens)
    }

    /// Records the levels of the gates that the child call has passed.
    pub fn record_levels(&self, levels: &PathLevels) {
        self.handle.lock_levels().merge(levels);
    }

    /// Ends the child call, which took `elapsed` and did not use `unused` of its retries.
    pub fn end(mut self, is_answered: bool, unused: u32, elapsed: Duration) {
        self.is_answered = is_answered;
        if let Some(lease) = self.lease.take() {
            self.handle.lock_budget().give_back(lease, unused);
        }
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.handle
            .shared
            .child_micros
            .fetch_add(micros, Ordering::Relaxed);
    }
}

impl Drop for ChildLease {
    fn drop(&mut self) {
        self.handle
            .lock_children()
            .end(self.fingerprint, self.is_answered);
    }
}

/// A running call and its entry in the index by which child calls find their parent.
#[derive(Debug)]
pub struct RunningChain {
    /// Shared with the child calls.
    pub handle: ChainHandle,
    /// Removes the call from the index on drop.
    pub index_guard: ChainGuard<ChainHandle>,
}
