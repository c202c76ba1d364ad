//! Admission of calls to one backend server: drives its [`ServerGate`] for many tasks.

use crate::{
    gate_metrics::GateLabels,
    registry::{ServerAnnouncement, ServerStage},
};
use agatehill_decide::{
    gate::{
        GateCall, GateConfig, GateCounts, GateDecision, GateEvent, GateLoad, GateRefusal,
        RunResult, ServerGate, ServerState, SlotKey, TicketKey,
    },
    time::MonoTime,
};
use agatehill_process::clock::MonoClock;
use slotmap::SecondaryMap;
use std::{
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::{Duration, Instant},
};
use tokio::sync::{Notify, oneshot};

/// Time between two looks at what is due in a gate.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two looks at an idle gate.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two publications of a gate's metrics.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

type TicketSender = oneshot::Sender<Result<SlotKey, GateRefusal>>;
type TicketReceiver = oneshot::Receiver<Result<SlotKey, GateRefusal>>;

/// Admission of calls to one backend server.
#[derive(Debug)]
pub struct ServerAdmission {
    clock: MonoClock,
    state: Mutex<AdmissionState>,
    /// Told of each call that has to wait.
    queued: Arc<Notify>,
}

/// Held for a few hundred nanoseconds at a time; a decision needs the whole gate.
#[derive(Debug)]
struct AdmissionState {
    gate: ServerGate,
    waiting: SecondaryMap<TicketKey, TicketSender>,
}

impl ServerAdmission {
    /// Opens the admission of an announced server and spawns its upkeep.
    pub fn spawn(announcement: &ServerAnnouncement, clock: MonoClock) -> Arc<ServerAdmission> {
        let gate = ServerGate::new(GateConfig::default(), announcement.slots, clock.now());
        let state = AdmissionState {
            gate,
            waiting: SecondaryMap::new(),
        };
        let admission = Arc::new(ServerAdmission {
            clock,
            state: Mutex::new(state),
            queued: Arc::default(),
        });
        let labels = GateLabels::of(announcement);
        let queued = admission.queued.clone();
        tokio::spawn(poll_while_used(Arc::downgrade(&admission), queued, labels));
        admission
    }

    /// Takes over slots and stage from a newer announcement.
    pub fn update(&self, announcement: &ServerAnnouncement) {
        let stage = match announcement.state {
            ServerStage::Starting => ServerState::Starting,
            ServerStage::Serving => ServerState::Serving,
            ServerStage::Leaving => ServerState::Leaving,
        };
        let now = self.clock.now();
        self.change(|gate| gate.apply_announcement(stage, announcement.slots, now));
    }

    /// Takes no new calls from now on, whatever the server announces.
    pub fn close(&self) {
        let now = self.clock.now();
        self.change(|gate| gate.apply_announcement(ServerState::Leaving, 1, now));
    }

    /// Waits for a slot for `call`.
    ///
    /// Dropping the future gives up the wait.
    ///
    /// # Errors
    ///
    /// The gate refuses the call.
    pub async fn admit(
        self: &Arc<ServerAdmission>,
        call: GateCall,
    ) -> Result<SlotGuard, GateRefusal> {
        match self.offer(call) {
            GateOffer::Admitted(slot) => Ok(self.guard(slot)),
            GateOffer::Refused(refusal) => Err(refusal),
            GateOffer::Queued(ticket) => {
                let slot = TicketGuard::wait(self, ticket).await?;
                Ok(self.guard(slot))
            }
        }
    }

    /// Returns the gate's load and level.
    pub fn load(&self) -> GateLoad {
        self.lock().gate.load()
    }

    /// Returns what the gate has counted.
    pub fn counts(&self) -> GateCounts {
        self.lock().gate.counts()
    }

    fn offer(&self, call: GateCall) -> GateOffer {
        let mut state = self.lock();
        let offer = match state.gate.offer(call, self.clock.now()) {
            GateDecision::Admit(slot) => GateOffer::Admitted(slot),
            GateDecision::Refuse(refusal) => GateOffer::Refused(refusal),
            GateDecision::Queue(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.waiting.insert(ticket, tx);
                self.queued.notify_one();
                GateOffer::Queued(QueuedTicket { ticket, rx })
            }
        };
        state.dispatch(self.clock.now());
        offer
    }

    fn guard(self: &Arc<ServerAdmission>, slot: SlotKey) -> SlotGuard {
        SlotGuard {
            admission: self.clone(),
            slot,
            result: RunResult::Cancelled,
            child_time: Duration::ZERO,
        }
    }

    fn change(&self, change: impl FnOnce(&mut ServerGate)) {
        let mut state = self.lock();
        change(&mut state.gate);
        state.dispatch(self.clock.now());
    }

    fn is_idle(&self) -> bool {
        self.lock().gate.next_poll().is_none()
    }

    fn poll(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.gate.next_poll().is_some_and(|due| due <= now) {
            state.gate.poll(now);
            state.dispatch(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().expect("no holder of a gate panics")
    }
}

impl AdmissionState {
    /// Tells the waiting calls what has become of them.
    fn dispatch(&mut self, now: MonoTime) {
        loop {
            let events = self.gate.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                self.tell(event, now);
            }
        }
    }

    fn tell(&mut self, event: GateEvent, now: MonoTime) {
        match event {
            GateEvent::Admitted { ticket, slot } => {
                let told = self
                    .waiting
                    .remove(ticket)
                    .is_some_and(|tx| tx.send(Ok(slot)).is_ok());
                if !told {
                    self.gate
                        .finish(slot, RunResult::Cancelled, Duration::ZERO, now);
                }
            }
            GateEvent::Refused { ticket, refusal } => {
                if let Some(tx) = self.waiting.remove(ticket) {
                    // A caller that has gone away needs no refusal.
                    let _ = tx.send(Err(refusal));
                }
            }
        }
    }
}

enum GateOffer {
    Admitted(SlotKey),
    Queued(QueuedTicket),
    Refused(GateRefusal),
}

struct QueuedTicket {
    ticket: TicketKey,
    rx: TicketReceiver,
}

/// A call that waits; leaves the queue on drop.
struct TicketGuard<'a> {
    admission: &'a ServerAdmission,
    ticket: TicketKey,
    rx: TicketReceiver,
}

impl TicketGuard<'_> {
    async fn wait(
        admission: &ServerAdmission,
        queued: QueuedTicket,
    ) -> Result<SlotKey, GateRefusal> {
        let QueuedTicket { ticket, rx } = queued;
        let mut guard = TicketGuard {
            admission,
            ticket,
            rx,
        };
        let told = (&mut guard.rx).await;
        told.expect("the gate tells every queued call how its wait ends")
    }
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut state = self.admission.lock();
        state.waiting.remove(self.ticket);
        state.gate.cancel(self.ticket);
        if let Ok(Ok(slot)) = self.rx.try_recv() {
            state
                .gate
                .finish(slot, RunResult::Cancelled, Duration::ZERO, now);
        }
        state.dispatch(now);
    }
}

/// A slot at a server; given back on drop.
#[derive(Debug)]
pub struct SlotGuard {
    admission: Arc<ServerAdmission>,
    slot: SlotKey,
    result: RunResult,
    child_time: Duration,
}

impl SlotGuard {
    /// Sets how the run ended; a slot that is dropped without counts as cancelled.
    pub fn set_result(&mut self, result: RunResult) {
        self.result = result;
    }

    /// Returns the admission that the slot belongs to.
    pub fn admission(&self) -> &ServerAdmission {
        &self.admission
    }

    /// Sets the time that the run has waited for its child calls.
    pub fn set_child_time(&mut self, child_time: Duration) {
        self.child_time = child_time;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut state = self.admission.lock();
        state
            .gate
            .finish(self.slot, self.result, self.child_time, now);
        state.dispatch(now);
    }
}

/// Polls the gate while calls run or wait, and publishes its metrics, until nobody uses it any more.
async fn poll_while_used(
    admission: Weak<ServerAdmission>,
    queued: Arc<Notify>,
    labels: GateLabels,
) {
    let mut published = Instant::now();
    loop {
        let Some(admission) = admission.upgrade() else {
            labels.publish_end();
            return;
        };
        admission.poll();
        if published.elapsed() >= PUBLISH_INTERVAL {
            published = Instant::now();
            labels.publish(admission.load(), admission.counts());
        }
        let pause = if admission.is_idle() {
            IDLE_INTERVAL
        } else {
            POLL_INTERVAL
        };
        drop(admission);
        // A call that has to wait ends the pause of an idle gate.
        let _ = tokio::time::timeout(pause, queued.notified()).await;
    }
}
