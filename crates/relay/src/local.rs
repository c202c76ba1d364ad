//! The backend server on this host: who it is, and the slots that requests wait for.

use agatehill_decide::{
    admission::{Admission, AdmissionAsk, AdmissionTurn, SlotAdmission, WaitKey},
    server_track::{BeatEffect, ServerBeat, ServerTrack},
};
use agatehill_process::clock::MonoClock;
use slotmap::SecondaryMap;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::{oneshot, watch};

/// Time to come back to a server that takes no work, for requests that find no other.
const COME_BACK: Duration = Duration::from_millis(300);

/// Why a request gets no slot; it has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotRefusal {
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
    serving: watch::Sender<Option<ServerBeat>>,
}

struct LocalState {
    track: ServerTrack,
    admission: SlotAdmission,
    waiting: SecondaryMap<WaitKey, oneshot::Sender<bool>>,
    /// Counts incarnations; slots of an earlier one are not given back.
    generation: u64,
    is_closed: bool,
}

impl LocalServer {
    /// Opens a host without a server, to be given up after `silence_max` without a heartbeat.
    pub fn open(silence_max: Duration, clock: MonoClock) -> LocalServer {
        let state = LocalState {
            track: ServerTrack::new(silence_max),
            admission: SlotAdmission::new(1),
            waiting: SecondaryMap::new(),
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
    pub fn observe(&self, beat: ServerBeat) -> BeatEffect {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let slots = beat.slots;
        let effect = state.track.observe(beat, now);
        if effect == BeatEffect::Started {
            state.generation += 1;
            state.refuse_waiting();
            state.admission = SlotAdmission::new(slots);
        } else if effect == BeatEffect::Changed {
            state.admission.set_slots(slots);
        }
        drop(state);
        self.refresh();
        effect
    }

    /// Takes in that a server leaves.
    pub fn end(&self, id: &str, born: Option<u64>) -> bool {
        let was_present = self.lock().track.end(id, born);
        self.refresh();
        was_present
    }

    /// Takes in that nothing listens at the address of the server `id`.
    pub fn note_down(&self, id: &str) {
        self.lock().track.note_down(id);
        self.refresh();
    }

    /// Takes no work from now on.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.refresh();
    }

    /// Returns the server if it takes work.
    pub fn serving(&self) -> Option<ServerBeat> {
        let now = self.shared.clock.now();
        let state = self.lock();
        let serving = state.track.serving(now).filter(|_| !state.is_closed);
        serving.cloned()
    }

    /// Watches the server that takes work.
    pub fn watch(&self) -> watch::Receiver<Option<ServerBeat>> {
        self.shared.serving.subscribe()
    }

    /// Brings the watched value up to date; to be called now and then, as silence is no event.
    pub fn refresh(&self) {
        let serving = self.serving();
        let key = |beat: &Option<ServerBeat>| {
            beat.as_ref()
                .map(|b| (b.id.clone(), b.born, b.slots, b.service.clone(), b.address))
        };
        let is_changed = key(&serving) != key(&self.shared.serving.borrow());
        if is_changed {
            if serving.is_none() {
                self.lock().refuse_waiting();
            }
            self.shared.serving.send_replace(serving);
        }
    }

    /// Returns running and waiting requests and the number of slots known.
    pub fn load(&self) -> (u32, usize) {
        let state = self.lock();
        (state.admission.running(), state.admission.queued())
    }

    /// Waits for a slot. Dropping the future gives up the wait.
    ///
    /// # Errors
    ///
    /// There is no room in time, or the server takes no work any more.
    pub async fn admit(&self, ask: AdmissionAsk) -> Result<SlotGuard, SlotRefusal> {
        let (generation, ticket) = match self.offer(ask) {
            (generation, SlotOffer::Run) => return Ok(self.guard(generation)),
            (_, SlotOffer::Refuse(refusal)) => return Err(refusal),
            (generation, SlotOffer::Wait(ticket)) => (generation, ticket),
        };
        let mut ticket = WaitGuard {
            server: self,
            ticket,
            generation,
        };
        let left = ask.start_by.since(self.shared.clock.now());
        match tokio::time::timeout(left, &mut ticket.ticket.told).await {
            Ok(Ok(true)) => Ok(self.guard(generation)),
            _ => Err(SlotRefusal {
                retry_after: COME_BACK,
            }),
        }
    }

    fn offer(&self, ask: AdmissionAsk) -> (u64, SlotOffer) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let generation = state.generation;
        let offer = match state.admission.offer(ask, now) {
            Admission::Run => SlotOffer::Run,
            Admission::Refuse { retry_after } => SlotOffer::Refuse(SlotRefusal { retry_after }),
            Admission::Wait(key) => {
                let (tx, told) = oneshot::channel();
                state.waiting.insert(key, tx);
                SlotOffer::Wait(WaitTicket { key, told })
            }
        };
        (generation, offer)
    }

    fn guard(&self, generation: u64) -> SlotGuard {
        SlotGuard {
            server: self.clone(),
            generation,
            since: self.shared.clock.now(),
            is_telling: false,
        }
    }

    fn release(&self, generation: u64, held: Option<Duration>) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        if state.generation == generation {
            let turn = state.admission.release(held, now);
            state.tell(turn, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, LocalState> {
        let state = self.shared.state.lock();
        state.expect("no holder of the state panics")
    }
}

impl LocalState {
    /// Tells requests what has become of their wait; a slot of one that has gone is passed on.
    fn tell(&mut self, turn: AdmissionTurn, now: agatehill_decide::time::MonoTime) {
        for key in turn.late {
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
            self.server.release(self.generation, None);
        }
    }
}

/// A slot of the server; given back on drop.
pub struct SlotGuard {
    server: LocalServer,
    generation: u64,
    since: agatehill_decide::time::MonoTime,
    is_telling: bool,
}

impl SlotGuard {
    /// Marks the time for which the slot is held as one that tells how long requests take.
    pub fn set_telling(&mut self) {
        self.is_telling = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let held = self.server.shared.clock.now().since(self.since);
        let held = self.is_telling.then_some(held);
        self.server.release(self.generation, held);
    }
}
