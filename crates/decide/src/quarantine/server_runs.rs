//! The requests in flight at one backend server, and its lane for suspects.

use super::{CrashId, RequestFingerprint, RunDecision};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Names a request in flight at one server.
    pub struct RunKey;
}

#[derive(Clone, Copy, Debug)]
struct ServerRun {
    fingerprint: RequestFingerprint,
    in_lane: bool,
}

/// The requests in flight at one backend server.
#[derive(Clone, Debug)]
pub struct ServerRuns {
    runs: SlotMap<RunKey, ServerRun>,
    has_suspect: bool,
    next_crash: CrashId,
}

impl ServerRuns {
    /// Returns no runs at a server whose first crash is to be `next_crash`.
    pub fn new(next_crash: CrashId) -> ServerRuns {
        ServerRuns {
            runs: SlotMap::with_key(),
            has_suspect: false,
            next_crash,
        }
    }

    /// Returns the name of the server's next crash.
    pub fn next_crash(&self) -> CrashId {
        self.next_crash
    }

    /// Starts a run, or returns `None` if the verdict doesn't let it run now.
    pub fn start(
        &mut self,
        fingerprint: RequestFingerprint,
        verdict: RunDecision,
    ) -> Option<RunKey> {
        let in_lane = match verdict {
            RunDecision::Unrestricted => false,
            RunDecision::Serial if !self.has_suspect => true,
            RunDecision::Serial | RunDecision::Quarantined(_) => return None,
        };
        self.has_suspect |= in_lane;
        Some(self.runs.insert(ServerRun {
            fingerprint,
            in_lane,
        }))
    }

    /// Ends a run; one that a crash has ended is passed over.
    pub fn end(&mut self, run: RunKey) {
        if let Some(run) = self.runs.remove(run) {
            self.has_suspect &= !run.in_lane;
        }
    }

    /// Ends all runs because the server has crashed; returns the crash and whom to strike for it.
    ///
    /// Those beside a suspect are struck too: they pass through a lane in their turn, so a second
    /// poison request among them is found as well. The crash after this one is `next_crash`.
    pub fn record_crash(&mut self, next_crash: CrashId) -> (CrashId, Vec<RequestFingerprint>) {
        self.has_suspect = false;
        let struck = self.runs.drain().map(|(_, run)| run.fingerprint).collect();
        (std::mem::replace(&mut self.next_crash, next_crash), struck)
    }

    /// Returns whether `run` is in flight.
    pub fn contains_run(&self, run: RunKey) -> bool {
        self.runs.contains_key(run)
    }

    /// Returns whether the request is in flight here, so that a strike against it elsewhere calls
    /// for one for this server's next crash.
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

    /// Returns whether a suspect is in the lane.
    pub fn has_suspect(&self) -> bool {
        self.has_suspect
    }
}
