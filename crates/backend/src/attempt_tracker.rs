//! The attempts that this gate was sent, for daemons that ask after them.

use crate::guarded_body::BodyGuard;
use agatehill_decide::attempt_status::{AttemptId, AttemptStatus, AttemptTable};
use agatehill_process::clock::MonoClock;
use std::sync::{Arc, Mutex, MutexGuard};

/// The attempts that this gate was sent, shared between threads.
#[derive(Clone, Debug)]
pub struct AttemptTracker {
    table: Arc<Mutex<AttemptTable>>,
    clock: MonoClock,
}

impl AttemptTracker {
    /// Opens an empty log.
    pub fn open(clock: MonoClock) -> AttemptTracker {
        AttemptTracker {
            table: Arc::default(),
            clock,
        }
    }

    /// Records an attempt that has come; `None` when it may not run.
    pub fn begin(&self, id: AttemptId) -> Option<AttemptGuard> {
        let may_run = self.lock().begin(id, self.clock.now());
        may_run.then(|| AttemptGuard {
            tracker: self.clone(),
            id,
        })
    }

    /// Returns what has become of an attempt.
    pub fn query(&self, id: AttemptId) -> AttemptStatus {
        self.lock().query(id, self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, AttemptTable> {
        self.table.lock().expect("no holder of the log panics")
    }
}

/// An attempt that waits or runs; ends on drop.
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
