//! The gate of a daemon: every request for the backend server on this host passes through it.

use crate::{
    content::fingerprint_request,
    decision_log::{DecisionLog, GateDecision, request_id},
    headers::{HeaderNames, format_millis},
    hop::{HopContext, HopOutcome},
    local_server::{LocalServer, RunOutcome, SlotGuard, SlotRequest},
    pool::{ConnectionPool, PoolOptions, PooledResponse, SendError},
};
use agatehill_decide::{
    admission::AdmissionRequest, call_parent::ParentRequest, quarantine::RequestFingerprint,
    server_tracker::ServerHeartbeat, time::MonoTime,
};
use agatehill_peer::body::CallBody;
use agatehill_process::clock::MonoClock;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_ENCODING, response::Parts};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Timeout for connecting to the server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection to the server is closed; shorter than the time after which
/// servers close one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Retry-after while the server accepts no requests.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time between two removals of expired connections and refreshes of the server's state.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How a request ended at a gate.
#[derive(Debug)]
pub struct GateResult {
    /// The outcome for the entry.
    pub outcome: HopOutcome,
    /// The server's response, if `outcome` is [`HopOutcome::Answered`].
    pub response: Option<Response<CallBody>>,
    /// Reason for the outcome, for logs and metrics.
    pub reason: &'static str,
    /// Time after which a retry is likely to be accepted, if the request was refused or shed.
    pub retry_after: Duration,
}

/// The gate of this host; clones share it.
#[derive(Clone)]
pub struct RequestGate {
    names: Arc<HeaderNames>,
    server: LocalServer,
    pool: ConnectionPool,
    log: Arc<DecisionLog>,
    clock: MonoClock,
}

/// What is logged about a request at the gate; written on drop.
struct GateRecord<'a> {
    gate: &'a RequestGate,
    hop: &'a HopContext,
    id: String,
    content: RequestFingerprint,
    started: MonoTime,
    server: Option<String>,
    /// Running and queued requests on arrival.
    load: (u32, usize),
    waited: Duration,
    outcome: HopOutcome,
    reason: &'static str,
}

impl<'a> GateRecord<'a> {
    fn begin(
        gate: &'a RequestGate,
        hop: &'a HopContext,
        id: &str,
        content: RequestFingerprint,
    ) -> GateRecord<'a> {
        GateRecord {
            gate,
            hop,
            id: id.to_owned(),
            content,
            started: gate.clock.now(),
            server: None,
            load: gate.server.load(),
            waited: Duration::ZERO,
            // Logged if the entry cancels the request.
            outcome: HopOutcome::Lost,
            reason: "given-up",
        }
    }
}

impl Drop for GateRecord<'_> {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let decision = GateDecision {
            id: &self.id,
            content: self.content,
            hop: self.hop,
            outcome: self.outcome,
            reason: self.reason,
            server: self.server.as_deref(),
            load: self.load,
            waited: self.waited,
            elapsed: now.since(self.started),
        };
        self.gate.log.record_gate(&decision, now);
    }
}

impl RequestGate {
    /// Starts the gate of `server`.
    pub fn spawn(
        names: Arc<HeaderNames>,
        server: LocalServer,
        log: Arc<DecisionLog>,
        clock: MonoClock,
    ) -> RequestGate {
        let pool = ConnectionPool::open(PoolOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        });
        let gate = RequestGate {
            names,
            server,
            pool,
            log,
            clock,
        };
        tokio::spawn(gate.clone().run_maintenance());
        gate
    }

    /// Returns the server on this host.
    pub fn server(&self) -> &LocalServer {
        &self.server
    }

    /// Runs `req` on the server. Dropping the future cancels the request.
    pub async fn run(&self, hop: &HopContext, req: Request<CallBody>) -> GateResult {
        let Ok((content, req)) = fingerprint_request(req).await else {
            return GateResult::refused("body-cut", Duration::ZERO);
        };
        let id = request_id(req.headers(), &self.names.request_id);
        let mut record = GateRecord::begin(self, hop, id, content);
        let result = self.admit_and_send(hop, req, &mut record).await;
        record.outcome = result.outcome;
        record.reason = result.reason;
        result
    }

    async fn admit_and_send(
        &self,
        hop: &HopContext,
        req: Request<CallBody>,
        record: &mut GateRecord<'_>,
    ) -> GateResult {
        let started = record.started;
        let Some(heartbeat) = self.serving(hop) else {
            return GateResult::refused("no-server", NO_SERVER_RETRY_AFTER);
        };
        record.server = Some(heartbeat.id.clone());
        let slot_request = SlotRequest {
            route: hop.route,
            arrived: started,
            late_after: hop.late_after,
            admission: AdmissionRequest {
                rank: slot_rank(hop),
                start_by: started + hop.wait_max.min(hop.remaining),
            },
        };
        let admitted = self.server.admit(slot_request).await;
        record.waited = self.clock.now().since(started);
        let slot = match admitted {
            Ok(slot) => slot,
            Err(refusal) => return GateResult::refused(refusal.reason, refusal.retry_after),
        };
        // During the wait the server may have begun to leave or been replaced.
        match self.serving(hop) {
            Some(current)
                if current.id == heartbeat.id && current.started_ms == heartbeat.started_ms => {}
            _ => return GateResult::refused("server-left", NO_SERVER_RETRY_AFTER),
        }
        let remaining = hop.remaining.saturating_sub(record.waited);
        if remaining.is_zero() {
            return GateResult::refused("no-time", NO_SERVER_RETRY_AFTER);
        }
        self.send(hop, &heartbeat, req, slot, remaining).await
    }

    fn serving(&self, hop: &HopContext) -> Option<ServerHeartbeat> {
        let serving = self.server.serving();
        serving.filter(|heartbeat| heartbeat.service == hop.service)
    }

    async fn send(
        &self,
        hop: &HopContext,
        heartbeat: &ServerHeartbeat,
        mut req: Request<CallBody>,
        mut slot: SlotGuard,
        remaining: Duration,
    ) -> GateResult {
        let id = req.headers().get(&self.names.request_id).cloned();
        self.set_headers(hop, heartbeat, &mut req, remaining);
        let end = self.clock.now() + remaining;
        let parent = ParentRequest {
            rank: hop.rank,
            is_retry: hop.is_retry,
        };
        slot.begin_run(end, parent);
        let sent = timeout(remaining, self.pool.send(heartbeat.address, req));
        let response = match sent.await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                slot.set_outcome(RunOutcome::Failed);
                self.server.mark_unreachable(&heartbeat.id);
                return GateResult::refused("server-down", NO_SERVER_RETRY_AFTER);
            }
            Ok(Err(SendError::Lost)) => {
                slot.set_outcome(RunOutcome::Failed);
                return GateResult::lost("connection-lost");
            }
            Err(_) => return GateResult::lost("no-answer-in-time"),
        };
        match self.classify(&response.head, id.as_ref()) {
            HopOutcome::Answered => {}
            // The response may belong to another request. Dropping it closes the connection, so
            // that no later bytes are taken for another response.
            HopOutcome::Lost => return GateResult::lost("answer-foreign"),
            HopOutcome::Shed | HopOutcome::Refused => {
                slot.set_outcome(RunOutcome::Failed);
                // Reads the body, so that the connection can be reused.
                let _ = timeout(remaining, response.read(())).await;
                return GateResult {
                    outcome: HopOutcome::Shed,
                    reason: "server-shed",
                    response: None,
                    retry_after: NO_SERVER_RETRY_AFTER,
                };
            }
        }
        slot.set_outcome(match response.head.status.is_server_error() {
            true => RunOutcome::Failed,
            false => RunOutcome::Succeeded,
        });
        self.read_response(response, slot, end).await
    }

    async fn read_response(
        &self,
        response: PooledResponse,
        slot: SlotGuard,
        end: MonoTime,
    ) -> GateResult {
        let remaining = end.since(self.clock.now());
        let Ok(Ok((head, body))) = timeout(remaining, response.read(slot)).await else {
            return GateResult::lost("answer-broken");
        };
        GateResult {
            reason: "answered",
            outcome: HopOutcome::Answered,
            response: Some(Response::from_parts(head, body)),
            retry_after: Duration::ZERO,
        }
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

    async fn run_maintenance(self) {
        loop {
            tokio::time::sleep(REFRESH_INTERVAL).await;
            self.pool.close_expired();
            self.server.refresh();
        }
    }
}

impl GateResult {
    /// Returns the result of a request that has not reached the server.
    pub fn refused(reason: &'static str, retry_after: Duration) -> GateResult {
        GateResult {
            outcome: HopOutcome::Refused,
            reason,
            response: None,
            retry_after,
        }
    }

    /// Returns the result of a request that may have run and got no complete response.
    pub fn lost(reason: &'static str) -> GateResult {
        GateResult {
            outcome: HopOutcome::Lost,
            reason,
            response: None,
            retry_after: Duration::ZERO,
        }
    }
}

/// Returns the rank at which a request waits for a slot. Of equal rank, nested requests go first,
/// because work has already been done for them.
fn slot_rank(hop: &HopContext) -> u32 {
    hop.rank * 2 + u32::from(!hop.is_nested)
}
