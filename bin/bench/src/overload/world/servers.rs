//! Gates, and the servers behind them.

use super::{
    BenchWorld, WorldEvent,
    daemons::{BEFORE_CHILD, SILENCE},
    exponential,
};
use crate::overload::{
    backend::ServerReaction,
    call::{CallAnswer, MakeRecord, RunKey, RunPhase, RunRecord},
    control::{PriorityMode, RetryMode},
    deployment::{RETRIES, ZONES},
};
use agatehill_decide::{
    gate::{GateCall, GateDecision, GateEvent, RunResult},
    outcome::CallOutcome,
    priority::CallPriority,
    retry::RetryBudget,
};
use rand::RngExt;
use std::time::Duration;

impl BenchWorld<'_> {
    pub(super) fn reach_gate(&mut self, run: RunKey) {
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let server = record.server;
        if !self
            .scenario
            .is_up(server / ZONES, server % ZONES, self.elapsed())
        {
            self.lose(run, CallOutcome::NotRun);
            return;
        }
        if self.control.gate.is_none() {
            self.start(run);
            return;
        }
        let priority = match self.control.priority {
            PriorityMode::Random => CallPriority(self.rng.random_range(0..=CallPriority::LOWEST.0)),
            PriorityMode::Chain | PriorityMode::ChainRekeyed => record.priority,
        };
        let call = GateCall {
            priority,
            deadline: record.deadline,
            is_nested: record.step > 0,
        };
        match self.gates[server].offer(call, self.clock.now()) {
            GateDecision::Admit(slot) => {
                self.runs[run].slot = Some(slot);
                self.start(run);
            }
            GateDecision::Queue(ticket) => {
                self.runs[run].phase = RunPhase::Queued(ticket);
                self.tickets[server].insert(ticket, run);
            }
            GateDecision::Refuse(_) => self.send_back(run, CallOutcome::NotRun, false),
        }
        self.take_events(server);
    }

    pub(super) fn take_events(&mut self, server: usize) {
        loop {
            let events = self.gates[server].take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                self.follow(server, event);
            }
        }
    }

    pub(super) fn follow(&mut self, server: usize, event: GateEvent) {
        match event {
            GateEvent::Admitted { ticket, slot } => {
                let run = self.tickets[server].remove(ticket).expect("a known ticket");
                self.runs[run].slot = Some(slot);
                self.start(run);
            }
            GateEvent::Refused { ticket, .. } => {
                let run = self.tickets[server].remove(ticket).expect("a known ticket");
                self.send_back(run, CallOutcome::NotRun, false);
            }
        }
    }

    pub(super) fn start(&mut self, run: RunKey) {
        let server = self.runs[run].server;
        match self.servers[server].accept(run) {
            ServerReaction::Begin => self.begin(run),
            ServerReaction::Wait => self.runs[run].phase = RunPhase::Backlog,
            ServerReaction::Refuse => {
                self.free_slot(run, RunResult::Shed);
                self.send_back(run, CallOutcome::NotRun, false);
            }
        }
    }

    pub(super) fn begin(&mut self, run: RunKey) {
        let elapsed = self.elapsed();
        let record = &mut self.runs[run];
        let (service, zone) = (record.server / ZONES, record.server % ZONES);
        let request = &mut self.requests[record.request];
        request.runs[service] += 1;
        let slowness = self.scenario.slowness(service, zone, elapsed);
        let spread = 0.3 + 0.7 * exponential(&mut self.rng);
        let mean = self.deployment.services[service].own_time;
        record.own_time = mean.mul_f64(slowness * spread);
        let has_child = record.step + 1 < self.deployment.chains[request.chain].services.len();
        let span = match has_child {
            true => record.own_time.mul_f64(BEFORE_CHILD),
            false => record.own_time,
        };
        self.work(run, span);
    }

    pub(super) fn work(&mut self, run: RunKey, span: Duration) {
        let record = &mut self.runs[run];
        record.phase = RunPhase::Working;
        self.requests[record.request].work += span;
        self.clock.after(span, WorldEvent::PhaseDone(run));
    }

    pub(super) fn end_phase(&mut self, run: RunKey) {
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let chain = self.chain(record.request);
        let is_deepest = record.step + 1 == chain.services.len();
        let has_called = record.child_time > Duration::ZERO;
        if is_deepest || has_called {
            self.finish(run, RunResult::Answered, CallOutcome::Answered, false);
        } else {
            self.call_child(run);
        }
    }

    pub(super) fn call_child(&mut self, run: RunKey) {
        let now = self.clock.now();
        let record = &mut self.runs[run];
        let lease = record.budget.lease();
        let budget = match self.control.retries {
            RetryMode::Budget => RetryBudget::from_lease(lease.tokens()),
            RetryMode::PerHop => RetryBudget::from_lease(RETRIES),
        };
        let deadline = match self.control.has_deadlines {
            true => record.deadline,
            false => now + self.deployment.chains[self.requests[record.request].chain].deadline,
        };
        record.phase = RunPhase::WaitingForChild;
        record.child_since = now;
        let make = self.makes.insert(MakeRecord {
            request: record.request,
            attempt: 0,
            parent: Some(run),
            step: record.step + 1,
            zone: record.server % ZONES,
            priority: record.priority,
            deadline,
            budget,
            lease: Some(lease),
            tried: Vec::new(),
            current: None,
        });
        record.child = Some(make);
        self.begin_make(make);
    }

    /// Ends a run and frees its place.
    pub(super) fn finish(
        &mut self,
        run: RunKey,
        result: RunResult,
        outcome: CallOutcome,
        given_up: bool,
    ) {
        let server = self.runs[run].server;
        self.free_server(server);
        self.free_slot(run, result);
        self.send_back(run, outcome, given_up);
        self.take_events(server);
    }

    pub(super) fn free_server(&mut self, server: usize) {
        if let Some(next) = self.servers[server].release() {
            self.begin(next);
        }
    }

    pub(super) fn free_slot(&mut self, run: RunKey, result: RunResult) {
        let record = &mut self.runs[run];
        if let Some(slot) = record.slot.take() {
            let (server, child_time) = (record.server, record.child_time);
            self.gates[server].finish(slot, result, child_time, self.clock.now());
        }
    }

    pub(super) fn send_back(&mut self, run: RunKey, outcome: CallOutcome, given_up: bool) {
        let record = self.runs.remove(run).expect("a run ends once");
        let gate_level = self.gates[record.server].level();
        let mut levels = record.levels;
        levels[record.server / ZONES] = Some(gate_level);
        let answer = CallAnswer {
            outcome,
            given_up,
            is_lost: false,
            unused: record.budget.remaining(),
            gate_level,
            levels,
        };
        self.return_answer(run, &record, answer);
    }

    pub(super) fn lose(&mut self, run: RunKey, outcome: CallOutcome) {
        let record = self.runs.remove(run).expect("a run ends once");
        self.return_answer(run, &record, CallAnswer::lost(outcome));
    }

    pub(super) fn return_answer(&mut self, run: RunKey, record: &RunRecord, answer: CallAnswer) {
        let make = record.make;
        let Some(zone) = self.makes.get(make).map(|m| m.zone) else {
            return;
        };
        let place = record.server % ZONES;
        let (span, answer) = match self.scenario.passes(place, zone, self.elapsed()) {
            true => (self.deployment.latency(place, zone), answer),
            false => (SILENCE, CallAnswer::lost(CallOutcome::Unknown)),
        };
        self.clock
            .after(span, WorldEvent::Back { make, run, answer });
    }

    pub(super) fn cancel(&mut self, run: RunKey) {
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let (server, child) = (record.server, record.child);
        match record.phase {
            RunPhase::Travelling => {}
            RunPhase::Queued(ticket) => {
                self.tickets[server].remove(ticket);
                self.gates[server].cancel(ticket);
            }
            RunPhase::Backlog => {
                self.servers[server].withdraw(run);
                self.free_slot(run, RunResult::Cancelled);
            }
            RunPhase::Working | RunPhase::WaitingForChild => {
                self.free_server(server);
                self.free_slot(run, RunResult::Cancelled);
            }
        }
        self.runs.remove(run);
        self.take_events(server);
        if let Some(make) = child.and_then(|child| self.makes.remove(child))
            && let Some(current) = make.current
        {
            self.send_cancel(make.zone, current.run);
        }
    }
}
