//! The gate: the only way to the backend server on this host.

use crate::{
    headers::{HeaderNames, millis_value, strip_connection},
    hop::{HopEnd, HopHead},
    local::{LocalServer, SlotGuard},
    pool::{ConnectionPool, PoolOptions, PooledAnswer, SendFailure, drop_framing},
};
use agatehill_decide::{admission::AdmissionAsk, server_track::ServerBeat, time::MonoTime};
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
    pub end: HopEnd,
    /// The server's answer, if `end` is [`HopEnd::Answered`].
    pub answer: Option<Response<CallBody>>,
    /// When there should be room, if it was refused.
    pub retry_after: Duration,
}

/// The gate of this host; clones share it.
#[derive(Clone)]
pub struct RequestGate {
    names: Arc<HeaderNames>,
    server: LocalServer,
    pool: ConnectionPool,
    clock: MonoClock,
}

impl RequestGate {
    /// Opens the gate to `server`.
    pub fn spawn(names: Arc<HeaderNames>, server: LocalServer, clock: MonoClock) -> RequestGate {
        let pool = ConnectionPool::open(PoolOptions {
            connect_limit: CONNECT_LIMIT,
            idle_limit: IDLE_LIMIT,
        });
        let gate = RequestGate {
            names,
            server,
            pool,
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
    pub async fn run(&self, head: &HopHead, req: Request<CallBody>) -> GateResult {
        let began = self.clock.now();
        let Some(beat) = self.serving(head) else {
            return GateResult::refused(COME_BACK);
        };
        let ask = AdmissionAsk {
            rank: head.rank,
            start_by: began + head.wait_max.min(head.left),
        };
        let slot = match self.server.admit(ask).await {
            Ok(slot) => slot,
            Err(refusal) => return GateResult::refused(refusal.retry_after),
        };
        // The server may have begun to leave, or another one may have come, during the wait.
        match self.serving(head) {
            Some(now) if now.id == beat.id && now.born == beat.born => {}
            _ => return GateResult::refused(COME_BACK),
        }
        let left = head.left.saturating_sub(self.clock.now().since(began));
        if left.is_zero() {
            return GateResult::refused(COME_BACK);
        }
        self.send(head, &beat, req, slot, left).await
    }

    fn serving(&self, head: &HopHead) -> Option<ServerBeat> {
        let serving = self.server.serving();
        serving.filter(|beat| beat.service == head.service)
    }

    async fn send(
        &self,
        head: &HopHead,
        beat: &ServerBeat,
        mut req: Request<CallBody>,
        mut slot: SlotGuard,
        left: Duration,
    ) -> GateResult {
        let id = req.headers().get(&self.names.request_id).cloned();
        self.prepare(head, beat, &mut req, left);
        let end = self.clock.now() + left;
        let sent = timeout(left, self.pool.send(beat.address, req));
        let answer = match sent.await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendFailure::NotSent)) => {
                self.server.note_down(&beat.id);
                return GateResult::refused(COME_BACK);
            }
            Ok(Err(SendFailure::Lost)) | Err(_) => return GateResult::lost(),
        };
        match self.classify(&answer.head, id.as_ref()) {
            HopEnd::Answered => {}
            // Whatever follows on the connection belongs to nobody.
            HopEnd::Lost => return GateResult::lost(),
            HopEnd::Shed | HopEnd::Refused => {
                // Read, so that the connection can be used again.
                let _ = timeout(left, answer.read(())).await;
                return GateResult {
                    end: HopEnd::Shed,
                    answer: None,
                    retry_after: COME_BACK,
                };
            }
        }
        slot.set_telling();
        self.read(answer, slot, end).await
    }

    async fn read(&self, answer: PooledAnswer, slot: SlotGuard, end: MonoTime) -> GateResult {
        let left = end.since(self.clock.now());
        let Ok(Ok((mut head, body))) = timeout(left, answer.read(slot)).await else {
            return GateResult::lost();
        };
        strip_connection(&mut head.headers);
        if matches!(body, CallBody::Whole(_)) {
            drop_framing(&mut head.headers);
        }
        GateResult {
            end: HopEnd::Answered,
            answer: Some(Response::from_parts(head, body)),
            retry_after: Duration::ZERO,
        }
    }

    fn prepare(
        &self,
        head: &HopHead,
        beat: &ServerBeat,
        req: &mut Request<CallBody>,
        left: Duration,
    ) {
        let headers = req.headers_mut();
        let caller = HeaderValue::try_from(head.caller.as_str()).expect("names are header text");
        headers.insert(self.names.caller_service.clone(), caller);
        headers.insert(self.names.deadline_ms.clone(), millis_value(left));
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
    fn classify(&self, head: &Parts, id: Option<&HeaderValue>) -> HopEnd {
        let echo = head.headers.get(&self.names.request_id);
        if echo.is_some() && echo != id {
            return HopEnd::Lost;
        }
        let is_unrun = head.headers.contains_key(&self.names.not_executed)
            || head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_unrun {
            return HopEnd::Shed;
        }
        let is_sealed = head.headers.contains_key(&self.names.seal) && echo.is_some();
        let is_coded = head.headers.contains_key(CONTENT_ENCODING);
        if !is_sealed || is_coded || head.status.is_informational() {
            return HopEnd::Lost;
        }
        HopEnd::Answered
    }

    async fn sweep(self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.pool.sweep();
            self.server.refresh();
        }
    }
}

impl GateResult {
    /// Returns the end of a request that has not reached the server.
    pub fn refused(retry_after: Duration) -> GateResult {
        GateResult {
            end: HopEnd::Refused,
            answer: None,
            retry_after,
        }
    }

    /// Returns the end of a request that may have run.
    pub fn lost() -> GateResult {
        GateResult {
            end: HopEnd::Lost,
            answer: None,
            retry_after: Duration::ZERO,
        }
    }
}
