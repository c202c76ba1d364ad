//! The log record of a request at a gate.

use super::RequestGate;
use crate::{
    decision_log::GateDecision,
    hop::{HopContext, HopOutcome},
};
use agatehill_decide::{quarantine::RequestContent, time::MonoTime};
use std::time::Duration;

/// What is logged about a request at the gate; written on drop.
pub(super) struct GateRecord<'a> {
    gate: &'a RequestGate,
    hop: &'a HopContext,
    id: String,
    pub(super) content: RequestContent,
    pub(super) started: MonoTime,
    pub(super) server: Option<String>,
    /// Running and queued requests on arrival.
    load: (u32, usize),
    pub(super) waited: Duration,
    pub(super) outcome: HopOutcome,
    pub(super) reason: &'static str,
}

impl<'a> GateRecord<'a> {
    pub(super) fn begin(
        gate: &'a RequestGate,
        hop: &'a HopContext,
        id: &str,
        content: RequestContent,
    ) -> GateRecord<'a> {
        GateRecord {
            gate,
            hop,
            id: id.to_owned(),
            content,
            started: gate.clock.now(),
            server: None,
            load: gate.server.load(),
            waited: Duration::ZERO,
            // Logged if the entry cancels the request.
            outcome: HopOutcome::Lost,
            reason: "given-up",
        }
    }
}

impl Drop for GateRecord<'_> {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let decision = GateDecision {
            id: &self.id,
            content: self.content.fingerprint,
            hop: self.hop,
            outcome: self.outcome,
            reason: self.reason,
            server: self.server.as_deref(),
            load: self.load,
            waited: self.waited,
            elapsed: now.since(self.started),
        };
        self.gate.log.record_gate(&decision, now);
    }
}
