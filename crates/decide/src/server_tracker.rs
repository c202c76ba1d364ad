//! The backend server beside a daemon, as its heartbeats tell: which incarnation is the present one
//! and whether it takes work.
//!
//! Heartbeats come late, twice and out of order, also from an incarnation that has ended. A server
//! that has said that it leaves never takes work again in the same incarnation.

use crate::{name::ServiceName, time::MonoTime};
use std::{net::SocketAddr, time::Duration};

/// Time by which heartbeats are late at most. A server that left before any was heard can't be told
/// from one that starts again under its identity until then.
const LATE_MAX: Duration = Duration::from_secs(10);

/// One heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerHeartbeat {
    /// Identity that the server chose; it may come back after a restart.
    pub id: String,
    /// When this incarnation started, by its own clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Counts the heartbeats of one incarnation.
    pub sequence: u64,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// How much longer it is slow after its start.
    pub slow_start_left: Duration,
}

/// What a heartbeat came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// A new incarnation took the place of the one before.
    Started,
    /// What is known of the present incarnation changed.
    Changed,
    /// It was alive, and nothing changed.
    Refreshed,
    /// It came out of order or from an incarnation that has ended.
    Ignored,
}

/// The present incarnation.
#[derive(Clone, Debug)]
struct PresentServer {
    beat: ServerHeartbeat,
    heard_at: MonoTime,
    /// Whether nothing listened at its address since it was last heard.
    is_down: bool,
}

/// The backend server beside a daemon.
#[derive(Clone, Debug)]
pub struct ServerTracker {
    heartbeat_timeout: Duration,
    present: Option<PresentServer>,
    /// Identity and start of the incarnation that was last told to have ended.
    ended: Option<(String, u64)>,
    /// Identity of a server that ended when none was known, and when it was told.
    left: Option<(String, MonoTime)>,
}

impl ServerTracker {
    /// Returns a tracker that gives a server up after `heartbeat_timeout` without a heartbeat.
    pub fn new(heartbeat_timeout: Duration) -> ServerTracker {
        ServerTracker {
            heartbeat_timeout,
            present: None,
            ended: None,
            left: None,
        }
    }

    /// Takes in a heartbeat.
    pub fn record_heartbeat(
        &mut self,
        mut beat: ServerHeartbeat,
        now: MonoTime,
    ) -> HeartbeatEffect {
        let is_ended = |(id, started_ms): &(String, u64)| {
            beat.started_ms < *started_ms || (beat.started_ms == *started_ms && *id == beat.id)
        };
        let has_left = |(id, at): &(String, MonoTime)| *id == beat.id && now.since(*at) < LATE_MAX;
        if self.ended.as_ref().is_some_and(is_ended) || self.left.as_ref().is_some_and(has_left) {
            return HeartbeatEffect::Ignored;
        }
        let Some(present) = &mut self.present else {
            return self.start(beat, now);
        };
        let old = &present.beat;
        if beat.started_ms > old.started_ms {
            return self.start(beat, now);
        }
        if beat.started_ms < old.started_ms || beat.id != old.id || beat.sequence <= old.sequence {
            return HeartbeatEffect::Ignored;
        }
        beat.is_leaving |= old.is_leaving;
        let is_changed = beat.is_leaving != old.is_leaving
            || beat.slots != old.slots
            || beat.service != old.service
            || beat.address != old.address
            || present.is_down;
        *present = PresentServer {
            beat,
            heard_at: now,
            is_down: false,
        };
        if is_changed {
            HeartbeatEffect::Changed
        } else {
            HeartbeatEffect::Refreshed
        }
    }

    /// Takes in that an incarnation ends; without `started_ms` the present one of that identity is meant.
    /// Returns whether it was the present one.
    pub fn record_leave(&mut self, id: &str, started_ms: Option<u64>, now: MonoTime) -> bool {
        let is_meant = |beat: &ServerHeartbeat| {
            beat.id == id && started_ms.is_none_or(|b| b == beat.started_ms)
        };
        match &self.present {
            Some(present) if is_meant(&present.beat) => {
                self.ended = Some((id.to_owned(), present.beat.started_ms));
                self.present = None;
                true
            }
            Some(_) => false,
            // Told before any heartbeat, after a restart of the daemon.
            None => {
                match started_ms {
                    Some(started_ms) => self.ended = Some((id.to_owned(), started_ms)),
                    None => self.left = Some((id.to_owned(), now)),
                }
                false
            }
        }
    }

    /// Takes in that nothing listens at the address of incarnation `id`.
    pub fn mark_unreachable(&mut self, id: &str) {
        if let Some(present) = &mut self.present {
            present.is_down |= present.beat.id == id;
        }
    }

    /// Returns the server if it takes work.
    pub fn serving(&self, now: MonoTime) -> Option<&ServerHeartbeat> {
        let present = self.present.as_ref()?;
        let is_silent = now.since(present.heard_at) >= self.heartbeat_timeout;
        let takes_work = !present.is_down && !present.beat.is_leaving && !is_silent;
        takes_work.then_some(&present.beat)
    }

    fn start(&mut self, beat: ServerHeartbeat, now: MonoTime) -> HeartbeatEffect {
        self.present = Some(PresentServer {
            beat,
            heard_at: now,
            is_down: false,
        });
        HeartbeatEffect::Started
    }
}
