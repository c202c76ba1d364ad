//! Tracks the backend server of a host by its heartbeats: which incarnation is current and whether
//! it accepts work.
//!
//! Heartbeats may be delayed, duplicated or reordered, and may come from an incarnation that has
//! ended. A server that announced that it leaves never accepts work again in that incarnation, also if
//! none of its heartbeats has arrived yet.

mod left;

use crate::{name::ServiceName, time::MonoTime};
use left::LeftServers;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Maximum delay of a heartbeat. An incarnation with an earlier start than one that was heard, or has left,
/// is ignored for this long: its heartbeats may be delayed. Later it counts as a new one of a server whose
/// clock was set back.
const HEARTBEAT_DELAY_MAX: Duration = Duration::from_secs(10);

/// Identifies one incarnation of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ServerIdentity {
    /// Identity chosen by the server; may be reused after a restart.
    pub id: String,
    /// Start of the incarnation by the server's clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl ServerIdentity {
    /// Returns the incarnation that started last; `first` if both started at the same time.
    pub fn latest(
        first: Option<ServerIdentity>,
        second: Option<ServerIdentity>,
    ) -> Option<ServerIdentity> {
        let identities = second.into_iter().chain(first);
        identities.max_by_key(|identity| identity.started_ms)
    }
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

/// Which incarnation a leave ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaveEffect {
    /// The current one.
    Current,
    /// One that started after the current one and was not heard yet; the current one has ended before.
    Successor,
    /// One that is not current. Its heartbeats are ignored from now on.
    Other,
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
    /// Incarnations that have said that they leave.
    left: LeftServers,
    /// Identity of a server that left while another one or none was known, without its start, and the time
    /// at which it left.
    left_unseen: Option<(String, MonoTime)>,
}

impl ServerTracker {
    /// Returns a tracker without a server. A server without a heartbeat for `heartbeat_timeout`
    /// counts as unavailable.
    pub fn new(heartbeat_timeout: Duration) -> ServerTracker {
        ServerTracker {
            heartbeat_timeout,
            current: None,
            left: LeftServers::default(),
            left_unseen: None,
        }
    }

    /// Records a heartbeat received at `now`.
    pub fn record_heartbeat(
        &mut self,
        mut heartbeat: ServerHeartbeat,
        now: MonoTime,
    ) -> HeartbeatEffect {
        let has_left = |(id, at): &(String, MonoTime)| {
            *id == heartbeat.id && now.since(*at) < HEARTBEAT_DELAY_MAX
        };
        if self.left.excludes(&heartbeat.identity(), now)
            || self.left_unseen.as_ref().is_some_and(has_left)
        {
            return HeartbeatEffect::Ignored;
        }
        let Some(current) = &mut self.current else {
            return self.start(heartbeat, now);
        };
        let old = &current.heartbeat;
        if heartbeat.identity() != old.identity() {
            let silence = now.since(current.received_at);
            let is_silent = silence >= self.heartbeat_timeout.max(HEARTBEAT_DELAY_MAX);
            return match heartbeat.started_ms > old.started_ms || is_silent {
                true => self.start(heartbeat, now),
                false => HeartbeatEffect::Ignored,
            };
        }
        if heartbeat.sequence <= old.sequence {
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
    /// the current one, or for the next one that is heard with that identity.
    pub fn record_leave(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        now: MonoTime,
    ) -> LeaveEffect {
        let current = self.current().map(ServerHeartbeat::identity);
        let started_ms = match (started_ms, &current) {
            (None, Some(current)) if current.id == id => Some(current.started_ms),
            _ => started_ms,
        };
        let Some(started_ms) = started_ms else {
            self.left_unseen = Some((id.to_owned(), now));
            return LeaveEffect::Other;
        };
        let left = ServerIdentity {
            id: id.to_owned(),
            started_ms,
        };
        let effect = match &current {
            Some(current) if *current == left => LeaveEffect::Current,
            Some(current) if current.started_ms < started_ms => LeaveEffect::Successor,
            _ => LeaveEffect::Other,
        };
        self.end(left, now);
        effect
    }

    /// Takes over from an earlier run of the daemon that `left` accepts no new work.
    pub fn adopt_left(&mut self, left: &ServerIdentity, now: MonoTime) {
        self.end(left.clone(), now);
    }

    /// Records that `left` accepts no work from now on. A current incarnation that started before it has
    /// ended, as a host has one server.
    fn end(&mut self, left: ServerIdentity, now: MonoTime) {
        let is_ended = |current: &CurrentServer| {
            let current = current.heartbeat.identity();
            current == left || current.started_ms < left.started_ms
        };
        self.current.take_if(|current| is_ended(current));
        self.left.insert(left, now);
    }

    /// Returns the incarnation that started last of those that are known to accept no new work.
    pub fn left(&self) -> Option<ServerIdentity> {
        let leaving = self.current().filter(|heartbeat| heartbeat.is_leaving);
        let leaving = leaving.map(ServerHeartbeat::identity);
        ServerIdentity::latest(leaving, self.left.latest().cloned())
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
