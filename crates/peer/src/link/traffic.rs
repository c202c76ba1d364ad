//! What has passed over a link: connections, and calls with and without a reply.

use metrics::counter;
use parking_lot::{Mutex, MutexGuard};
use serde::Serialize;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Counts the connections and calls of one link.
#[derive(Debug, Default)]
pub(super) struct LinkTraffic {
    state: Mutex<TrafficState>,
}

#[derive(Clone, Debug, Default)]
struct TrafficState {
    connections: u64,
    replied_at: Option<Instant>,
    unanswered: u64,
}

/// What has passed over a link until one time, for the dump.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LinkReport {
    /// The process at the other end.
    pub addr: SocketAddr,
    /// Number of connections opened so far.
    pub connections: u64,
    /// Time since the last reply, in milliseconds.
    pub reply_ms: Option<u64>,
    /// Number of calls that have ended without a reply since the last one.
    pub unanswered: u64,
}

impl LinkTraffic {
    /// Records that a connection has been opened.
    pub(super) fn record_connection(&self) {
        counter!("agatehill_peer_connections_opened").increment(1);
        self.lock().connections += 1;
    }

    /// Returns the counts of the link to `addr`.
    pub(super) fn report(&self, addr: SocketAddr) -> LinkReport {
        let state = self.lock().clone();
        let millis = |elapsed: Duration| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        LinkReport {
            addr,
            connections: state.connections,
            reply_ms: state.replied_at.map(|at| millis(at.elapsed())),
            unanswered: state.unanswered,
        }
    }

    fn lock(&self) -> MutexGuard<'_, TrafficState> {
        self.state.lock()
    }
}

/// A call that waits for its reply. If it is dropped, its caller has stopped waiting.
#[derive(Debug)]
pub(super) struct PendingCall<'a> {
    traffic: &'a LinkTraffic,
    has_ended: bool,
}

impl<'a> PendingCall<'a> {
    /// Returns the guard of a call that begins.
    pub(super) fn begin(traffic: &'a LinkTraffic) -> PendingCall<'a> {
        PendingCall {
            traffic,
            has_ended: false,
        }
    }

    /// Records the reply.
    pub(super) fn record_reply(mut self) {
        self.has_ended = true;
        let mut state = self.traffic.lock();
        state.replied_at = Some(Instant::now());
        state.unanswered = 0;
    }

    /// Records that no connection could be opened.
    pub(super) fn record_unreachable(mut self) {
        self.has_ended = true;
        counter!("agatehill_peer_calls_unreachable").increment(1);
    }

    /// Records that the connection broke or the time limit passed.
    pub(super) fn record_unanswered(mut self) {
        self.has_ended = true;
        self.traffic.lock().unanswered += 1;
        counter!("agatehill_peer_calls_unanswered").increment(1);
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.traffic.lock().unanswered += 1;
            counter!("agatehill_peer_calls_abandoned").increment(1);
        }
    }
}
