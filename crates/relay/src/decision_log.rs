//! Log lines and metrics of what is decided on requests.
//!
//! One line a decision, bounded a second; what was left out is counted in the next line that is
//! written. Counters and histograms count every decision.

use crate::hop::{HopContext, HopOutcome};
use agatehill_decide::{
    log_rate_limit::{LogDecision, LogRateLimiter},
    name::ServiceName,
    time::MonoTime,
};
use http::{HeaderMap, HeaderName};
use metrics::{counter, histogram};
use std::{net::SocketAddr, sync::Mutex, time::Duration};

/// Lines a second on answered requests.
const ANSWERED_LINES: f64 = 40.0;
/// Lines a second on requests that were not answered by a server, or late.
const FAILED_LINES: f64 = 60.0;
/// Lines of each kind that may be saved up, in seconds of them.
const BURST_SECONDS: f64 = 2.0;

/// How an entry ended a request.
#[derive(Clone, Copy, Debug)]
pub struct EntryDecision<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// The route, if one matched.
    pub route: Option<&'a str>,
    /// The version of the configuration that the route is from, 0 without any.
    pub version: u64,
    /// The service that it was for.
    pub service: Option<&'a ServiceName>,
    /// The gates that it was offered to, in order.
    pub gates_tried: &'a [SocketAddr],
    /// Backend servers that it reached.
    pub servers_reached: u32,
    /// `answered` or the reason of the refusal.
    pub outcome: &'a str,
    /// Status of the answer.
    pub status: u16,
    /// Time that the caller had.
    pub time_limit: Duration,
    /// Time from the head of the request to its end here.
    pub elapsed: Duration,
}

/// How a gate ended a request.
#[derive(Clone, Copy, Debug)]
pub struct GateDecision<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// What the entry told.
    pub hop: &'a HopContext,
    /// The end.
    pub outcome: HopOutcome,
    /// Why.
    pub reason: &'static str,
    /// Identity of the server, if there was one.
    pub server: Option<&'a str>,
    /// Requests that ran and that waited when it was decided.
    pub load: (u32, usize),
    /// Time that it waited for a slot.
    pub waited: Duration,
    /// Time from its arrival to its end here.
    pub elapsed: Duration,
}

/// Writes the lines and counts.
#[derive(Debug)]
pub struct DecisionLog {
    answered: Mutex<LogRateLimiter>,
    failed: Mutex<LogRateLimiter>,
}

impl DecisionLog {
    /// Opens a log with full budgets.
    pub fn open() -> DecisionLog {
        let budget = |lines: f64| Mutex::new(LogRateLimiter::new(lines, lines * BURST_SECONDS));
        DecisionLog {
            answered: budget(ANSWERED_LINES),
            failed: budget(FAILED_LINES),
        }
    }

    /// Takes note of a request's end at the entry.
    pub fn record_entry(&self, decision: &EntryDecision<'_>, now: MonoTime) {
        counter!("agatehill_entry_requests", "outcome" => decision.outcome.to_owned()).increment(1);
        histogram!("agatehill_entry_seconds").record(decision.elapsed.as_secs_f64());
        let budget = match decision.outcome {
            "answered" => &self.answered,
            _ => &self.failed,
        };
        let Some(left_out) = ask(budget, now) else {
            return;
        };
        let tried: Vec<_> = decision
            .gates_tried
            .iter()
            .map(ToString::to_string)
            .collect();
        spdlog::info!("request", kv: {
            id = decision.id,
            route = decision.route.unwrap_or(""),
            version = decision.version,
            service = decision.service.map_or("", ServiceName::as_str),
            gates = tried.join(" "),
            reached = decision.servers_reached,
            outcome = decision.outcome,
            status = decision.status,
            patience_ms = millis(decision.time_limit),
            took_ms = millis(decision.elapsed),
            left_out
        });
    }

    /// Takes note of a request's end at the gate.
    pub fn record_gate(&self, decision: &GateDecision<'_>, now: MonoTime) {
        counter!("agatehill_gate_requests", "reason" => decision.reason).increment(1);
        histogram!("agatehill_gate_wait_seconds").record(decision.waited.as_secs_f64());
        histogram!("agatehill_gate_seconds").record(decision.elapsed.as_secs_f64());
        let budget = match decision.outcome {
            HopOutcome::Answered => &self.answered,
            _ => &self.failed,
        };
        let Some(left_out) = ask(budget, now) else {
            return;
        };
        spdlog::info!("gate", kv: {
            id = decision.id,
            service = decision.hop.service.as_str(),
            caller = decision.hop.caller.as_str(),
            rank = decision.hop.rank,
            is_call = decision.hop.is_nested,
            is_repeat = decision.hop.is_retry,
            server = decision.server.unwrap_or(""),
            end = decision.outcome.as_str(),
            reason = decision.reason,
            running = decision.load.0,
            queued = decision.load.1 as u64,
            left_ms = millis(decision.hop.remaining),
            waited_ms = millis(decision.waited),
            took_ms = millis(decision.elapsed),
            left_out
        });
    }
}

/// Returns the request id in `headers`, empty if there is none that is text.
pub fn request_id<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Returns the number of lines left out before this one, or `None` if it is left out too.
fn ask(budget: &Mutex<LogRateLimiter>, now: MonoTime) -> Option<u64> {
    let mut budget = budget.lock().expect("no holder of a budget panics");
    match budget.check(now) {
        LogDecision::Write { suppressed } => Some(suppressed),
        LogDecision::Suppress => {
            counter!("agatehill_log_lines_left_out").increment(1);
            None
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
