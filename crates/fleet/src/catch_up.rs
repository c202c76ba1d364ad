//! Whether a keeper that has started holds what the others hold.
//!
//! Its directory is empty but for the leaves on its disk, and others may have saved leaves that it lacks. A
//! daemon that starts at the same time relies on the first keeper that is current. So a keeper isn't current
//! before it has exchanged with all others, or has waited long enough for them.

use agatehill_decide::name::KeeperName;
use parking_lot::Mutex;
use std::{
    collections::HashSet,
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

/// Longest wait for keepers that don't reply.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// How far a keeper that has started has heard of the others.
#[derive(Debug)]
pub(crate) struct CatchUp {
    started: Instant,
    is_done: AtomicBool,
    /// Keepers with which an exchange was complete.
    heard: Mutex<HashSet<KeeperName>>,
}

impl CatchUp {
    /// Begins to wait.
    pub(crate) fn begin() -> CatchUp {
        CatchUp {
            started: Instant::now(),
            is_done: AtomicBool::new(false),
            heard: Mutex::default(),
        }
    }

    /// Records that everything that `keeper` held has arrived.
    pub(crate) fn record_exchange(&self, keeper: &KeeperName) {
        if !self.is_done.load(Ordering::Relaxed) {
            self.heard.lock().insert(keeper.clone());
        }
    }

    /// Returns whether this keeper has heard of all of `others`, or waits no longer.
    pub(crate) fn is_done(&self, others: impl FnOnce() -> Vec<KeeperName>) -> bool {
        if self.is_done.load(Ordering::Relaxed) {
            return true;
        }
        let has_waited = self.started.elapsed() >= CATCH_UP_TIMEOUT;
        let is_done = has_waited || self.has_heard_all(&others());
        self.is_done.store(is_done, Ordering::Relaxed);
        is_done
    }

    fn has_heard_all(&self, others: &[KeeperName]) -> bool {
        let heard = self.heard.lock();
        others.iter().all(|other| heard.contains(other))
    }
}
