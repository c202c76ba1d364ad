//! Requests in flight at one backend server.

use super::{CrashId, RequestContent, RequestFingerprint, RunDecision};
use crate::time::MonoTime;
use slotmap::{SlotMap, new_key_type};
use std::{collections::VecDeque, mem, time::Duration};

/// Most unanswered requests that are stored for one server; the oldest is dropped first.
const UNANSWERED_MAX: usize = 256;

new_key_type! {
    /// Identifies a request in flight at one server.
    pub struct RunKey;
}

#[derive(Clone, Copy, Debug)]
struct ServerRun {
    content: RequestContent,
    is_suspect: bool,
    /// When it was sent to the server.
    sent_at: Option<MonoTime>,
    /// Whether its connection was lost.
    is_lost: bool,
}

/// A request that ended without a response.
#[derive(Clone, Copy, Debug)]
struct UnansweredRun {
    content: RequestContent,
    /// When it was sent to the server.
    sent_at: Option<MonoTime>,
}

/// Requests in flight at one backend server, at most one of them a suspect.
#[derive(Clone, Debug)]
pub struct ServerRuns {
    runs: SlotMap<RunKey, ServerRun>,
    /// Requests that ended without a response since the server last responded: it may have crashed
    /// under them before that is noticed.
    unanswered: VecDeque<UnansweredRun>,
    /// Requests that are struck for the next crash although it is not known yet, because the server
    /// has been silent since they were sent.
    struck_ahead: Vec<RequestFingerprint>,
    /// Number of responses so far.
    response_count: u64,
    /// When the server last showed that it runs.
    alive_at: MonoTime,
    has_suspect: bool,
    next_crash: CrashId,
}

impl ServerRuns {
    /// Returns a server without requests in flight, whose first crash will be `next_crash`.
    pub fn new(next_crash: CrashId) -> ServerRuns {
        ServerRuns {
            runs: SlotMap::with_key(),
            unanswered: VecDeque::new(),
            struck_ahead: Vec::new(),
            response_count: 0,
            alive_at: MonoTime::ZERO,
            has_suspect: false,
            next_crash,
        }
    }

    /// Returns the id of the server's next crash.
    pub fn next_crash(&self) -> CrashId {
        self.next_crash
    }

    /// Starts a run; returns `None` if the decision doesn't allow it now.
    pub fn start(&mut self, content: RequestContent, decision: RunDecision) -> Option<RunKey> {
        let is_suspect = match decision {
            RunDecision::Unrestricted => false,
            RunDecision::Serial if !self.has_suspect => true,
            RunDecision::Serial | RunDecision::Quarantined(_) => return None,
        };
        self.has_suspect |= is_suspect;
        Some(self.runs.insert(ServerRun {
            content,
            is_suspect,
            sent_at: None,
            is_lost: false,
        }))
    }

    /// Records that the request of a run is sent now.
    pub fn record_sent(&mut self, run: RunKey, now: MonoTime) {
        if let Some(run) = self.runs.get_mut(run) {
            run.sent_at = Some(now);
        }
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
        self.unanswered.push_back(UnansweredRun {
            content: ended.content,
            sent_at: ended.sent_at,
        });
    }

    /// Records that the server has responded to a request, or left as planned: it did not crash under
    /// the requests that ended before.
    pub fn record_response(&mut self, now: MonoTime) {
        self.unanswered.clear();
        self.response_count += 1;
        self.alive_at = now;
    }

    /// Records that the server has shown that it runs, without a response to a request.
    pub fn record_alive(&mut self, now: MonoTime) {
        self.alive_at = now;
    }

    /// Returns the requests that were sent at least `silence` ago, to a server that has shown nothing
    /// since, and that are not yet struck for the next crash.
    pub fn strike_ahead(&mut self, now: MonoTime, silence: Duration) -> Vec<RequestFingerprint> {
        let alive_at = self.alive_at;
        let is_silent = |sent_at: Option<MonoTime>| {
            sent_at.is_some_and(|sent_at| now.since(sent_at.max(alive_at)) >= silence)
        };
        let running = self.runs.values().map(|run| (run.content, run.sent_at));
        let unanswered = self.unanswered.iter();
        let unanswered = unanswered.map(|run| (run.content, run.sent_at));
        let candidates = running.chain(unanswered);
        let mut struck: Vec<_> = candidates
            .filter(|(_, sent_at)| is_silent(*sent_at))
            .flat_map(|(content, _)| content.fingerprints())
            .filter(|fingerprint| !self.struck_ahead.contains(fingerprint))
            .collect();
        struck.sort_unstable();
        struck.dedup();
        self.struck_ahead.extend(&struck);
        struck
    }

    /// Returns whether the request is struck for the next crash.
    pub fn is_struck_ahead(&self, fingerprint: RequestFingerprint) -> bool {
        self.struck_ahead.contains(&fingerprint)
    }

    /// Returns whether any request is struck for the next crash.
    pub fn has_struck_ahead(&self) -> bool {
        !self.struck_ahead.is_empty()
    }

    /// Ends the strikes for a crash that did not happen; returns its id and the requests that were
    /// struck for it. The next crash has the id `next_crash`.
    pub fn end_silence(&mut self, next_crash: CrashId) -> (CrashId, Vec<RequestFingerprint>) {
        let struck = mem::take(&mut self.struck_ahead);
        (mem::replace(&mut self.next_crash, next_crash), struck)
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
        self.struck_ahead.clear();
        let running = self.runs.drain().map(|(_, run)| run.content);
        let unanswered = self.unanswered.drain(..).map(|run| run.content);
        let struck = running.chain(unanswered);
        let struck = struck.flat_map(RequestContent::fingerprints).collect();
        (mem::replace(&mut self.next_crash, next_crash), struck)
    }

    /// Returns whether `run` is in flight.
    pub fn contains_run(&self, run: RunKey) -> bool {
        self.runs.contains_key(run)
    }

    /// Returns whether the request is in flight here; if so, a strike elsewhere requires another one
    /// for this server's next crash.
    pub fn contains_request(&self, fingerprint: RequestFingerprint) -> bool {
        self.runs
            .values()
            .any(|run| run.content.fingerprint == fingerprint)
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
