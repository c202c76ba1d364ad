//! One run: callers, daemons, servers and links on one virtual clock.

mod callers;
mod daemons;
mod servers;
mod upkeep;

use super::{
    backend::StandInServer,
    call::{CallAnswer, MakeKey, MakeRecord, RequestRecord, RunKey, RunRecord},
    clock::EventClock,
    control::ControlSpec,
    deployment::{ChainSpec, DEEP, DeploymentSpec, ZONES},
    route::{ZoneRoutes, service_name},
    scenario::{FINISH, START, ScenarioSpec},
    stats::{RunFigures, RunStats},
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

#[derive(Clone, Copy)]
enum WorldEvent {
    Arrive,
    AtEntry {
        request: usize,
        attempt: u32,
    },
    CallerWaited {
        request: usize,
        attempt: u32,
    },
    CallerHears {
        request: usize,
        attempt: u32,
        outcome: CallOutcome,
    },
    AtGate(RunKey),
    PhaseDone(RunKey),
    Cancel(RunKey),
    Back {
        make: MakeKey,
        run: RunKey,
        answer: CallAnswer,
    },
    MakeWaited(MakeKey),
    Poll(u64),
    Crash,
    Restart,
}

/// One run of a scenario under one way of control.
pub(crate) struct BenchWorld<'a> {
    deployment: &'a DeploymentSpec,
    scenario: &'a ScenarioSpec,
    control: &'a ControlSpec,
    clock: EventClock<WorldEvent>,
    rng: StdRng,
    customer: CustomerName,
    names: Vec<ServiceName>,
    routes: Vec<ZoneRoutes>,
    levels: Vec<LevelTable<usize, usize>>,
    gates: Vec<ServerGate>,
    tickets: Vec<SecondaryMap<TicketKey, RunKey>>,
    servers: Vec<StandInServer>,
    requests: Vec<RequestRecord>,
    makes: SlotMap<MakeKey, MakeRecord>,
    runs: SlotMap<RunKey, RunRecord>,
    stats: RunStats,
}

impl<'a> BenchWorld<'a> {
    /// Runs `scenario` and returns its figures.
    pub(crate) fn run(
        deployment: &'a DeploymentSpec,
        scenario: &'a ScenarioSpec,
        control: &'a ControlSpec,
        seed: u64,
    ) -> RunFigures {
        let mut world = BenchWorld::new(deployment, scenario, control, seed);
        world.clock.after(Duration::ZERO, WorldEvent::Arrive);
        world.clock.after(Duration::ZERO, WorldEvent::Poll(0));
        if scenario.restarts > 0 {
            world.clock.after(START, WorldEvent::Crash);
        }
        let end = MonoTime::ZERO + FINISH;
        while let Some(event) = world.clock.next(end) {
            world.handle(event);
        }
        world.stats.figures(&world.requests, deployment, scenario)
    }

    fn new(
        deployment: &'a DeploymentSpec,
        scenario: &'a ScenarioSpec,
        control: &'a ControlSpec,
        seed: u64,
    ) -> BenchWorld<'a> {
        let mut overstated = [1; 4];
        overstated[DEEP] = scenario.overstated;
        let places = || (0..deployment.services.len()).flat_map(|s| (0..ZONES).map(move |_| s));
        let config = control.gate.unwrap_or_default();
        let slots = |s: usize| deployment.services[s].slots * overstated[s];
        let size = |s: usize| &deployment.services[s];
        BenchWorld {
            deployment,
            scenario,
            control,
            clock: EventClock::new(),
            rng: StdRng::seed_from_u64(seed),
            customer: CustomerName::try_from(deployment.name).expect("a valid name"),
            names: deployment
                .services
                .iter()
                .map(|s| service_name(s.name))
                .collect(),
            routes: (0..ZONES)
                .map(|z| ZoneRoutes::new(deployment, z, &overstated))
                .collect(),
            levels: (0..ZONES).map(|_| LevelTable::default()).collect(),
            gates: places()
                .map(|s| ServerGate::new(config, slots(s), MonoTime::ZERO))
                .collect(),
            tickets: places().map(|_| SecondaryMap::new()).collect(),
            servers: places()
                .map(|s| StandInServer::new(size(s).slots, size(s).connections))
                .collect(),
            requests: Vec::new(),
            makes: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            stats: RunStats::new(),
        }
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive => self.arrive(),
            WorldEvent::AtEntry { request, attempt } => self.enter(request, attempt),
            WorldEvent::CallerWaited { request, attempt } => {
                self.hear(request, attempt, CallOutcome::Unknown);
            }
            WorldEvent::CallerHears {
                request,
                attempt,
                outcome,
            } => {
                self.hear(request, attempt, outcome);
            }
            WorldEvent::AtGate(run) => self.reach_gate(run),
            WorldEvent::PhaseDone(run) => self.end_phase(run),
            WorldEvent::Cancel(run) => self.cancel(run),
            WorldEvent::Back { make, run, answer } => self.come_back(make, run, answer),
            WorldEvent::MakeWaited(make) => self.expire(make),
            WorldEvent::Poll(count) => self.poll(count),
            WorldEvent::Crash => self.crash(),
            WorldEvent::Restart => self.restart(),
        }
    }

    fn elapsed(&self) -> Duration {
        self.clock.now().since(MonoTime::ZERO)
    }

    fn chain(&self, request: usize) -> &'a ChainSpec {
        &self.deployment.chains[self.requests[request].chain]
    }
}

fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
