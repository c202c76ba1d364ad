//! The exchange of one request and its response with the backend server.

use super::{GateResult, NO_DESCRIPTOR, NO_SERVER_RETRY_AFTER, RequestGate};
use crate::{
    headers::format_millis,
    hop::{HopContext, HopOutcome},
    host_server::{ServerPermit, ServerSlot, SlotOutcome},
    notice,
    pool::{PooledResponse, SendError},
};
use agatehill_backend::quarantine::{CrashReportQueue, QuarantineGuard};
use agatehill_decide::{
    call_parent::ParentRequest, server_tracker::ServerHeartbeat, time::MonoTime,
};
use agatehill_peer::{body::CallBody, timed_body::BODY_GRACE};
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_ENCODING, response::Parts};
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// A request that the server runs.
pub(super) struct GateRun {
    pub(super) permit: ServerPermit,
    pub(super) slot: ServerSlot,
    pub(super) quarantine: QuarantineGuard<CrashReportQueue>,
}

impl RequestGate {
    /// Sends the request to the server and reads the response.
    pub(super) async fn send(
        &self,
        hop: &HopContext,
        heartbeat: &ServerHeartbeat,
        mut req: Request<CallBody>,
        mut run: GateRun,
        remaining: Duration,
    ) -> GateResult {
        let id = req.headers().get(&self.names.request_id).cloned();
        self.set_headers(hop, heartbeat, &mut req, remaining);
        let end = self.clock.now() + remaining;
        let parent = ParentRequest {
            route: hop.route,
            rank: hop.rank,
            retry_share: hop.retry_share,
        };
        run.slot.begin_run(end, parent);
        run.quarantine.record_sent();
        run.permit.spend();
        let sent_at = self.clock.now();
        let sent = timeout(remaining, self.pool.send(heartbeat.address, req));
        let response = match sent.await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NoDescriptor)) => {
                run.slot.set_outcome(SlotOutcome::Failed);
                run.quarantine.record_inconclusive();
                return GateResult::refused(NO_DESCRIPTOR, NO_SERVER_RETRY_AFTER);
            }
            Ok(Err(SendError::NotSent)) => {
                run.slot.set_outcome(SlotOutcome::Failed);
                self.server.mark_unreachable(&heartbeat.id);
                // The crash, if it was one, concerns the requests that ran before.
                tokio::spawn(async move { run.quarantine.record_unsent().await });
                return GateResult::refused("server-down", NO_SERVER_RETRY_AFTER);
            }
            Ok(Err(SendError::Lost)) => {
                run.slot.set_outcome(SlotOutcome::Failed);
                return self
                    .end_lost(heartbeat, run.quarantine, "connection-lost")
                    .await;
            }
            Err(_) => return GateResult::lost("no-answer-in-time"),
        };
        let outcome = self.classify(&response.head, id.as_ref());
        self.record_notice(heartbeat, &response.head, outcome, sent_at);
        match outcome {
            HopOutcome::Answered => {}
            // The response may belong to another request. Dropping it closes the connection, so
            // that no later bytes are taken for another response.
            HopOutcome::Lost => {
                run.quarantine.record_inconclusive();
                return GateResult::lost("answer-foreign");
            }
            HopOutcome::Shed | HopOutcome::Refused => {
                run.slot.set_outcome(SlotOutcome::Failed);
                match response.head.status {
                    // Another server, or another incarnation of this one, has responded.
                    StatusCode::MISDIRECTED_REQUEST => run.quarantine.record_inconclusive(),
                    _ => run.quarantine.record_rejection(),
                }
                // Without its request's id, a copy of this response that comes later could be taken for the
                // response to the next request. Dropping it closes the connection.
                if response.head.headers.contains_key(&self.names.request_id) {
                    // Reads the body, so that the connection can be reused.
                    let _ = timeout(remaining, response.read((), None)).await;
                }
                return GateResult {
                    outcome: HopOutcome::Shed,
                    reason: "server-shed",
                    response: None,
                    retry_after: NO_SERVER_RETRY_AFTER,
                    strikes: Vec::new(),
                };
            }
        }
        run.slot
            .set_outcome(match response.head.status.is_server_error() {
                true => SlotOutcome::Failed,
                false => SlotOutcome::Succeeded,
            });
        self.read_response(heartbeat, response, run, end).await
    }

    async fn read_response(
        &self,
        heartbeat: &ServerHeartbeat,
        response: PooledResponse,
        run: GateRun,
        end: MonoTime,
    ) -> GateResult {
        let GateRun {
            slot,
            mut quarantine,
            ..
        } = run;
        let remaining = end.since(self.clock.now());
        // The server was told this deadline; what it still sends afterwards need not be an answer.
        let ends_at = Instant::now() + remaining + BODY_GRACE;
        let read = response.read(slot, Some(ends_at));
        let (mut head, body) = match timeout(remaining, read).await {
            Ok(Ok(read)) => read,
            Ok(Err(_)) => return self.end_lost(heartbeat, quarantine, "answer-broken").await,
            Err(_) => return GateResult::lost("answer-broken"),
        };
        // Of a streamed body the first part has arrived: the request has not crashed the server.
        quarantine.record_answer();
        self.names.strip_hop_by_hop(&mut head.headers);
        GateResult {
            reason: "answered",
            outcome: HopOutcome::Answered,
            response: Some(Response::from_parts(head, body)),
            retry_after: Duration::ZERO,
            strikes: Vec::new(),
        }
    }

    /// Returns the result of a run whose connection was lost, once it is known whether the server has
    /// crashed.
    async fn end_lost(
        &self,
        heartbeat: &ServerHeartbeat,
        mut quarantine: QuarantineGuard<CrashReportQueue>,
        reason: &'static str,
    ) -> GateResult {
        if !quarantine.record_lost().await {
            return GateResult::lost(reason);
        }
        self.server.mark_unreachable(&heartbeat.id);
        GateResult::lost("server-crashed")
    }

    fn set_headers(
        &self,
        hop: &HopContext,
        heartbeat: &ServerHeartbeat,
        req: &mut Request<CallBody>,
        remaining: Duration,
    ) {
        let headers = req.headers_mut();
        let caller = HeaderValue::try_from(hop.caller.as_str())
            .expect("service names are valid header values");
        headers.insert(self.names.caller_service.clone(), caller);
        headers.insert(self.names.deadline_ms.clone(), format_millis(remaining));
        match HeaderValue::try_from(heartbeat.id.as_str()) {
            Ok(id) => {
                headers.insert(self.names.expected_server.clone(), id);
            }
            Err(_) => {
                headers.remove(&self.names.expected_server);
            }
        }
    }

    /// Records what the server says about itself. Nothing is known from the response of another server
    /// or to another request.
    fn record_notice(
        &self,
        heartbeat: &ServerHeartbeat,
        head: &Parts,
        outcome: HopOutcome,
        sent_at: MonoTime,
    ) {
        if outcome == HopOutcome::Lost || head.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if let Some(notice) = notice::read_response(&head.headers, &self.names, heartbeat) {
            self.server.record_notice(&notice, sent_at);
        }
    }

    /// Returns the outcome of the request with the id `id`, judged by the response head.
    fn classify(&self, head: &Parts, id: Option<&HeaderValue>) -> HopOutcome {
        let echo = head.headers.get(&self.names.request_id);
        if echo.is_some() && echo != id {
            return HopOutcome::Lost;
        }
        let is_not_run = head.headers.contains_key(&self.names.not_executed)
            || head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_not_run {
            return HopOutcome::Shed;
        }
        let is_sealed = head.headers.contains_key(&self.names.response_seal) && echo.is_some();
        let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
        if !is_sealed || is_encoded || head.status.is_informational() {
            return HopOutcome::Lost;
        }
        HopOutcome::Answered
    }
}
