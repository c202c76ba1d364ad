//! Report of a load: latencies and counts.

use super::call::{CallOutcome, CallRecord, CallRoute};
use agatehill_decide::contract::RequestClass;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fmt::{self, Write},
    time::Duration,
};

/// Largest latency that a histogram records; longer ones count as this, in microseconds.
const LATENCY_MICROS_MAX: u64 = 120_000_000;

/// Significant decimal digits of a latency in a histogram.
const LATENCY_DIGITS: u8 = 3;

/// Collects the records of a load and computes the figures.
pub(crate) struct LoadReport {
    duration: Duration,
    groups: BTreeMap<(CallRoute, RequestClass), CallGroup>,
    routes: BTreeMap<CallRoute, Histogram<u64>>,
}

struct CallGroup {
    sent: u64,
    attempts: u64,
    outcomes: BTreeMap<CallOutcome, u64>,
    last_responses: BTreeMap<String, u64>,
    latencies: Histogram<u64>,
}

/// Figures of a load, printed as a table or as JSON.
#[derive(Debug, Serialize)]
pub(crate) struct ReportSummary {
    groups: Vec<GroupSummary>,
    added: Option<AddedLatency>,
}

/// Figures of the calls of one route and class; latencies cover complete responses only.
#[derive(Debug, Serialize)]
struct GroupSummary {
    route: CallRoute,
    class: RequestClass,
    sent: u64,
    whole: u64,
    whole_per_second: f64,
    attempts_per_call: f64,
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    max_ms: f64,
    ends: BTreeMap<CallOutcome, u64>,
    last_answers: BTreeMap<String, u64>,
}

/// Latency through a daemon minus latency of direct calls, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
struct AddedLatency {
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
}

impl LoadReport {
    /// Returns an empty report of calls that start within `duration`.
    pub(crate) fn open(duration: Duration) -> LoadReport {
        LoadReport {
            duration,
            groups: BTreeMap::new(),
            routes: BTreeMap::new(),
        }
    }

    /// Adds the record of a call.
    pub(crate) fn add(&mut self, record: CallRecord) {
        let group = self
            .groups
            .entry((record.route, record.class))
            .or_insert_with(CallGroup::new);
        group.sent += 1;
        group.attempts += u64::from(record.attempts);
        *group.outcomes.entry(record.outcome).or_default() += 1;
        *group
            .last_responses
            .entry(record.last_response)
            .or_default() += 1;
        if record.outcome == CallOutcome::Whole {
            let micros = record.latency.as_micros() as u64;
            group.latencies.saturating_record(micros);
            let route = self.routes.entry(record.route);
            route.or_insert_with(histogram).saturating_record(micros);
        }
    }

    /// Computes the figures of all records so far.
    pub(crate) fn summary(&self) -> ReportSummary {
        let groups = self.groups.iter();
        ReportSummary {
            groups: groups
                .map(|(&(route, class), group)| group.summary(route, class, self.duration))
                .collect(),
            added: self.added_latency(),
        }
    }

    fn added_latency(&self) -> Option<AddedLatency> {
        let through = self.routes.get(&CallRoute::Through)?;
        let direct = self.routes.get(&CallRoute::Direct)?;
        let added = |q| millis(through, q) - millis(direct, q);
        Some(AddedLatency {
            p50_ms: added(0.5),
            p90_ms: added(0.9),
            p99_ms: added(0.99),
        })
    }
}

impl CallGroup {
    fn new() -> CallGroup {
        CallGroup {
            sent: 0,
            attempts: 0,
            outcomes: BTreeMap::new(),
            last_responses: BTreeMap::new(),
            latencies: histogram(),
        }
    }

    fn summary(&self, route: CallRoute, class: RequestClass, duration: Duration) -> GroupSummary {
        let whole = self.outcomes.get(&CallOutcome::Whole).copied().unwrap_or(0);
        GroupSummary {
            route,
            class,
            sent: self.sent,
            whole,
            whole_per_second: whole as f64 / duration.as_secs_f64(),
            attempts_per_call: self.attempts as f64 / self.sent as f64,
            p50_ms: millis(&self.latencies, 0.5),
            p90_ms: millis(&self.latencies, 0.9),
            p99_ms: millis(&self.latencies, 0.99),
            p999_ms: millis(&self.latencies, 0.999),
            max_ms: self.latencies.max() as f64 / 1e3,
            ends: self.outcomes.clone(),
            last_answers: self.last_responses.clone(),
        }
    }
}

impl fmt::Display for ReportSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:8} {:10} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}",
            "route",
            "class",
            "sent",
            "whole",
            "whole/s",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms",
            "attempts"
        )?;
        for group in &self.groups {
            writeln!(f, "{group}")?;
        }
        for group in &self.groups {
            writeln!(
                f,
                "{} {}:{}",
                serialized_name(&group.route),
                serialized_name(&group.class),
                outcome_counts(group)
            )?;
        }
        if let Some(added) = self.added {
            writeln!(
                f,
                "added: p50 {:.3} ms, p90 {:.3} ms, p99 {:.3} ms",
                added.p50_ms, added.p90_ms, added.p99_ms
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for GroupSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:8} {:10} {:>8} {:>8} {:>9.1} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>8.3} {:>9.3}",
            serialized_name(&self.route),
            serialized_name(&self.class),
            self.sent,
            self.whole,
            self.whole_per_second,
            self.p50_ms,
            self.p90_ms,
            self.p99_ms,
            self.p999_ms,
            self.max_ms,
            self.attempts_per_call
        )
    }
}

fn outcome_counts(group: &GroupSummary) -> String {
    let mut text = String::new();
    for (outcome, count) in &group.ends {
        let _ = write!(text, " {}={count}", serialized_name(outcome));
    }
    for (response, count) in &group.last_answers {
        let _ = write!(text, " [{response}]={count}");
    }
    text
}

/// Returns the serialized name of an enum value without fields.
fn serialized_name(value: &impl Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MICROS_MAX, LATENCY_DIGITS)
        .expect("the constants are valid histogram bounds")
}

fn millis(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1e3
}
