//! Daemons: the calls that they make, for callers and for backend servers.

use super::{BenchWorld, WorldEvent};
use crate::overload::{
    call::{
        CallAnswer, CurrentTry, MakeKey, MakeRecord, RunKey, RunPhase, RunRecord, ServiceLevels,
    },
    control::{PriorityMode, RetryMode},
    deployment::{RETRIES, ZONES},
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

/// Time after which a silent connection between daemons is noticed.
pub(super) const SILENCE: Duration = Duration::from_millis(300);
/// Share of its own time that a server spends before it calls the next one.
pub(super) const BEFORE_CHILD: f64 = 0.7;

impl BenchWorld<'_> {
    pub(super) fn enter(&mut self, request: usize, attempt: u32) {
        let budget = match self.control.retries {
            RetryMode::PerHop => Ok(RetryBudget::from_lease(RETRIES)),
            RetryMode::Budget => RetryBudget::for_attempt(RETRIES, attempt),
        };
        let Ok(budget) = budget else {
            self.tell(request, attempt, CallOutcome::NotRun);
            return;
        };
        let chain = self.requests[request].chain;
        let zone = self.requests[request].zone;
        let priority = self.priority(request, attempt);
        let now = self.clock.now();
        if self.control.has_feedback && priority > self.levels[zone].level(&chain, now) {
            self.tell(request, attempt, CallOutcome::NotRun);
            return;
        }
        self.requests[request].retries += u32::from(attempt > 0);
        let make = self.makes.insert(MakeRecord {
            request,
            attempt,
            parent: None,
            step: 0,
            zone,
            priority,
            deadline: now + self.chain(request).deadline,
            budget,
            lease: None,
            tried: Vec::new(),
            current: None,
        });
        self.begin_make(make);
    }

    pub(super) fn priority(&mut self, request: usize, attempt: u32) -> CallPriority {
        let class = self.chain(request).class;
        let id = &self.requests[request].id;
        match self.control.priority {
            PriorityMode::Chain => CallPriority::for_request(class, id),
            PriorityMode::ChainRekeyed => {
                let id = RequestId::try_from(format!("{id}.{attempt}")).expect("a valid id");
                CallPriority::for_request(class, &id)
            }
            PriorityMode::Random => CallPriority(self.rng.random_range(0..=CallPriority::LOWEST.0)),
        }
    }

    pub(super) fn begin_make(&mut self, make: MakeKey) {
        let deadline = self.makes[make].deadline;
        self.clock.at(deadline, WorldEvent::MakeWaited(make));
        self.try_make(make);
    }

    pub(super) fn try_make(&mut self, make: MakeKey) {
        let record = &self.makes[make];
        let service = self.chain(record.request).services[record.step];
        let query = RouteQuery {
            service: &self.names[service],
            request: self.requests[record.request].hash,
            priority: self.routed_priority(record),
            tried: &record.tried,
            reach: RouteReach::of(self.chain(record.request).class),
            now: self.clock.now(),
        };
        match self.routes[record.zone].table.choose(&query) {
            RouteChoice::Target(target) => self.dispatch(make, &target),
            RouteChoice::Shed { .. } => self.complete(make, CallAnswer::refused()),
            RouteChoice::NoServer => {
                self.complete(make, CallAnswer::refused());
            }
        }
    }

    /// A chain that has work done already passes the levels of the servers, as at their gates.
    fn routed_priority(&self, record: &MakeRecord) -> CallPriority {
        let is_spared = self.control.gate.is_some_and(|config| config.exempt_nested);
        match is_spared && record.step > 0 {
            true => CallPriority::HIGHEST,
            false => record.priority,
        }
    }

    pub(super) fn dispatch(&mut self, make: MakeKey, target: &RouteTarget) {
        let now = self.clock.now();
        let record = &mut self.makes[make];
        let server = self.routes[record.zone].servers[target.key];
        let lease = match self.control.retries {
            RetryMode::Budget => record.budget.lease(),
            RetryMode::PerHop => RetryBudget::from_lease(RETRIES * 2).lease(),
        };
        let run = self.runs.insert(RunRecord {
            make,
            request: record.request,
            step: record.step,
            server,
            phase: RunPhase::Travelling,
            slot: None,
            budget: RetryBudget::from_lease(lease.tokens()),
            deadline: record.deadline,
            priority: record.priority,
            levels: ServiceLevels::default(),
            own_time: Duration::ZERO,
            child: None,
            child_since: now,
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
        let (zone, place) = (record.zone, server % ZONES);
        if self.scenario.passes(zone, place, self.elapsed()) {
            let way = self.deployment.latency(zone, place);
            self.clock.after(way, WorldEvent::AtGate(run));
        } else {
            self.runs.remove(run);
            let answer = CallAnswer::lost(CallOutcome::Unknown);
            self.clock
                .after(SILENCE, WorldEvent::Back { make, run, answer });
        }
    }

    pub(super) fn come_back(&mut self, make: MakeKey, run: RunKey, answer: CallAnswer) {
        let now = self.clock.now();
        let Some(record) = self.makes.get_mut(make) else {
            return;
        };
        let Some(current) = record.current.take_if(|current| current.run == run) else {
            return;
        };
        let level = match self.control.has_feedback {
            true => answer.gate_level,
            false => CallPriority::LOWEST,
        };
        let sample = match answer.outcome {
            CallOutcome::Answered => OutcomeSample::Answered {
                elapsed: now.since(current.sent),
                level,
            },
            _ if answer.is_lost => OutcomeSample::Failed,
            _ => OutcomeSample::Shed { level },
        };
        current.stats.record(sample, now);
        let unused = match answer.outcome {
            CallOutcome::NotRun => current.lease.tokens(),
            _ => answer.unused,
        };
        if self.control.retries == RetryMode::Budget {
            record.budget.give_back(current.lease, unused);
        }
        let end = TryOutcome {
            outcome: answer.outcome,
            given_up: answer.given_up && self.control.retries == RetryMode::Budget,
            idempotent: self.deployment.chains[self.requests[record.request].chain].is_idempotent,
        };
        if end.may_retry() && record.deadline > now && record.budget.try_spend() {
            self.requests[record.request].retries += 1;
            self.try_make(make);
        } else {
            let given_up = answer.outcome != CallOutcome::Answered;
            self.complete(make, CallAnswer { given_up, ..answer });
        }
    }

    pub(super) fn expire(&mut self, make: MakeKey) {
        let Some(record) = self.makes.get_mut(make) else {
            return;
        };
        let zone = record.zone;
        if let Some(current) = record.current.take().filter(|_| self.control.has_deadlines) {
            self.send_cancel(zone, current.run);
        }
        self.complete(
            make,
            CallAnswer {
                outcome: CallOutcome::Unknown,
                ..CallAnswer::refused()
            },
        );
    }

    pub(super) fn send_cancel(&mut self, zone: usize, run: RunKey) {
        let Some(record) = self.runs.get(run) else {
            return;
        };
        let place = record.server % ZONES;
        if self.scenario.passes(zone, place, self.elapsed()) {
            let way = self.deployment.latency(zone, place);
            self.clock.after(way, WorldEvent::Cancel(run));
        }
    }

    pub(super) fn complete(&mut self, make: MakeKey, answer: CallAnswer) {
        let record = self.makes.remove(make).expect("a call completes once");
        let Some(parent) = record.parent else {
            let chain = self.requests[record.request].chain;
            let now = self.clock.now();
            for (service, level) in answer.levels.iter().enumerate() {
                if let Some(level) = *level {
                    self.levels[record.zone].record(chain, service, level, now);
                }
            }
            self.tell(record.request, record.attempt, answer.outcome);
            return;
        };
        let Some(run) = self.runs.get_mut(parent) else {
            return;
        };
        run.child = None;
        run.child_time += self.clock.now().since(run.child_since);
        for (known, heard) in run.levels.iter_mut().zip(answer.levels) {
            *known = heard.or(*known);
        }
        if let Some(lease) = record.lease {
            run.budget.give_back(lease, record.budget.remaining());
        }
        if answer.outcome == CallOutcome::Answered {
            let rest = run.own_time.mul_f64(1.0 - BEFORE_CHILD);
            self.work(parent, rest);
        } else {
            self.finish(parent, RunResult::Failed, CallOutcome::Unknown, true);
        }
    }
}
