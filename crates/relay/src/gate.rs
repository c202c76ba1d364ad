//! The gate of a daemon: every request for the backend server on this host passes through it.

mod record;
mod result;

use crate::{
    content::identify_request,
    decision_log::{DecisionLog, request_id},
    headers::{HeaderNames, format_millis},
    hop::{HopContext, HopOutcome},
    host_server::{HostServer, ServerPermit, ServerSlot, SlotOutcome, SlotRequest},
    notice,
    pool::{ConnectionPool, PoolOptions, PooledResponse, SendError},
};
use agatehill_backend::quarantine::{CrashReportQueue, FleetQuarantine, QuarantineGuard};
use agatehill_decide::{
    admission::AdmissionRequest,
    call_parent::ParentRequest,
    server_notice::RequestUrgency,
    server_tracker::{HeartbeatEffect, ServerHeartbeat},
    time::MonoTime,
};
use agatehill_peer::body::CallBody;
use agatehill_process::clock::MonoClock;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_ENCODING, response::Parts};
use record::GateRecord;
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

pub use result::GateResult;

/// Timeout for connecting to the server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection to the server is closed; shorter than the time after which
/// servers close one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Retry-after while the server accepts no requests.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time between two checks of whether the server misses its heartbeats.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two removals of expired connections and refreshes of the server's state.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The gate of this host; clones share it.
#[derive(Clone)]
pub struct RequestGate {
    names: Arc<HeaderNames>,
    server: HostServer,
    quarantine: FleetQuarantine,
    pool: ConnectionPool,
    log: Arc<DecisionLog>,
    clock: MonoClock,
}

/// A request that the server runs.
struct GateRun {
    permit: ServerPermit,
    slot: ServerSlot,
    quarantine: QuarantineGuard<CrashReportQueue>,
}

impl RequestGate {
    /// Starts the gate of `server`.
    pub fn spawn(
        names: Arc<HeaderNames>,
        server: HostServer,
        quarantine: FleetQuarantine,
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
            quarantine,
            pool,
            log,
            clock,
        };
        tokio::spawn(gate.clone().run_maintenance());
        tokio::spawn(gate.clone().watch_silence());
        gate
    }

    /// Returns the server on this host.
    pub fn server(&self) -> &HostServer {
        &self.server
    }

    /// Returns the monitor of requests that crash servers.
    pub fn quarantine(&self) -> &FleetQuarantine {
        &self.quarantine
    }

    /// Records a heartbeat of the server. A server that starts anew without having announced that it
    /// leaves has crashed.
    pub fn record_heartbeat(&self, heartbeat: ServerHeartbeat) -> HeartbeatEffect {
        let Some(before) = self.server.current() else {
            return self.server.record_heartbeat(heartbeat);
        };
        let effect = self.server.record_heartbeat(heartbeat);
        let quarantine = self.quarantine.clone();
        tokio::spawn(async move {
            match effect {
                HeartbeatEffect::Started if before.is_leaving => {}
                HeartbeatEffect::Started => quarantine.record_restart(before.address).await,
                HeartbeatEffect::Changed | HeartbeatEffect::Refreshed => {
                    quarantine.record_alive(before.address).await;
                }
                HeartbeatEffect::Ignored => {}
            }
        });
        effect
    }

    /// Records that the server `id`, of the incarnation `started_ms` if given, leaves; returns
    /// whether it was the present one.
    pub fn record_leave(&self, id: &str, started_ms: Option<u64>) -> bool {
        let before = self.server.current();
        let was_present = self.server.record_leave(id, started_ms);
        if let Some(before) = before
            && was_present
        {
            let quarantine = self.quarantine.clone();
            tokio::spawn(async move { quarantine.record_leave(before.address).await });
        }
        was_present
    }

    /// Runs `req` on the server. Dropping the future cancels the request.
    pub async fn run(&self, hop: &HopContext, req: Request<CallBody>) -> GateResult {
        let Ok((content, req)) = identify_request(req).await else {
            return GateResult::refused("body-cut", Duration::ZERO);
        };
        let id = request_id(req.headers(), &self.names.request_id);
        let mut record = GateRecord::begin(self, hop, id, content);
        let mut result = self.admit_and_send(hop, req, &mut record).await;
        if result.response.is_none() && self.quarantine.has_suspects() {
            result.strikes = self.quarantine.reports_of(content);
        }
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
        let start_by = started + hop.wait_max.min(hop.remaining);
        let Some(heartbeat) = self.serving(hop) else {
            return GateResult::refused("no-server", NO_SERVER_RETRY_AFTER);
        };
        record.server = Some(heartbeat.id.clone());
        let permit = match self.server.take_permit(&heartbeat, urgency(hop)) {
            Ok(permit) => permit,
            Err(retry_after) => return GateResult::refused("server-limited", retry_after),
        };
        let slot_request = SlotRequest {
            route: hop.route,
            arrived: started,
            late_after: hop.late_after,
            admission: AdmissionRequest {
                rank: slot_rank(hop),
                start_by,
            },
        };
        let mut quarantine = self.quarantine.guard(heartbeat.address, record.content);
        let slot = loop {
            if let Err(refusal) = quarantine.wait_ready(start_by).await {
                return GateResult::quarantined(refusal);
            }
            let admitted = self.server.admit(slot_request).await;
            record.waited = self.clock.now().since(started);
            let slot = match admitted {
                Ok(slot) => slot,
                Err(refusal) => return GateResult::refused(refusal.reason, refusal.retry_after),
            };
            // During the wait the server may have begun to leave or been replaced.
            if !self.is_serving(hop, &heartbeat) {
                return GateResult::refused("server-left", NO_SERVER_RETRY_AFTER);
            }
            if quarantine.try_start() {
                break slot;
            }
        };
        let remaining = hop.remaining.saturating_sub(record.waited);
        if remaining.is_zero() {
            return GateResult::refused("no-time", NO_SERVER_RETRY_AFTER);
        }
        let run = GateRun {
            permit,
            slot,
            quarantine,
        };
        self.send(hop, &heartbeat, req, run, remaining).await
    }

    /// Returns whether the incarnation of `heartbeat` still accepts requests.
    fn is_serving(&self, hop: &HopContext, heartbeat: &ServerHeartbeat) -> bool {
        self.serving(hop).is_some_and(|current| {
            current.id == heartbeat.id && current.started_ms == heartbeat.started_ms
        })
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
        mut run: GateRun,
        remaining: Duration,
    ) -> GateResult {
        let id = req.headers().get(&self.names.request_id).cloned();
        self.set_headers(hop, heartbeat, &mut req, remaining);
        let end = self.clock.now() + remaining;
        let parent = ParentRequest {
            rank: hop.rank,
            is_retry: hop.is_retry,
        };
        run.slot.begin_run(end, parent);
        run.quarantine.record_sent();
        run.permit.spend();
        let sent_at = self.clock.now();
        let sent = timeout(remaining, self.pool.send(heartbeat.address, req));
        let response = match sent.await {
            Ok(Ok(response)) => response,
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
                // Reads the body, so that the connection can be reused.
                let _ = timeout(remaining, response.read(())).await;
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
        let (head, body) = match timeout(remaining, response.read(slot)).await {
            Ok(Ok(read)) => read,
            Ok(Err(_)) => return self.end_lost(heartbeat, quarantine, "answer-broken").await,
            Err(_) => return GateResult::lost("answer-broken"),
        };
        // Of a streamed body the first part has arrived: the request has not crashed the server.
        quarantine.record_answer();
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

    /// Reports a server that misses its heartbeats, forever.
    async fn watch_silence(self) {
        loop {
            let before = self.clock.now();
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
            // After a suspension of this host, heartbeats and responses are still to be read.
            let has_paused = self.clock.now().since(before) >= 2 * SILENCE_CHECK_INTERVAL;
            if let Some(addr) = self.server.overdue().filter(|_| !has_paused) {
                self.quarantine.record_silence(addr).await;
            }
        }
    }

    async fn run_maintenance(self) {
        loop {
            tokio::time::sleep(REFRESH_INTERVAL).await;
            self.pool.close_expired();
            self.server.refresh();
        }
    }
}

/// Returns the rank at which a request waits for a slot. Of equal rank, nested requests go first,
/// because work has already been done for them.
fn slot_rank(hop: &HopContext) -> u32 {
    hop.rank * 2 + u32::from(!hop.is_nested)
}

/// Returns how urgent a request is where the server takes fewer than it is sent.
fn urgency(hop: &HopContext) -> RequestUrgency {
    match hop.is_nested {
        true => RequestUrgency::Nested,
        false => RequestUrgency::Root(hop.rank),
    }
}
