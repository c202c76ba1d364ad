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
pub struct ServerBeat {
    /// Identity that the server chose; it may come back after a restart.
    pub id: String,
    /// When this incarnation started, by its own clock, in milliseconds since the Unix epoch.
    pub born: u64,
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
    pub cold_left: Duration,
}

/// What a heartbeat came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BeatEffect {
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
    beat: ServerBeat,
    heard_at: MonoTime,
    /// Whether nothing listened at its address since it was last heard.
    is_down: bool,
}

/// The backend server beside a daemon.
#[derive(Clone, Debug)]
pub struct ServerTrack {
    silence_max: Duration,
    present: Option<PresentServer>,
    /// Identity and start of the incarnation that was last told to have ended.
    ended: Option<(String, u64)>,
    /// Identity of a server that ended when none was known, and when it was told.
    left: Option<(String, MonoTime)>,
}

impl ServerTrack {
    /// Returns a track that gives a server up after `silence_max` without a heartbeat.
    pub fn new(silence_max: Duration) -> ServerTrack {
        ServerTrack {
            silence_max,
            present: None,
            ended: None,
            left: None,
        }
    }

    /// Takes in a heartbeat.
    pub fn observe(&mut self, mut beat: ServerBeat, now: MonoTime) -> BeatEffect {
        let is_ended = |(id, born): &(String, u64)| {
            beat.born < *born || (beat.born == *born && *id == beat.id)
        };
        let has_left = |(id, at): &(String, MonoTime)| *id == beat.id && now.since(*at) < LATE_MAX;
        if self.ended.as_ref().is_some_and(is_ended) || self.left.as_ref().is_some_and(has_left) {
            return BeatEffect::Ignored;
        }
        let Some(present) = &mut self.present else {
            return self.start(beat, now);
        };
        let old = &present.beat;
        if beat.born > old.born {
            return self.start(beat, now);
        }
        if beat.born < old.born || beat.id != old.id || beat.sequence <= old.sequence {
            return BeatEffect::Ignored;
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
            BeatEffect::Changed
        } else {
            BeatEffect::Refreshed
        }
    }

    /// Takes in that an incarnation ends; without `born` the present one of that identity is meant.
    /// Returns whether it was the present one.
    pub fn end(&mut self, id: &str, born: Option<u64>, now: MonoTime) -> bool {
        let is_meant = |beat: &ServerBeat| beat.id == id && born.is_none_or(|b| b == beat.born);
        match &self.present {
            Some(present) if is_meant(&present.beat) => {
                self.ended = Some((id.to_owned(), present.beat.born));
                self.present = None;
                true
            }
            Some(_) => false,
            // Told before any heartbeat, after a restart of the daemon.
            None => {
                match born {
                    Some(born) => self.ended = Some((id.to_owned(), born)),
                    None => self.left = Some((id.to_owned(), now)),
                }
                false
            }
        }
    }

    /// Takes in that nothing listens at the address of incarnation `id`.
    pub fn note_down(&mut self, id: &str) {
        if let Some(present) = &mut self.present {
            present.is_down |= present.beat.id == id;
        }
    }

    /// Returns the server if it takes work.
    pub fn serving(&self, now: MonoTime) -> Option<&ServerBeat> {
        let present = self.present.as_ref()?;
        let is_silent = now.since(present.heard_at) >= self.silence_max;
        let takes_work = !present.is_down && !present.beat.is_leaving && !is_silent;
        takes_work.then_some(&present.beat)
    }

    fn start(&mut self, beat: ServerBeat, now: MonoTime) -> BeatEffect {
        self.present = Some(PresentServer {
            beat,
            heard_at: now,
            is_down: false,
        });
        BeatEffect::Started
    }
}
