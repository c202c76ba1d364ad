//! What a call that runs at a backend server shares with the calls that the server makes.

use agatehill_decide::{
    chain::{ChainBudget, ChainGuard},
    level::PathLevels,
    resend::{ChildFingerprint, ResendDetector},
    retry::{RetryBudget, RetryLease},
};
use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// The retry budget and the time in child calls of one running call.
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
    /// Opens the handle of a call that may spend `retries`.
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

    /// Leases retries to the child call `print`, which starts; a resend spends one first.
    ///
    /// Returns `None` for a resend when none is left.
    pub fn begin_child(&self, print: ChildFingerprint) -> Option<ChildLease> {
        let is_resend = self.children().begin(print);
        let mut budget = self.budget();
        if is_resend && !budget.try_spend() {
            drop(budget);
            self.children().end(print, false);
            return None;
        }
        let lease = Some(budget.lease());
        Some(ChildLease {
            handle: self.clone(),
            print,
            lease,
            is_answered: false,
        })
    }

    /// Returns the time that child calls have taken, those in parallel added up.
    pub fn child_time(&self) -> Duration {
        Duration::from_micros(self.shared.child_micros.load(Ordering::Relaxed))
    }

    /// Returns the levels of the gates that child calls have passed.
    pub fn levels(&self) -> PathLevels {
        *self.levels_held()
    }

    fn levels_held(&self) -> MutexGuard<'_, PathLevels> {
        self.shared
            .levels
            .lock()
            .expect("no holder of levels panics")
    }

    fn children(&self) -> MutexGuard<'_, ResendDetector> {
        self.shared
            .children
            .lock()
            .expect("no holder of a table panics")
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.shared
            .budget
            .lock()
            .expect("no holder of a budget panics")
    }
}

impl ChainBudget for ChainHandle {
    fn remaining(&self) -> u32 {
        self.budget().remaining()
    }
}

/// The retries leased to a child call; without [`ChildLease::end`] they count as spent and the
/// call as failed.
#[derive(Debug)]
pub struct ChildLease {
    handle: ChainHandle,
    print: ChildFingerprint,
    lease: Option<RetryLease>,
    is_answered: bool,
}

impl ChildLease {
    /// Returns the number of retries leased.
    pub fn tokens(&self) -> u32 {
        self.lease.as_ref().map_or(0, RetryLease::tokens)
    }

    /// Takes in the levels of the gates that the child call has passed.
    pub fn record_levels(&self, levels: &PathLevels) {
        self.handle.levels_held().merge(levels);
    }

    /// Ends the child call, which took `elapsed` and left `unused` retries.
    pub fn end(mut self, is_answered: bool, unused: u32, elapsed: Duration) {
        self.is_answered = is_answered;
        if let Some(lease) = self.lease.take() {
            self.handle.budget().give_back(lease, unused);
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
        self.handle.children().end(self.print, self.is_answered);
    }
}

/// A call that runs, as its child calls find it.
#[derive(Debug)]
pub struct RunningChain {
    /// Shared with the child calls.
    pub handle: ChainHandle,
    /// Keeps the call in the index of running calls.
    pub index_guard: ChainGuard<ChainHandle>,
}
