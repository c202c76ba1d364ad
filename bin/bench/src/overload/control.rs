//! The overload controls under comparison: agatehill, its variants and the baselines.

use agatehill_decide::gate::GateConfig;

/// How the priority of a call is computed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PriorityMode {
    /// From class and request id; the same at every hop.
    PerRequest,
    /// From class, request id and attempt number; the same at every hop.
    PerAttempt,
    /// Drawn at random at every hop.
    Random,
}

/// How retries are bounded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryMode {
    /// By one retry budget per chain.
    Budget,
    /// By a fixed count at each hop.
    PerHop,
}

/// An overload control under comparison.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlSpec {
    pub(crate) name: &'static str,
    /// Admission at each server; `None` passes every call to the server.
    pub(crate) gate: Option<GateConfig>,
    pub(crate) priority: PriorityMode,
    pub(crate) retries: RetryMode,
    /// Whether entries and routing use the levels reported by gates to shed calls early.
    pub(crate) has_feedback: bool,
    /// Whether nested calls inherit the deadline of their request, and an expired call is cancelled
    /// together with its nested calls.
    pub(crate) has_deadlines: bool,
}

impl ControlSpec {
    /// Returns agatehill with its default configuration.
    pub(crate) fn agatehill() -> ControlSpec {
        ControlSpec {
            name: "agatehill",
            gate: Some(GateConfig::default()),
            priority: PriorityMode::PerRequest,
            retries: RetryMode::Budget,
            has_feedback: true,
            has_deadlines: true,
        }
    }

    /// Returns the baseline that sheds calls at random at each hop, nested calls included, without
    /// feedback; everything else is as in agatehill.
    pub(crate) fn random_shedding() -> ControlSpec {
        let gate = GateConfig {
            exempt_nested: false,
            ..GateConfig::default()
        };
        ControlSpec {
            name: "random cut",
            gate: Some(gate),
            priority: PriorityMode::Random,
            has_feedback: false,
            ..ControlSpec::agatehill()
        }
    }

    /// Returns the baseline without overload control: servers queue calls themselves, and every
    /// hop retries.
    pub(crate) fn none() -> ControlSpec {
        ControlSpec {
            name: "no control",
            gate: None,
            priority: PriorityMode::Random,
            retries: RetryMode::PerHop,
            has_feedback: false,
            has_deadlines: false,
        }
    }

    /// Returns agatehill and its variants with one mechanism changed each.
    pub(crate) fn variants() -> Vec<ControlSpec> {
        use agatehill_decide::gate::QueueOrder;
        let gate = GateConfig::default();
        let with_gate = |name, gate| ControlSpec {
            name,
            gate: Some(gate),
            ..ControlSpec::agatehill()
        };
        let order = |name, order| with_gate(name, GateConfig { order, ..gate });
        vec![
            ControlSpec::agatehill(),
            order("order lifo", QueueOrder::Lifo),
            order("order deadline", QueueOrder::EarliestDeadline),
            order("order priority", QueueOrder::Priority),
            with_gate(
                "no level",
                GateConfig {
                    use_level: false,
                    ..gate
                },
            ),
            with_gate(
                "nested not spared",
                GateConfig {
                    exempt_nested: false,
                    ..gate
                },
            ),
            with_gate(
                "no ramp",
                GateConfig {
                    use_slow_start: false,
                    ..gate
                },
            ),
            ControlSpec {
                name: "no feedback",
                has_feedback: false,
                ..ControlSpec::agatehill()
            },
            ControlSpec {
                name: "retries per hop",
                retries: RetryMode::PerHop,
                ..ControlSpec::agatehill()
            },
            ControlSpec {
                name: "hash rekeyed",
                priority: PriorityMode::PerAttempt,
                ..ControlSpec::agatehill()
            },
        ]
    }
}
