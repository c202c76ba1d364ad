//! Requests between daemons: those that this entry sends to the gates of others, and those that theirs send here.

use super::RequestEntry;
use crate::{
    body::{BodyError, BodyLimits, body_usage, read_body},
    call::BUFFERED_REQUEST_MAX,
    error::RelayError,
    gate::{GateResult, NO_DESCRIPTOR},
    held_body::{BodyHold, HeldEnd},
    hop::{HopContext, HopOutcome},
    notice,
    pool::{PooledResponse, SendError},
    quota::QUOTA,
};
use agatehill_decide::{
    latency_budget::RETRY_AFTER_MIN, quarantine::CrashReport, time::span_from_seconds,
};
use agatehill_peer::{
    body::CallBody,
    crash_report::{CRASH_REPORT_HEADER, crash_report_value, crash_reports},
};
use gotham::helpers::http::Body;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response,
    header::{EXPECT, RETRY_AFTER, TRANSFER_ENCODING},
};
use std::{net::SocketAddr, time::Duration};

/// In the response of a gate that reads a request's body only when it begins to handle it.
const HOLDS: HeaderName = HeaderName::from_static("agatehill-holds");

/// How a request whose body was held back ended.
type HeldResponse = HeldEnd<Result<PooledResponse, SendError>>;

impl RequestEntry {
    /// Handles a request that the entry of another daemon forwards.
    pub async fn handle_forwarded(&self, req: Request<Body>) -> Response<CallBody> {
        let (mut head, body) = req.into_parts();
        // They concern this connection only.
        head.headers.remove(EXPECT);
        head.headers.remove(TRANSFER_ENCODING);
        if head.headers.contains_key(QUOTA) {
            return self.quotas.handle(&head.headers, &self.table).await;
        }
        let Some(hop) = HopContext::take(&mut head.headers) else {
            return RelayError::BadRequest.response();
        };
        let limits = BodyLimits {
            buffered_max: BUFFERED_REQUEST_MAX,
            size_max: u64::MAX,
            ends_at: None,
        };
        let usage = body_usage(&body, &self.options.daemons);
        let reading = read_body(body, limits, usage.as_ref(), ());
        let body = match tokio::time::timeout(hop.remaining, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::NoRoom)) => {
                let retry_after = RETRY_AFTER_MIN;
                return refuse_forwarded(RelayError::NoRoom { retry_after });
            }
            Ok(Err(_)) => return RelayError::BadRequest.response(),
            Err(_) => return refuse_forwarded(RelayError::BodyTimeout),
        };
        self.learn_strikes(&mut head.headers);
        let server = self.options.gate.server();
        let known = notice::take(&mut head.headers);
        if let Some(notice) = &known {
            server.adopt_notice(notice);
        }
        let req = Request::from_parts(head, body);
        let result = self.options.gate.run(&hop, req).await;
        let mut response = result.response.unwrap_or_else(|| match result.outcome {
            HopOutcome::Lost => RelayError::Lost.response(),
            _ => {
                let retry_after = result.retry_after;
                RelayError::Unavailable { retry_after }.response()
            }
        });
        let headers = response.headers_mut();
        headers.remove(notice::NOTICE);
        let notice = server.notice();
        if let Some(notice) = notice.filter(|n| known.is_some() || n.is_restrictive()) {
            notice::write(&notice, headers);
        }
        result.outcome.write(headers);
        headers.insert(HOLDS, HeaderValue::from_static("1"));
        if !result.strikes.is_empty() {
            headers.insert(CRASH_REPORT_HEADER, crash_report_value(&result.strikes));
        }
        response
    }

    /// Removes the strikes from `headers` and merges them.
    fn learn_strikes(&self, headers: &mut HeaderMap) {
        if !headers.contains_key(CRASH_REPORT_HEADER) {
            return;
        }
        match crash_reports(headers) {
            Ok(reports) => self.gate().quarantine().learn(&reports),
            Err(error) => spdlog::warn!("cannot decode crash reports", kv: {
                error = error.to_string()
            }),
        }
        headers.remove(CRASH_REPORT_HEADER);
    }

    /// Sends a request to the gate of another daemon. Unless it `is_idempotent`, its body is held back until
    /// the gate reads it.
    pub(crate) async fn send(
        &self,
        gate: SocketAddr,
        hop: &HopContext,
        is_idempotent: bool,
        strikes: &[CrashReport],
        mut req: Request<CallBody>,
    ) -> GateResult {
        hop.write(req.headers_mut());
        if !strikes.is_empty() {
            let value = crash_report_value(strikes);
            req.headers_mut().insert(CRASH_REPORT_HEADER, value);
        }
        if let Some(known) = self.lock().notices.get(gate) {
            notice::write(known, req.headers_mut());
        }
        let sent_at = self.options.clock.now();
        let is_held = !is_idempotent && self.lock().holding_gates.contains(&gate);
        let end = match is_held {
            true => self.send_held(gate, req).await,
            false => HeldEnd::Sent(self.pool.send(gate, req).await),
        };
        let response = match end {
            HeldEnd::Sent(Ok(response)) => response,
            HeldEnd::Sent(Err(SendError::NoDescriptor)) => {
                return GateResult::refused(NO_DESCRIPTOR, RETRY_AFTER_MIN);
            }
            HeldEnd::Sent(Err(SendError::NotSent)) => {
                return self.refuse_unread(gate, "gate-unreachable");
            }
            HeldEnd::Unread => return self.refuse_unread(gate, "gate-silent"),
            HeldEnd::Sent(Err(SendError::Lost)) => return GateResult::lost("gate-lost"),
        };
        let Ok((mut head, body)) = response.read((), None).await else {
            return GateResult::lost("answer-broken");
        };
        self.options.names.strip_hop_by_hop(&mut head.headers);
        if head.headers.remove(HOLDS).is_some() {
            self.lock().holding_gates.insert(gate);
        }
        let outcome = HopOutcome::take(&mut head.headers).unwrap_or(HopOutcome::Lost);
        if let Some(notice) = notice::take(&mut head.headers) {
            let now = self.options.clock.now();
            self.lock().notices.record(gate, &notice, sent_at, now);
        }
        if outcome != HopOutcome::Answered {
            self.learn_strikes(&mut head.headers);
            let retry_after = head.headers.get(RETRY_AFTER);
            let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
            return GateResult {
                outcome,
                reason: outcome.as_str(),
                response: None,
                retry_after: span_from_seconds(seconds.unwrap_or(0.0)).unwrap_or_default(),
                strikes: Vec::new(),
            };
        }
        GateResult {
            outcome,
            reason: outcome.as_str(),
            response: Some(Response::from_parts(head, body)),
            retry_after: Duration::ZERO,
            strikes: Vec::new(),
        }
    }

    /// Sends a request whose body is held back until `gate` reads it; again over a new connection if one that was open
    /// before is silent.
    async fn send_held(&self, gate: SocketAddr, mut req: Request<CallBody>) -> HeldResponse {
        let is_reused = self.pool.has_idle(gate);
        let copy = if is_reused { try_clone(&req) } else { None };
        let hold = BodyHold::begin(&mut req);
        let end = hold.watch(self.pool.send(gate, req)).await;
        let (HeldEnd::Unread, Some(mut copy)) = (&end, copy) else {
            return end;
        };
        self.pool.close_idle(gate);
        let hold = BodyHold::begin(&mut copy);
        let end = hold.watch(self.pool.send(gate, copy)).await;
        if matches!(end, HeldEnd::Sent(Ok(_))) {
            // The gate reads, the connection was silent: so may be those to other gates.
            metrics::counter!("agatehill_relay_connections_silent").increment(1);
            spdlog::warn!("connection silent", kv: { gate = gate.to_string() });
            self.pool.close_all_idle();
        }
        end
    }

    /// Returns the result of a request that `gate` has not read, and avoids the gate for a while.
    fn refuse_unread(&self, gate: SocketAddr, reason: &'static str) -> GateResult {
        let now = self.options.clock.now();
        let mut state = self.lock();
        state.selector.record_failure(gate, now);
        // Its next process may be of an earlier build.
        state.holding_gates.remove(&gate);
        drop(state);
        self.pool.close_idle(gate);
        GateResult::refused(reason, RETRY_AFTER_MIN)
    }
}

/// Returns the response to a forwarded request whose body doesn't arrive or finds no memory; it has not run.
fn refuse_forwarded(error: RelayError) -> Response<CallBody> {
    let mut response = error.response();
    HopOutcome::Refused.write(response.headers_mut());
    response
}

/// Returns a copy of `req`; `None` if its body is streamed.
fn try_clone(req: &Request<CallBody>) -> Option<Request<CallBody>> {
    let mut copy = Request::new(req.body().try_clone()?);
    *copy.method_mut() = req.method().clone();
    *copy.uri_mut() = req.uri().clone();
    *copy.version_mut() = req.version();
    *copy.headers_mut() = req.headers().clone();
    Some(copy)
}
