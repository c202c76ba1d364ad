//! Runs a non-idempotent request at most once.
//!
//! With a place at the server in hand: claim at the keepers, run, record the answer, answer. A run
//! that was granted goes on when its caller has gone or its deadline has passed, so that a resend
//! is told the answer.

mod answer;
mod claim_guard;
mod keepers;
mod store;

pub use answer::{collect_answer, read_prefix, replayed_response};
pub use keepers::KeeperClaims;
pub use store::{ClaimStore, ClaimStoreError};

use agatehill_decide::{
    claim::{
        AnswerBody, ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest,
        FencingToken, RequestDigest, StoredResponse,
    },
    name::{DaemonName, Incarnation},
    outcome::CallOutcome,
};
use claim_guard::ClaimGuard;
use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use store::{StoreHealth, record, submit};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::task::TaskTracker;

/// Longest wait for a claim.
const CLAIM_WAIT: Duration = Duration::from_millis(1_500);
/// Pause before a claim whose reply was lost is sent again.
const CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Time after the deadline for which a granted run may still answer, for the caller's resend.
const LATE_ANSWER_SPAN: Duration = Duration::from_secs(5);
/// Longest wait for the record of an answer before the answer is passed on.
const RECORD_WAIT: Duration = Duration::from_millis(250);
/// First and longest pause between two looks at a claim that another gate holds.
const LOOK_PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// A request that must not run twice.
#[derive(Clone, Debug)]
pub struct ClaimedRequest {
    /// The request, over all its attempts.
    pub key: ClaimKey,
    /// What it asks for.
    pub digest: RequestDigest,
    /// The caller's count of attempts, from 0.
    pub attempt: u32,
    /// Time for which the run is remembered, in seconds.
    pub remember_seconds: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// How a run at the backend server ended; `A` is what is passed on.
#[derive(Debug)]
pub enum RunOutcome<A> {
    /// With an answer, and its form for replay.
    Answered(A, StoredResponse),
    /// The request has not reached the server's work and never will.
    NotRun(A),
    /// The request may have run.
    Unknown(A),
}

/// What becomes of one attempt of a request.
#[derive(Debug)]
pub enum ClaimedOutcome<A> {
    /// The attempt ran here; this is what its run returned.
    Ran(A),
    /// The answer of an earlier attempt.
    Replayed(StoredResponse),
    /// The attempt did not run here.
    Refused(ClaimRefusal),
}

/// Why an attempt did not run, or its answer can't be told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The key was used for another request.
    KeyReused,
    /// The claims can't be asked.
    StoreUnavailable,
    /// The claims are full.
    StoreFull,
    /// Another attempt held the claim and has given it back, or a later one has said `not-run`.
    AttemptWithdrawn,
    /// Another attempt still runs at the deadline.
    OtherAttemptRunning,
    /// This attempt runs on after the deadline.
    RunningPastDeadline,
    /// An earlier attempt may have run.
    MayHaveRun,
    /// An earlier attempt has run; its answer was too large to keep.
    AnswerNotStored,
}

impl ClaimRefusal {
    /// Returns what is known about the run.
    pub fn outcome(self) -> CallOutcome {
        match self {
            ClaimRefusal::KeyReused
            | ClaimRefusal::StoreUnavailable
            | ClaimRefusal::StoreFull
            | ClaimRefusal::AttemptWithdrawn => CallOutcome::NotRun,
            ClaimRefusal::OtherAttemptRunning
            | ClaimRefusal::RunningPastDeadline
            | ClaimRefusal::MayHaveRun
            | ClaimRefusal::AnswerNotStored => CallOutcome::Unknown,
        }
    }

    /// Returns whether the outcome speaks for all earlier attempts of the request too, because the
    /// claims were asked and fence them.
    pub fn covers_earlier(self) -> bool {
        !matches!(
            self,
            ClaimRefusal::StoreUnavailable | ClaimRefusal::StoreFull
        )
    }
}

/// Runs requests at most once, under claims of one run of a daemon.
#[derive(Clone, Debug)]
pub struct ClaimRunner<S> {
    store: S,
    daemon: DaemonName,
    incarnation: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    health: Arc<StoreHealth>,
    /// Runs and records that go on without a caller.
    tasks: TaskTracker,
}

impl<S: ClaimStore> ClaimRunner<S> {
    /// Opens the gate of the run `incarnation` of `daemon`, and ends the claims of its earlier runs.
    pub fn open(store: S, daemon: DaemonName, incarnation: Incarnation) -> ClaimRunner<S> {
        let retire = ClaimCommand::RetireRuns {
            daemon: daemon.clone(),
            before: incarnation,
        };
        let tasks = TaskTracker::new();
        tasks.spawn(record(store.clone(), retire));
        ClaimRunner {
            store,
            daemon,
            incarnation: Arc::new(AtomicU64::new(incarnation.0)),
            sequence: Arc::default(),
            health: Arc::default(),
            tasks,
        }
    }

    /// Waits until every run has ended and is recorded; call it when no new one comes.
    pub async fn wait_idle(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Claims `request` and polls `run` if the claim is granted; never polls it otherwise.
    pub async fn run<A, F>(&self, request: ClaimedRequest, run: F) -> ClaimedOutcome<A>
    where
        A: Send + 'static,
        F: Future<Output = RunOutcome<A>> + Send + 'static,
    {
        let Some(pass) = self.health.enter() else {
            return ClaimedOutcome::Refused(ClaimRefusal::StoreUnavailable);
        };
        let deadline = request.deadline;
        let claim = self.claim_of(request);
        let mut guard = ClaimGuard::new(self.store.clone(), self.tasks.clone(), &claim);
        let limit = Instant::now() + CLAIM_WAIT;
        let reply = self.ask(&claim, limit.min(deadline), &mut guard).await;
        // That a caller had little time left says nothing about the store.
        if reply.is_ok() || limit <= deadline {
            pass.report(reply.is_ok());
        }
        match reply {
            Ok(ClaimReply::Granted(token)) => {
                guard.disarm();
                self.start(claim, token, deadline, run).await
            }
            Ok(ClaimReply::OwnerRetired(before)) => {
                // The clock that numbers the runs of this daemon was set back between two of them.
                let next = before.0 + u64::from(rand::random::<u16>());
                self.incarnation.fetch_max(next, Ordering::Relaxed);
                settle(Ok(ClaimReply::OwnerRetired(before)), guard)
            }
            Ok(ClaimReply::Running(_)) => {
                // The place at the server is free while another gate runs the request.
                drop(run);
                let reply = self.follow(&claim, deadline).await;
                settle(reply, guard)
            }
            reply => settle(reply, guard),
        }
    }

    fn claim_of(&self, request: ClaimedRequest) -> ClaimRequest {
        let owner = ClaimOwner {
            daemon: self.daemon.clone(),
            incarnation: Incarnation(self.incarnation.load(Ordering::Relaxed)),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        };
        ClaimRequest {
            key: request.key,
            digest: request.digest,
            owner,
            attempt: request.attempt,
            remember_seconds: request.remember_seconds,
        }
    }

    /// Sends the claim until a reply comes; a copy gets the same grant as the first.
    async fn ask(
        &self,
        claim: &ClaimRequest,
        limit: Instant,
        guard: &mut ClaimGuard<S>,
    ) -> Result<ClaimReply, ClaimStoreError> {
        loop {
            let command = ClaimCommand::Claim(claim.clone());
            guard.expose();
            let sent = timeout_at(limit, submit(&self.store, command)).await;
            match sent.unwrap_or(Err(ClaimStoreError::Lost)) {
                Ok(reply) => return Ok(reply),
                Err(ClaimStoreError::NotSent) => guard.not_sent(),
                Err(ClaimStoreError::Lost) => {}
            }
            if Instant::now() + CLAIM_PAUSE >= limit {
                return Err(ClaimStoreError::Lost);
            }
            sleep(CLAIM_PAUSE).await;
        }
    }

    async fn start<A, F>(
        &self,
        claim: ClaimRequest,
        token: FencingToken,
        deadline: Instant,
        run: F,
    ) -> ClaimedOutcome<A>
    where
        A: Send + 'static,
        F: Future<Output = RunOutcome<A>> + Send + 'static,
    {
        let granted = self.clone().granted(claim, token, deadline, run);
        match timeout_at(deadline, self.tasks.spawn(granted)).await {
            Ok(Ok(end)) => end,
            Ok(Err(_)) => ClaimedOutcome::Refused(ClaimRefusal::MayHaveRun),
            Err(_) => ClaimedOutcome::Refused(ClaimRefusal::RunningPastDeadline),
        }
    }

    /// Waits until the attempt that holds the claim has ended, and returns how the claim stands.
    async fn follow(
        &self,
        claim: &ClaimRequest,
        deadline: Instant,
    ) -> Result<ClaimReply, ClaimStoreError> {
        loop {
            let reply = self.watch(claim, deadline).await;
            if reply != ClaimReply::Absent {
                return Ok(reply);
            }
            // Fences earlier attempts: none may run once this one has said that none did.
            let withdrawal = submit(&self.store, ClaimCommand::Withdraw(claim.clone()));
            let reply = timeout_at(deadline, withdrawal).await;
            match reply.unwrap_or(Err(ClaimStoreError::Lost))? {
                ClaimReply::Running(_) => {}
                reply => return Ok(reply),
            }
        }
    }

    /// Looks at the claim until it isn't running or the deadline is near.
    async fn watch(&self, claim: &ClaimRequest, deadline: Instant) -> ClaimReply {
        let (mut pause, pause_max) = LOOK_PAUSES;
        while Instant::now() + pause < deadline {
            sleep(pause).await;
            pause = (pause * 2).min(pause_max);
            let look = submit(&self.store, ClaimCommand::Query(claim.clone()));
            match timeout_at(deadline, look).await {
                Ok(Ok(ClaimReply::Running(_)) | Err(_)) => {}
                Ok(Ok(reply)) => return reply,
                Err(_) => break,
            }
        }
        ClaimReply::Running(claim.owner.clone())
    }

    /// Runs a request whose claim is granted and records how it ended.
    async fn granted<A, F>(
        self,
        claim: ClaimRequest,
        token: FencingToken,
        deadline: Instant,
        run: F,
    ) -> ClaimedOutcome<A>
    where
        F: Future<Output = RunOutcome<A>>,
    {
        let key = claim.key.clone();
        let finish = |outcome| ClaimCommand::Finish {
            key,
            token,
            outcome,
        };
        let (end, command) = match timeout_at(deadline + LATE_ANSWER_SPAN, run).await {
            Ok(RunOutcome::Answered(answer, stored)) => (
                ClaimedOutcome::Ran(answer),
                finish(ClaimOutcome::Answered(stored)),
            ),
            Ok(RunOutcome::Unknown(answer)) => {
                (ClaimedOutcome::Ran(answer), finish(ClaimOutcome::Unknown))
            }
            Ok(RunOutcome::NotRun(answer)) => {
                (ClaimedOutcome::Ran(answer), ClaimCommand::Withdraw(claim))
            }
            Err(_) => (
                ClaimedOutcome::Refused(ClaimRefusal::RunningPastDeadline),
                finish(ClaimOutcome::Unknown),
            ),
        };
        let recorded = self.tasks.spawn(record(self.store.clone(), command));
        // What is not recorded by then is recorded in the background.
        let _ = timeout(RECORD_WAIT, recorded).await;
        end
    }
}

/// Returns what a reply means that leaves nothing to wait for and nothing to run.
fn settle<A, S>(
    reply: Result<ClaimReply, ClaimStoreError>,
    mut guard: ClaimGuard<S>,
) -> ClaimedOutcome<A>
where
    S: ClaimStore,
{
    let Ok(reply) = reply else {
        return ClaimedOutcome::Refused(ClaimRefusal::StoreUnavailable);
    };
    if reply.is_final() {
        guard.disarm();
    }
    let refusal = match reply {
        ClaimReply::Replay(answer) if answer.body == AnswerBody::TooLarge => {
            ClaimRefusal::AnswerNotStored
        }
        ClaimReply::Replay(answer) => return ClaimedOutcome::Replayed(answer),
        ClaimReply::Mismatch => ClaimRefusal::KeyReused,
        ClaimReply::Full => ClaimRefusal::StoreFull,
        ClaimReply::Done | ClaimReply::Withdrawn => ClaimRefusal::AttemptWithdrawn,
        ClaimReply::Running(_) => ClaimRefusal::OtherAttemptRunning,
        ClaimReply::OwnerRetired(_) => ClaimRefusal::StoreUnavailable,
        ClaimReply::Unknown
        | ClaimReply::Absent
        | ClaimReply::Granted(_)
        | ClaimReply::StaleToken => ClaimRefusal::MayHaveRun,
    };
    ClaimedOutcome::Refused(refusal)
}
