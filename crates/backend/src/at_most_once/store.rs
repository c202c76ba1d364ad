//! The claims as a gate sees them.

use agatehill_decide::claim::{ClaimCommand, ClaimReply};
use std::{
    future::Future,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Time without a reply after which a command counts as lost.
const REPLY_WAIT: Duration = Duration::from_millis(600);
/// First and longest pause before a record is sent again.
const RECORD_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Why a command got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimStoreError {
    /// The command has not been sent and never will be.
    NotSent,
    /// The command may be applied, now or later.
    Lost,
}

/// Submits commands to the keepers that hold the claims.
pub trait ClaimStore: Clone + Send + Sync + 'static {
    /// Sends `command` and returns its reply.
    fn submit(
        &self,
        command: ClaimCommand,
    ) -> impl Future<Output = Result<ClaimReply, ClaimStoreError>> + Send;
}

/// Sends `command` once.
pub(super) async fn submit<S>(
    store: &S,
    command: ClaimCommand,
) -> Result<ClaimReply, ClaimStoreError>
where
    S: ClaimStore,
{
    let replied = timeout(REPLY_WAIT, store.submit(command)).await;
    replied.unwrap_or(Err(ClaimStoreError::Lost))
}

/// Sends `command`, which must be idempotent, until a reply comes.
///
/// No limit: claims are granted only while the store can be reached, so what waits here is bounded
/// by the claims that were in hand when it was lost.
pub(super) async fn record<S: ClaimStore>(store: S, command: ClaimCommand) -> ClaimReply {
    let (mut pause, pause_max) = RECORD_PAUSES;
    loop {
        if let Ok(reply) = submit(&store, command.clone()).await {
            return reply;
        }
        sleep(pause).await;
        pause = (pause * 2).min(pause_max);
    }
}

/// Whether the store answered last time; while it doesn't, one claim at a time tries it.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    is_down: AtomicBool,
    is_tried: AtomicBool,
}

impl StoreHealth {
    /// Lets a claim try the store, unless it is down and another claim is trying it.
    pub(super) fn enter(&self) -> Option<StorePass<'_>> {
        let is_trial = self.is_down.load(Ordering::Acquire);
        if is_trial && self.is_tried.swap(true, Ordering::AcqRel) {
            return None;
        }
        Some(StorePass {
            health: self,
            is_trial,
        })
    }
}

/// Leave to try the store; dropping it lets the next one try.
#[derive(Debug)]
pub(super) struct StorePass<'a> {
    health: &'a StoreHealth,
    is_trial: bool,
}

impl StorePass<'_> {
    /// Records whether the store replied.
    pub(super) fn report(self, has_replied: bool) {
        self.health.is_down.store(!has_replied, Ordering::Release);
    }
}

impl Drop for StorePass<'_> {
    fn drop(&mut self) {
        if self.is_trial {
            self.health.is_tried.store(false, Ordering::Release);
        }
    }
}
