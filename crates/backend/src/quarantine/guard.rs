//! One monitored call.

use super::{CrashReportTransport, MonitorShared, MonitorState, QuarantineRefusal};
use agatehill_decide::{
    quarantine::{CrashId, CrashReport, RequestContent, RunDecision, RunKey},
    time::MonoTime,
};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::sleep;

/// Time between two checks of whether another suspect's run at the server has ended.
const SERIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What is known about the end of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunEnd {
    /// It was not sent, or what came back says nothing about the server.
    Inconclusive,
    /// It was sent and there is no response: the server may have crashed under it.
    Unanswered,
    /// The server rejected it.
    Rejected,
    /// The complete response has arrived.
    Answered,
}

/// One monitored call; dropping it ends the run and updates the strikes of the request.
#[derive(Debug)]
pub struct QuarantineGuard<T: CrashReportTransport> {
    shared: Arc<MonitorShared<T>>,
    addr: SocketAddr,
    content: RequestContent,
    run: Option<RunKey>,
    has_started: bool,
    /// The crash for which a strike was recorded before the run.
    pending_strike: Option<CrashId>,
    end: RunEnd,
}

impl<T: CrashReportTransport> QuarantineGuard<T> {
    pub(super) fn new(
        shared: Arc<MonitorShared<T>>,
        addr: SocketAddr,
        content: RequestContent,
    ) -> QuarantineGuard<T> {
        QuarantineGuard {
            shared,
            addr,
            content,
            run: None,
            has_started: false,
            pending_strike: None,
            end: RunEnd::Inconclusive,
        }
    }

    /// Waits until the call may be started; returns at once unless the request is a suspect.
    ///
    /// # Errors
    ///
    /// The request is quarantined, or `deadline` passes first.
    pub async fn wait_ready(&mut self, deadline: MonoTime) -> Result<(), QuarantineRefusal> {
        while self.shared.has_suspects.load(Ordering::Acquire) {
            self.withdraw_stale_strike().await;
            let is_recorded = !self.shared.options.records_ahead || self.pending_strike.is_some();
            match self.decision() {
                (RunDecision::Unrestricted, _) => return Ok(()),
                (RunDecision::Quarantined(remaining), _) => {
                    return Err(QuarantineRefusal::Quarantined(remaining));
                }
                (RunDecision::Serial, false) if is_recorded => return Ok(()),
                (RunDecision::Serial, false) => self.record_pending_strike().await,
                (RunDecision::Serial, true) => sleep(SERIAL_POLL_INTERVAL).await,
            }
            if self.shared.clock.now() >= deadline {
                return Err(QuarantineRefusal::Deadline);
            }
        }
        Ok(())
    }

    /// Starts the run; if false, [`QuarantineGuard::wait_ready`] must be called again.
    pub fn try_start(&mut self) -> bool {
        let (addr, content, pending_strike) = (self.addr, self.content, self.pending_strike);
        let records_ahead = self.shared.options.records_ahead;
        self.run = self.shared.change(|state, now| {
            let decision = state.decision(now, addr, content);
            let runs = state.runs_at(addr);
            let is_recorded = !records_ahead || pending_strike == Some(runs.next_crash());
            if decision == RunDecision::Serial && !is_recorded {
                return None;
            }
            runs.start(content, decision)
        });
        self.has_started = self.run.is_some();
        self.has_started
    }

    /// Records that the request is being sent.
    pub fn record_sent(&mut self) {
        self.end = RunEnd::Unanswered;
        if let Some(run) = self.run {
            let addr = self.addr;
            self.shared
                .change(|state, now| state.runs_at(addr).record_sent(run, now));
        }
    }

    /// Records that the complete response has arrived.
    pub fn record_answer(&mut self) {
        self.end = RunEnd::Answered;
    }

    /// Records that the server rejected the request without running it.
    pub fn record_rejection(&mut self) {
        self.end = RunEnd::Rejected;
    }

    /// Records that the run shows neither a crash nor that the server is alive.
    pub fn record_inconclusive(&mut self) {
        self.end = RunEnd::Inconclusive;
    }

    /// Records that the connection was lost; returns whether the server has crashed, after the
    /// others have been notified.
    pub async fn record_lost(&mut self) -> bool {
        match self.run.take() {
            Some(run) => self.shared.end_lost(self.addr, run).await,
            None => false,
        }
    }

    /// Records that the request could not be sent; returns whether the server has crashed, after the
    /// others have been notified.
    pub async fn record_unsent(&mut self) -> bool {
        self.end = RunEnd::Inconclusive;
        let Some(run) = self.run.take() else {
            return false;
        };
        self.shared
            .change(|state, _| state.runs_at(self.addr).end(run));
        self.shared.check_unreachable(self.addr).await
    }

    /// Records that the connection was lost in the middle of the response.
    pub fn record_aborted(&mut self) {
        if let Some(run) = self.run.take() {
            let (shared, addr) = (self.shared.clone(), self.addr);
            tokio::spawn(async move {
                shared.end_lost(addr, run).await;
            });
        }
    }

    /// Returns the decision and whether a suspect is running at the server.
    fn decision(&self) -> (RunDecision, bool) {
        let (addr, content) = (self.addr, self.content);
        self.shared.change(|state, now| {
            let decision = state.decision(now, addr, content);
            (decision, state.runs_at(addr).has_suspect())
        })
    }

    /// Records a strike for the crash that the suspect's run may cause, and notifies the zone.
    async fn record_pending_strike(&mut self) {
        let (addr, fingerprint) = (self.addr, self.content.fingerprint);
        let (crash, reports) = self.shared.change(|state, now| {
            let crash = state.runs_at(addr).next_crash();
            (
                crash,
                state.quarantine.record_strikes(now, crash, [fingerprint]),
            )
        });
        self.pending_strike = Some(crash);
        self.shared.broadcast(reports).await;
    }

    /// Withdraws the strike for a crash that happened before the run has started.
    async fn withdraw_stale_strike(&mut self) {
        let (addr, fingerprint, pending_strike) =
            (self.addr, self.content.fingerprint, self.pending_strike);
        let reports = self.shared.change(|state, now| {
            let next = state.runs_at(addr).next_crash();
            let stale = pending_strike.filter(|crash| *crash != next);
            stale.map(|crash| state.quarantine.withdraw_strike(now, fingerprint, crash))
        });
        if let Some(reports) = reports {
            self.pending_strike = None;
            self.shared.broadcast(reports).await;
        }
    }
}

impl<T: CrashReportTransport> Drop for QuarantineGuard<T> {
    fn drop(&mut self) {
        let reports = self.shared.change(|state, now| {
            let mut reports = self.end_run(state, now);
            reports.extend(self.update_strikes(state, now));
            reports
        });
        let shared = self.shared.clone();
        if !reports.is_empty()
            && let Ok(handle) = tokio::runtime::Handle::try_current()
        {
            handle.spawn(async move { shared.broadcast(reports).await });
        }
    }
}

impl<T: CrashReportTransport> QuarantineGuard<T> {
    /// Ends the run; returns the reports to send if that shows that the server runs.
    fn end_run(&self, state: &mut MonitorState, now: MonoTime) -> Vec<CrashReport> {
        let runs = state.runs_at(self.addr);
        match (self.run, self.end) {
            (Some(run), RunEnd::Unanswered) => runs.end_unanswered(run),
            (Some(run), _) => runs.end(run),
            (None, _) => {}
        }
        if !matches!(self.end, RunEnd::Answered | RunEnd::Rejected) {
            return Vec::new();
        }
        runs.record_response(now);
        state.end_silence(self.addr, now)
    }

    /// Clears the request, or withdraws the strike for a crash that its run did not cause; returns the
    /// reports to send.
    fn update_strikes(&self, state: &mut MonitorState, now: MonoTime) -> Vec<CrashReport> {
        if self.end == RunEnd::Answered {
            let fingerprints = self.content.fingerprints();
            return fingerprints
                .flat_map(|fingerprint| state.quarantine.clear(now, fingerprint))
                .collect();
        }
        let fingerprint = self.content.fingerprint;
        let runs = state.runs_at(self.addr);
        if runs.is_struck_ahead(fingerprint) {
            return Vec::new();
        }
        let next = runs.next_crash();
        // After a crash `next` is the one that follows, so a run that has crashed its server keeps its
        // strike.
        let own_crash = match self.has_started {
            true => Some(next),
            false => self.pending_strike,
        };
        match own_crash {
            Some(crash) if crash != next || !runs.contains_request(fingerprint) => {
                state.quarantine.withdraw_strike(now, fingerprint, crash)
            }
            _ => Vec::new(),
        }
    }
}
