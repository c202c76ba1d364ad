//! Properties of the gate over random schedules, and single decisions.

use agatehill_decide::{
    contract::RequestClass,
    gate::{
        GateCall, GateConfig, GateDecision, GateEvent, QueueOrder, RefusalReason, RunResult,
        ServerGate, ServerState, SlotKey, TicketKey,
    },
    priority::{CLASS_LEVELS, CallPriority},
    time::MonoTime,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use slotmap::SecondaryMap;
use std::{collections::VecDeque, time::Duration};

const SLOTS: u32 = 4;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        priority: u16,
        millis: u64,
        is_nested: bool,
    },
    Finish {
        pick: usize,
        result: RunResult,
    },
    Cancel {
        pick: usize,
    },
    Wait {
        micros: u64,
        is_polled: bool,
    },
    Announce {
        state: ServerState,
        slots: u32,
    },
}

/// The gate and a plain list of the calls that run and wait.
struct GateModel {
    gate: ServerGate,
    now: MonoTime,
    running: Vec<SlotKey>,
    waiting: SecondaryMap<TicketKey, GateCall>,
    ended: usize,
    queued: usize,
    has_admitted: bool,
}

impl GateModel {
    fn new(config: GateConfig) -> GateModel {
        GateModel {
            gate: ServerGate::new(config, SLOTS, MonoTime::ZERO),
            now: MonoTime::ZERO,
            running: Vec::new(),
            waiting: SecondaryMap::new(),
            ended: 0,
            queued: 0,
            has_admitted: false,
        }
    }

    fn apply(&mut self, step: &Step) {
        self.has_admitted = false;
        match *step {
            Step::Offer {
                priority,
                millis,
                is_nested,
            } => {
                let deadline = self.now + Duration::from_millis(millis);
                let priority = CallPriority(priority);
                self.offer(GateCall {
                    priority,
                    deadline,
                    is_nested,
                });
            }
            Step::Finish { pick, result } => self.finish(pick, result),
            Step::Cancel { pick } => {
                let mut tickets: Vec<_> = self.waiting.keys().collect();
                tickets.sort();
                if let Some(ticket) = tickets.get(pick % tickets.len().max(1)) {
                    self.gate.cancel(*ticket);
                    self.waiting.remove(*ticket);
                    self.ended += 1;
                }
            }
            Step::Wait { micros, is_polled } => {
                self.now = self.now + Duration::from_micros(micros);
                if is_polled {
                    self.gate.poll(self.now);
                }
            }
            Step::Announce { state, slots } => self.gate.apply_announcement(state, slots, self.now),
        }
        self.take_events();
        self.check_load();
    }

    fn offer(&mut self, call: GateCall) {
        let decision = self.gate.offer(call, self.now);
        match decision {
            GateDecision::Admit(slot) => self.admit(slot, call),
            GateDecision::Queue(ticket) => {
                self.queued += 1;
                assert!(self.waiting.insert(ticket, call).is_none());
            }
            GateDecision::Refuse(refusal) => {
                let is_less_important = |c: &GateCall| c.priority > call.priority;
                let is_evictable = refusal.reason == RefusalReason::Full
                    && self.waiting.values().any(is_less_important);
                assert!(!is_evictable, "refused while a less important call waits");
            }
        }
    }

    fn admit(&mut self, slot: SlotKey, call: GateCall) {
        assert!(call.deadline > self.now, "admitted after its deadline");
        assert_eq!(self.gate.state(), ServerState::Serving);
        self.running.push(slot);
        self.has_admitted = true;
    }

    fn finish(&mut self, pick: usize, result: RunResult) {
        if self.running.is_empty() {
            return;
        }
        let slot = self.running.swap_remove(pick % self.running.len());
        self.gate.finish(slot, result, Duration::ZERO, self.now);
    }

    fn take_events(&mut self) {
        for event in self.gate.take_events() {
            let ticket = match event {
                GateEvent::Admitted { ticket, .. } | GateEvent::Refused { ticket, .. } => ticket,
            };
            let call = self
                .waiting
                .remove(ticket)
                .expect("each ticket has one event");
            self.ended += 1;
            if let GateEvent::Admitted { slot, .. } = event {
                let class = call.priority.class();
                let is_more_important = |c: &GateCall| c.priority.class() < class;
                assert!(
                    !self.waiting.values().any(is_more_important),
                    "a call of a more important class waits"
                );
                self.admit(slot, call);
            }
        }
    }

    fn check_load(&self) {
        let load = self.gate.load();
        assert_eq!(load.running as usize, self.running.len());
        assert_eq!(load.queued as usize, self.waiting.len());
        assert!(
            !self.has_admitted || load.running <= load.limit,
            "more calls run than the limit allows"
        );
    }

    fn close(&mut self) {
        self.gate
            .apply_announcement(ServerState::Leaving, SLOTS, self.now);
        self.take_events();
        assert!(self.waiting.is_empty());
        assert_eq!(self.ended, self.queued);
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let result = prop_oneof![
        6 => Just(RunResult::Answered),
        1 => Just(RunResult::Shed),
        1 => Just(RunResult::Failed),
        1 => Just(RunResult::Lost),
        1 => Just(RunResult::Cancelled),
    ];
    let state = prop_oneof![
        1 => Just(ServerState::Starting),
        8 => Just(ServerState::Serving),
        1 => Just(ServerState::Leaving),
    ];
    let step = prop_oneof![
        40 => (0..=CallPriority::LOWEST.0, 0u64..300, any::<bool>())
            .prop_map(|(priority, millis, is_nested)| Step::Offer { priority, millis, is_nested }),
        24 => (any::<usize>(), result).prop_map(|(pick, result)| Step::Finish { pick, result }),
        2 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        24 => (0u64..30_000, any::<bool>()).prop_map(|(micros, is_polled)| Step::Wait { micros, is_polled }),
        1 => (state, 1u32..8).prop_map(|(state, slots)| Step::Announce { state, slots }),
    ];
    proptest::collection::vec(step, 1..400)
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(51))]

    #[test]
    fn gate_matches_the_model(
        steps in steps(),
        order in prop_oneof![
            Just(QueueOrder::Fifo),
            Just(QueueOrder::Lifo),
            Just(QueueOrder::EarliestDeadline),
            Just(QueueOrder::Priority),
        ],
    ) {
        let mut model = GateModel::new(GateConfig { order, ..GateConfig::default() });
        for step in &steps {
            model.apply(step);
        }
        model.close();
    }
}

fn call(class: RequestClass, millis: u64, now: MonoTime) -> GateCall {
    GateCall {
        priority: CallPriority(class.rank() * CLASS_LEVELS),
        deadline: now + Duration::from_millis(millis),
        is_nested: false,
    }
}

/// Returns a gate with one slot, calls of 40 ms, one running call and queue space for two more.
fn busy_gate() -> (ServerGate, MonoTime) {
    let config = GateConfig {
        wait_max: Duration::from_millis(100),
        ..GateConfig::default()
    };
    let mut gate = ServerGate::new(config, 1, MonoTime::ZERO);
    let critical = call(RequestClass::Critical, 1_000, MonoTime::ZERO);
    let GateDecision::Admit(slot) = gate.offer(critical, MonoTime::ZERO) else {
        panic!("an idle gate refused a call");
    };
    let now = MonoTime::from_millis(40);
    gate.finish(slot, RunResult::Answered, Duration::ZERO, now);
    assert!(matches!(gate.offer(critical, now), GateDecision::Admit(_)));
    (gate, now)
}

#[rstest]
#[case::already_passed(RequestClass::Critical, 0, Some(RefusalReason::Deadline))]
#[case::shorter_than_hold_time(RequestClass::Critical, 39, Some(RefusalReason::Deadline))]
#[case::shorter_than_wait_and_hold_time(RequestClass::Critical, 79, Some(RefusalReason::Deadline))]
#[case::long_enough(RequestClass::Background, 200, None)]
fn refuses_call_that_cannot_finish_in_time(
    #[case] class: RequestClass,
    #[case] millis: u64,
    #[case] reason: Option<RefusalReason>,
) {
    let (mut gate, now) = busy_gate();
    let refused = match gate.offer(call(class, millis, now), now) {
        GateDecision::Refuse(refusal) => Some(refusal.reason),
        GateDecision::Admit(_) | GateDecision::Queue(_) => None,
    };
    assert_eq!(refused, reason);
}

#[test]
fn full_queue_evicts_for_a_more_important_call() {
    let (mut gate, now) = busy_gate();
    for _ in 0..2 {
        let background = call(RequestClass::Background, 1_000, now);
        assert!(matches!(
            gate.offer(background, now),
            GateDecision::Queue(_)
        ));
    }
    let background = gate.offer(call(RequestClass::Background, 1_000, now), now);
    assert!(matches!(background, GateDecision::Refuse(r) if r.reason == RefusalReason::Full));
    let critical = gate.offer(call(RequestClass::Critical, 1_000, now), now);
    assert!(matches!(critical, GateDecision::Queue(_)));
    let events = gate.take_events();
    assert!(matches!(events[..], [GateEvent::Refused { .. }]));
}

/// Offers five calls a millisecond to a server that announces 80 slots but runs 20 calls of 20 ms at
/// once and sheds the rest; returns the limit after `millis`.
fn limit_of_overstated_server(millis: u64) -> u32 {
    let mut gate = ServerGate::new(GateConfig::default(), 80, MonoTime::ZERO);
    let mut running: VecDeque<(u64, SlotKey)> = VecDeque::new();
    for tick in 0..millis {
        let now = MonoTime::from_millis(tick);
        while running.front().is_some_and(|(began, _)| began + 20 <= tick) {
            let (_, slot) = running.pop_front().expect("the front was checked");
            gate.finish(slot, RunResult::Answered, Duration::ZERO, now);
        }
        for _ in 0..5 {
            let offered = gate.offer(call(RequestClass::Critical, 2_000, now), now);
            let admitted = match offered {
                GateDecision::Admit(slot) => Some(slot),
                GateDecision::Queue(_) | GateDecision::Refuse(_) => None,
            };
            let events = gate
                .take_events()
                .into_iter()
                .filter_map(|event| match event {
                    GateEvent::Admitted { slot, .. } => Some(slot),
                    GateEvent::Refused { .. } => None,
                });
            for slot in events.chain(admitted) {
                match running.len() < 20 {
                    true => running.push_back((tick, slot)),
                    false => gate.finish(slot, RunResult::Shed, Duration::ZERO, now),
                }
            }
        }
    }
    gate.load().limit
}

#[test]
fn limit_adapts_to_server_that_sheds_below_its_announced_slots() {
    let limit = limit_of_overstated_server(10_000);
    assert!((15..=25).contains(&limit), "limit {limit}");
}

#[test]
fn limit_starts_low_when_a_server_starts_serving() {
    let mut gate = ServerGate::new(GateConfig::default(), 50, MonoTime::ZERO);
    gate.apply_announcement(ServerState::Starting, 50, MonoTime::ZERO);
    let now = MonoTime::from_millis(1);
    let early = gate.offer(call(RequestClass::Critical, 1_000, now), now);
    assert!(matches!(early, GateDecision::Refuse(r) if r.reason == RefusalReason::Starting));
    gate.apply_announcement(ServerState::Serving, 50, now);
    assert!(gate.load().limit <= 25);
}
