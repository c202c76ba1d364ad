//! What an entry tells a gate about a request, and what the gate tells of its end.

use agatehill_decide::{gate_selection::RouteKey, name::ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// Carries a [`HopContext`].
const HOP: HeaderName = HeaderName::from_static("agatehill-hop");
/// Carries a [`HopOutcome`].
const HOP_END: HeaderName = HeaderName::from_static("agatehill-hop-end");

/// What an entry tells a gate about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HopContext {
    /// The service that is to run it.
    pub service: ServiceName,
    /// The service on whose host the request began.
    pub caller: ServiceName,
    /// The route.
    pub route: RouteKey,
    /// Rank of the request at the root; 0 is the most important.
    pub rank: u32,
    /// Time that is left for it.
    pub remaining: Duration,
    /// Longest useful wait for a slot.
    pub wait_max: Duration,
    /// Time from which it counts as late.
    pub late_after: Duration,
    /// Whether a backend server makes it for a request that it runs.
    pub is_nested: bool,
    /// Whether it is a repeat, or a call of one.
    pub is_retry: bool,
}

/// How a request ended at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HopOutcome {
    /// The answer is the server's.
    Answered,
    /// It has not run and never will; it has not reached the server.
    Refused,
    /// It has not run and never will, as the server says.
    Shed,
    /// It may have run, and there is no whole answer.
    Lost,
}

impl HopContext {
    /// Writes the head into `headers`.
    pub fn write(&self, headers: &mut HeaderMap) {
        let text = format!(
            "{} {} {:x} {} {} {} {} {} {}",
            self.service,
            self.caller,
            self.route.0,
            self.rank,
            self.remaining.as_millis(),
            self.wait_max.as_millis(),
            self.late_after.as_millis(),
            u8::from(self.is_nested),
            u8::from(self.is_retry)
        );
        let value = HeaderValue::try_from(text).expect("names and numbers are header text");
        headers.insert(HOP, value);
    }

    /// Takes the head out of `headers`; `None` if there is none that can be read.
    pub fn take(headers: &mut HeaderMap) -> Option<HopContext> {
        let value = headers.remove(HOP)?;
        let mut words = value.to_str().ok()?.split(' ');
        Some(HopContext {
            service: ServiceName::try_from(words.next()?).ok()?,
            caller: ServiceName::try_from(words.next()?).ok()?,
            route: RouteKey(u64::from_str_radix(words.next()?, 16).ok()?),
            rank: words.next()?.parse().ok()?,
            remaining: take_millis(&mut words)?,
            wait_max: take_millis(&mut words)?,
            late_after: take_millis(&mut words)?,
            is_nested: take_flag(&mut words)?,
            is_retry: take_flag(&mut words)?,
        })
    }
}

impl HopOutcome {
    /// Returns the end as a word, for the header and for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            HopOutcome::Answered => "answered",
            HopOutcome::Refused => "refused",
            HopOutcome::Shed => "shed",
            HopOutcome::Lost => "lost",
        }
    }

    /// Writes the end into `headers`.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(HOP_END, HeaderValue::from_static(self.as_str()));
    }

    /// Takes the end out of `headers`; `None` if there is none that can be read.
    pub fn take(headers: &mut HeaderMap) -> Option<HopOutcome> {
        let value = headers.remove(HOP_END)?;
        let ends = [
            HopOutcome::Answered,
            HopOutcome::Refused,
            HopOutcome::Shed,
            HopOutcome::Lost,
        ];
        ends.into_iter().find(|end| value == end.as_str())
    }
}

fn take_millis<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<Duration> {
    Some(Duration::from_millis(words.next()?.parse().ok()?))
}

fn take_flag<'a>(words: &mut impl Iterator<Item = &'a str>) -> Option<bool> {
    Some(words.next()? == "1")
}
