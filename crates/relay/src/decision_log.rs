//! Log lines and metrics of the decisions that entries and gates make on requests.
//!
//! Each decision is one log line. Lines are rate limited; a line carries the number of lines
//! suppressed since the one before. Metrics cover every decision.

use crate::{
    error::RelayError,
    hop::{HopContext, HopOutcome},
};
use agatehill_decide::{
    call_parent::ParentEvidence,
    log_rate_limit::{LogDecision, LogRateLimiter},
    name::{AccountName, ServiceName},
    quarantine::RequestFingerprint,
    time::MonoTime,
};
use http::{HeaderMap, HeaderName};
use metrics::{counter, histogram};
use parking_lot::Mutex;
use std::{net::SocketAddr, time::Duration};

/// Log lines per second for answered requests.
const ANSWERED_LINES_PER_SECOND: f64 = 40.0;
/// Log lines per second for requests that no server answered in time.
const FAILED_LINES_PER_SECOND: f64 = 60.0;
/// Burst that the rate limits allow, in seconds of their rate.
const BURST_SECONDS: f64 = 2.0;

/// The end of a request at an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryDecision<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// The route, if one matched.
    pub route: Option<&'a str>,
    /// Version of the configuration that the request was routed by, 0 without one.
    pub version: u64,
    /// The service that was selected, if a route matched.
    pub service: Option<&'a ServiceName>,
    /// Identifies the content of the request, if any request is suspected of crashing servers.
    pub content: Option<RequestFingerprint>,
    /// What shows that it is a call of a running request; `None` for a caller's own request.
    pub parent: Option<ParentEvidence>,
    /// Rank of the request at the root of the call graph, if a route matched; 0 is the most important.
    pub rank: Option<u32>,
    /// The client account whose key it carries.
    pub account: Option<&'a AccountName>,
    /// Label of the account's counters.
    pub account_label: Option<&'a str>,
    /// Target latency of the route, if one matched.
    pub target_latency: Option<Duration>,
    /// Gates that the request was sent to, in order.
    pub gates_tried: &'a [SocketAddr],
    /// Number of backend servers that the request reached.
    pub servers_reached: u32,
    /// `answered`, `caller-gone` or the reason of the error.
    pub outcome: &'a str,
    /// HTTP status of the response, 0 without one.
    pub status: u16,
    /// Time allowed for the request.
    pub time_limit: Duration,
    /// Time from the arrival of the request head to the end.
    pub elapsed: Duration,
}

/// The end of a request at a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateDecision<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// Identifies the content of the request.
    pub content: RequestFingerprint,
    /// The context that the entry sent.
    pub hop: &'a HopContext,
    /// How the request ended.
    pub outcome: HopOutcome,
    /// Reason for the outcome.
    pub reason: &'static str,
    /// Identity of the backend server, if one accepted requests.
    pub server: Option<&'a str>,
    /// Running and queued requests on arrival.
    pub load: (u32, usize),
    /// Time that the request waited for a slot.
    pub waited: Duration,
    /// Time from arrival to the end.
    pub elapsed: Duration,
}

impl EntryDecision<'_> {
    /// Returns whether the request ended within the target latency of its route.
    fn is_in_target(&self) -> bool {
        let target = self.target_latency;
        target.is_some_and(|target| self.elapsed <= target)
    }
}

/// Writes the log lines and records the metrics.
#[derive(Debug)]
pub struct DecisionLog {
    answered: Mutex<LogRateLimiter>,
    failed: Mutex<LogRateLimiter>,
}

impl DecisionLog {
    /// Returns a log whose rate limits allow a full burst.
    pub fn open() -> DecisionLog {
        let limiter = |lines: f64| Mutex::new(LogRateLimiter::new(lines, lines * BURST_SECONDS));
        DecisionLog {
            answered: limiter(ANSWERED_LINES_PER_SECOND),
            failed: limiter(FAILED_LINES_PER_SECOND),
        }
    }

    /// Records the end of a request at an entry.
    pub fn record_entry(&self, decision: &EntryDecision<'_>, now: MonoTime) {
        counter!(
            "agatehill_entry_requests",
            "outcome" => decision.outcome.to_owned(),
            "rank" => rank_label(decision.rank),
            "call" => bool_label(decision.parent.is_some()),
            "in_target" => bool_label(decision.is_in_target())
        )
        .increment(1);
        if let Some(evidence) = decision.parent {
            counter!("agatehill_entry_calls", "parent" => evidence.as_str()).increment(1);
        }
        if let Some(account) = decision.account_label {
            counter!(
                "agatehill_account_requests",
                "account" => account.to_owned(),
                "outcome" => decision.outcome.to_owned()
            )
            .increment(1);
        }
        histogram!("agatehill_entry_seconds").record(decision.elapsed.as_secs_f64());
        if decision.outcome == RelayError::BUSY {
            histogram!("agatehill_entry_refused_seconds").record(decision.elapsed.as_secs_f64());
        }
        let limiter = match decision.outcome {
            "answered" => &self.answered,
            _ => &self.failed,
        };
        let Some(left_out) = check(limiter, now) else {
            return;
        };
        let gates: Vec<_> = decision
            .gates_tried
            .iter()
            .map(ToString::to_string)
            .collect();
        spdlog::info!("request", kv: {
            id = decision.id,
            route = decision.route.unwrap_or(""),
            version = decision.version,
            service = decision.service.map_or("", ServiceName::as_str),
            content = decision.content.map(|content| content.to_string()).unwrap_or_default(),
            parent = decision.parent.map_or("", ParentEvidence::as_str),
            rank = rank_label(decision.rank),
            account = decision.account.map_or("", AccountName::as_str),
            target_ms = decision.target_latency.map_or(0, millis),
            gates = gates.join(" "),
            reached = decision.servers_reached,
            outcome = decision.outcome,
            status = decision.status,
            patience_ms = millis(decision.time_limit),
            took_ms = millis(decision.elapsed),
            left_out
        });
    }

    /// Records the end of a request at a gate.
    pub fn record_gate(&self, decision: &GateDecision<'_>, now: MonoTime) {
        counter!(
            "agatehill_gate_requests",
            "reason" => decision.reason,
            "rank" => rank_label(Some(decision.hop.rank)),
            "call" => bool_label(decision.hop.is_nested)
        )
        .increment(1);
        histogram!("agatehill_gate_wait_seconds").record(decision.waited.as_secs_f64());
        histogram!("agatehill_gate_seconds").record(decision.elapsed.as_secs_f64());
        let limiter = match decision.outcome {
            HopOutcome::Answered => &self.answered,
            _ => &self.failed,
        };
        let Some(left_out) = check(limiter, now) else {
            return;
        };
        spdlog::info!("gate", kv: {
            id = decision.id,
            content = decision.content.to_string(),
            service = decision.hop.service.as_str(),
            caller = decision.hop.caller.as_str(),
            rank = decision.hop.rank,
            is_call = decision.hop.is_nested,
            is_repeat = decision.hop.retry_share >= 0.5,
            repeat_share = decision.hop.retry_share,
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

/// Returns the request id in `headers`, or an empty string if there is none or it isn't text.
pub fn request_id<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Returns the number of lines suppressed since the last one, or `None` if this one is suppressed.
fn check(limiter: &Mutex<LogRateLimiter>, now: MonoTime) -> Option<u64> {
    let mut limiter = limiter.lock();
    match limiter.check(now) {
        LogDecision::Write { suppressed } => Some(suppressed),
        LogDecision::Suppress => {
            counter!("agatehill_log_lines_left_out").increment(1);
            None
        }
    }
}

/// Labels of the ranks in common use: three ranks of accounts with four of routes each.
const RANK_LABELS: [&str; 12] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11"];

/// Returns the label of a rank, with one label for all beyond the ranks in common use, so that the number
/// of time series stays bounded.
fn rank_label(rank: Option<u32>) -> &'static str {
    let Some(rank) = rank else {
        return "";
    };
    let label = usize::try_from(rank)
        .ok()
        .and_then(|rank| RANK_LABELS.get(rank));
    label.copied().unwrap_or("12+")
}

fn bool_label(value: bool) -> &'static str {
    match value {
        true => "true",
        false => "false",
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
