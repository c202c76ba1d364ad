//! The simulation: callers, daemons, servers and links on one virtual clock.

mod callers;
mod daemons;
mod servers;
mod timed;

use super::{
    backend::SimulatedServer,
    call::{CallKey, CallRecord, CallReply, RequestRecord, RunKey, RunRecord},
    clock::EventClock,
    control::ControlSpec,
    deployment::{ChainSpec, DEEPEST_SERVICE, DeploymentSpec, ZONES},
    route::{ZoneRoutes, service_name},
    scenario::{DISTURBANCE_START, SIMULATION_END, ScenarioSpec},
    stats::{AnswerCounter, SimulationFigures},
};
use agatehill_decide::{
    gate::{ServerGate, TicketKey},
    level::LevelTable,
    name::{CustomerName, ServiceName},
    outcome::CallOutcome,
    time::MonoTime,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use slotmap::{SecondaryMap, SlotMap};
use std::time::Duration;

/// An event of the simulation.
#[derive(Clone, Copy)]
enum SimulationEvent {
    RequestArrives,
    EntryReached {
        request: usize,
        attempt: u32,
    },
    CallerTimeout {
        request: usize,
        attempt: u32,
    },
    CallerReceives {
        request: usize,
        attempt: u32,
        outcome: CallOutcome,
    },
    GateReached(RunKey),
    PhaseEnds(RunKey),
    CancelArrives(RunKey),
    ReplyArrives {
        call: CallKey,
        run: RunKey,
        reply: CallReply,
    },
    CallDeadline(CallKey),
    PollGates(u64),
    Crash,
    Restart,
}

/// The simulation of one scenario under one overload control.
///
/// Server `service * ZONES + zone` is the one of `service` in `zone`.
pub(crate) struct OverloadSimulation<'a> {
    deployment: &'a DeploymentSpec,
    scenario: &'a ScenarioSpec,
    control: &'a ControlSpec,
    clock: EventClock<SimulationEvent>,
    rng: StdRng,
    customer: CustomerName,
    service_names: Vec<ServiceName>,
    /// Route tables of the daemons, by zone.
    routes: Vec<ZoneRoutes>,
    /// Levels known to the entries, by zone.
    levels: Vec<LevelTable<usize, usize>>,
    gates: Vec<ServerGate>,
    /// Runs queued at the gate of each server.
    tickets: Vec<SecondaryMap<TicketKey, RunKey>>,
    servers: Vec<SimulatedServer>,
    requests: Vec<RequestRecord>,
    calls: SlotMap<CallKey, CallRecord>,
    runs: SlotMap<RunKey, RunRecord>,
    answers: AnswerCounter,
}

impl<'a> OverloadSimulation<'a> {
    /// Simulates `scenario` and returns its figures.
    pub(crate) fn run(
        deployment: &'a DeploymentSpec,
        scenario: &'a ScenarioSpec,
        control: &'a ControlSpec,
        seed: u64,
    ) -> SimulationFigures {
        let mut simulation = OverloadSimulation::new(deployment, scenario, control, seed);
        simulation
            .clock
            .schedule_after(Duration::ZERO, SimulationEvent::RequestArrives);
        simulation
            .clock
            .schedule_after(Duration::ZERO, SimulationEvent::PollGates(0));
        if scenario.crashed_servers > 0 {
            simulation
                .clock
                .schedule_after(DISTURBANCE_START, SimulationEvent::Crash);
        }
        let end = MonoTime::ZERO + SIMULATION_END;
        while let Some(event) = simulation.clock.next_before(end) {
            simulation.handle(event);
        }
        simulation
            .answers
            .figures(&simulation.requests, deployment, scenario)
    }

    fn new(
        deployment: &'a DeploymentSpec,
        scenario: &'a ScenarioSpec,
        control: &'a ControlSpec,
        seed: u64,
    ) -> OverloadSimulation<'a> {
        let mut slots_factors = [1; 4];
        slots_factors[DEEPEST_SERVICE] = scenario.slots_factor;
        let services_of_servers =
            || (0..deployment.services.len()).flat_map(|s| (0..ZONES).map(move |_| s));
        let config = control.gate.unwrap_or_default();
        let slots = |s: usize| deployment.services[s].slots * slots_factors[s];
        let size = |s: usize| &deployment.services[s];
        OverloadSimulation {
            deployment,
            scenario,
            control,
            clock: EventClock::new(),
            rng: StdRng::seed_from_u64(seed),
            customer: CustomerName::try_from(deployment.name).expect("the name is valid"),
            service_names: deployment
                .services
                .iter()
                .map(|s| service_name(s.name))
                .collect(),
            routes: (0..ZONES)
                .map(|z| ZoneRoutes::new(deployment, z, &slots_factors))
                .collect(),
            levels: (0..ZONES).map(|_| LevelTable::default()).collect(),
            gates: services_of_servers()
                .map(|s| ServerGate::new(config, slots(s), MonoTime::ZERO))
                .collect(),
            tickets: services_of_servers().map(|_| SecondaryMap::new()).collect(),
            servers: services_of_servers()
                .map(|s| SimulatedServer::new(size(s).slots, size(s).connections))
                .collect(),
            requests: Vec::new(),
            calls: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            answers: AnswerCounter::new(),
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::RequestArrives => self.generate_request(),
            SimulationEvent::EntryReached { request, attempt } => {
                self.enter_request(request, attempt)
            }
            SimulationEvent::CallerTimeout { request, attempt } => {
                self.receive_outcome(request, attempt, CallOutcome::Unknown);
            }
            SimulationEvent::CallerReceives {
                request,
                attempt,
                outcome,
            } => {
                self.receive_outcome(request, attempt, outcome);
            }
            SimulationEvent::GateReached(run) => self.offer_to_gate(run),
            SimulationEvent::PhaseEnds(run) => self.end_phase(run),
            SimulationEvent::CancelArrives(run) => self.cancel_run(run),
            SimulationEvent::ReplyArrives { call, run, reply } => {
                self.receive_reply(call, run, reply)
            }
            SimulationEvent::CallDeadline(call) => self.expire_call(call),
            SimulationEvent::PollGates(count) => self.poll_gates(count),
            SimulationEvent::Crash => self.crash_servers(),
            SimulationEvent::Restart => self.restart_servers(),
        }
    }

    /// Returns the time since the start of the simulation.
    fn elapsed(&self) -> Duration {
        self.clock.now().since(MonoTime::ZERO)
    }

    fn chain(&self, request: usize) -> &'a ChainSpec {
        &self.deployment.chains[self.requests[request].chain]
    }
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
