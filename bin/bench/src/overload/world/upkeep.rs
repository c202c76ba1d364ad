//! What happens by the clock alone: looks at the gates, load reports, crashes and restarts.

use super::{BenchWorld, WorldEvent};
use crate::overload::{
    backend::StandInServer,
    call::{RunKey, RunPhase, RunRecord},
    deployment::{DEEP, ZONES},
    scenario::RESTART,
};
use agatehill_decide::{
    gate::{RunResult, ServerState},
    outcome::CallOutcome,
    time::MonoTime,
};
use std::time::Duration;

/// Time between two looks at the gates.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Looks at the gates between two load reports.
const POLLS_PER_REPORT: u64 = 50;

impl BenchWorld<'_> {
    pub(super) fn poll(&mut self, count: u64) {
        self.clock.after(POLL_INTERVAL, WorldEvent::Poll(count + 1));
        let now = self.clock.now();
        for server in 0..self.gates.len() {
            if self.gates[server].next_poll().is_some_and(|due| due <= now) {
                self.gates[server].poll(now);
                self.take_events(server);
            }
        }
        if count.is_multiple_of(POLLS_PER_REPORT) {
            self.report_loads(now);
        }
    }

    /// Servers that overstate their slots also report that they have nothing to do.
    fn report_loads(&self, now: MonoTime) {
        let is_lying = |server: usize| self.scenario.overstated > 1 && server / ZONES == DEEP;
        let load = |(server, s): (usize, &StandInServer)| match is_lying(server) {
            true => 0,
            false => s.load_permille(),
        };
        let loads: Vec<u16> = self.servers.iter().enumerate().map(load).collect();
        for routes in &self.routes {
            routes.report(&loads, now);
        }
    }

    pub(super) fn crash(&mut self) {
        for server in self.restarted() {
            self.announce(server, ServerState::Starting);
            self.servers[server].crash();
            for run in self.runs_at(server) {
                self.free_slot(run, RunResult::Lost);
                self.lose(run, CallOutcome::Unknown);
            }
        }
        self.clock.after(RESTART, WorldEvent::Restart);
    }

    pub(super) fn restart(&mut self) {
        for server in self.restarted() {
            self.announce(server, ServerState::Serving);
        }
    }

    fn announce(&mut self, server: usize, state: ServerState) {
        let slots = self.deployment.services[server / ZONES].slots;
        let now = self.clock.now();
        self.gates[server].apply_announcement(state, slots, now);
        self.take_events(server);
    }

    fn runs_at(&self, server: usize) -> Vec<RunKey> {
        let is_there = |r: &RunRecord| r.server == server && r.phase != RunPhase::Travelling;
        let runs = self.runs.iter().filter(|(_, r)| is_there(r));
        runs.map(|(key, _)| key).collect()
    }

    fn restarted(&self) -> Vec<usize> {
        let is_restarted = |s: &usize| self.scenario.is_restarted(s / ZONES, s % ZONES);
        (0..self.servers.len()).filter(is_restarted).collect()
    }
}
