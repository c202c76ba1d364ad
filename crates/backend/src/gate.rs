//! The gate beside a backend server: the one place where calls to it are admitted.

use crate::{
    client::{BackendClient, CallFailure},
    held::{BodyGuard, HeldBody},
    registry::{ServerAnnouncement, ServerRegistry, ServerStage},
};
use agatehill_decide::{outcome::CallOutcome, priority::CallPriority, time::MonoTime};
use agatehill_peer::{
    body::CallBody,
    forward::{FailureKind, ForwardHead, ForwardReport},
};
use agatehill_platform::clock::MonoClock;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header::RETRY_AFTER};
use http_body_util::BodyExt;
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

/// Time left to the caller, in milliseconds, as the backend server learns it.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("agatehill-deadline-ms");

/// Time after which a refused caller may ask again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Admission of calls to one backend server.
#[derive(Debug)]
pub struct ServerPlaces {
    slots: AtomicU32,
    in_flight: AtomicU32,
    is_leaving: AtomicBool,
}

impl ServerPlaces {
    /// Opens the admission of a server that was announced at `_now`.
    pub fn open(announcement: &ServerAnnouncement, _now: MonoTime) -> ServerPlaces {
        ServerPlaces {
            slots: AtomicU32::new(announcement.slots),
            in_flight: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Takes over slots and stage from a newer announcement.
    pub fn set_announced(&self, announcement: &ServerAnnouncement, _now: MonoTime) {
        self.slots.store(announcement.slots, Ordering::Relaxed);
        let is_leaving = announcement.state == ServerStage::Leaving;
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    fn admit(self: &Arc<ServerPlaces>) -> Option<PlaceGuard> {
        let slots = self.slots.load(Ordering::Relaxed);
        let raise = |n: u32| (n < slots).then_some(n + 1);
        if self.is_leaving.load(Ordering::Relaxed) {
            return None;
        }
        self.in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, raise)
            .ok()?;
        Some(PlaceGuard {
            places: self.clone(),
        })
    }

    fn load(&self) -> u16 {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let slots = self.slots.load(Ordering::Relaxed).max(1);
        u16::try_from(u64::from(in_flight) * 1_000 / u64::from(slots)).unwrap_or(u16::MAX)
    }
}

/// A place at a server; given back on drop.
#[derive(Debug)]
pub struct PlaceGuard {
    places: Arc<ServerPlaces>,
}

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        self.places.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl BodyGuard for PlaceGuard {
    fn complete(&mut self) {}
}

/// What became of a call at the gate.
#[derive(Debug)]
pub struct GateAnswer {
    /// What the daemon that forwarded the call learns.
    pub report: ForwardReport,
    /// The backend server's answer; empty when there is none.
    pub response: Response<CallBody>,
}

/// Admits calls and runs them at the backend servers on this host.
#[derive(Clone, Debug)]
pub struct CallGate {
    registry: Arc<ServerRegistry>,
    client: BackendClient,
    clock: MonoClock,
}

impl CallGate {
    /// Opens the gate of the servers in `registry`.
    pub fn open(registry: Arc<ServerRegistry>, clock: MonoClock) -> CallGate {
        CallGate {
            registry,
            client: BackendClient::open(),
            clock,
        }
    }

    /// Returns the servers that the gate admits to.
    pub fn registry(&self) -> &Arc<ServerRegistry> {
        &self.registry
    }

    /// Returns the clock that deadlines are counted on.
    pub fn clock(&self) -> MonoClock {
        self.clock
    }

    /// Admits the call `req` and runs it.
    pub async fn run(&self, head: &ForwardHead, req: Request<CallBody>) -> GateAnswer {
        let Some(server) = head.server.and_then(|addr| self.registry.get(addr)) else {
            return refuse(FailureKind::NoServer, CallOutcome::NotRun, 0);
        };
        if server.announcement.service != head.service {
            return refuse(FailureKind::NoServer, CallOutcome::NotRun, 0);
        }
        let Some(place) = server.places.admit() else {
            return refuse(FailureKind::Shed, CallOutcome::NotRun, server.places.load());
        };
        let limit = Duration::from_millis(u64::from(head.deadline_ms));
        let req = with_deadline(req, head.deadline_ms);
        let load = server.places.load();
        match tokio::time::timeout(limit, self.client.send(server.announcement.address, req)).await
        {
            Ok(Ok(response)) => answer(
                response.map(|body| body.map_err(io::Error::other)),
                place,
                load,
            ),
            Ok(Err(CallFailure::NotSent)) => refuse(FailureKind::Lost, CallOutcome::NotRun, load),
            Ok(Err(CallFailure::Lost)) => refuse(FailureKind::Lost, CallOutcome::Unknown, load),
            Err(_) => refuse(FailureKind::Deadline, CallOutcome::Unknown, load),
        }
    }
}

fn answer<B>(response: Response<B>, place: PlaceGuard, load: u16) -> GateAnswer
where
    B: http_body::Body<Data = bytes::Bytes, Error = io::Error> + Send + Unpin + 'static,
{
    if is_shed(&response) {
        return refuse(FailureKind::Shed, CallOutcome::NotRun, load);
    }
    let hold = |body| CallBody::Stream(HeldBody::new(body, place).boxed_unsync());
    GateAnswer {
        report: report(CallOutcome::Answered, None, load),
        response: response.map(hold),
    }
}

/// Returns whether a backend server refused the call before its work.
fn is_shed<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(RETRY_AFTER)
}

fn refuse(kind: FailureKind, outcome: CallOutcome, load: u16) -> GateAnswer {
    GateAnswer {
        report: report(outcome, Some(kind), load),
        response: Response::new(CallBody::empty()),
    }
}

fn report(outcome: CallOutcome, failure: Option<FailureKind>, load: u16) -> ForwardReport {
    ForwardReport {
        outcome,
        failure,
        retry_after_ms: failure.map_or(0, |_| RETRY_PAUSE.as_millis() as u32),
        retries_used: 0,
        is_final: false,
        load,
        level: CallPriority::LAST,
    }
}

fn with_deadline(mut req: Request<CallBody>, deadline_ms: u32) -> Request<CallBody> {
    req.headers_mut()
        .insert(DEADLINE_HEADER, HeaderValue::from(deadline_ms));
    req
}
