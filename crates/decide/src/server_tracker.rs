//! Tracks the backend server of a host by its heartbeats: which incarnation is current and whether
//! it accepts work.
//!
//! Heartbeats may be delayed, duplicated or reordered, and may come from an incarnation that has
//! ended. A server that announced that it leaves never accepts work again in that incarnation.

use crate::{name::ServiceName, time::MonoTime};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Maximum delay of a heartbeat. If a server left before any of its heartbeats arrived, heartbeats
/// with its identity are ignored for this long: a delayed one looks like one of a new start.
const HEARTBEAT_DELAY_MAX: Duration = Duration::from_secs(10);

/// Identifies one incarnation of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServerIdentity {
    /// Identity chosen by the server; may be reused after a restart.
    pub id: String,
    /// Start of the incarnation by the server's clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// A heartbeat of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerHeartbeat {
    /// Identity chosen by the server; may be reused after a restart.
    pub id: String,
    /// Start of this incarnation by the server's clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Counts the heartbeats of one incarnation.
    pub sequence: u64,
    /// Service that the server runs.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub is_leaving: bool,
    /// Remaining time of its slow start.
    pub slow_start_left: Duration,
}

impl ServerHeartbeat {
    /// Returns the identity of the incarnation that sent it.
    pub fn identity(&self) -> ServerIdentity {
        ServerIdentity {
            id: self.id.clone(),
            started_ms: self.started_ms,
        }
    }
}

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// A new incarnation became the current one.
    Started,
    /// The state of the current incarnation changed.
    Changed,
    /// The current incarnation is alive and unchanged.
    Refreshed,
    /// The heartbeat was out of order or came from an incarnation that has ended.
    Ignored,
}

/// The current incarnation.
#[derive(Clone, Debug)]
struct CurrentServer {
    heartbeat: ServerHeartbeat,
    received_at: MonoTime,
    /// Whether nothing listened at its address since the last heartbeat.
    is_down: bool,
}

/// Tracks the backend server of one host.
#[derive(Clone, Debug)]
pub struct ServerTracker {
    heartbeat_timeout: Duration,
    current: Option<CurrentServer>,
    /// The incarnation that ended last.
    ended: Option<ServerIdentity>,
    /// Identity of a server that left while none was known, and the time at which it left.
    left_unseen: Option<(String, MonoTime)>,
}

impl ServerTracker {
    /// Returns a tracker without a server. A server without a heartbeat for `heartbeat_timeout`
    /// counts as unavailable.
    pub fn new(heartbeat_timeout: Duration) -> ServerTracker {
        ServerTracker {
            heartbeat_timeout,
            current: None,
            ended: None,
            left_unseen: None,
        }
    }

    /// Records a heartbeat received at `now`.
    pub fn record_heartbeat(
        &mut self,
        mut heartbeat: ServerHeartbeat,
        now: MonoTime,
    ) -> HeartbeatEffect {
        let is_ended = |ended: &ServerIdentity| {
            heartbeat.started_ms < ended.started_ms
                || (heartbeat.started_ms == ended.started_ms && heartbeat.id == ended.id)
        };
        let has_left = |(id, at): &(String, MonoTime)| {
            *id == heartbeat.id && now.since(*at) < HEARTBEAT_DELAY_MAX
        };
        if self.ended.as_ref().is_some_and(is_ended)
            || self.left_unseen.as_ref().is_some_and(has_left)
        {
            return HeartbeatEffect::Ignored;
        }
        let Some(current) = &mut self.current else {
            return self.start(heartbeat, now);
        };
        let old = &current.heartbeat;
        if heartbeat.started_ms > old.started_ms {
            return self.start(heartbeat, now);
        }
        if heartbeat.started_ms < old.started_ms
            || heartbeat.id != old.id
            || heartbeat.sequence <= old.sequence
        {
            return HeartbeatEffect::Ignored;
        }
        heartbeat.is_leaving |= old.is_leaving;
        let is_changed = heartbeat.is_leaving != old.is_leaving
            || heartbeat.slots != old.slots
            || heartbeat.service != old.service
            || heartbeat.address != old.address
            || current.is_down;
        *current = CurrentServer {
            heartbeat,
            received_at: now,
            is_down: false,
        };
        if is_changed {
            HeartbeatEffect::Changed
        } else {
            HeartbeatEffect::Refreshed
        }
    }

    /// Records that the incarnation of `id` that started at `started_ms` leaves; `None` stands for
    /// the current one. Returns whether it was the current one.
    pub fn record_leave(&mut self, id: &str, started_ms: Option<u64>, now: MonoTime) -> bool {
        let matches = |heartbeat: &ServerHeartbeat| {
            heartbeat.id == id && started_ms.is_none_or(|start| start == heartbeat.started_ms)
        };
        match &self.current {
            Some(current) if matches(&current.heartbeat) => {
                self.ended = Some(current.heartbeat.identity());
                self.current = None;
                true
            }
            Some(_) => false,
            // The daemon restarted and has received no heartbeat yet.
            None => {
                match started_ms {
                    Some(started_ms) => {
                        self.ended = Some(ServerIdentity {
                            id: id.to_owned(),
                            started_ms,
                        });
                    }
                    None => self.left_unseen = Some((id.to_owned(), now)),
                }
                false
            }
        }
    }

    /// Takes over from an earlier run of the daemon that `left` accepts no new work.
    pub fn adopt_left(&mut self, left: &ServerIdentity) {
        if self.ended.is_some() {
            return;
        }
        self.ended = Some(left.clone());
        let has_left = |current: &CurrentServer| current.heartbeat.identity() == *left;
        if self.current.as_ref().is_some_and(has_left) {
            self.current = None;
        }
    }

    /// Returns the last incarnation that is known to accept no new work.
    pub fn left(&self) -> Option<ServerIdentity> {
        let leaving = self.current().filter(|heartbeat| heartbeat.is_leaving);
        let leaving = leaving.map(ServerHeartbeat::identity);
        leaving.or_else(|| self.ended.clone())
    }

    /// Records that the current incarnation has said that it accepts no new work.
    pub fn record_leaving(&mut self) {
        if let Some(current) = &mut self.current {
            current.heartbeat.is_leaving = true;
        }
    }

    /// Records that nothing listens at the address of server `id`; returns whether that is news.
    pub fn mark_unreachable(&mut self, id: &str) -> bool {
        let Some(current) = &mut self.current else {
            return false;
        };
        let is_news = current.heartbeat.id == id && !current.is_down;
        current.is_down |= is_news;
        is_news
    }

    /// Returns the last heartbeat of the current incarnation, whether it accepts work or not.
    pub fn current(&self) -> Option<&ServerHeartbeat> {
        Some(&self.current.as_ref()?.heartbeat)
    }

    /// Returns the time since the last heartbeat of the current incarnation.
    pub fn heartbeat_age(&self, now: MonoTime) -> Option<Duration> {
        Some(now.since(self.current.as_ref()?.received_at))
    }

    /// Returns the last heartbeat of the server if it accepts work.
    pub fn serving(&self, now: MonoTime) -> Option<&ServerHeartbeat> {
        let current = self.current.as_ref()?;
        let has_timed_out = now.since(current.received_at) >= self.heartbeat_timeout;
        let accepts_work = !current.is_down && !current.heartbeat.is_leaving && !has_timed_out;
        accepts_work.then_some(&current.heartbeat)
    }

    fn start(&mut self, heartbeat: ServerHeartbeat, now: MonoTime) -> HeartbeatEffect {
        self.current = Some(CurrentServer {
            heartbeat,
            received_at: now,
            is_down: false,
        });
        HeartbeatEffect::Started
    }
}
