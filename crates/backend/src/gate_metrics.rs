//! Metrics of the gates, one set per backend server.

use crate::registry::ServerAnnouncement;
use agatehill_decide::gate::{GateCounts, GateLoad};
use metrics::{Label, counter, gauge};

/// Labels that identify a gate in its metrics.
#[derive(Clone, Debug)]
pub(crate) struct GateLabels(Vec<Label>);

impl GateLabels {
    /// Returns the labels of the gate of an announced server.
    pub(crate) fn of(announcement: &ServerAnnouncement) -> GateLabels {
        GateLabels(vec![
            Label::new("service", announcement.service.to_string()),
            Label::new("server", announcement.address.to_string()),
        ])
    }

    /// Publishes the load and the counts of the gate.
    pub(crate) fn publish(&self, load: GateLoad, counts: GateCounts) {
        self.publish_load(load);
        self.set_counter("agatehill_gate_admitted_total", counts.admitted);
        self.set_counter("agatehill_gate_refused_level_total", counts.refused_level);
        self.set_counter(
            "agatehill_gate_refused_deadline_total",
            counts.refused_deadline,
        );
        self.set_counter("agatehill_gate_refused_full_total", counts.refused_full);
        self.set_counter("agatehill_gate_refused_state_total", counts.refused_state);
    }

    /// Sets running and queued calls and the limit to 0, after the admission was dropped.
    pub(crate) fn publish_end(&self) {
        for name in [
            "agatehill_gate_running",
            "agatehill_gate_queued",
            "agatehill_gate_limit",
        ] {
            self.set_gauge(name, 0);
        }
    }

    fn publish_load(&self, load: GateLoad) {
        self.set_gauge("agatehill_gate_running", load.running);
        self.set_gauge("agatehill_gate_queued", load.queued);
        self.set_gauge("agatehill_gate_limit", load.limit);
        self.set_gauge("agatehill_gate_level", u32::from(load.level.0));
    }

    fn set_gauge(&self, name: &'static str, value: u32) {
        gauge!(name, self.0.iter()).set(f64::from(value));
    }

    fn set_counter(&self, name: &'static str, value: u64) {
        counter!(name, self.0.iter()).absolute(value);
    }
}
