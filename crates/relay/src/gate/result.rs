//! How a request ends at a gate.

use crate::hop::HopOutcome;
use agatehill_backend::quarantine::QuarantineRefusal;
use agatehill_decide::quarantine::CrashReport;
use agatehill_peer::body::CallBody;
use http::Response;
use std::time::Duration;

/// Retry-after of a suspect whose turn to run alone does not come in time.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Reason of a request that finds no descriptor for its connection.
pub(crate) const NO_DESCRIPTOR: &str = "no-descriptor";

/// How a request ended at a gate.
#[derive(Debug)]
pub struct GateResult {
    /// The outcome for the entry.
    pub outcome: HopOutcome,
    /// The server's response, if `outcome` is [`HopOutcome::Answered`].
    pub response: Option<Response<CallBody>>,
    /// Reason for the outcome, for logs and metrics.
    pub reason: &'static str,
    /// Time after which a retry is likely to be accepted, if the request was refused or shed.
    pub retry_after: Duration,
    /// The strikes against the request that the gate knows, if it got no response.
    pub strikes: Vec<CrashReport>,
}

impl GateResult {
    /// Returns the result of a request that has not reached the server.
    pub fn refused(reason: &'static str, retry_after: Duration) -> GateResult {
        GateResult {
            outcome: HopOutcome::Refused,
            reason,
            response: None,
            retry_after,
            strikes: Vec::new(),
        }
    }

    /// Returns the result of a request that its strikes keep from running.
    pub(super) fn quarantined(refusal: QuarantineRefusal) -> GateResult {
        match refusal {
            QuarantineRefusal::Quarantined(remaining) => {
                GateResult::refused("quarantined", remaining)
            }
            QuarantineRefusal::Deadline => {
                GateResult::refused("suspect-waited", SUSPECT_RETRY_AFTER)
            }
        }
    }

    /// Returns the result of a request that may have run and got no complete response.
    pub fn lost(reason: &'static str) -> GateResult {
        GateResult {
            outcome: HopOutcome::Lost,
            reason,
            response: None,
            retry_after: Duration::ZERO,
            strikes: Vec::new(),
        }
    }
}
