//! A claim store and a backend server that fail as told, in paused time.

use agatehill_backend::at_most_once::{
    ClaimRefusal, ClaimRunner, ClaimStore, ClaimStoreError, ClaimedOutcome, ClaimedRequest,
    RunOutcome,
};
use agatehill_decide::{
    claim::{
        AnswerBody, ClaimCommand, ClaimKey, ClaimReply, ClaimTable, RequestDigest, StoredResponse,
    },
    name::Incarnation,
    outcome::CallOutcome,
    replicated_state::ReplicatedState,
};
use std::{
    collections::{HashMap, VecDeque},
    future::pending,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

pub(crate) const DEADLINE: Duration = Duration::from_secs(2);

/// What becomes of one command on its way to the store and back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFate {
    Arrives,
    NotSent,
    RequestLost,
    ReplyLost,
    /// Counts as lost, and arrives later.
    Late,
    ArrivesTwice,
    /// Applied, and the connection goes silent.
    Silent,
    /// Applied, and the gate crashes before the reply.
    GateCrash,
}

/// What becomes of one run at the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunFate {
    Answers,
    Sheds,
    /// Runs, and the connection is lost.
    RunsAndLost,
    /// Answers after the caller's deadline.
    AnswersLate,
    /// Answers after the gate has given up.
    NeverAnswers,
    GateCrashBefore,
    GateCrashAfter,
}

/// Shared by all gates of one test.
#[derive(Default)]
pub(crate) struct FakeState {
    table: ClaimTable,
    position: u64,
    pub(crate) sends: VecDeque<SendFate>,
    pub(crate) runs: VecDeque<RunFate>,
    /// Attempts that ran at the server, by request.
    ran: HashMap<String, Vec<u32>>,
    /// Attempts whose callers were told that they did not run, by request, and whether that speaks
    /// for earlier attempts too.
    denied: Vec<(String, u32, bool)>,
    /// Attempts made, by request.
    attempts: HashMap<String, u32>,
    /// Answers that the server gave, by request.
    answers: HashMap<String, StoredResponse>,
}

#[derive(Clone, Default)]
pub(crate) struct FakeWorld(Arc<Mutex<FakeState>>);

impl FakeWorld {
    pub(crate) fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.0.lock().unwrap()
    }

    pub(crate) fn count(&self, id: &str) -> usize {
        self.lock().ran.get(id).map_or(0, Vec::len)
    }

    /// Checks what callers were told against what ran, then or later.
    pub(crate) fn check(&self) {
        let state = self.lock();
        for (id, ran) in &state.ran {
            assert_eq!(ran.len(), 1, "{id} ran in attempts {ran:?}");
            for (_, denied, covers_earlier) in state.denied.iter().filter(|d| d.0 == *id) {
                let is_false = ran[0] == *denied || (*covers_earlier && ran[0] < *denied);
                assert!(
                    !is_false,
                    "{id} ran in attempt {} and attempt {denied} denies it",
                    ran[0]
                );
            }
        }
    }

    fn next_attempt(&self, id: &str) -> u32 {
        let mut state = self.lock();
        let next = state.attempts.entry(id.to_owned()).or_default();
        *next += 1;
        *next - 1
    }

    pub(crate) fn apply(&self, command: ClaimCommand) -> ClaimReply {
        let mut state = self.lock();
        state.position += 1;
        let position = state.position;
        state.table.apply(position, command)
    }
}

/// The store as one run of one gate sees it.
#[derive(Clone)]
pub(crate) struct FakeStore {
    world: FakeWorld,
    alive: Arc<AtomicBool>,
}

impl ClaimStore for FakeStore {
    async fn submit(&self, command: ClaimCommand) -> Result<ClaimReply, ClaimStoreError> {
        sleep(Duration::from_millis(3)).await;
        self.die_if_dead().await;
        let fate = self.world.lock().sends.pop_front();
        let world = self.world.clone();
        match fate.unwrap_or(SendFate::Arrives) {
            SendFate::Arrives => Ok(world.apply(command)),
            SendFate::NotSent => Err(ClaimStoreError::NotSent),
            SendFate::RequestLost => Err(ClaimStoreError::Lost),
            SendFate::ReplyLost => {
                world.apply(command);
                Err(ClaimStoreError::Lost)
            }
            SendFate::Late => {
                tokio::spawn(apply_later(world, command));
                Err(ClaimStoreError::Lost)
            }
            SendFate::ArrivesTwice => {
                tokio::spawn(apply_later(world.clone(), command.clone()));
                Ok(world.apply(command))
            }
            SendFate::Silent => {
                world.apply(command);
                pending().await
            }
            SendFate::GateCrash => {
                world.apply(command);
                self.alive.store(false, Ordering::SeqCst);
                pending().await
            }
        }
    }
}

impl FakeStore {
    async fn die_if_dead(&self) {
        if !self.alive.load(Ordering::SeqCst) {
            pending::<()>().await;
        }
    }
}

async fn apply_later(world: FakeWorld, command: ClaimCommand) {
    sleep(Duration::from_millis(700)).await;
    world.apply(command);
}

/// A gate that is restarted with the next incarnation after a crash.
pub(crate) struct FakeGate {
    name: String,
    world: FakeWorld,
    incarnation: u64,
    store: FakeStore,
    gate: ClaimRunner<FakeStore>,
}

impl FakeGate {
    pub(crate) fn open(name: &str, world: &FakeWorld) -> FakeGate {
        FakeGate::start(name.to_owned(), world.clone(), 1)
    }

    fn start(name: String, world: FakeWorld, incarnation: u64) -> FakeGate {
        let store = FakeStore {
            world: world.clone(),
            alive: Arc::new(AtomicBool::new(true)),
        };
        let daemon = name.as_str().try_into().unwrap();
        let gate = ClaimRunner::open(store.clone(), daemon, Incarnation(incarnation));
        FakeGate {
            name,
            world,
            incarnation,
            store,
            gate,
        }
    }

    pub(crate) fn crash(&self) {
        self.store.alive.store(false, Ordering::SeqCst);
    }

    pub(crate) fn restart_if_dead(&mut self) {
        if !self.store.alive.load(Ordering::SeqCst) {
            let next = self.incarnation + 1;
            *self = FakeGate::start(self.name.clone(), self.world.clone(), next);
        }
    }

    /// Starts an attempt; a crashed gate leaves its caller without an answer.
    pub(crate) fn attempt(&self, id: &str) -> impl Future<Output = AttemptEnd> + Send + use<> {
        let (gate, store, id) = (self.gate.clone(), self.store.clone(), id.to_owned());
        let attempt = self.world.next_attempt(&id);
        async move {
            if !store.alive.load(Ordering::SeqCst) {
                return AttemptEnd::NoAnswer;
            }
            let run = serve(store.clone(), id.clone(), attempt);
            let alive = store.alive.clone();
            let mut running = Box::pin(gate.run(request(&id, attempt), run));
            let give_up = Instant::now() + DEADLINE * 2;
            let end = tokio::select! {
                end = &mut running => end,
                () = tokio::time::sleep_until(give_up) => {
                    assert!(!alive.load(Ordering::SeqCst), "an attempt was held past its deadline");
                    // The process is gone: nothing of it may act any more, not even on drop.
                    std::mem::forget(running);
                    return AttemptEnd::NoAnswer;
                }
            };
            if !alive.load(Ordering::SeqCst) {
                return AttemptEnd::NoAnswer;
            }
            AttemptEnd::of(&store.world, id, attempt, end)
        }
    }
}

fn request(id: &str, attempt: u32) -> ClaimedRequest {
    ClaimedRequest {
        key: ClaimKey {
            customer: "sutravan".try_into().unwrap(),
            id: id.try_into().unwrap(),
        },
        digest: RequestDigest::of("POST", "till", "/payments", id.as_bytes()),
        attempt,
        remember_seconds: 3_600,
        deadline: Instant::now() + DEADLINE,
    }
}

/// The backend server: counts each run of a request.
async fn serve(store: FakeStore, id: String, attempt: u32) -> RunOutcome<CallOutcome> {
    sleep(Duration::from_millis(10)).await;
    store.die_if_dead().await;
    let fate = store.world.lock().runs.pop_front();
    let fate = fate.unwrap_or(RunFate::Answers);
    match fate {
        RunFate::Sheds => return RunOutcome::NotRun(CallOutcome::NotRun),
        RunFate::GateCrashBefore => {
            store.alive.store(false, Ordering::SeqCst);
            return pending().await;
        }
        _ => {}
    }
    let answer = count(&store.world, &id, attempt);
    sleep(Duration::from_millis(30)).await;
    match fate {
        RunFate::RunsAndLost => return RunOutcome::Unknown(CallOutcome::Unknown),
        RunFate::AnswersLate => sleep(DEADLINE).await,
        RunFate::NeverAnswers => return pending().await,
        RunFate::GateCrashAfter => {
            store.alive.store(false, Ordering::SeqCst);
            return pending().await;
        }
        _ => {}
    }
    store.die_if_dead().await;
    store.world.lock().answers.insert(id, answer.clone());
    RunOutcome::Answered(CallOutcome::Answered, answer)
}

/// Notes a run and returns its answer, another one for each run.
fn count(world: &FakeWorld, id: &str, attempt: u32) -> StoredResponse {
    world
        .lock()
        .ran
        .entry(id.to_owned())
        .or_default()
        .push(attempt);
    StoredResponse {
        status: 201,
        headers: vec![("content-type".to_owned(), b"application/json".to_vec())],
        body: AnswerBody::Whole(format!("{id} ran in attempt {attempt}").into_bytes()),
    }
}

/// What the caller of an attempt learns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptEnd {
    Outcome(CallOutcome),
    Refused(ClaimRefusal),
    NoAnswer,
}

impl AttemptEnd {
    fn of(
        world: &FakeWorld,
        id: String,
        attempt: u32,
        end: ClaimedOutcome<CallOutcome>,
    ) -> AttemptEnd {
        let end = match end {
            ClaimedOutcome::Ran(outcome) => AttemptEnd::Outcome(outcome),
            ClaimedOutcome::Refused(refusal) => AttemptEnd::Refused(refusal),
            ClaimedOutcome::Replayed(answer) => {
                assert_eq!(
                    Some(&answer),
                    world.lock().answers.get(&id),
                    "replay of {id}"
                );
                AttemptEnd::Outcome(CallOutcome::Replayed)
            }
        };
        if end.outcome() == Some(CallOutcome::NotRun) {
            world
                .lock()
                .denied
                .push((id, attempt, end.covers_earlier()));
        }
        end
    }

    fn covers_earlier(self) -> bool {
        match self {
            AttemptEnd::Refused(refusal) => refusal.covers_earlier(),
            AttemptEnd::Outcome(_) | AttemptEnd::NoAnswer => true,
        }
    }

    pub(crate) fn outcome(self) -> Option<CallOutcome> {
        match self {
            AttemptEnd::Outcome(outcome) => Some(outcome),
            AttemptEnd::Refused(refusal) => Some(refusal.outcome()),
            AttemptEnd::NoAnswer => None,
        }
    }
}
