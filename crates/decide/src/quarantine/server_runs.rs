//! Requests in flight at one backend server.

use super::{CrashId, RequestFingerprint, RunDecision};
use slotmap::{SlotMap, new_key_type};
use std::collections::VecDeque;

/// Most unanswered requests that are stored for one server; the oldest is dropped first.
const UNANSWERED_MAX: usize = 256;

new_key_type! {
    /// Identifies a request in flight at one server.
    pub struct RunKey;
}

#[derive(Clone, Copy, Debug)]
struct ServerRun {
    fingerprint: RequestFingerprint,
    is_suspect: bool,
    /// Whether its connection was lost.
    is_lost: bool,
}

/// Requests in flight at one backend server, at most one of them a suspect.
#[derive(Clone, Debug)]
pub struct ServerRuns {
    runs: SlotMap<RunKey, ServerRun>,
    /// Requests that ended without a response since the server last responded: it may have crashed
    /// under them before that is noticed.
    unanswered: VecDeque<RequestFingerprint>,
    /// Number of responses so far.
    response_count: u64,
    has_suspect: bool,
    next_crash: CrashId,
}

impl ServerRuns {
    /// Returns a server without requests in flight, whose first crash will be `next_crash`.
    pub fn new(next_crash: CrashId) -> ServerRuns {
        ServerRuns {
            runs: SlotMap::with_key(),
            unanswered: VecDeque::new(),
            response_count: 0,
            has_suspect: false,
            next_crash,
        }
    }

    /// Returns the id of the server's next crash.
    pub fn next_crash(&self) -> CrashId {
        self.next_crash
    }

    /// Starts a run; returns `None` if the decision doesn't allow it now.
    pub fn start(
        &mut self,
        fingerprint: RequestFingerprint,
        decision: RunDecision,
    ) -> Option<RunKey> {
        let is_suspect = match decision {
            RunDecision::Unrestricted => false,
            RunDecision::Serial if !self.has_suspect => true,
            RunDecision::Serial | RunDecision::Quarantined(_) => return None,
        };
        self.has_suspect |= is_suspect;
        Some(self.runs.insert(ServerRun {
            fingerprint,
            is_suspect,
            is_lost: false,
        }))
    }

    /// Ends a run; does nothing if a crash has already ended it.
    pub fn end(&mut self, run: RunKey) {
        if let Some(run) = self.runs.remove(run) {
            self.has_suspect &= !run.is_suspect;
        }
    }

    /// Ends a run without a response. If the server turns out to have crashed before it responds to
    /// any request, the request is struck too.
    pub fn end_unanswered(&mut self, run: RunKey) {
        let Some(ended) = self.runs.get(run).copied() else {
            return;
        };
        self.end(run);
        if self.unanswered.len() == UNANSWERED_MAX {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(ended.fingerprint);
    }

    /// Records that the server has responded to a request, or left as planned: it did not crash under
    /// the requests that ended before.
    pub fn record_response(&mut self) {
        self.unanswered.clear();
        self.response_count += 1;
    }

    /// Returns the number of responses so far.
    pub fn response_count(&self) -> u64 {
        self.response_count
    }

    /// Records that the connection of a run was lost.
    pub fn record_lost(&mut self, run: RunKey) {
        if let Some(run) = self.runs.get_mut(run) {
            run.is_lost = true;
        }
    }

    /// Returns whether any run has a connection that is not known to be lost.
    pub fn has_connected_run(&self) -> bool {
        self.runs.values().any(|run| !run.is_lost)
    }

    /// Returns whether a crash now would strike any request.
    pub fn has_candidates(&self) -> bool {
        !self.runs.is_empty() || !self.unanswered.is_empty()
    }

    /// Ends all runs because the server crashed; returns the crash and the requests to strike for it.
    ///
    /// Requests that ran alongside a suspect are struck too: each of them then runs as the only
    /// suspect in turn, so a second poison request among them is found as well. `next_crash` is the
    /// crash after this one.
    pub fn record_crash(&mut self, next_crash: CrashId) -> (CrashId, Vec<RequestFingerprint>) {
        self.has_suspect = false;
        let running = self.runs.drain().map(|(_, run)| run.fingerprint);
        let struck = running.chain(self.unanswered.drain(..)).collect();
        (std::mem::replace(&mut self.next_crash, next_crash), struck)
    }

    /// Returns whether `run` is in flight.
    pub fn contains_run(&self, run: RunKey) -> bool {
        self.runs.contains_key(run)
    }

    /// Returns whether the request is in flight here; if so, a strike elsewhere requires another one
    /// for this server's next crash.
    pub fn contains_request(&self, fingerprint: RequestFingerprint) -> bool {
        self.runs.values().any(|run| run.fingerprint == fingerprint)
    }

    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns whether a suspect is in flight.
    pub fn has_suspect(&self) -> bool {
        self.has_suspect
    }
}
