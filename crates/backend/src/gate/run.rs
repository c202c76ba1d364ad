//! A call that runs at a backend server.

use crate::{
    admission::SlotGuard,
    chain::RunningChain,
    client::CallFailure,
    guarded_body::BodyGuard,
    quarantine::{QuarantineGuard, ZoneTransport},
    registry::ServerRegistry,
};
use agatehill_decide::{chain::ChainBudget, gate::RunResult};
use agatehill_peer::forward::FailureKind;
use std::{net::SocketAddr, sync::Arc};

/// A call that runs at a server; the run ends on drop.
#[derive(Debug)]
pub(super) struct RunGuard {
    pub(super) addr: SocketAddr,
    pub(super) registry: Arc<ServerRegistry>,
    pub(super) chain: RunningChain,
    pub(super) slot: SlotGuard,
    pub(super) quarantine: QuarantineGuard<ZoneTransport>,
    pub(super) retries: u32,
}

impl RunGuard {
    /// Returns the number of retries that are spent or still leased to child calls.
    pub(super) fn retries_used(&self) -> u32 {
        self.retries.saturating_sub(self.chain.handle.remaining())
    }

    /// Records that the server refused the call without starting to process it.
    pub(super) fn record_shed(&mut self) {
        self.slot.set_result(RunResult::Shed);
        self.quarantine.record_rejection();
    }

    /// Records that the call got no response and returns why.
    ///
    /// A server where nothing listens any more is removed from the registry at once. If the server
    /// crashed after the call was sent, returns only after the zone has been notified.
    pub(super) async fn record_lost(&mut self, failure: CallFailure) -> FailureKind {
        self.slot.set_result(RunResult::Lost);
        let is_down = match failure {
            CallFailure::Lost => self.quarantine.record_lost().await,
            CallFailure::NotSent => self.quarantine.record_unsent().await,
        };
        if is_down {
            self.registry.remove(self.addr);
        }
        match failure {
            CallFailure::NotSent if is_down => FailureKind::NoServer,
            _ => FailureKind::Lost,
        }
    }
}

impl BodyGuard for RunGuard {
    fn complete(&mut self) {
        self.slot.set_result(RunResult::Answered);
        self.quarantine.record_answer();
    }

    fn aborted(&mut self) {
        self.slot.set_result(RunResult::Lost);
        self.quarantine.record_aborted();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.slot.set_child_time(self.chain.handle.child_time());
    }
}
