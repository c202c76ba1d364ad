//! Responses and reports that the gate writes itself.

use super::{GateResponse, run::RunGuard};
use crate::quarantine::QuarantineRefusal;
use agatehill_decide::{
    gate::{GateLoad, GateRefusal, RefusalReason},
    level::ServiceHash,
    name::ServiceName,
    outcome::CallOutcome,
    retry::jitter_retry_after,
};
use agatehill_peer::{
    body::CallBody,
    forward::{FailureKind, ForwardReport},
};
use http::Response;
use std::time::Duration;

/// Retry-after, before jitter, of a call whose server was lost or refused it itself.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns the response to a call that was not admitted.
pub(super) fn refused(refusal: &GateRefusal, load: GateLoad) -> GateResponse {
    let kind = match refusal.reason {
        RefusalReason::Deadline => FailureKind::Deadline,
        RefusalReason::Full | RefusalReason::Level => FailureKind::Shed,
        RefusalReason::Leaving | RefusalReason::Starting => FailureKind::NoServer,
    };
    let mut report = report(CallOutcome::NotRun, Some(kind), None);
    report.retry_after_ms = millis(jitter_retry_after(refusal.retry_after, rand::random()));
    report.load = load_permille(load);
    report.level = load.level;
    report_only(report)
}

/// Returns the response to a suspect that was not run.
pub(super) fn quarantined(refusal: QuarantineRefusal) -> GateResponse {
    match refusal {
        QuarantineRefusal::Quarantined(remaining) => {
            let mut response = failed(FailureKind::Quarantined, CallOutcome::NotRun, None);
            response.report.retry_after_ms = millis(remaining);
            response
        }
        QuarantineRefusal::Deadline => failed(FailureKind::Deadline, CallOutcome::NotRun, None),
    }
}

/// Returns the response to a call that got none from its server.
pub(super) fn failed(
    kind: FailureKind,
    outcome: CallOutcome,
    run: Option<&RunGuard>,
) -> GateResponse {
    let mut report = report(outcome, Some(kind), run);
    report.retry_after_ms = millis(jitter_retry_after(RETRY_DELAY, rand::random()));
    report_only(report)
}

/// Returns the report on a call, with the state of the gate if it has run.
pub(super) fn report(
    outcome: CallOutcome,
    failure: Option<FailureKind>,
    run: Option<&RunGuard>,
) -> ForwardReport {
    let mut report = ForwardReport::new(outcome, failure);
    if let Some(run) = run {
        let load = run.slot.admission().load();
        report.load = load_permille(load);
        report.level = load.level;
        report.retries_used = run.retries_used();
    }
    report
}

/// Returns a response that consists of a report.
pub(super) fn report_only(report: ForwardReport) -> GateResponse {
    GateResponse {
        report,
        response: Response::new(CallBody::empty()),
    }
}

/// Adds the level of this gate to those of the gates that the child calls have passed.
pub(super) fn with_level(
    mut response: GateResponse,
    service: &ServiceName,
    load: GateLoad,
) -> GateResponse {
    let levels = &mut response.report.levels;
    levels.record(ServiceHash::of(service), load.level);
    response
}

fn load_permille(load: GateLoad) -> u16 {
    let calls = u64::from(load.running) + u64::from(load.queued);
    u16::try_from(calls * 1_000 / u64::from(load.limit.max(1))).unwrap_or(u16::MAX)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
