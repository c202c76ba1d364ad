//! Admission of calls to one backend server: shares its [`ServerGate`] between tasks.

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
use parking_lot::{Mutex, MutexGuard};
use slotmap::SecondaryMap;
use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};
use tokio::sync::{Notify, oneshot};

/// Time between two polls of a gate with running or queued calls.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two polls of an idle gate.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two publications of a gate's metrics.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

type TicketSender = oneshot::Sender<Result<SlotKey, GateRefusal>>;
type TicketReceiver = oneshot::Receiver<Result<SlotKey, GateRefusal>>;

/// Admission of calls to one backend server.
#[derive(Debug)]
pub struct ServerAdmission {
    clock: MonoClock,
    state: Mutex<AdmissionState>,
    /// Notified of each call that is queued.
    queued: Arc<Notify>,
}

/// State under one lock, because a decision needs the whole gate; the lock is held for a few hundred
/// nanoseconds at a time.
#[derive(Debug)]
struct AdmissionState {
    gate: ServerGate,
    waiting: SecondaryMap<TicketKey, TicketSender>,
}

impl ServerAdmission {
    /// Opens the admission of an announced server and spawns the task that polls its gate.
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
        tokio::spawn(poll_until_dropped(
            Arc::downgrade(&admission),
            queued,
            labels,
        ));
        admission
    }

    /// Applies the slots and the stage of a newer announcement.
    pub fn update(&self, announcement: &ServerAnnouncement) {
        let stage = match announcement.state {
            ServerStage::Starting => ServerState::Starting,
            ServerStage::Serving => ServerState::Serving,
            ServerStage::Leaving => ServerState::Leaving,
        };
        let now = self.clock.now();
        self.change(|gate| gate.apply_announcement(stage, announcement.slots, now));
    }

    /// Admits `call`, after a wait in the queue if necessary.
    ///
    /// Dropping the future removes the call from the queue.
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

    /// Returns the gate's counts of admitted and refused calls.
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
        self.state.lock()
    }
}

impl AdmissionState {
    /// Notifies the queued calls that have been admitted or refused.
    fn dispatch(&mut self, now: MonoTime) {
        loop {
            let events = self.gate.take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                self.notify(event, now);
            }
        }
    }

    fn notify(&mut self, event: GateEvent, now: MonoTime) {
        match event {
            GateEvent::Admitted { ticket, slot } => {
                let is_received = self
                    .waiting
                    .remove(ticket)
                    .is_some_and(|tx| tx.send(Ok(slot)).is_ok());
                if !is_received {
                    self.gate
                        .finish(slot, RunResult::Cancelled, Duration::ZERO, now);
                }
            }
            GateEvent::Refused { ticket, refusal } => {
                if let Some(tx) = self.waiting.remove(ticket) {
                    // The receiver is dropped if the caller has disconnected.
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

/// A queued call; removed from the queue on drop.
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
        let result = (&mut guard.rx).await;
        result.expect("the gate admits or refuses every queued call")
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

/// A slot at a server; released on drop.
#[derive(Debug)]
pub struct SlotGuard {
    admission: Arc<ServerAdmission>,
    slot: SlotKey,
    result: RunResult,
    child_time: Duration,
}

impl SlotGuard {
    /// Sets the result of the run; without one it counts as cancelled.
    pub fn set_result(&mut self, result: RunResult) {
        self.result = result;
    }

    /// Returns the admission to which the slot belongs.
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

/// Polls the gate and publishes its metrics until the admission is dropped.
async fn poll_until_dropped(
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
            IDLE_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        drop(admission);
        // A queued call ends the pause of an idle gate early.
        let _ = tokio::time::timeout(pause, queued.notified()).await;
    }
}
