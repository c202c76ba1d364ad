//! Interface to the store of claims.

use agatehill_decide::claim::{ClaimCommand, ClaimReply};
use std::{
    future::Future,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Time without a reply after which a command counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// First and longest delay before a record is sent again.
const RECORD_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Why a command got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimStoreError {
    /// The command has not been sent and never will be.
    NotSent,
    /// The command may have been applied or be applied later.
    Lost,
}

/// A store of claims, to which commands are submitted.
pub trait ClaimStore: Clone + Send + Sync + 'static {
    /// Sends `command` and returns its reply.
    fn submit(
        &self,
        command: ClaimCommand,
    ) -> impl Future<Output = Result<ClaimReply, ClaimStoreError>> + Send;
}

/// Sends `command` once, with a time limit.
pub(super) async fn submit<S>(
    store: &S,
    command: ClaimCommand,
) -> Result<ClaimReply, ClaimStoreError>
where
    S: ClaimStore,
{
    let replied = timeout(REPLY_TIMEOUT, store.submit(command)).await;
    replied.unwrap_or(Err(ClaimStoreError::Lost))
}

/// Sends `command`, which must be idempotent, until a reply comes.
///
/// Retries without limit: claims are granted only while the store can be reached, so the number of
/// waiting records is bounded by the claims held when the connection was lost.
pub(super) async fn record<S: ClaimStore>(store: S, command: ClaimCommand) -> ClaimReply {
    let (mut delay, delay_max) = RECORD_DELAYS;
    loop {
        if let Ok(reply) = submit(&store, command.clone()).await {
            return reply;
        }
        sleep(delay).await;
        delay = (delay * 2).min(delay_max);
    }
}

/// Whether the store replied last time; while it doesn't, only one claim at a time probes it.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    is_down: AtomicBool,
    is_probed: AtomicBool,
}

impl StoreHealth {
    /// Permits a claim to use the store, unless it is down and another claim is probing it.
    pub(super) fn try_enter(&self) -> Option<StorePermit<'_>> {
        let is_probe = self.is_down.load(Ordering::Acquire);
        if is_probe && self.is_probed.swap(true, Ordering::AcqRel) {
            return None;
        }
        Some(StorePermit {
            health: self,
            is_probe,
        })
    }
}

/// Permit to use the store; dropping it allows the next probe.
#[derive(Debug)]
pub(super) struct StorePermit<'a> {
    health: &'a StoreHealth,
    is_probe: bool,
}

impl StorePermit<'_> {
    /// Records whether the store replied.
    pub(super) fn report(self, has_replied: bool) {
        self.health.is_down.store(!has_replied, Ordering::Release);
    }
}

impl Drop for StorePermit<'_> {
    fn drop(&mut self) {
        if self.is_probe {
            self.health.is_probed.store(false, Ordering::Release);
        }
    }
}
