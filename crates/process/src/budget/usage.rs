//! What one connection, or one body that is being received, holds.

use super::{
    ListenerBudget,
    ledger::{UsageKey, UsageState},
};
use std::{
    future::poll_fn,
    sync::Arc,
    task::{Context, Poll},
};

/// A usage of a budget; dropping it frees what it holds.
#[derive(Debug)]
pub struct ClientUsage {
    part: ListenerBudget,
    key: UsageKey,
    state: Arc<UsageState>,
}

impl ClientUsage {
    pub(super) fn new(
        part: ListenerBudget,
        (key, state): (UsageKey, Arc<UsageState>),
    ) -> ClientUsage {
        ClientUsage { part, key, state }
    }

    /// Records that the client is waited for: from now on the usage may give way.
    pub fn set_waiting(&self) {
        self.set_waiting_since(self.part.budget.now_ms());
    }

    /// Records that the usage must not give way; returns whether it has not done so before.
    pub fn set_busy(&self) -> bool {
        self.state.set_busy()
    }

    /// Counts `bytes` in place of what was counted; others give way if that is too much. Returns whether there is
    /// room; if not, what was counted stays.
    pub fn try_hold(&self, bytes: usize) -> bool {
        let shared = &self.part.budget.shared;
        let now_ms = self.part.budget.now_ms();
        let mut ledger = shared.ledger.lock();
        let is_held = ledger.try_hold(self.key, bytes, now_ms);
        let gave_way = ledger.take_gave_way();
        drop(ledger);
        shared.report.record(gave_way, now_ms);
        is_held
    }

    /// Returns whether the usage has given way: its client must be left.
    pub fn has_given_way(&self) -> bool {
        self.state.has_given_way()
    }

    /// Is ready once the usage has given way.
    pub fn poll_given_way(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.state.poll_given_way(cx)
    }

    /// Waits until the usage has given way.
    pub async fn given_way(&self) {
        poll_fn(|cx| self.poll_given_way(cx)).await;
    }

    /// Returns the part of the budget that it belongs to.
    pub fn part(&self) -> &ListenerBudget {
        &self.part
    }

    pub(super) fn set_waiting_since(&self, now_ms: u64) {
        self.state.set_waiting_since(now_ms);
    }
}

impl Drop for ClientUsage {
    fn drop(&mut self) {
        let is_connection = self.part.budget.shared.ledger.lock().remove(self.key);
        if is_connection {
            self.part.budget.shared.closed.notify_waiters();
        }
    }
}
