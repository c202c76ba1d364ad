//! The backend server on this host: who it is, and the slots that requests wait for.

use agatehill_decide::{
    admission::{Admission, AdmissionRequest, DequeuedRequests, SlotAdmission, WaitKey},
    call_parent::{ParentIndex, ParentKey, ParentRequest},
    gate_selection::RouteKey,
    occupancy::OccupancyLimit,
    route_limit::RouteLimit,
    server_tracker::{HeartbeatEffect, ServerHeartbeat, ServerTracker},
    time::MonoTime,
};
use agatehill_process::clock::MonoClock;
use slotmap::SecondaryMap;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::{oneshot, watch};

/// Time to come back to a server that takes no work, for requests that find no other.
const COME_BACK: Duration = Duration::from_millis(300);
/// Time to come back to a route whose requests come late, longer than such a spell mostly lasts
/// when everybody waits.
const COME_BACK_PRESSED: Duration = Duration::from_millis(1_000);

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Its route.
    pub route: RouteKey,
    /// When it came.
    pub arrived: MonoTime,
    /// Time from then on after which it counts as late.
    pub late_after: Duration,
    /// What decides on its slot.
    pub admission: AdmissionRequest,
}

/// Why a request gets no slot; it has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotRefusal {
    /// Why, for logs and metrics.
    pub reason: &'static str,
    /// Expected time until there is room.
    pub retry_after: Duration,
}

/// The backend server on this host; clones share it.
#[derive(Clone)]
pub struct LocalServer {
    shared: Arc<LocalShared>,
}

struct LocalShared {
    clock: MonoClock,
    state: Mutex<LocalState>,
    serving: watch::Sender<Option<ServerHeartbeat>>,
}

struct LocalState {
    tracker: ServerTracker,
    admission: SlotAdmission,
    waiting: SecondaryMap<WaitKey, oneshot::Sender<bool>>,
    slots: u32,
    /// How many of the slots are worth using.
    fullness: OccupancyLimit,
    /// The requests that it runs.
    parents: ParentIndex,
    /// Limits of the routes whose requests come here.
    limits: HashMap<RouteKey, RouteLimit>,
    /// Counts incarnations; slots of an earlier one are not given back.
    generation: u64,
    is_closed: bool,
}

impl LocalServer {
    /// Opens a host without a server, to be given up after `heartbeat_timeout` without a heartbeat.
    pub fn open(heartbeat_timeout: Duration, clock: MonoClock) -> LocalServer {
        let state = LocalState {
            tracker: ServerTracker::new(heartbeat_timeout),
            admission: SlotAdmission::new(1),
            waiting: SecondaryMap::new(),
            slots: 1,
            fullness: OccupancyLimit::new(1),
            parents: ParentIndex::default(),
            limits: HashMap::new(),
            generation: 0,
            is_closed: false,
        };
        LocalServer {
            shared: Arc::new(LocalShared {
                clock,
                state: Mutex::new(state),
                serving: watch::channel(None).0,
            }),
        }
    }

    /// Takes in a heartbeat.
    pub fn record_heartbeat(&self, beat: ServerHeartbeat) -> HeartbeatEffect {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let slots = beat.slots;
        let effect = state.tracker.record_heartbeat(beat, now);
        if effect == HeartbeatEffect::Started {
            state.generation += 1;
            state.refuse_waiting();
            state.admission = SlotAdmission::new(slots);
            state.fullness = OccupancyLimit::new(slots);
            state.limits.clear();
            state.slots = slots;
        } else if effect == HeartbeatEffect::Changed {
            state.admission.set_slots(slots);
            state.fullness = OccupancyLimit::new(slots);
            state.slots = slots;
        }
        drop(state);
        self.refresh();
        effect
    }

    /// Takes in that a server leaves.
    pub fn record_leave(&self, id: &str, started_ms: Option<u64>) -> bool {
        let now = self.shared.clock.now();
        let was_present = self.lock().tracker.record_leave(id, started_ms, now);
        self.refresh();
        was_present
    }

    /// Takes in that nothing listens at the address of the server `id`.
    pub fn mark_unreachable(&self, id: &str) {
        self.lock().tracker.mark_unreachable(id);
        self.refresh();
    }

    /// Takes no work from now on.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.refresh();
    }

    /// Returns the server if it takes work.
    pub fn serving(&self) -> Option<ServerHeartbeat> {
        let now = self.shared.clock.now();
        let state = self.lock();
        let serving = state.tracker.serving(now).filter(|_| !state.is_closed);
        serving.cloned()
    }

    /// Watches the server that takes work.
    pub fn watch(&self) -> watch::Receiver<Option<ServerHeartbeat>> {
        self.shared.serving.subscribe()
    }

    /// Brings the watched value up to date; to be called now and then, as silence is no event.
    pub fn refresh(&self) {
        let serving = self.serving();
        let key = |beat: &Option<ServerHeartbeat>| {
            beat.as_ref().map(|b| {
                (
                    b.id.clone(),
                    b.started_ms,
                    b.slots,
                    b.service.clone(),
                    b.address,
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

    /// Returns how many requests run and how many wait.
    pub fn load(&self) -> (u32, usize) {
        let state = self.lock();
        (state.admission.running(), state.admission.queued())
    }

    /// Returns the request that the server makes a call for which must end by `end`.
    pub fn find_parent(&self, end: MonoTime) -> Option<ParentRequest> {
        self.lock().parents.find(end)
    }

    /// Waits for a slot. Dropping the future gives up the wait.
    ///
    /// # Errors
    ///
    /// The route's limit is reached, there is no room in time, or the server takes no work any more.
    pub async fn admit(&self, ask: SlotRequest) -> Result<SlotGuard, SlotRefusal> {
        let place = self.enter(ask)?;
        let ticket = match self.offer(ask.admission) {
            SlotOffer::Run => return Ok(self.guard(place)),
            SlotOffer::Refuse(refusal) => return Err(refusal),
            SlotOffer::Wait(ticket) => ticket,
        };
        let generation = place.generation;
        let mut wait = WaitGuard {
            server: self,
            ticket,
            generation,
        };
        let left = ask.admission.start_by.since(self.shared.clock.now());
        match tokio::time::timeout(left, &mut wait.ticket.told).await {
            Ok(Ok(true)) => Ok(self.guard(place)),
            _ => Err(SlotRefusal {
                reason: "no-slot",
                retry_after: COME_BACK,
            }),
        }
    }

    /// Takes a request in within its route's limit.
    fn enter(&self, ask: SlotRequest) -> Result<RoutePlace, SlotRefusal> {
        let mut state = self.lock();
        let slots = state.slots;
        let limit = state.limits.entry(ask.route);
        if !limit.or_insert_with(|| RouteLimit::new(slots)).try_enter() {
            return Err(SlotRefusal {
                reason: "route-limit",
                retry_after: COME_BACK_PRESSED,
            });
        }
        Ok(RoutePlace {
            server: self.clone(),
            generation: state.generation,
            ask,
            end: RunOutcome::Unfinished,
        })
    }

    fn offer(&self, ask: AdmissionRequest) -> SlotOffer {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        match state.admission.offer(ask, now) {
            Admission::Run => SlotOffer::Run,
            Admission::Refuse { retry_after } => SlotOffer::Refuse(SlotRefusal {
                reason: "no-slot",
                retry_after,
            }),
            Admission::Wait(key) => {
                let (tx, told) = oneshot::channel();
                state.waiting.insert(key, tx);
                SlotOffer::Wait(WaitTicket { key, told })
            }
        }
    }

    fn guard(&self, place: RoutePlace) -> SlotGuard {
        SlotGuard {
            place,
            running: self.lock().admission.running(),
            parent: None,
            since: self.shared.clock.now(),
        }
    }

    /// Gives the slot of a run back that began in `generation`; `run` tells how long it took, if it
    /// tells anything.
    fn release(&self, generation: u64, run: Option<RunTime>, parent: Option<ParentKey>) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        if let Some(parent) = parent {
            state.parents.remove(parent);
        }
        if state.generation != generation {
            return;
        }
        if let Some(run) = run {
            state.fullness.record(run.route, run.running, run.held, now);
            let limit = state.fullness.limit();
            state.admission.set_slots(limit);
        }
        let turn = state.admission.release(run.map(|run| run.held), now);
        state.tell(turn, now);
    }

    fn lock(&self) -> MutexGuard<'_, LocalState> {
        let state = self.shared.state.lock();
        state.expect("no holder of the state panics")
    }
}

impl LocalState {
    /// Tells requests what has become of their wait; a slot of one that has gone is passed on.
    fn tell(&mut self, turn: DequeuedRequests, now: MonoTime) {
        for key in turn.expired {
            if let Some(tx) = self.waiting.remove(key) {
                // A caller that has gone away needs no refusal.
                let _ = tx.send(false);
            }
        }
        for key in turn.started {
            let tx = self.waiting.remove(key);
            let is_told = tx.is_some_and(|tx| tx.send(true).is_ok());
            if !is_told {
                let turn = self.admission.release(None, now);
                self.tell(turn, now);
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

enum SlotOffer {
    Run,
    Wait(WaitTicket),
    Refuse(SlotRefusal),
}

struct WaitTicket {
    key: WaitKey,
    told: oneshot::Receiver<bool>,
}

/// A request that waits; leaves the queue on drop.
struct WaitGuard<'a> {
    server: &'a LocalServer,
    ticket: WaitTicket,
    generation: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.server.lock();
        if state.generation == self.generation {
            state.waiting.remove(self.ticket.key);
            state.admission.withdraw(self.ticket.key);
        }
        drop(state);
        // A slot that came in the same moment.
        if let Ok(true) = self.ticket.told.try_recv() {
            self.server.release(self.generation, None, None);
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// It has not ended: its caller went away or its time ran out.
    Unfinished,
    /// With the server's success.
    Succeeded,
    /// In another way, which tells nothing about the time that requests need.
    Failed,
}

/// A request's place within the limit of its route; given back on drop.
struct RoutePlace {
    server: LocalServer,
    generation: u64,
    ask: SlotRequest,
    end: RunOutcome,
}

impl RoutePlace {
    /// Returns whether the request was late, if its end tells.
    fn is_late(&self, now: MonoTime) -> Option<bool> {
        let is_late = now.since(self.ask.arrived) >= self.ask.late_after;
        match self.end {
            RunOutcome::Succeeded => Some(is_late),
            RunOutcome::Unfinished => is_late.then_some(true),
            RunOutcome::Failed => None,
        }
    }
}

impl Drop for RoutePlace {
    fn drop(&mut self) {
        let now = self.server.shared.clock.now();
        let is_late = self.is_late(now);
        let mut state = self.server.lock();
        if state.generation != self.generation {
            return;
        }
        let slots = state.slots;
        if let Some(limit) = state.limits.get_mut(&self.ask.route) {
            limit.leave(is_late, slots, now);
        }
    }
}

/// How long a request ran.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    route: RouteKey,
    /// Requests that ran when it began, itself included.
    running: u32,
    held: Duration,
}

/// A slot of the server; given back on drop.
pub struct SlotGuard {
    place: RoutePlace,
    running: u32,
    parent: Option<ParentKey>,
    since: MonoTime,
}

impl SlotGuard {
    /// Takes note that the server runs the request as `run` and must end by `end`.
    pub fn begin_run(&mut self, end: MonoTime, run: ParentRequest) {
        let mut state = self.place.server.lock();
        if state.generation == self.place.generation {
            self.parent = Some(state.parents.insert(end, run));
        }
    }

    /// Sets how the run ended.
    pub fn set_outcome(&mut self, end: RunOutcome) {
        self.place.end = end;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let server = &self.place.server;
        let run = RunTime {
            route: self.place.ask.route,
            running: self.running,
            held: server.shared.clock.now().since(self.since),
        };
        let is_done = self.place.end == RunOutcome::Succeeded;
        server.release(self.place.generation, is_done.then_some(run), self.parent);
    }
}
