//! A request in flight at a gate.

use crate::entry::RequestEntry;
use agatehill_decide::time::MonoTime;
use std::{net::SocketAddr, time::Duration};

/// Time in flight at a gate from which a request that is cancelled without a reply counts as a
/// failure of the gate.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(400);

/// A request in flight at a gate; dropping it ends its count at the gate selection.
pub(super) struct PendingGuard<'a> {
    entry: &'a RequestEntry,
    gate: SocketAddr,
    started: MonoTime,
    /// Whether the gate's result has arrived.
    pub(super) has_result: bool,
}

impl<'a> PendingGuard<'a> {
    pub(super) fn begin(entry: &'a RequestEntry, gate: SocketAddr) -> PendingGuard<'a> {
        entry.lock().selector.record_start(gate);
        PendingGuard {
            entry,
            gate,
            started: entry.options.clock.now(),
            has_result: false,
        }
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        let now = self.entry.options.clock.now();
        let is_unresponsive = !self.has_result && now.since(self.started) >= UNRESPONSIVE_TIMEOUT;
        let mut state = self.entry.lock();
        state.selector.record_end(self.gate);
        if is_unresponsive {
            state.selector.record_failure(self.gate, now);
            drop(state);
            self.entry.pool.close_idle(self.gate);
        }
    }
}
