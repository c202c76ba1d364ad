//! Headers between daemons: the context that an entry sends with a request, and the outcome that
//! the gate returns with the response.

use agatehill_decide::{gate_selection::RouteKey, name::ServiceName, time::SPAN_MAX};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// Carries a [`HopContext`].
const HOP: HeaderName = HeaderName::from_static("agatehill-hop");
/// Carries a [`HopOutcome`].
const HOP_END: HeaderName = HeaderName::from_static("agatehill-hop-end");

/// What a gate needs to know about a request beyond its HTTP head.
#[derive(Clone, Debug, PartialEq)]
pub struct HopContext {
    /// The service that the request is for.
    pub service: ServiceName,
    /// The service on whose host the request originates.
    pub caller: ServiceName,
    /// The matched route.
    pub route: RouteKey,
    /// Rank of the request at the root of the call graph; 0 is the most important.
    pub rank: u32,
    /// Remaining time of the request.
    pub remaining: Duration,
    /// Longest time that it may wait for a slot.
    pub wait_max: Duration,
    /// Time at the gate from which the request counts as late for the route's limit.
    pub late_after: Duration,
    /// Whether a backend server sends it on behalf of a request that it runs.
    pub is_nested: bool,
    /// Probability, 0 to 1, that it is a retry or nested in one.
    pub retry_share: f64,
}

/// How a request ended at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HopOutcome {
    /// The response is the server's.
    Answered,
    /// It did not reach the server. It has not run and won't run.
    Refused,
    /// The server rejected it. It has not run and won't run.
    Shed,
    /// It may have run, and there is no complete response.
    Lost,
}

impl HopContext {
    /// Writes the context into `headers`.
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
            format_share(self.retry_share)
        );
        let value =
            HeaderValue::try_from(text).expect("names and numbers are valid in a header value");
        headers.insert(HOP, value);
    }

    /// Removes the context from `headers`; returns `None` if it is missing or malformed.
    pub fn take(headers: &mut HeaderMap) -> Option<HopContext> {
        let value = headers.remove(HOP)?;
        let mut fields = value.to_str().ok()?.split(' ');
        Some(HopContext {
            service: ServiceName::try_from(fields.next()?).ok()?,
            caller: ServiceName::try_from(fields.next()?).ok()?,
            route: RouteKey(u64::from_str_radix(fields.next()?, 16).ok()?),
            rank: fields.next()?.parse().ok()?,
            remaining: parse_millis(&mut fields)?,
            wait_max: parse_millis(&mut fields)?,
            late_after: parse_millis(&mut fields)?,
            is_nested: parse_flag(&mut fields)?,
            retry_share: parse_share(&mut fields)?,
        })
    }
}

impl HopOutcome {
    /// Returns the name that the header and log lines carry.
    pub fn as_str(self) -> &'static str {
        match self {
            HopOutcome::Answered => "answered",
            HopOutcome::Refused => "refused",
            HopOutcome::Shed => "shed",
            HopOutcome::Lost => "lost",
        }
    }

    /// Writes the outcome into `headers`.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(HOP_END, HeaderValue::from_static(self.as_str()));
    }

    /// Removes the outcome from `headers`; returns `None` if it is missing or unknown.
    pub fn take(headers: &mut HeaderMap) -> Option<HopOutcome> {
        let value = headers.remove(HOP_END)?;
        let outcomes = [
            HopOutcome::Answered,
            HopOutcome::Refused,
            HopOutcome::Shed,
            HopOutcome::Lost,
        ];
        outcomes
            .into_iter()
            .find(|outcome| value == outcome.as_str())
    }
}

fn parse_millis<'a>(fields: &mut impl Iterator<Item = &'a str>) -> Option<Duration> {
    let millis: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis(millis).min(SPAN_MAX))
}

/// Formats a probability. Certainty is written as a flag, which is what the first builds read.
fn format_share(share: f64) -> String {
    if share == 0.0 || share == 1.0 {
        return u8::from(share == 1.0).to_string();
    }
    format!("{share:.2}")
}

fn parse_share<'a>(fields: &mut impl Iterator<Item = &'a str>) -> Option<f64> {
    let share = fields.next()?.parse().ok()?;
    (0.0..=1.0).contains(&share).then_some(share)
}

fn parse_flag<'a>(fields: &mut impl Iterator<Item = &'a str>) -> Option<bool> {
    Some(fields.next()? == "1")
}
