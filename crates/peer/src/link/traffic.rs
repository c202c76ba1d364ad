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
    /// Number of connections opened so far, failed ones included.
    pub connections: u64,
    /// Time since the last reply, in milliseconds.
    pub reply_ms: Option<u64>,
    /// Number of calls that have ended without a reply since the last one.
    pub unanswered: u64,
}

impl LinkTraffic {
    /// Records that a connection is being opened.
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

    /// Records a reply.
    pub(super) fn record_reply(&self) {
        let mut state = self.lock();
        state.replied_at = Some(Instant::now());
        state.unanswered = 0;
    }

    /// Records a call for which no connection could be opened in time.
    pub(super) fn record_unreachable(&self) {
        counter!("agatehill_peer_calls_unreachable").increment(1);
    }

    /// Records a call whose connection broke or whose time limit passed.
    pub(super) fn record_unanswered(&self) {
        self.lock().unanswered += 1;
        counter!("agatehill_peer_calls_unanswered").increment(1);
    }

    fn lock(&self) -> MutexGuard<'_, TrafficState> {
        self.state.lock()
    }
}
