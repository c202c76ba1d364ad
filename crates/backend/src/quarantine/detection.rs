//! Tells the crash of a backend server from a lost connection.

use super::{CrashReportTransport, MonitorShared};
use agatehill_decide::{quarantine::RunKey, time::MonoTime};
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

/// Time between two checks for a response that shows that the server still runs.
const RESPONSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The last probe of a server. Its result serves all calls that were lost before it began.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerProbe {
    began: MonoTime,
    is_down: bool,
}

impl<T: CrashReportTransport> MonitorShared<T> {
    /// Ends `run`, whose connection was lost, and all other runs at the server if that has crashed.
    ///
    /// Returns whether the server has crashed, after the others have been notified.
    pub(super) async fn end_lost(&self, addr: SocketAddr, run: RunKey) -> bool {
        let has_crashed = self.has_crashed(addr, run).await;
        // All calls that a crash has ended return only after the others have been notified of it.
        let _broadcast = self.broadcast.lock().await;
        let reports = self.change(|state, now| {
            if !state.runs_at(addr).contains_run(run) {
                return Vec::new();
            }
            if has_crashed {
                return state.record_crash(addr, now);
            }
            state.runs_at(addr).end_unanswered(run);
            Vec::new()
        });
        self.broadcast(reports).await;
        has_crashed
    }

    /// Returns whether the server at `addr`, which does not accept a connection, has crashed; strikes
    /// the requests that it ended without a response.
    pub(super) async fn check_unreachable(&self, addr: SocketAddr) -> bool {
        let lost_at = self.clock.now();
        if !self.is_down(addr, lost_at).await {
            return false;
        }
        self.record_crash(addr).await;
        true
    }

    /// Strikes the requests that the server at `addr` has not responded to.
    pub(super) async fn record_crash(&self, addr: SocketAddr) {
        let _broadcast = self.broadcast.lock().await;
        let reports = self.change(|state, now| match state.runs_at(addr).has_candidates() {
            true => state.record_crash(addr, now),
            false => Vec::new(),
        });
        self.broadcast(reports).await;
    }

    /// Returns whether the server at `addr`, which ended the connection of `run`, has crashed.
    async fn has_crashed(&self, addr: SocketAddr, run: RunKey) -> bool {
        let lost_at = self.clock.now();
        let responses = self.change(|state, _| {
            let runs = state.runs_at(addr);
            runs.record_lost(run);
            runs.response_count()
        });
        // A crash ends all connections, and no response comes after it. The checks are counted, as this process may have
        // stood still while a response arrived.
        let checks = self.options.response_wait.as_millis() / RESPONSE_POLL_INTERVAL.as_millis();
        for _ in 0..checks {
            let (has_responded, has_connected_run) = self.change(|state, _| {
                let runs = state.runs_at(addr);
                (runs.response_count() != responses, runs.has_connected_run())
            });
            if has_responded {
                return false;
            }
            if !has_connected_run {
                break;
            }
            sleep(RESPONSE_POLL_INTERVAL).await;
        }
        self.is_down(addr, lost_at).await
    }

    /// Probes the server at `addr`, unless a probe that began after `lost_at` has ended meanwhile.
    async fn is_down(&self, addr: SocketAddr, lost_at: MonoTime) -> bool {
        let last_probe = self.change(|state, _| state.server(addr).last_probe.clone());
        let mut last_probe = last_probe.lock().await;
        if let Some(probe) = last_probe.filter(|probe| probe.began >= lost_at) {
            return probe.is_down;
        }
        let began = self.clock.now();
        let is_down = super::probe::is_down(addr, self.options.probe_open_time).await;
        *last_probe = Some(ServerProbe { began, is_down });
        is_down
    }
}
