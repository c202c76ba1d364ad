//! Gates and the servers behind them.

use super::{
    OverloadSimulation, SimulationEvent,
    daemons::{SHARE_BEFORE_CHILD, STALL_DETECTION_TIME},
    exponential,
};
use crate::overload::{
    backend::ServerAdmission,
    call::{CallRecord, CallReply, RunKey, RunPhase, RunRecord},
    control::{PriorityMode, RetryMode},
    deployment::{RETRIES_PER_REQUEST, ZONES},
};
use agatehill_decide::{
    gate::{GateCall, GateDecision, GateEvent, RunResult},
    outcome::CallOutcome,
    priority::CallPriority,
    retry::RetryBudget,
};
use rand::RngExt;
use std::time::Duration;

impl OverloadSimulation<'_> {
    /// Handles a run that reaches its server's gate.
    pub(super) fn offer_to_gate(&mut self, run: RunKey) {
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let server = record.server;
        if !self
            .scenario
            .is_up(server / ZONES, server % ZONES, self.elapsed())
        {
            self.lose_run(run, CallOutcome::NotRun);
            return;
        }
        if self.control.gate.is_none() {
            self.send_to_server(run);
            return;
        }
        let priority = match self.control.priority {
            PriorityMode::Random => CallPriority(self.rng.random_range(0..=CallPriority::LOWEST.0)),
            PriorityMode::PerRequest | PriorityMode::PerAttempt => record.priority,
        };
        let call = GateCall {
            priority,
            deadline: record.deadline,
            is_nested: record.depth > 0,
        };
        match self.gates[server].offer(call, self.clock.now()) {
            GateDecision::Admit(slot) => {
                self.runs[run].slot = Some(slot);
                self.send_to_server(run);
            }
            GateDecision::Queue(ticket) => {
                self.runs[run].phase = RunPhase::QueuedAtGate(ticket);
                self.tickets[server].insert(ticket, run);
            }
            GateDecision::Refuse(_) => self.return_reply(run, CallOutcome::NotRun, false),
        }
        self.apply_gate_events(server);
    }

    /// Applies the pending events of a gate, until it has none.
    pub(super) fn apply_gate_events(&mut self, server: usize) {
        loop {
            let events = self.gates[server].take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                self.apply_gate_event(server, event);
            }
        }
    }

    pub(super) fn apply_gate_event(&mut self, server: usize, event: GateEvent) {
        match event {
            GateEvent::Admitted { ticket, slot } => {
                let run = self.tickets[server]
                    .remove(ticket)
                    .expect("the ticket has a run");
                self.runs[run].slot = Some(slot);
                self.send_to_server(run);
            }
            GateEvent::Refused { ticket, .. } => {
                let run = self.tickets[server]
                    .remove(ticket)
                    .expect("the ticket has a run");
                self.return_reply(run, CallOutcome::NotRun, false);
            }
        }
    }

    /// Passes a run to its server.
    pub(super) fn send_to_server(&mut self, run: RunKey) {
        let server = self.runs[run].server;
        match self.servers[server].admit(run) {
            ServerAdmission::Run => self.start_run(run),
            ServerAdmission::Queue => self.runs[run].phase = RunPhase::QueuedAtServer,
            ServerAdmission::Refuse => {
                self.release_slot(run, RunResult::Shed);
                self.return_reply(run, CallOutcome::NotRun, false);
            }
        }
    }

    /// Starts a run and draws its own time.
    pub(super) fn start_run(&mut self, run: RunKey) {
        let elapsed = self.elapsed();
        let record = &mut self.runs[run];
        let (service, zone) = (record.server / ZONES, record.server % ZONES);
        let request = &mut self.requests[record.request];
        request.runs_by_service[service] += 1;
        let slowdown = self.scenario.slowdown_at(service, zone, elapsed);
        let spread = 0.3 + 0.7 * exponential(&mut self.rng);
        let mean = self.deployment.services[service].own_time;
        record.own_time = mean.mul_f64(slowdown * spread);
        let has_child = record.depth + 1 < self.deployment.chains[request.chain].services.len();
        let span = match has_child {
            true => record.own_time.mul_f64(SHARE_BEFORE_CHILD),
            false => record.own_time,
        };
        self.run_phase(run, span);
    }

    /// Lets a run work for `span`, until its child call or its end.
    pub(super) fn run_phase(&mut self, run: RunKey, span: Duration) {
        let record = &mut self.runs[run];
        record.phase = RunPhase::Working;
        self.requests[record.request].server_time += span;
        self.clock
            .schedule_after(span, SimulationEvent::PhaseEnds(run));
    }

    /// Makes the child call of a run, or finishes the run if nothing is left to call.
    pub(super) fn end_phase(&mut self, run: RunKey) {
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let chain = self.chain(record.request);
        let is_deepest = record.depth + 1 == chain.services.len();
        let has_called = record.child_time > Duration::ZERO;
        if is_deepest || has_called {
            self.finish_run(run, RunResult::Answered, CallOutcome::Answered, false);
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
            RetryMode::PerHop => RetryBudget::from_lease(RETRIES_PER_REQUEST),
        };
        let deadline = match self.control.has_deadlines {
            true => record.deadline,
            false => now + self.deployment.chains[self.requests[record.request].chain].deadline,
        };
        record.phase = RunPhase::WaitingForChild;
        record.child_started = now;
        let call = self.calls.insert(CallRecord {
            request: record.request,
            attempt: 0,
            parent: Some(run),
            depth: record.depth + 1,
            zone: record.server % ZONES,
            priority: record.priority,
            deadline,
            budget,
            lease: Some(lease),
            tried: Vec::new(),
            current: None,
        });
        record.child = Some(call);
        self.start_call(call);
    }

    /// Ends a run, releases its slot and sends the reply.
    pub(super) fn finish_run(
        &mut self,
        run: RunKey,
        result: RunResult,
        outcome: CallOutcome,
        given_up: bool,
    ) {
        let server = self.runs[run].server;
        self.release_server(server);
        self.release_slot(run, result);
        self.return_reply(run, outcome, given_up);
        self.apply_gate_events(server);
    }

    /// Ends a run at a server, and starts the next one of the server's own queue.
    pub(super) fn release_server(&mut self, server: usize) {
        if let Some(next) = self.servers[server].release() {
            self.start_run(next);
        }
    }

    /// Reports the end of a run to its gate, if it had a slot.
    pub(super) fn release_slot(&mut self, run: RunKey, result: RunResult) {
        let record = &mut self.runs[run];
        if let Some(slot) = record.slot.take() {
            let (server, child_time) = (record.server, record.child_time);
            self.gates[server].finish(slot, result, child_time, self.clock.now());
        }
    }

    /// Removes a run and sends the reply, with the level of its gate.
    pub(super) fn return_reply(&mut self, run: RunKey, outcome: CallOutcome, given_up: bool) {
        let record = self.runs.remove(run).expect("a run ends once");
        let gate_level = self.gates[record.server].level();
        let mut levels = record.levels;
        levels[record.server / ZONES] = Some(gate_level);
        let reply = CallReply {
            outcome,
            given_up,
            is_lost: false,
            unused_retries: record.budget.remaining(),
            gate_level,
            levels,
        };
        self.schedule_reply(run, &record, reply);
    }

    /// Removes a run that is lost because its server is down.
    pub(super) fn lose_run(&mut self, run: RunKey, outcome: CallOutcome) {
        let record = self.runs.remove(run).expect("a run ends once");
        self.schedule_reply(run, &record, CallReply::lost(outcome));
    }

    /// Schedules the arrival of a reply, or the detection of the stall if it can't get through.
    pub(super) fn schedule_reply(&mut self, run: RunKey, record: &RunRecord, reply: CallReply) {
        let call = record.call;
        let Some(zone) = self.calls.get(call).map(|c| c.zone) else {
            return;
        };
        let server_zone = record.server % ZONES;
        let (span, reply) = match self.scenario.can_reach(server_zone, zone, self.elapsed()) {
            true => (self.deployment.latency(server_zone, zone), reply),
            false => (STALL_DETECTION_TIME, CallReply::lost(CallOutcome::Unknown)),
        };
        self.clock
            .schedule_after(span, SimulationEvent::ReplyArrives { call, run, reply });
    }

    /// Cancels a run and its child call.
    pub(super) fn cancel_run(&mut self, run: RunKey) {
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let (server, child) = (record.server, record.child);
        match record.phase {
            RunPhase::InTransit => {}
            RunPhase::QueuedAtGate(ticket) => {
                self.tickets[server].remove(ticket);
                self.gates[server].cancel(ticket);
            }
            RunPhase::QueuedAtServer => {
                self.servers[server].remove_queued(run);
                self.release_slot(run, RunResult::Cancelled);
            }
            RunPhase::Working | RunPhase::WaitingForChild => {
                self.release_server(server);
                self.release_slot(run, RunResult::Cancelled);
            }
        }
        self.runs.remove(run);
        self.apply_gate_events(server);
        if let Some(call) = child.and_then(|child| self.calls.remove(child))
            && let Some(current) = call.current
        {
            self.send_cancel(call.zone, current.run);
        }
    }
}
