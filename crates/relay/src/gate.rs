//! The gate: the only way to the backend server on this host.

use crate::{
    decision_log::{DecisionLog, GateDecision, request_id},
    headers::{HeaderNames, format_millis},
    hop::{HopContext, HopOutcome},
    local_server::{LocalServer, RunOutcome, SlotGuard, SlotRequest},
    pool::{ConnectionPool, PoolOptions, PooledResponse, SendError},
};
use agatehill_decide::{
    admission::AdmissionRequest, call_parent::ParentRequest, server_tracker::ServerHeartbeat,
    time::MonoTime,
};
use agatehill_peer::body::CallBody;
use agatehill_process::clock::MonoClock;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_ENCODING, response::Parts};
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Time to open a connection on this host.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time after which an unused connection to the server is closed; shorter than servers keep one.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Time to come back to a server that takes no work.
const COME_BACK: Duration = Duration::from_millis(300);
/// Time between two looks at unused connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How a request ended at a gate.
#[derive(Debug)]
pub struct GateResult {
    /// The end.
    pub outcome: HopOutcome,
    /// The server's answer, if `outcome` is [`HopOutcome::Answered`].
    pub response: Option<Response<CallBody>>,
    /// Why, for logs and metrics.
    pub reason: &'static str,
    /// When there should be room, if it was refused.
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

/// A request at the gate; its end is written to the log on drop.
struct GateVisit<'a> {
    gate: &'a RequestGate,
    head: &'a HopContext,
    id: String,
    began: MonoTime,
    server: Option<String>,
    /// Requests that ran and that waited when it came.
    load: (u32, usize),
    waited: Duration,
    end: HopOutcome,
    reason: &'static str,
}

impl<'a> GateVisit<'a> {
    fn begin(gate: &'a RequestGate, head: &'a HopContext, id: &str) -> GateVisit<'a> {
        GateVisit {
            gate,
            head,
            id: id.to_owned(),
            began: gate.clock.now(),
            server: None,
            load: gate.server.load(),
            waited: Duration::ZERO,
            // Until it ends otherwise its entry may give it up.
            end: HopOutcome::Lost,
            reason: "given-up",
        }
    }
}

impl Drop for GateVisit<'_> {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let decision = GateDecision {
            id: &self.id,
            hop: self.head,
            outcome: self.end,
            reason: self.reason,
            server: self.server.as_deref(),
            load: self.load,
            waited: self.waited,
            elapsed: now.since(self.began),
        };
        self.gate.log.record_gate(&decision, now);
    }
}

impl RequestGate {
    /// Opens the gate to `server`.
    pub fn spawn(
        names: Arc<HeaderNames>,
        server: LocalServer,
        log: Arc<DecisionLog>,
        clock: MonoClock,
    ) -> RequestGate {
        let pool = ConnectionPool::open(PoolOptions {
            connect_timeout: CONNECT_LIMIT,
            idle_timeout: IDLE_LIMIT,
        });
        let gate = RequestGate {
            names,
            server,
            pool,
            log,
            clock,
        };
        tokio::spawn(gate.clone().sweep());
        gate
    }

    /// Returns the server on this host.
    pub fn server(&self) -> &LocalServer {
        &self.server
    }

    /// Runs `req` on the server. Dropping the future cancels the request.
    pub async fn run(&self, head: &HopContext, req: Request<CallBody>) -> GateResult {
        let id = request_id(req.headers(), &self.names.request_id);
        let mut visit = GateVisit::begin(self, head, id);
        let result = self.admit_and_send(head, req, &mut visit).await;
        visit.end = result.outcome;
        visit.reason = result.reason;
        result
    }

    async fn admit_and_send(
        &self,
        head: &HopContext,
        req: Request<CallBody>,
        visit: &mut GateVisit<'_>,
    ) -> GateResult {
        let began = visit.began;
        let Some(beat) = self.serving(head) else {
            return GateResult::refused("no-server", COME_BACK);
        };
        visit.server = Some(beat.id.clone());
        let ask = SlotRequest {
            route: head.route,
            arrived: began,
            late_after: head.late_after,
            admission: AdmissionRequest {
                rank: slot_rank(head),
                start_by: began + head.wait_max.min(head.remaining),
            },
        };
        let admitted = self.server.admit(ask).await;
        visit.waited = self.clock.now().since(began);
        let slot = match admitted {
            Ok(slot) => slot,
            Err(refusal) => return GateResult::refused(refusal.reason, refusal.retry_after),
        };
        // The server may have begun to leave, or another one may have come, during the wait.
        match self.serving(head) {
            Some(now) if now.id == beat.id && now.started_ms == beat.started_ms => {}
            _ => return GateResult::refused("server-left", COME_BACK),
        }
        let left = head.remaining.saturating_sub(visit.waited);
        if left.is_zero() {
            return GateResult::refused("no-time", COME_BACK);
        }
        self.send(head, &beat, req, slot, left).await
    }

    fn serving(&self, head: &HopContext) -> Option<ServerHeartbeat> {
        let serving = self.server.serving();
        serving.filter(|beat| beat.service == head.service)
    }

    async fn send(
        &self,
        head: &HopContext,
        beat: &ServerHeartbeat,
        mut req: Request<CallBody>,
        mut slot: SlotGuard,
        left: Duration,
    ) -> GateResult {
        let id = req.headers().get(&self.names.request_id).cloned();
        self.prepare(head, beat, &mut req, left);
        let end = self.clock.now() + left;
        let run = ParentRequest {
            rank: head.rank,
            is_retry: head.is_retry,
        };
        slot.begin_run(end, run);
        let sent = timeout(left, self.pool.send(beat.address, req));
        let answer = match sent.await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent)) => {
                slot.set_outcome(RunOutcome::Failed);
                self.server.mark_unreachable(&beat.id);
                return GateResult::refused("server-down", COME_BACK);
            }
            Ok(Err(SendError::Lost)) => {
                slot.set_outcome(RunOutcome::Failed);
                return GateResult::lost("connection-lost");
            }
            Err(_) => return GateResult::lost("no-answer-in-time"),
        };
        match self.classify(&answer.head, id.as_ref()) {
            HopOutcome::Answered => {}
            // Whatever follows on the connection belongs to nobody.
            HopOutcome::Lost => return GateResult::lost("answer-foreign"),
            HopOutcome::Shed | HopOutcome::Refused => {
                slot.set_outcome(RunOutcome::Failed);
                // Read, so that the connection can be used again.
                let _ = timeout(left, answer.read(())).await;
                return GateResult {
                    outcome: HopOutcome::Shed,
                    reason: "server-shed",
                    response: None,
                    retry_after: COME_BACK,
                };
            }
        }
        slot.set_outcome(match answer.head.status.is_server_error() {
            true => RunOutcome::Failed,
            false => RunOutcome::Succeeded,
        });
        self.read(answer, slot, end).await
    }

    async fn read(&self, answer: PooledResponse, slot: SlotGuard, end: MonoTime) -> GateResult {
        let left = end.since(self.clock.now());
        let Ok(Ok((head, body))) = timeout(left, answer.read(slot)).await else {
            return GateResult::lost("answer-broken");
        };
        GateResult {
            reason: "answered",
            outcome: HopOutcome::Answered,
            response: Some(Response::from_parts(head, body)),
            retry_after: Duration::ZERO,
        }
    }

    fn prepare(
        &self,
        head: &HopContext,
        beat: &ServerHeartbeat,
        req: &mut Request<CallBody>,
        left: Duration,
    ) {
        let headers = req.headers_mut();
        let caller = HeaderValue::try_from(head.caller.as_str()).expect("names are header text");
        headers.insert(self.names.caller_service.clone(), caller);
        headers.insert(self.names.deadline_ms.clone(), format_millis(left));
        match HeaderValue::try_from(beat.id.as_str()) {
            Ok(id) => {
                headers.insert(self.names.expected_server.clone(), id);
            }
            Err(_) => {
                headers.remove(&self.names.expected_server);
            }
        }
    }

    /// Returns what the head of an answer says of the request `id`.
    fn classify(&self, head: &Parts, id: Option<&HeaderValue>) -> HopOutcome {
        let echo = head.headers.get(&self.names.request_id);
        if echo.is_some() && echo != id {
            return HopOutcome::Lost;
        }
        let is_unrun = head.headers.contains_key(&self.names.not_executed)
            || head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_unrun {
            return HopOutcome::Shed;
        }
        let is_sealed = head.headers.contains_key(&self.names.response_seal) && echo.is_some();
        let is_coded = head.headers.contains_key(CONTENT_ENCODING);
        if !is_sealed || is_coded || head.status.is_informational() {
            return HopOutcome::Lost;
        }
        HopOutcome::Answered
    }

    async fn sweep(self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.pool.close_expired();
            self.server.refresh();
        }
    }
}

impl GateResult {
    /// Returns the end of a request that has not reached the server.
    pub fn refused(reason: &'static str, retry_after: Duration) -> GateResult {
        GateResult {
            outcome: HopOutcome::Refused,
            reason,
            response: None,
            retry_after,
        }
    }

    /// Returns the end of a request that may have run.
    pub fn lost(reason: &'static str) -> GateResult {
        GateResult {
            outcome: HopOutcome::Lost,
            reason,
            response: None,
            retry_after: Duration::ZERO,
        }
    }
}

/// Returns the rank of a request among those that wait for a slot: calls go before what begins with the
/// same rank, as work has been done for them already.
fn slot_rank(head: &HopContext) -> u32 {
    head.rank * 2 + u32::from(!head.is_nested)
}
