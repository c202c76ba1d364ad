//! Tells operators what clients hold, as gauges, and what gives way: a counter for each, and at most one log line in an
//! interval.

use super::ledger::{GaveWay, GiveWayReason, ListenerTotals};
use metrics::{counter, gauge};
use std::sync::atomic::{AtomicU64, Ordering};

/// Time between two log lines, in milliseconds.
const LINE_INTERVAL_MS: u64 = 1_000;

/// Counts and reports usages that give way.
#[derive(Debug, Default)]
pub(super) struct GiveWayReport {
    /// How many have given way since the last line.
    count: AtomicU64,
    /// Milliseconds from the start of the budget from which the next line may be written.
    next_line_ms: AtomicU64,
}

impl GiveWayReason {
    /// Returns the name for metrics and log lines.
    fn as_str(self) -> &'static str {
        match self {
            GiveWayReason::Memory => "memory",
            GiveWayReason::Connections => "connections",
        }
    }
}

impl GiveWayReport {
    /// Counts `gave_way`, and writes a line unless one was written shortly before.
    pub(super) fn record(&self, gave_way: Vec<GaveWay>, now_ms: u64) {
        for ended in &gave_way {
            counter!(
                "agatehill_clients_gave_way",
                "listener" => ended.listener,
                "reason" => ended.reason.as_str()
            )
            .increment(1);
        }
        let Some(last) = gave_way.last() else {
            return;
        };
        let count = gave_way.len() as u64;
        let count = self.count.fetch_add(count, Ordering::Relaxed) + count;
        let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
        let next_line = self.next_line_ms.load(Ordering::Relaxed);
        let is_due = now_ms >= next_line
            && self
                .next_line_ms
                .compare_exchange(next_line, now_ms + LINE_INTERVAL_MS, success, failure)
                .is_ok();
        if is_due {
            self.count.fetch_sub(count, Ordering::Relaxed);
            spdlog::warn!("clients gave way to others", kv: {
                count,
                listener = last.listener,
                reason = last.reason.as_str()
            });
        }
    }
}

/// Sets the gauges of each listener.
#[expect(clippy::cast_precision_loss, reason = "sizes in memory and counts")]
pub(super) fn show_totals(totals: &[ListenerTotals]) {
    for listener in totals {
        let name = listener.name;
        gauge!("agatehill_clients_bytes", "listener" => name).set(listener.bytes as f64);
        gauge!("agatehill_clients_connections", "listener" => name)
            .set(listener.connections as f64);
    }
}
