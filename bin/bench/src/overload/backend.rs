//! A stand-in backend server: slots, and a queue of its own up to its connections.

use super::call::RunKey;
use std::collections::VecDeque;

/// One backend server.
pub(super) struct StandInServer {
    slots: usize,
    connections: usize,
    busy: usize,
    backlog: VecDeque<RunKey>,
}

/// What a server does with a call that reaches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ServerReaction {
    /// Works on it now.
    Begin,
    /// Keeps it in its own queue.
    Wait,
    /// Refuses the connection.
    Refuse,
}

impl StandInServer {
    pub(super) fn new(slots: u32, connections: u32) -> StandInServer {
        StandInServer {
            slots: slots as usize,
            connections: connections as usize,
            busy: 0,
            backlog: VecDeque::new(),
        }
    }

    pub(super) fn accept(&mut self, run: RunKey) -> ServerReaction {
        if self.busy < self.slots {
            self.busy += 1;
            return ServerReaction::Begin;
        }
        if self.busy + self.backlog.len() >= self.connections {
            return ServerReaction::Refuse;
        }
        self.backlog.push_back(run);
        ServerReaction::Wait
    }

    /// Takes away a call that waits; returns whether it did.
    pub(super) fn withdraw(&mut self, run: RunKey) -> bool {
        let found = self.backlog.iter().position(|key| *key == run);
        found.map(|idx| self.backlog.remove(idx)).is_some()
    }

    /// Ends a run; returns the call that begins in its place.
    pub(super) fn release(&mut self) -> Option<RunKey> {
        let next = self.backlog.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }

    /// Loses everything that runs and waits.
    pub(super) fn crash(&mut self) {
        self.busy = 0;
        self.backlog.clear();
    }

    /// Returns calls that run and wait, in thousandths of the slots.
    pub(super) fn load_permille(&self) -> u16 {
        let calls = self.busy + self.backlog.len();
        u16::try_from(calls * 1_000 / self.slots).unwrap_or(u16::MAX)
    }
}
