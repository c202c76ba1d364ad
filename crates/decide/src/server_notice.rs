//! What backend servers say about themselves in their responses: how many requests they take, and that
//! they leave.
//!
//! The gate beside a server keeps the last statement, as each request passes it. Responses may overtake
//! each other, so a statement is replaced by a looser one only if that answers a request that was sent
//! after the stricter one had arrived.
//!
//! Entries store the statements of the gates that they use and send them with their requests, so that a
//! gate that has restarted doesn't start from nothing.

mod bucket;

use crate::{server_tracker::ServerIdentity, time::MonoTime};
use bucket::RateBucket;
use std::{fmt, str::FromStr, time::Duration};

/// A number of requests a second, stored in thousandths.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRate {
    millis: u64,
}

impl RequestRate {
    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.millis as f64 / 1e3
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// The text of a rate is not a decimal number of at least 0.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateError;

impl fmt::Display for RateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a rate must be a decimal number of at least 0")
    }
}

impl std::error::Error for RateError {}

impl FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<RequestRate, RateError> {
        let rate: f64 = text.trim().parse().map_err(|_| RateError)?;
        if !rate.is_finite() || rate.is_sign_negative() {
            return Err(RateError);
        }
        Ok(RequestRate {
            millis: (rate * 1e3).round() as u64,
        })
    }
}

/// What a server has said.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerNotice {
    /// The server.
    pub server: ServerIdentity,
    /// The requests that it takes from all hosts together, if it has named a limit.
    pub limit: Option<RequestRate>,
    /// Whether it accepts no new work.
    pub is_leaving: bool,
}

impl ServerNotice {
    /// Returns whether it restricts what may be sent to the server.
    pub fn is_restrictive(&self) -> bool {
        self.limit.is_some() || self.is_leaving
    }
}

/// How urgent a request is to a server that takes fewer than it is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestUrgency {
    /// It belongs to a request that has begun to run elsewhere.
    Nested,
    /// It starts work, with this rank; 0 is the most important.
    Root(u32),
}

/// The limit in force.
#[derive(Clone, Debug)]
struct NamedLimit {
    rate: RequestRate,
    /// When the last response that named a limit arrived.
    at: MonoTime,
    bucket: RateBucket,
}

/// The statements of the server beside a gate.
#[derive(Clone, Debug, Default)]
pub struct NoticeTracker {
    server: Option<ServerIdentity>,
    limit: Option<NamedLimit>,
    is_leaving: bool,
    /// Whether the server has responded since this gate began to track it.
    has_responded: bool,
}

impl NoticeTracker {
    /// Records a response of `server` to a request that was sent at `sent_at`; returns whether that
    /// changes what is in force.
    pub fn record_response(
        &mut self,
        notice: &ServerNotice,
        sent_at: MonoTime,
        now: MonoTime,
    ) -> bool {
        self.track(&notice.server);
        self.has_responded = true;
        let before = (self.rate(), self.is_leaving);
        self.is_leaving |= notice.is_leaving;
        let held = self.limit.as_ref();
        let is_later = held.is_none_or(|held| sent_at >= held.at);
        match notice.limit {
            Some(rate) => {
                let is_stricter = held.is_none_or(|held| rate <= held.rate);
                if is_later || is_stricter {
                    self.set_limit(rate, now);
                }
            }
            None if is_later => self.limit = None,
            None => {}
        }
        before != (self.rate(), self.is_leaving)
    }

    /// Returns whether a response of `server` that says nothing about itself would change nothing.
    pub fn is_settled(&self, server: &ServerIdentity) -> bool {
        let is_tracked = self.server.as_ref() == Some(server);
        is_tracked && self.has_responded && self.limit.is_none()
    }

    /// Takes over what an entry knows of the server, unless that has responded here; returns whether
    /// that changes what is in force.
    pub fn adopt(&mut self, notice: &ServerNotice, now: MonoTime) -> bool {
        self.track(&notice.server);
        if self.has_responded || !notice.is_restrictive() {
            return false;
        }
        let before = (self.rate(), self.is_leaving);
        self.is_leaving |= notice.is_leaving;
        let is_stricter = |rate: &RequestRate| self.rate().is_none_or(|held| *rate < held);
        if let Some(rate) = notice.limit.filter(is_stricter) {
            self.set_limit(rate, now);
        }
        before != (self.rate(), self.is_leaving)
    }

    /// Returns what is in force for `server`.
    pub fn notice(&self, server: ServerIdentity) -> ServerNotice {
        let is_tracked = self.server.as_ref() == Some(&server);
        ServerNotice {
            server,
            limit: self.rate().filter(|_| is_tracked),
            is_leaving: self.is_leaving && is_tracked,
        }
    }

    /// Takes one request off what `server` accepts.
    ///
    /// # Errors
    ///
    /// The limit is reached; holds the time after which a request of that urgency is likely to be
    /// accepted.
    pub fn try_take(
        &mut self,
        server: &ServerIdentity,
        urgency: RequestUrgency,
        now: MonoTime,
    ) -> Result<(), Duration> {
        let is_tracked = self.server.as_ref() == Some(server);
        match &mut self.limit {
            Some(limit) if is_tracked => limit.bucket.try_take(urgency, now),
            _ => Ok(()),
        }
    }

    /// Gives back a request that was taken and not sent.
    pub fn give_back(&mut self) {
        if let Some(limit) = &mut self.limit {
            limit.bucket.give_back();
        }
    }

    /// Forgets the statements of any other server. An incarnation that keeps its identity keeps its
    /// limit until it responds, as it may be in the same need.
    fn track(&mut self, server: &ServerIdentity) {
        if self.server.as_ref() == Some(server) {
            return;
        }
        let is_same_id = self
            .server
            .as_ref()
            .is_some_and(|held| held.id == server.id);
        let limit = self.limit.take().filter(|_| is_same_id);
        *self = NoticeTracker {
            server: Some(server.clone()),
            limit,
            ..NoticeTracker::default()
        };
    }

    fn set_limit(&mut self, rate: RequestRate, now: MonoTime) {
        match &mut self.limit {
            Some(limit) => {
                limit.bucket.set_rate(rate, now);
                limit.rate = rate;
                limit.at = now;
            }
            None => {
                self.limit = Some(NamedLimit {
                    rate,
                    at: now,
                    bucket: RateBucket::new(rate, now),
                });
            }
        }
    }

    fn rate(&self) -> Option<RequestRate> {
        Some(self.limit.as_ref()?.rate)
    }
}
