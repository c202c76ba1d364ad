//! A stand-in backend server: slots, and a queue of its own up to its connections.

use super::call::RunKey;
use std::collections::VecDeque;

/// One backend server.
pub(super) struct SimulatedServer {
    slots: usize,
    connections: usize,
    busy: usize,
    queue: VecDeque<RunKey>,
}

/// What a server does with a call that reaches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ServerAdmission {
    /// Works on it now.
    Run,
    /// Keeps it in its own queue.
    Queue,
    /// Refuses the connection.
    Refuse,
}

impl SimulatedServer {
    pub(super) fn new(slots: u32, connections: u32) -> SimulatedServer {
        SimulatedServer {
            slots: slots as usize,
            connections: connections as usize,
            busy: 0,
            queue: VecDeque::new(),
        }
    }

    pub(super) fn admit(&mut self, run: RunKey) -> ServerAdmission {
        if self.busy < self.slots {
            self.busy += 1;
            return ServerAdmission::Run;
        }
        if self.busy + self.queue.len() >= self.connections {
            return ServerAdmission::Refuse;
        }
        self.queue.push_back(run);
        ServerAdmission::Queue
    }

    /// Takes away a call that waits; returns whether it did.
    pub(super) fn remove_queued(&mut self, run: RunKey) -> bool {
        let found = self.queue.iter().position(|key| *key == run);
        found.map(|idx| self.queue.remove(idx)).is_some()
    }

    /// Ends a run; returns the call that begins in its place.
    pub(super) fn release(&mut self) -> Option<RunKey> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }

    /// Loses everything that runs and waits.
    pub(super) fn crash(&mut self) {
        self.busy = 0;
        self.queue.clear();
    }

    /// Returns calls that run and wait, in thousandths of the slots.
    pub(super) fn load_permille(&self) -> u16 {
        let calls = self.busy + self.queue.len();
        u16::try_from(calls * 1_000 / self.slots).unwrap_or(u16::MAX)
    }
}
