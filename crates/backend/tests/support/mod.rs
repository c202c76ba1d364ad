//! A claim store and a backend server that fail as scheduled, in paused time.

use agatehill_backend::at_most_once::{
    ClaimRefusal, ClaimRunner, ClaimStore, ClaimStoreError, ClaimedOutcome, ClaimedRequest,
    RunOutcome,
};
use agatehill_decide::{
    claim::{
        ClaimCommand, ClaimKey, ClaimReply, ClaimTable, RequestDigest, StoredBody, StoredResponse,
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

/// Delivery of one command and its reply between a gate and the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    Arrives,
    NotSent,
    RequestLost,
    ReplyLost,
    /// Reported as lost, but applied later.
    Late,
    ArrivesTwice,
    /// Applied, but the connection stalls before the reply.
    Stalls,
    /// Applied, but the gate crashes before the reply.
    GateCrash,
}

/// Behavior of the backend server and the gate during one run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunBehavior {
    Answers,
    Sheds,
    /// Runs, but the connection is lost.
    ConnectionLost,
    /// Answers after the caller's deadline.
    AnswersLate,
    /// Does not answer before the gate gives up.
    NeverAnswers,
    GateCrashBefore,
    GateCrashAfter,
}

/// State shared by all gates of one test.
#[derive(Default)]
pub(crate) struct FakeState {
    table: ClaimTable,
    position: u64,
    pub(crate) sends: VecDeque<Delivery>,
    pub(crate) runs: VecDeque<RunBehavior>,
    /// Attempts that ran at the server, by request id.
    ran: HashMap<String, Vec<u32>>,
    /// Request id and number of each attempt that was reported as not run, and whether that covers
    /// earlier attempts.
    not_run: Vec<(String, u32, bool)>,
    /// Number of attempts made, by request id.
    attempts: HashMap<String, u32>,
    /// Responses that the server gave, by request id.
    responses: HashMap<String, StoredResponse>,
}

#[derive(Clone, Default)]
pub(crate) struct FakeCluster(Arc<Mutex<FakeState>>);

impl FakeCluster {
    pub(crate) fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.0.lock().unwrap()
    }

    pub(crate) fn run_count(&self, id: &str) -> usize {
        self.lock().ran.get(id).map_or(0, Vec::len)
    }

    /// Checks the reported outcomes against the runs, including runs that came later.
    pub(crate) fn check_outcomes(&self) {
        let state = self.lock();
        for (id, ran) in &state.ran {
            assert_eq!(ran.len(), 1, "{id} ran in attempts {ran:?}");
            for (_, attempt, covers_earlier) in state.not_run.iter().filter(|entry| entry.0 == *id)
            {
                let is_wrong = ran[0] == *attempt || (*covers_earlier && ran[0] < *attempt);
                assert!(
                    !is_wrong,
                    "{id} ran in attempt {}, but attempt {attempt} was reported as not run",
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

/// The claim store, as one run of one gate reaches it.
#[derive(Clone)]
pub(crate) struct FakeStore {
    cluster: FakeCluster,
    alive: Arc<AtomicBool>,
}

impl ClaimStore for FakeStore {
    async fn submit(&self, command: ClaimCommand) -> Result<ClaimReply, ClaimStoreError> {
        sleep(Duration::from_millis(3)).await;
        self.hang_if_crashed().await;
        let delivery = self.cluster.lock().sends.pop_front();
        let cluster = self.cluster.clone();
        match delivery.unwrap_or(Delivery::Arrives) {
            Delivery::Arrives => Ok(cluster.apply(command)),
            Delivery::NotSent => Err(ClaimStoreError::NotSent),
            Delivery::RequestLost => Err(ClaimStoreError::Lost),
            Delivery::ReplyLost => {
                cluster.apply(command);
                Err(ClaimStoreError::Lost)
            }
            Delivery::Late => {
                tokio::spawn(apply_later(cluster, command));
                Err(ClaimStoreError::Lost)
            }
            Delivery::ArrivesTwice => {
                tokio::spawn(apply_later(cluster.clone(), command.clone()));
                Ok(cluster.apply(command))
            }
            Delivery::Stalls => {
                cluster.apply(command);
                pending().await
            }
            Delivery::GateCrash => {
                cluster.apply(command);
                self.alive.store(false, Ordering::SeqCst);
                pending().await
            }
        }
    }
}

impl FakeStore {
    async fn hang_if_crashed(&self) {
        if !self.alive.load(Ordering::SeqCst) {
            pending::<()>().await;
        }
    }
}

async fn apply_later(cluster: FakeCluster, command: ClaimCommand) {
    sleep(Duration::from_millis(700)).await;
    cluster.apply(command);
}

/// A gate that restarts after a crash with the next incarnation.
pub(crate) struct FakeGate {
    name: String,
    cluster: FakeCluster,
    incarnation: u64,
    store: FakeStore,
    gate: ClaimRunner<FakeStore>,
}

impl FakeGate {
    pub(crate) fn open(name: &str, cluster: &FakeCluster) -> FakeGate {
        FakeGate::start(name.to_owned(), cluster.clone(), 1)
    }

    fn start(name: String, cluster: FakeCluster, incarnation: u64) -> FakeGate {
        let store = FakeStore {
            cluster: cluster.clone(),
            alive: Arc::new(AtomicBool::new(true)),
        };
        let daemon = name.as_str().try_into().unwrap();
        let gate = ClaimRunner::open(store.clone(), daemon, Incarnation(incarnation));
        FakeGate {
            name,
            cluster,
            incarnation,
            store,
            gate,
        }
    }

    pub(crate) fn crash(&self) {
        self.store.alive.store(false, Ordering::SeqCst);
    }

    pub(crate) fn restart_if_crashed(&mut self) {
        if !self.store.alive.load(Ordering::SeqCst) {
            let next = self.incarnation + 1;
            *self = FakeGate::start(self.name.clone(), self.cluster.clone(), next);
        }
    }

    /// Starts an attempt; a crashed gate leaves its caller without a response.
    pub(crate) fn attempt(&self, id: &str) -> impl Future<Output = AttemptOutcome> + Send + use<> {
        let (gate, store, id) = (self.gate.clone(), self.store.clone(), id.to_owned());
        let attempt = self.cluster.next_attempt(&id);
        async move {
            if !store.alive.load(Ordering::SeqCst) {
                return AttemptOutcome::NoResponse;
            }
            let run = serve(store.clone(), id.clone(), attempt);
            let alive = store.alive.clone();
            let mut running = Box::pin(gate.run(request(&id, attempt), run));
            let give_up = Instant::now() + DEADLINE * 2;
            let outcome = tokio::select! {
                outcome = &mut running => outcome,
                () = tokio::time::sleep_until(give_up) => {
                    assert!(!alive.load(Ordering::SeqCst), "an attempt did not end after its deadline");
                    // The process has crashed, so nothing of it may run any more, not even drops.
                    std::mem::forget(running);
                    return AttemptOutcome::NoResponse;
                }
            };
            if !alive.load(Ordering::SeqCst) {
                return AttemptOutcome::NoResponse;
            }
            AttemptOutcome::of(&store.cluster, id, attempt, outcome)
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

/// Runs a request at the backend server and records the run.
async fn serve(store: FakeStore, id: String, attempt: u32) -> RunOutcome<CallOutcome> {
    sleep(Duration::from_millis(10)).await;
    store.hang_if_crashed().await;
    let behavior = store.cluster.lock().runs.pop_front();
    let behavior = behavior.unwrap_or(RunBehavior::Answers);
    match behavior {
        RunBehavior::Sheds => return RunOutcome::NotRun(CallOutcome::NotRun),
        RunBehavior::GateCrashBefore => {
            store.alive.store(false, Ordering::SeqCst);
            return pending().await;
        }
        _ => {}
    }
    let response = record_run(&store.cluster, &id, attempt);
    sleep(Duration::from_millis(30)).await;
    match behavior {
        RunBehavior::ConnectionLost => return RunOutcome::Unknown(CallOutcome::Unknown),
        RunBehavior::AnswersLate => sleep(DEADLINE).await,
        RunBehavior::NeverAnswers => return pending().await,
        RunBehavior::GateCrashAfter => {
            store.alive.store(false, Ordering::SeqCst);
            return pending().await;
        }
        _ => {}
    }
    store.hang_if_crashed().await;
    store.cluster.lock().responses.insert(id, response.clone());
    RunOutcome::Answered(CallOutcome::Answered, response)
}

/// Records a run and returns its response, which differs between runs.
fn record_run(cluster: &FakeCluster, id: &str, attempt: u32) -> StoredResponse {
    cluster
        .lock()
        .ran
        .entry(id.to_owned())
        .or_default()
        .push(attempt);
    StoredResponse {
        status: 201,
        headers: vec![("content-type".to_owned(), b"application/json".to_vec())],
        body: StoredBody::Whole(format!("{id} ran in attempt {attempt}").into_bytes()),
    }
}

/// Outcome of an attempt as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptOutcome {
    Outcome(CallOutcome),
    Refused(ClaimRefusal),
    NoResponse,
}

impl AttemptOutcome {
    fn of(
        cluster: &FakeCluster,
        id: String,
        attempt: u32,
        outcome: ClaimedOutcome<CallOutcome>,
    ) -> AttemptOutcome {
        let outcome = match outcome {
            ClaimedOutcome::Ran(outcome) => AttemptOutcome::Outcome(outcome),
            ClaimedOutcome::Refused(refusal) => AttemptOutcome::Refused(refusal),
            ClaimedOutcome::Replayed(response) => {
                assert_eq!(
                    Some(&response),
                    cluster.lock().responses.get(&id),
                    "replayed response of {id}"
                );
                AttemptOutcome::Outcome(CallOutcome::Replayed)
            }
        };
        if outcome.outcome() == Some(CallOutcome::NotRun) {
            cluster
                .lock()
                .not_run
                .push((id, attempt, outcome.covers_earlier()));
        }
        outcome
    }

    fn covers_earlier(self) -> bool {
        match self {
            AttemptOutcome::Refused(refusal) => refusal.covers_earlier(),
            AttemptOutcome::Outcome(_) | AttemptOutcome::NoResponse => true,
        }
    }

    pub(crate) fn outcome(self) -> Option<CallOutcome> {
        match self {
            AttemptOutcome::Outcome(outcome) => Some(outcome),
            AttemptOutcome::Refused(refusal) => Some(refusal.outcome()),
            AttemptOutcome::NoResponse => None,
        }
    }
}
