//! Timed events: polls of the gates, load reports, crashes and restarts.

use super::{OverloadSimulation, SimulationEvent};
use crate::overload::{
    backend::SimulatedServer,
    call::{RunKey, RunPhase, RunRecord},
    deployment::{DEEPEST_SERVICE, ZONES},
    scenario::RESTART_TIME,
};
use agatehill_decide::{
    gate::{RunResult, ServerState},
    outcome::CallOutcome,
    time::MonoTime,
};
use std::time::Duration;

/// Time between two polls of the gates.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of polls between two load reports.
const POLLS_PER_REPORT: u64 = 50;

impl OverloadSimulation<'_> {
    /// Polls the gates that are due and reports loads at intervals.
    pub(super) fn poll_gates(&mut self, count: u64) {
        self.clock
            .schedule_after(POLL_INTERVAL, SimulationEvent::PollGates(count + 1));
        let now = self.clock.now();
        for server in 0..self.gates.len() {
            if self.gates[server].next_poll().is_some_and(|due| due <= now) {
                self.gates[server].poll(now);
                self.apply_gate_events(server);
            }
        }
        if count.is_multiple_of(POLLS_PER_REPORT) {
            self.report_loads(now);
        }
    }

    /// Passes the servers' loads to all daemons. Servers that overstate their slots report no load.
    fn report_loads(&self, now: MonoTime) {
        let is_overstated =
            |server: usize| self.scenario.slots_factor > 1 && server / ZONES == DEEPEST_SERVICE;
        let load = |(server, s): (usize, &SimulatedServer)| match is_overstated(server) {
            true => 0,
            false => s.load_permille(),
        };
        let loads: Vec<u16> = self.servers.iter().enumerate().map(load).collect();
        for routes in &self.routes {
            routes.record_loads(&loads, now);
        }
    }

    /// Crashes the servers of the scenario; their runs are lost.
    pub(super) fn crash_servers(&mut self) {
        for server in self.crashed_servers() {
            self.announce_state(server, ServerState::Starting);
            self.servers[server].crash();
            for run in self.runs_at(server) {
                self.release_slot(run, RunResult::Lost);
                self.lose_run(run, CallOutcome::Unknown);
            }
        }
        self.clock
            .schedule_after(RESTART_TIME, SimulationEvent::Restart);
    }

    pub(super) fn restart_servers(&mut self) {
        for server in self.crashed_servers() {
            self.announce_state(server, ServerState::Serving);
        }
    }

    fn announce_state(&mut self, server: usize, state: ServerState) {
        let slots = self.deployment.services[server / ZONES].slots;
        let now = self.clock.now();
        self.gates[server].apply_announcement(state, slots, now);
        self.apply_gate_events(server);
    }

    /// Returns the runs that have reached `server`.
    fn runs_at(&self, server: usize) -> Vec<RunKey> {
        let is_there = |r: &RunRecord| r.server == server && r.phase != RunPhase::InTransit;
        let runs = self.runs.iter().filter(|(_, r)| is_there(r));
        runs.map(|(key, _)| key).collect()
    }

    fn crashed_servers(&self) -> Vec<usize> {
        let will_crash = |s: &usize| self.scenario.will_crash(s / ZONES, s % ZONES);
        (0..self.servers.len()).filter(will_crash).collect()
    }
}
