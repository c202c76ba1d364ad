//! The backend server on this host: its state by heartbeats, and the slots that requests wait for.

mod notice;
mod slot;
mod wait;

use agatehill_decide::{
    admission::{AdmissionRequest, DequeuedRequests, SlotAdmission, WaitKey},
    call_parent::{CallArrival, CallParent, ParentIndex, ParentKey},
    gate_selection::RouteKey,
    occupancy::OccupancyLimit,
    route_limit::RouteLimit,
    server_notice::NoticeTracker,
    server_tracker::{
        HeartbeatEffect, LeaveEffect, ServerHeartbeat, ServerIdentity, ServerTracker,
    },
    time::MonoTime,
};
use agatehill_process::clock::MonoClock;
use parking_lot::{Mutex, MutexGuard};
use slot::{RouteGuard, RunSample};
use slotmap::SecondaryMap;
use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::{oneshot, watch};

pub use notice::ServerPermit;
pub use slot::{ServerSlot, SlotOutcome};

/// Missed heartbeats after which a server counts as failed.
const MISSED_HEARTBEATS_MAX: u32 = 6;
/// Heartbeat intervals without a heartbeat after which one is overdue.
const OVERDUE_INTERVALS: f64 = 4.0 / 3.0;

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Route of the HTTP request.
    pub route: RouteKey,
    /// When it arrived at the gate.
    pub arrived: MonoTime,
    /// Time after `arrived` from which it counts as late.
    pub late_after: Duration,
    /// Its rank and latest start.
    pub admission: AdmissionRequest,
}

/// Why a request got no slot. It has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotRefusal {
    /// Reason for logs and metrics.
    pub reason: &'static str,
    /// Time after which a retry is likely to get a slot.
    pub retry_after: Duration,
}

/// The backend server on this host; clones share it.
#[derive(Clone)]
pub struct HostServer {
    shared: Arc<HostShared>,
}

struct HostShared {
    clock: MonoClock,
    heartbeat_interval: Duration,
    state: Mutex<HostState>,
    serving: watch::Sender<Option<ServerHeartbeat>>,
}

struct HostState {
    tracker: ServerTracker,
    /// What the server says in its responses.
    notices: NoticeTracker,
    admission: SlotAdmission,
    waiting: SecondaryMap<WaitKey, oneshot::Sender<bool>>,
    slots: u32,
    /// Limits how many of the slots are used.
    occupancy: OccupancyLimit,
    /// The requests that the server runs.
    parent_index: ParentIndex,
    /// Limits by route.
    limits: HashMap<RouteKey, RouteLimit>,
    /// Number of incarnations so far. Slots of an earlier one are not released into the present
    /// one.
    generation: u64,
    is_closed: bool,
}

impl HostServer {
    /// Returns the state of a host without a server, whose heartbeats come every
    /// `heartbeat_interval`.
    pub fn open(heartbeat_interval: Duration, clock: MonoClock) -> HostServer {
        let state = HostState {
            tracker: ServerTracker::new(heartbeat_interval * MISSED_HEARTBEATS_MAX),
            notices: NoticeTracker::default(),
            admission: SlotAdmission::new(1),
            waiting: SecondaryMap::new(),
            slots: 1,
            occupancy: OccupancyLimit::new(1),
            parent_index: ParentIndex::default(),
            limits: HashMap::new(),
            generation: 0,
            is_closed: false,
        };
        HostServer {
            shared: Arc::new(HostShared {
                clock,
                heartbeat_interval,
                state: Mutex::new(state),
                serving: watch::channel(None).0,
            }),
        }
    }

    /// Records a heartbeat. A new incarnation starts with free slots and an empty queue.
    pub fn record_heartbeat(&self, heartbeat: ServerHeartbeat) -> HeartbeatEffect {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let slots = heartbeat.slots;
        let effect = state.tracker.record_heartbeat(heartbeat, now);
        if effect == HeartbeatEffect::Started {
            state.generation += 1;
            state.refuse_waiting();
            state.admission = SlotAdmission::new(slots);
            state.occupancy = OccupancyLimit::new(slots);
            state.limits.clear();
            state.slots = slots;
        } else if effect == HeartbeatEffect::Changed {
            state.admission.set_slots(slots);
            state.occupancy = OccupancyLimit::new(slots);
            state.slots = slots;
        }
        drop(state);
        self.refresh();
        effect
    }

    /// Records that the server `id`, of the incarnation `started_ms` if given, leaves.
    pub fn record_leave(&self, id: &str, started_ms: Option<u64>) -> LeaveEffect {
        let now = self.shared.clock.now();
        let effect = self.lock().tracker.record_leave(id, started_ms, now);
        self.refresh();
        effect
    }

    /// Takes over from an earlier run of the daemon that `left` accepts no new work.
    pub fn adopt_left(&self, left: &ServerIdentity) {
        let now = self.shared.clock.now();
        self.lock().tracker.adopt_left(left, now);
        self.refresh();
    }

    /// Returns the last incarnation that is known to accept no new work.
    pub fn left(&self) -> Option<ServerIdentity> {
        self.lock().tracker.left()
    }

    /// Records that nothing listens at the address of the server `id`.
    pub fn mark_unreachable(&self, id: &str) {
        if self.lock().tracker.mark_unreachable(id) {
            metrics::counter!("agatehill_relay_servers_unreachable").increment(1);
            spdlog::warn!("server unreachable", kv: { server = id });
        }
        self.refresh();
    }

    /// Refuses all requests from now on.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.refresh();
    }

    /// Returns the server if it accepts requests.
    pub fn serving(&self) -> Option<ServerHeartbeat> {
        let now = self.shared.clock.now();
        let state = self.lock();
        let serving = state.tracker.serving(now).filter(|_| !state.is_closed);
        serving.cloned()
    }

    /// Returns the last heartbeat of the server, whether it accepts requests or not.
    pub fn current(&self) -> Option<ServerHeartbeat> {
        self.lock().tracker.current().cloned()
    }

    /// Returns the address of the server if its next heartbeat is overdue.
    pub fn overdue(&self) -> Option<SocketAddr> {
        let now = self.shared.clock.now();
        let state = self.lock();
        let age = state.tracker.heartbeat_age(now)?;
        let is_overdue = age >= self.shared.heartbeat_interval.mul_f64(OVERDUE_INTERVALS);
        let heartbeat = state.tracker.current().filter(|_| is_overdue)?;
        Some(heartbeat.address)
    }

    /// Subscribes to the server that accepts requests.
    pub fn watch(&self) -> watch::Receiver<Option<ServerHeartbeat>> {
        self.shared.serving.subscribe()
    }

    /// Updates the watched value. Must be called at intervals, because missing heartbeats trigger
    /// no event.
    pub fn refresh(&self) {
        let serving = self.serving();
        let key = |heartbeat: &Option<ServerHeartbeat>| {
            heartbeat.as_ref().map(|heartbeat| {
                (
                    heartbeat.id.clone(),
                    heartbeat.started_ms,
                    heartbeat.slots,
                    heartbeat.service.clone(),
                    heartbeat.address,
                )
            })
        };
        let is_changed = key(&serving) != key(&self.shared.serving.borrow());
        if is_changed {
            if serving.is_none() {
                self.lock().refuse_waiting();
            }
            self.shared.serving.send_replace(serving);
        }
    }

    /// Returns the number of running and of queued requests.
    pub fn load(&self) -> (u32, usize) {
        let state = self.lock();
        (state.admission.running(), state.admission.queued())
    }

    /// Returns the parent of the call that arrives now, which is in flight until
    /// [`HostServer::end_call`]; `None` for a caller's own request.
    pub fn begin_call(&self, call: CallArrival) -> Option<CallParent> {
        let now = self.shared.clock.now();
        self.lock().parent_index.begin_call(call, now)
    }

    /// Records that a request on `connection` has been answered; `parent` is what
    /// [`HostServer::begin_call`] returned for it.
    pub fn end_call(&self, parent: Option<ParentKey>, connection: SocketAddr) {
        let now = self.shared.clock.now();
        self.lock().parent_index.end_call(parent, connection, now);
    }

    fn slot_guard(&self, route_guard: RouteGuard) -> ServerSlot {
        ServerSlot {
            route_guard,
            running: self.lock().admission.running(),
            parent: None,
            started: self.shared.clock.now(),
        }
    }

    /// Releases the slot of a request that started in `generation`. `sample` is `None` if its
    /// duration is no valid sample.
    fn release(&self, generation: u64, sample: Option<RunSample>, parent: Option<ParentKey>) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        if let Some(parent) = parent {
            state.parent_index.remove(parent);
        }
        if state.generation != generation {
            return;
        }
        if let Some(sample) = sample {
            state
                .occupancy
                .record(sample.route, sample.running, sample.duration, now);
            let limit = state.occupancy.limit();
            state.admission.set_slots(limit);
        }
        let dequeued = state
            .admission
            .release(sample.map(|sample| sample.duration), now);
        state.notify(dequeued, now);
    }

    fn lock(&self) -> MutexGuard<'_, HostState> {
        self.shared.state.lock()
    }
}

impl HostState {
    /// Notifies requests that got a slot or can't start in time. The slot of a request that is no
    /// longer waiting is released again.
    fn notify(&mut self, dequeued: DequeuedRequests, now: MonoTime) {
        for key in dequeued.expired {
            if let Some(tx) = self.waiting.remove(key) {
                // The receiver is dropped if the request was cancelled.
                let _ = tx.send(false);
            }
        }
        for key in dequeued.started {
            let tx = self.waiting.remove(key);
            let is_notified = tx.is_some_and(|tx| tx.send(true).is_ok());
            if !is_notified {
                let dequeued = self.admission.release(None, now);
                self.notify(dequeued, now);
            }
        }
    }

    fn refuse_waiting(&mut self) {
        for key in self.admission.clear() {
            if let Some(tx) = self.waiting.remove(key) {
                let _ = tx.send(false);
            }
        }
    }
}
