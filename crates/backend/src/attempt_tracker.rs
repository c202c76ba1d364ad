//! Attempts forwarded to this daemon, for the senders that query their status.

use crate::guarded_body::BodyGuard;
use agatehill_decide::attempt_status::{AttemptId, AttemptStatus, AttemptTable};
use agatehill_process::clock::MonoClock;
use parking_lot::{Mutex, MutexGuard};
use std::sync::Arc;

/// Status of the attempts forwarded to this daemon, shared between threads.
#[derive(Clone, Debug)]
pub struct AttemptTracker {
    table: Arc<Mutex<AttemptTable>>,
    clock: MonoClock,
}

impl AttemptTracker {
    /// Opens an empty tracker.
    pub fn open(clock: MonoClock) -> AttemptTracker {
        AttemptTracker {
            table: Arc::default(),
            clock,
        }
    }

    /// Records the arrival of an attempt; returns `None` if it must not run.
    pub fn begin(&self, id: AttemptId) -> Option<AttemptGuard> {
        let may_run = self.lock().begin(id, self.clock.now());
        may_run.then(|| AttemptGuard {
            tracker: self.clone(),
            id,
        })
    }

    /// Returns the status of an attempt; one that has not arrived is refused from now on.
    pub fn query(&self, id: AttemptId) -> AttemptStatus {
        self.lock().query(id, self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, AttemptTable> {
        self.table.lock()
    }
}

/// An attempt that waits or runs; dropping it records the end.
#[derive(Debug)]
pub struct AttemptGuard {
    tracker: AttemptTracker,
    id: AttemptId,
}

impl BodyGuard for AttemptGuard {
    fn complete(&mut self) {}
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.tracker.lock().end(self.id, self.tracker.clock.now());
    }
}
