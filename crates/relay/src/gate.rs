//! The gate of a daemon: every request for the backend server on this host passes through it.

mod exchange;
mod record;
mod result;

use crate::{
    content::identify_request,
    decision_log::{DecisionLog, request_id},
    headers::HeaderNames,
    hop::HopContext,
    host_server::{HostServer, SlotRequest},
    pool::{ConnectionPool, PoolOptions},
};
use agatehill_backend::quarantine::FleetQuarantine;
use agatehill_decide::{
    admission::AdmissionRequest,
    server_notice::RequestUrgency,
    server_tracker::{HeartbeatEffect, LeaveEffect, ServerHeartbeat},
};
use agatehill_peer::body::CallBody;
use agatehill_process::{budget::ListenerBudget, clock::MonoClock};
use http::Request;
use record::GateRecord;
use std::{sync::Arc, time::Duration};

use exchange::GateRun;
pub use result::GateResult;
pub(crate) use result::NO_DESCRIPTOR;

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

impl RequestGate {
    /// Starts the gate of `server`, whose connections to it count in `outgoing`.
    pub fn spawn(
        names: Arc<HeaderNames>,
        server: HostServer,
        quarantine: FleetQuarantine,
        log: Arc<DecisionLog>,
        clock: MonoClock,
        outgoing: ListenerBudget,
    ) -> RequestGate {
        let pool = ConnectionPool::open(PoolOptions {
            budget: outgoing,
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

    /// Records that the server `id`, of the incarnation `started_ms` if given, leaves. A server that
    /// another one follows without having announced that it leaves has crashed.
    pub fn record_leave(&self, id: &str, started_ms: Option<u64>) -> LeaveEffect {
        let before = self.server.current();
        let effect = self.server.record_leave(id, started_ms);
        let Some(before) = before else {
            return effect;
        };
        let quarantine = self.quarantine.clone();
        tokio::spawn(async move {
            match effect {
                LeaveEffect::Current => quarantine.record_leave(before.address).await,
                LeaveEffect::Successor if before.is_leaving => {}
                LeaveEffect::Successor => quarantine.record_restart(before.address).await,
                LeaveEffect::Other => {}
            }
        });
        effect
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
fn slot_rank(hop: &HopContext) -> u64 {
    u64::from(hop.rank) * 2 + u64::from(!hop.is_nested)
}

/// Returns how urgent a request is where the server takes fewer than it is sent.
fn urgency(hop: &HopContext) -> RequestUrgency {
    match hop.is_nested {
        true => RequestUrgency::Nested,
        false => RequestUrgency::Root(hop.rank),
    }
}
