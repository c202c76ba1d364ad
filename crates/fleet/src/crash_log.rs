//! A keeper's copy of the strikes against requests that crash servers.

use agatehill_decide::quarantine::{CrashReport, QuarantineState};
use agatehill_process::clock::MonoClock;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

/// The strikes that a keeper hands on to daemons and other keepers.
#[derive(Debug)]
pub(crate) struct CrashLog {
    clock: MonoClock,
    state: Mutex<QuarantineState>,
    /// Number of changes.
    changes: watch::Sender<u64>,
}

/// Changes to a [`CrashLog`].
#[derive(Debug)]
pub(crate) struct CrashLogChanges {
    /// Number of the last change.
    pub(crate) at: u64,
    /// The strikes that changed.
    pub(crate) reports: Vec<CrashReport>,
    /// Digest of all strikes.
    pub(crate) digest: u64,
}

impl CrashLog {
    /// Returns a log without strikes.
    pub(crate) fn open(clock: MonoClock) -> CrashLog {
        CrashLog {
            clock,
            state: Mutex::default(),
            changes: watch::channel(0).0,
        }
    }

    /// Merges strikes.
    pub(crate) fn merge(&self, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        for report in reports {
            state.merge(now, *report);
        }
        let count = state.change_count();
        drop(state);
        self.changes.send_if_modified(|changes| {
            let is_changed = *changes != count;
            *changes = count;
            is_changed
        });
    }

    /// Returns the number of changes so far.
    pub(crate) fn change_count(&self) -> u64 {
        self.lock().change_count()
    }

    /// Subscribes to the number of changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the changes after change number `after`.
    pub(crate) fn changed_after(&self, after: u64) -> CrashLogChanges {
        let state = self.lock();
        CrashLogChanges {
            at: state.change_count(),
            reports: state.changed_after(self.clock.now(), after),
            digest: state.digest(),
        }
    }

    /// Returns a digest of all strikes.
    pub(crate) fn digest(&self) -> u64 {
        self.lock().digest()
    }

    /// Returns the number of requests with strikes.
    pub(crate) fn suspect_count(&self) -> usize {
        self.lock().len()
    }

    /// Removes expired strikes.
    pub(crate) fn remove_expired(&self) {
        self.lock().remove_expired(self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineState> {
        let state = self.state.lock();
        state.expect("no thread panics while it holds the strikes")
    }
}
