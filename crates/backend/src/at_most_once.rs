//! Runs a non-idempotent request at most once.
//!
//! Once the server's gate has admitted it, the request is claimed at the keepers, run, and its
//! response recorded and returned. A granted run continues after its caller has disconnected or
//! its deadline has passed, so that a resend gets the response.

mod claim_guard;
mod keepers;
mod response;
mod store;

pub use keepers::KeeperClaims;
pub use response::{collect_response, read_prefix, replayed_response};
pub use store::{ClaimStore, ClaimStoreError};

use agatehill_decide::{
    claim::{
        ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest, FencingToken,
        RequestDigest, StoredBody, StoredResponse,
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

/// Time limit for obtaining a reply to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a claim whose reply was lost is sent again.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after the deadline in which a granted run may still complete, for the caller's resend.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a response is delayed by its record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);
/// First and longest delay before the next query of a claim that another attempt holds.
const QUERY_DELAYS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// A request that must run at most once.
#[derive(Clone, Debug)]
pub struct ClaimedRequest {
    /// Identifies the request over all its attempts.
    pub key: ClaimKey,
    /// Digest of the content, by which reuse of the key for another request is detected.
    pub digest: RequestDigest,
    /// Number of the caller's attempt, from 0.
    pub attempt: u32,
    /// Retention of the claim, in seconds.
    pub remember_seconds: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Outcome of a run at the backend server; `A` is passed on to the caller.
#[derive(Debug)]
pub enum RunOutcome<A> {
    /// The server answered; the stored response serves replays.
    Answered(A, StoredResponse),
    /// The server has not processed the request and never will.
    NotRun(A),
    /// The request may have run.
    Unknown(A),
}

/// Outcome of one attempt of a request.
#[derive(Debug)]
pub enum ClaimedOutcome<A> {
    /// The attempt ran here, with this result.
    Ran(A),
    /// The stored response of an earlier attempt.
    Replayed(StoredResponse),
    /// The attempt did not run here, or its response is not available.
    Refused(ClaimRefusal),
}

/// Why an attempt did not run, or why its response is not available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The key was used for a request with other content.
    KeyReused,
    /// The store granted no claim: it can't be reached or has retired this run of the daemon.
    StoreUnavailable,
    /// The claim table is full.
    StoreFull,
    /// Another attempt held the claim and withdrew it, or a later one was reported as `not-run`.
    AttemptWithdrawn,
    /// Another attempt is still running at the deadline.
    OtherAttemptRunning,
    /// This attempt is still running at the deadline.
    RunningPastDeadline,
    /// An earlier attempt may have run.
    MayHaveRun,
    /// An earlier attempt has run; its response was too large to store.
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

    /// Returns whether the outcome also holds for all earlier attempts of the request, because the
    /// store has replied and prevents them from running.
    pub fn covers_earlier(self) -> bool {
        !matches!(
            self,
            ClaimRefusal::StoreUnavailable | ClaimRefusal::StoreFull
        )
    }
}

/// Runs requests at most once, under claims owned by one run of a daemon.
#[derive(Clone, Debug)]
pub struct ClaimRunner<S> {
    store: S,
    daemon: DaemonName,
    incarnation: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    health: Arc<StoreHealth>,
    /// Runs and records that continue without a caller.
    tasks: TaskTracker,
}

impl<S: ClaimStore> ClaimRunner<S> {
    /// Opens the runner of the run `incarnation` of `daemon` and retires the daemon's earlier runs.
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

    /// Waits until every run has ended and is recorded; call it once no new ones are started.
    pub async fn wait_idle(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Claims `request`; polls `run` only if the claim is granted.
    pub async fn run<A, F>(&self, request: ClaimedRequest, run: F) -> ClaimedOutcome<A>
    where
        A: Send + 'static,
        F: Future<Output = RunOutcome<A>> + Send + 'static,
    {
        let Some(permit) = self.health.try_enter() else {
            return ClaimedOutcome::Refused(ClaimRefusal::StoreUnavailable);
        };
        let deadline = request.deadline;
        let claim = self.claim_request(request);
        let mut guard = ClaimGuard::new(self.store.clone(), self.tasks.clone(), &claim);
        let claim_deadline = Instant::now() + CLAIM_TIMEOUT;
        let reply = self
            .send_claim(&claim, claim_deadline.min(deadline), &mut guard)
            .await;
        // A timeout at the caller's deadline is no evidence that the store is down.
        if reply.is_ok() || claim_deadline <= deadline {
            permit.report(reply.is_ok());
        }
        match reply {
            Ok(ClaimReply::Granted(token)) => {
                guard.disarm();
                self.start_run(claim, token, deadline, run).await
            }
            Ok(ClaimReply::OwnerRetired(before)) => {
                // The clock from which runs of this daemon are numbered was set back between runs.
                let next = before.0 + u64::from(rand::random::<u16>());
                self.incarnation.fetch_max(next, Ordering::Relaxed);
                outcome_of(Ok(ClaimReply::OwnerRetired(before)), guard)
            }
            Ok(ClaimReply::Running(_)) => {
                // Releases the slot at the server while another attempt runs the request.
                drop(run);
                let reply = self.wait_other_attempt(&claim, deadline).await;
                outcome_of(reply, guard)
            }
            reply => outcome_of(reply, guard),
        }
    }

    fn claim_request(&self, request: ClaimedRequest) -> ClaimRequest {
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

    /// Sends the claim until a reply comes or `claim_deadline` passes; all copies get the same
    /// grant.
    async fn send_claim(
        &self,
        claim: &ClaimRequest,
        claim_deadline: Instant,
        guard: &mut ClaimGuard<S>,
    ) -> Result<ClaimReply, ClaimStoreError> {
        loop {
            let command = ClaimCommand::Claim(claim.clone());
            guard.record_sent();
            let sent = timeout_at(claim_deadline, submit(&self.store, command)).await;
            match sent.unwrap_or(Err(ClaimStoreError::Lost)) {
                Ok(reply) => return Ok(reply),
                Err(ClaimStoreError::NotSent) => guard.record_not_sent(),
                Err(ClaimStoreError::Lost) => {}
            }
            if Instant::now() + CLAIM_RETRY_DELAY >= claim_deadline {
                return Err(ClaimStoreError::Lost);
            }
            sleep(CLAIM_RETRY_DELAY).await;
        }
    }

    /// Runs the request in the background and waits for its outcome until the deadline.
    async fn start_run<A, F>(
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
        let granted = self.clone().run_granted(claim, token, deadline, run);
        match timeout_at(deadline, self.tasks.spawn(granted)).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => ClaimedOutcome::Refused(ClaimRefusal::MayHaveRun),
            Err(_) => ClaimedOutcome::Refused(ClaimRefusal::RunningPastDeadline),
        }
    }

    /// Waits until the attempt that holds the claim has ended; returns the reply for this attempt.
    async fn wait_other_attempt(
        &self,
        claim: &ClaimRequest,
        deadline: Instant,
    ) -> Result<ClaimReply, ClaimStoreError> {
        loop {
            let reply = self.poll_claim(claim, deadline).await;
            if reply != ClaimReply::Absent {
                return Ok(reply);
            }
            // Fences off earlier attempts: none may run after this one is reported as not run.
            let withdrawal = submit(&self.store, ClaimCommand::Withdraw(claim.clone()));
            let reply = timeout_at(deadline, withdrawal).await;
            match reply.unwrap_or(Err(ClaimStoreError::Lost))? {
                ClaimReply::Running(_) => {}
                reply => return Ok(reply),
            }
        }
    }

    /// Queries the claim until it isn't running or the deadline is near.
    async fn poll_claim(&self, claim: &ClaimRequest, deadline: Instant) -> ClaimReply {
        let (mut delay, delay_max) = QUERY_DELAYS;
        while Instant::now() + delay < deadline {
            sleep(delay).await;
            delay = (delay * 2).min(delay_max);
            let query = submit(&self.store, ClaimCommand::Query(claim.clone()));
            match timeout_at(deadline, query).await {
                Ok(Ok(ClaimReply::Running(_)) | Err(_)) => {}
                Ok(Ok(reply)) => return reply,
                Err(_) => break,
            }
        }
        ClaimReply::Running(claim.owner.clone())
    }

    /// Runs a request whose claim is granted and records its outcome.
    async fn run_granted<A, F>(
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
        let (outcome, command) = match timeout_at(deadline + LATE_RESPONSE_TIMEOUT, run).await {
            Ok(RunOutcome::Answered(response, stored)) => (
                ClaimedOutcome::Ran(response),
                finish(ClaimOutcome::Answered(stored)),
            ),
            Ok(RunOutcome::Unknown(response)) => {
                (ClaimedOutcome::Ran(response), finish(ClaimOutcome::Unknown))
            }
            Ok(RunOutcome::NotRun(response)) => {
                (ClaimedOutcome::Ran(response), ClaimCommand::Withdraw(claim))
            }
            Err(_) => (
                ClaimedOutcome::Refused(ClaimRefusal::RunningPastDeadline),
                finish(ClaimOutcome::Unknown),
            ),
        };
        let recorded = self.tasks.spawn(record(self.store.clone(), command));
        // If the record takes longer, it is completed in the background.
        let _ = timeout(RECORD_TIMEOUT, recorded).await;
        outcome
    }
}

/// Returns the outcome that follows from a reply that allows neither a run nor a further wait.
fn outcome_of<A, S>(
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
        ClaimReply::Replay(response) if response.body == StoredBody::TooLarge => {
            ClaimRefusal::AnswerNotStored
        }
        ClaimReply::Replay(response) => return ClaimedOutcome::Replayed(response),
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
