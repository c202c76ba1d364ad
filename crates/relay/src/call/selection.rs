//! Selects the gates that a request is sent to.

use super::{RequestCall, RequestTarget, add_jitter};
use crate::{content::identify, error::RelayError};
use agatehill_decide::quarantine::{CrashReport, RequestFingerprint, RunDecision};
use agatehill_peer::body::CallBody;
use std::net::SocketAddr;

/// Largest number of gates that one request is sent to, without those whose server has reached its limit;
/// each refusal costs a round trip.
const GATES_MAX: usize = 3;

impl RequestCall<'_> {
    /// Returns the fingerprint that selects the gate, if the request is suspected of crashing servers.
    ///
    /// # Errors
    ///
    /// The request is quarantined, or its body is interrupted.
    pub(super) async fn check_quarantine(
        &mut self,
        body: CallBody,
    ) -> Result<(Option<RequestFingerprint>, CallBody), RelayError> {
        let quarantine = self.entry.gate().quarantine();
        if !quarantine.has_suspects() {
            return Ok((None, body));
        }
        let (content, body) = match self.content {
            Some(content) => (content, body),
            None => identify(&self.head, body)
                .await
                .map_err(|_| RelayError::BadRequest)?,
        };
        self.content = Some(content);
        match quarantine.decide(content) {
            RunDecision::Unrestricted => Ok((None, body)),
            RunDecision::Serial => Ok((Some(quarantine.serial_fingerprint(content)), body)),
            RunDecision::Quarantined(_) if self.may_have_run => Err(RelayError::Lost),
            RunDecision::Quarantined(remaining) => Err(RelayError::Quarantined {
                retry_after: add_jitter(remaining),
            }),
        }
    }

    /// Returns the best gate that has not been tried; `suspect` selects it for a suspect.
    pub(super) fn select_gate(
        &self,
        target: &RequestTarget,
        suspect: Option<RequestFingerprint>,
    ) -> Option<SocketAddr> {
        let gates_tried = self.gates_tried.len() - self.gates_limited;
        if gates_tried >= GATES_MAX || self.servers_reached >= target.rule.servers_max {
            return None;
        }
        let candidates = self.entry.options.gates.get(&target.service);
        let now = self.entry.options.clock.now();
        let selector = &self.entry.lock().selector;
        match suspect {
            Some(content) => {
                selector.select_for_suspect(&candidates, &self.gates_tried, content, now)
            }
            None => selector.select(&candidates, &self.gates_tried, target.route, now),
        }
    }

    /// Returns whether the server behind `gate` has named a limit.
    pub(super) fn is_limited(&self, gate: SocketAddr) -> bool {
        let options = &self.entry.options;
        if gate == options.gate_addr {
            let notice = options.gate.server().notice();
            return notice.is_some_and(|notice| notice.limit.is_some());
        }
        let state = self.entry.lock();
        let notice = state.notices.get(gate);
        notice.is_some_and(|notice| notice.limit.is_some())
    }

    /// Returns the strikes against the request that are known here.
    pub(super) fn strikes(&self) -> Vec<CrashReport> {
        let quarantine = self.entry.gate().quarantine();
        let content = self.content.filter(|_| quarantine.has_suspects());
        content.map_or_else(Vec::new, |content| quarantine.reports_of(content))
    }
}
