//! Metrics and log lines on a group's replica that its thread can't write itself while it waits for the disk.

use crate::group::{GroupHandle, GroupReport, GroupState};
use metrics::gauge;
use spdlog::{info, warn};
use std::time::Duration;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time from which on a write or sync under way is logged, in milliseconds.
const LONG_WRITE_MS: u64 = 1_000;

/// What the last report has logged.
#[derive(Debug, Default)]
struct LoggedState {
    is_current: bool,
    is_write_long: bool,
}

/// Reports the replica of `group` at intervals, forever.
pub async fn report_group<S>(group: u16, handle: GroupHandle<S>)
where
    S: GroupState,
    S::Reply: Send,
{
    let mut logged = LoggedState::default();
    loop {
        let report = handle.report();
        set_gauges(group, &report);
        log_changes(group, &report, &mut logged);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

fn set_gauges(group: u16, report: &GroupReport) {
    let seconds = |ms: u64| Duration::from_millis(ms).as_secs_f64();
    let contact = report.contact_ms.map_or(f64::INFINITY, seconds);
    let write = report.write_ms.map_or(0.0, seconds);
    let label = || ("group", group.to_string());
    gauge!("agatehill_replica_contact_age_seconds", &[label()]).set(contact);
    gauge!("agatehill_replica_write_age_seconds", &[label()]).set(write);
    gauge!("agatehill_replica_commit_index", &[label()]).set(report.status.commit as f64);
    gauge!("agatehill_replica_applied_index", &[label()]).set(report.applied as f64);
    gauge!("agatehill_replica_voters", &[label()]).set(report.status.voters.len() as f64);
    let voters = report.keeper_reports.iter().filter(|keeper| keeper.votes);
    let silent = voters
        .map(|keeper| keeper.silent_ms)
        .max()
        .map_or(0.0, seconds);
    gauge!("agatehill_replica_silent_voter_seconds", &[label()]).set(silent);
}

fn log_changes(group: u16, report: &GroupReport, logged: &mut LoggedState) {
    let write_ms = report.write_ms.unwrap_or_default();
    let is_write_long = write_ms >= LONG_WRITE_MS;
    if is_write_long && !logged.is_write_long {
        warn!("a write to disk has not ended", kv: { group, write_ms });
    }
    if !is_write_long && logged.is_write_long {
        info!("the write to disk has ended", kv: { group });
    }
    logged.is_write_long = is_write_long;

    let is_current = report.current;
    if is_current != logged.is_current {
        info!("contact with the leader changed", kv: {
            group,
            current = is_current,
            contact_ms = report.contact_ms.unwrap_or(u64::MAX),
            commit = report.status.commit,
            applied = report.applied
        });
    }
    logged.is_current = is_current;
}
