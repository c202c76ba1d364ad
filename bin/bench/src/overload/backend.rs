//! A simulated backend server: slots, and a queue of its own bounded by its connections.

use super::call::RunKey;
use std::collections::VecDeque;

/// A backend server.
pub(super) struct SimulatedServer {
    slots: usize,
    connections: usize,
    running: usize,
    queue: VecDeque<RunKey>,
}

/// A server's decision about a call that reaches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ServerAdmission {
    /// The call runs now.
    Run,
    /// The call waits in the server's own queue.
    Queue,
    /// The server refuses the connection.
    Refuse,
}

impl SimulatedServer {
    pub(super) fn new(slots: u32, connections: u32) -> SimulatedServer {
        SimulatedServer {
            slots: slots as usize,
            connections: connections as usize,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    /// Decides about a call and records it if it runs or waits.
    pub(super) fn admit(&mut self, run: RunKey) -> ServerAdmission {
        if self.running < self.slots {
            self.running += 1;
            return ServerAdmission::Run;
        }
        if self.running + self.queue.len() >= self.connections {
            return ServerAdmission::Refuse;
        }
        self.queue.push_back(run);
        ServerAdmission::Queue
    }

    /// Removes a call from the queue; returns whether it was there.
    pub(super) fn remove_queued(&mut self, run: RunKey) -> bool {
        let found = self.queue.iter().position(|key| *key == run);
        found.map(|idx| self.queue.remove(idx)).is_some()
    }

    /// Ends a run; returns the queued call that starts in its slot, if any.
    pub(super) fn release(&mut self) -> Option<RunKey> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Drops all running and queued calls.
    pub(super) fn crash(&mut self) {
        self.running = 0;
        self.queue.clear();
    }

    /// Returns the running and queued calls, in thousandths of the slots.
    pub(super) fn load_permille(&self) -> u16 {
        let calls = self.running + self.queue.len();
        u16::try_from(calls * 1_000 / self.slots).unwrap_or(u16::MAX)
    }
}
