//! Daemons: the calls that they make for callers and for backend servers.

use super::{OverloadSimulation, SimulationEvent};
use crate::overload::{
    call::{
        CallKey, CallRecord, CallReply, CurrentTry, RunKey, RunPhase, RunRecord, ServiceLevels,
    },
    control::{PriorityMode, RetryMode},
    deployment::{RETRIES_PER_REQUEST, ZONES},
};
use agatehill_decide::{
    gate::RunResult,
    name::RequestId,
    outcome::CallOutcome,
    priority::CallPriority,
    retry::{RetryBudget, TryOutcome},
    route::{OutcomeSample, RouteChoice, RouteQuery, RouteReach, RouteTarget},
};
use rand::RngExt;
use std::time::Duration;

/// Time after which a daemon detects a stalled connection to another one.
pub(super) const STALL_DETECTION_TIME: Duration = Duration::from_millis(300);
/// Share of a run's own time that passes before its child call.
pub(super) const SHARE_BEFORE_CHILD: f64 = 0.7;

impl OverloadSimulation<'_> {
    /// Handles an attempt at its entry: refuses it or calls the first service of its chain.
    pub(super) fn enter_request(&mut self, request: usize, attempt: u32) {
        let budget = match self.control.retries {
            RetryMode::PerHop => Ok(RetryBudget::from_lease(RETRIES_PER_REQUEST)),
            RetryMode::Budget => RetryBudget::for_attempt(RETRIES_PER_REQUEST, attempt),
        };
        let Ok(budget) = budget else {
            self.reply_to_caller(request, attempt, CallOutcome::NotRun);
            return;
        };
        let chain = self.requests[request].chain;
        let zone = self.requests[request].zone;
        let priority = self.priority(request, attempt);
        let now = self.clock.now();
        if self.control.has_feedback && priority > self.levels[zone].level(&chain, now) {
            self.reply_to_caller(request, attempt, CallOutcome::NotRun);
            return;
        }
        self.requests[request].retries += u32::from(attempt > 0);
        let call = self.calls.insert(CallRecord {
            request,
            attempt,
            parent: None,
            depth: 0,
            zone,
            priority,
            deadline: now + self.chain(request).deadline,
            budget,
            lease: None,
            tried: Vec::new(),
            current: None,
        });
        self.start_call(call);
    }

    pub(super) fn priority(&mut self, request: usize, attempt: u32) -> CallPriority {
        let class = self.chain(request).class;
        let id = &self.requests[request].id;
        match self.control.priority {
            PriorityMode::PerRequest => CallPriority::for_request(class, id),
            PriorityMode::PerAttempt => {
                let id = RequestId::try_from(format!("{id}.{attempt}"))
                    .expect("the request id is valid");
                CallPriority::for_request(class, &id)
            }
            PriorityMode::Random => CallPriority(self.rng.random_range(0..=CallPriority::LOWEST.0)),
        }
    }

    pub(super) fn start_call(&mut self, call: CallKey) {
        let deadline = self.calls[call].deadline;
        self.clock
            .schedule_at(deadline, SimulationEvent::CallDeadline(call));
        self.route_call(call);
    }

    /// Selects a server for the next try of a call and sends it there.
    pub(super) fn route_call(&mut self, call: CallKey) {
        let record = &self.calls[call];
        let service = self.chain(record.request).services[record.depth];
        let query = RouteQuery {
            service: &self.service_names[service],
            request: self.requests[record.request].hash,
            priority: self.routing_priority(record),
            tried: &record.tried,
            reach: RouteReach::of(self.chain(record.request).class),
            now: self.clock.now(),
        };
        match self.routes[record.zone].table.choose(&query) {
            RouteChoice::Target(target) => self.dispatch(call, &target),
            RouteChoice::Shed { .. } => self.complete_call(call, CallReply::refused()),
            RouteChoice::NoServer => {
                self.complete_call(call, CallReply::refused());
            }
        }
    }

    /// Returns the priority used for routing. Where gates exempt nested calls from their level,
    /// routing does too, so that work already done for a request isn't wasted.
    fn routing_priority(&self, record: &CallRecord) -> CallPriority {
        let is_exempt = self.control.gate.is_some_and(|config| config.exempt_nested);
        match is_exempt && record.depth > 0 {
            true => CallPriority::HIGHEST,
            false => record.priority,
        }
    }

    pub(super) fn dispatch(&mut self, call: CallKey, target: &RouteTarget) {
        let now = self.clock.now();
        let record = &mut self.calls[call];
        let server = self.routes[record.zone].servers[target.key];
        let lease = match self.control.retries {
            RetryMode::Budget => record.budget.lease(),
            RetryMode::PerHop => RetryBudget::from_lease(RETRIES_PER_REQUEST * 2).lease(),
        };
        let run = self.runs.insert(RunRecord {
            call,
            request: record.request,
            depth: record.depth,
            server,
            phase: RunPhase::InTransit,
            slot: None,
            budget: RetryBudget::from_lease(lease.tokens()),
            deadline: record.deadline,
            priority: record.priority,
            levels: ServiceLevels::default(),
            own_time: Duration::ZERO,
            child: None,
            child_started: now,
            child_time: Duration::ZERO,
        });
        record.tried.push(target.key);
        record.current = Some(CurrentTry {
            run,
            lease,
            stats: target.stats.clone(),
            sent: now,
            _in_flight: target.stats.start_request(),
        });
        let (zone, server_zone) = (record.zone, server % ZONES);
        if self.scenario.can_reach(zone, server_zone, self.elapsed()) {
            let latency = self.deployment.latency(zone, server_zone);
            self.clock
                .schedule_after(latency, SimulationEvent::GateReached(run));
        } else {
            self.runs.remove(run);
            let reply = CallReply::lost(CallOutcome::Unknown);
            self.clock.schedule_after(
                STALL_DETECTION_TIME,
                SimulationEvent::ReplyArrives { call, run, reply },
            );
        }
    }

    /// Handles the reply to a try: retries the call or completes it.
    pub(super) fn receive_reply(&mut self, call: CallKey, run: RunKey, reply: CallReply) {
        let now = self.clock.now();
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        let Some(current) = record.current.take_if(|current| current.run == run) else {
            return;
        };
        let level = match self.control.has_feedback {
            true => reply.gate_level,
            false => CallPriority::LOWEST,
        };
        let sample = match reply.outcome {
            CallOutcome::Answered => OutcomeSample::Answered {
                elapsed: now.since(current.sent),
                level,
            },
            _ if reply.is_lost => OutcomeSample::Failed,
            _ => OutcomeSample::Shed { level },
        };
        current.stats.record(sample, now);
        let unused_retries = match reply.outcome {
            CallOutcome::NotRun => current.lease.tokens(),
            _ => reply.unused_retries,
        };
        if self.control.retries == RetryMode::Budget {
            record.budget.give_back(current.lease, unused_retries);
        }
        let outcome = TryOutcome {
            outcome: reply.outcome,
            given_up: reply.given_up && self.control.retries == RetryMode::Budget,
            idempotent: self.deployment.chains[self.requests[record.request].chain].is_idempotent,
        };
        if outcome.may_retry() && record.deadline > now && record.budget.try_spend() {
            self.requests[record.request].retries += 1;
            self.route_call(call);
        } else {
            let given_up = reply.outcome != CallOutcome::Answered;
            self.complete_call(call, CallReply { given_up, ..reply });
        }
    }

    /// Completes a call whose deadline has passed.
    pub(super) fn expire_call(&mut self, call: CallKey) {
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        let zone = record.zone;
        if let Some(current) = record.current.take().filter(|_| self.control.has_deadlines) {
            self.send_cancel(zone, current.run);
        }
        self.complete_call(
            call,
            CallReply {
                outcome: CallOutcome::Unknown,
                ..CallReply::refused()
            },
        );
    }

    pub(super) fn send_cancel(&mut self, zone: usize, run: RunKey) {
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let server_zone = record.server % ZONES;
        if self.scenario.can_reach(zone, server_zone, self.elapsed()) {
            let latency = self.deployment.latency(zone, server_zone);
            self.clock
                .schedule_after(latency, SimulationEvent::CancelArrives(run));
        }
    }

    /// Ends a call and passes its reply to the caller or to the run that made it.
    pub(super) fn complete_call(&mut self, call: CallKey, reply: CallReply) {
        let record = self.calls.remove(call).expect("a call completes once");
        let Some(parent) = record.parent else {
            let chain = self.requests[record.request].chain;
            let now = self.clock.now();
            for (service, level) in reply.levels.iter().enumerate() {
                if let Some(level) = *level {
                    self.levels[record.zone].record(chain, service, level, now);
                }
            }
            self.reply_to_caller(record.request, record.attempt, reply.outcome);
            return;
        };
        let Some(run) = self.runs.get_mut(parent) else {
            return;
        };
        run.child = None;
        run.child_time += self.clock.now().since(run.child_started);
        for (known, received) in run.levels.iter_mut().zip(reply.levels) {
            *known = received.or(*known);
        }
        if let Some(lease) = record.lease {
            run.budget.give_back(lease, record.budget.remaining());
        }
        if reply.outcome == CallOutcome::Answered {
            let remaining = run.own_time.mul_f64(1.0 - SHARE_BEFORE_CHILD);
            self.run_phase(parent, remaining);
        } else {
            self.finish_run(parent, RunResult::Failed, CallOutcome::Unknown, true);
        }
    }
}
