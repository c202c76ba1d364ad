//! What is compared: agatehill, agatehill with one mechanism changed, and the baselines.

use agatehill_decide::gate::GateConfig;

/// Where the priority of a call comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PriorityMode {
    /// From class and request id, the same at every hop.
    PerRequest,
    /// From class, request id and attempt number.
    PerAttempt,
    /// Drawn anew at every hop.
    Random,
}

/// How retries are bounded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryMode {
    /// By one budget a chain.
    Budget,
    /// By a count at each hop.
    PerHop,
}

/// One way of control.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlSpec {
    pub(crate) name: &'static str,
    /// `None` lets every call through to the servers.
    pub(crate) gate: Option<GateConfig>,
    pub(crate) priority: PriorityMode,
    pub(crate) retries: RetryMode,
    /// Whether entries refuse what a gate would refuse.
    pub(crate) has_feedback: bool,
    /// Whether calls end at their deadline and are cancelled with their caller.
    pub(crate) has_deadlines: bool,
}

impl ControlSpec {
    /// agatehill as it is.
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

    /// Cuts at random at each hop, everything else as it is.
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

    /// Servers with their own queue, and retries at every hop.
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

    /// agatehill with one mechanism changed at a time.
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
