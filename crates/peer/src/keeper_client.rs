//! Clients of the keepers: a link to one keeper, and a client that fails over between all.

use crate::{
    keeper::{FeedPage, KeeperControlClient, KeeperError},
    link::{LinkClient, LinkError, MessageFormat, PeerLink, RunningClient, postcard_transport},
};
use agatehill_decide::{
    claim::{ClaimCommand, ClaimReply},
    contract_history::ContractReply,
    name::CustomerName,
};
use std::{
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tarpc::{
    client::{Config, RpcError},
    context::Context,
};
use tokio::{net::TcpStream, time};

/// Time limit of one attempt to run a command.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of a contract put over all attempts.
const PUT_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest wait that a feed requests; bounds the time until a dead connection is detected.
const FEED_WAIT_MAX: Duration = Duration::from_secs(1);
/// Time added to the requested wait of a feed to form its timeout.
const FEED_TIMEOUT_GRACE: Duration = Duration::from_millis(500);
/// Most keepers that one feed tries.
const FEED_KEEPERS_MAX: usize = 3;
/// Time after a switch to another keeper at which the nearest one is tried again.
const NEAREST_RETRY_INTERVAL: Duration = Duration::from_secs(30);
/// Pause before the next attempt of a command.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A client of all keepers; clones share connections.
#[derive(Clone, Debug)]
pub struct KeeperClient {
    shared: Arc<ClientShared>,
}

#[derive(Debug)]
struct ClientShared {
    links: Vec<KeeperLink>,
    /// Index of the link in use; 0 is the nearest keeper.
    current: AtomicUsize,
    switched_at: parking_lot::Mutex<Instant>,
}

impl KeeperClient {
    /// Returns a client of the keepers at `addresses`, ordered from the nearest.
    ///
    /// Any keeper accepts any request and forwards it to the leader.
    pub fn open(addresses: Vec<SocketAddr>) -> KeeperClient {
        let shared = ClientShared {
            links: addresses.into_iter().map(KeeperLink::open).collect(),
            current: AtomicUsize::new(0),
            switched_at: parking_lot::Mutex::new(Instant::now()),
        };
        KeeperClient {
            shared: Arc::new(shared),
        }
    }

    /// Waits up to `wait`, at most one second, for contracts newer than log position `after`.
    ///
    /// If a keeper has lost contact with the leader, the next one is tried; its page is returned
    /// only if no other keeper has a later one.
    ///
    /// # Errors
    ///
    /// Fails if no keeper replies.
    pub async fn feed(&self, after: u64, wait: Duration) -> Result<FeedPage, KeeperError> {
        let wait = wait.min(FEED_WAIT_MAX);
        let start = Instant::now();
        let mut best: Option<FeedPage> = None;
        for _ in self.shared.links.iter().take(FEED_KEEPERS_MAX) {
            let (idx, link) = self.current_link()?;
            match request_page(link, after, wait).await {
                Some(page) if page.current => return Ok(page),
                page => best = page.into_iter().chain(best).max_by_key(|p| p.position),
            }
            self.switch_from(idx);
        }
        let page = best.ok_or(KeeperError::Unreachable)?;
        if page.contracts.is_empty() {
            // No keeper is in contact with a leader: keep callers from polling in a tight loop.
            time::sleep(wait.saturating_sub(start.elapsed())).await;
        }
        Ok(page)
    }

    /// Requests a page from every keeper and returns the one with the highest log position.
    ///
    /// # Errors
    ///
    /// Fails if no keeper replies.
    pub async fn newest_page(&self, after: u64) -> Result<FeedPage, KeeperError> {
        let request = |link| request_page(link, after, Duration::ZERO);
        let pages = futures_util::future::join_all(self.shared.links.iter().map(request)).await;
        let newest = pages.into_iter().flatten().max_by_key(|page| page.position);
        newest.ok_or(KeeperError::Unreachable)
    }

    /// Proposes a contract; retries an attempt without a reply, as a put is idempotent.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid or no reply arrives in time. With [`KeeperError::Unknown`] the
    /// contract may have been accepted.
    pub async fn put_contract(
        &self,
        customer: CustomerName,
        text: String,
    ) -> Result<ContractReply, KeeperError> {
        self.command(PUT_TIMEOUT, move |client, ctx| async move {
            client.put_contract(ctx, customer, text).await
        })
        .await
    }

    /// Runs a command of the claim table; retries an attempt without a reply, as each command is
    /// idempotent for its owner.
    ///
    /// # Errors
    ///
    /// Fails if no reply arrives within `limit`. With [`KeeperError::Unknown`] the command may have
    /// been run.
    pub async fn claim(
        &self,
        command: &ClaimCommand,
        limit: Duration,
    ) -> Result<ClaimReply, KeeperError> {
        let command = command.clone();
        self.command(limit, move |client, ctx| async move {
            client.claim(ctx, command).await
        })
        .await
    }

    /// Runs an idempotent command with retries until `limit` has passed.
    async fn command<T, F, Fut>(&self, limit: Duration, request: F) -> Result<T, KeeperError>
    where
        T: Send + 'static,
        F: FnOnce(KeeperControlClient, Context) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = Result<Result<T, KeeperError>, RpcError>> + Send + 'static,
    {
        let deadline = Instant::now() + limit;
        // `Unknown` is kept when later attempts can't connect: an earlier one may have arrived.
        let mut error = KeeperError::Unreachable;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(error);
            }
            let (idx, link) = self.current_link()?;
            match link
                .call(remaining.min(ATTEMPT_TIMEOUT), request.clone())
                .await
            {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(KeeperError::Invalid(reason))) => return Err(KeeperError::Invalid(reason)),
                Ok(Err(KeeperError::Unknown)) | Err(LinkError::NoResponse) => {
                    error = KeeperError::Unknown;
                }
                Ok(Err(_)) | Err(LinkError::Unreachable) => {}
            }
            self.switch_from(idx);
            time::sleep(RETRY_PAUSE.min(remaining)).await;
        }
    }

    /// Returns the link in use and its index; periodically returns to the nearest keeper.
    fn current_link(&self) -> Result<(usize, &KeeperLink), KeeperError> {
        let shared = &self.shared;
        let switched_at = *shared.switched_at.lock();
        if switched_at.elapsed() > NEAREST_RETRY_INTERVAL {
            shared.current.store(0, Ordering::Relaxed);
        }
        let idx = shared.current.load(Ordering::Relaxed);
        let link = shared.links.get(idx).ok_or(KeeperError::Unreachable)?;
        Ok((idx, link))
    }

    /// Switches from the keeper at `idx` to the next one, unless another request has done so.
    fn switch_from(&self, idx: usize) {
        let shared = &self.shared;
        let next = (idx + 1) % shared.links.len();
        let order = Ordering::Relaxed;
        let switched = shared.current.compare_exchange(idx, next, order, order);
        if switched.is_ok() {
            *shared.switched_at.lock() = Instant::now();
        }
    }
}

async fn request_page(link: &KeeperLink, after: u64, wait: Duration) -> Option<FeedPage> {
    let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    let reply = link.call(wait + FEED_TIMEOUT_GRACE, move |client, ctx| async move {
        client.feed(ctx, after, wait_ms).await
    });
    reply.await.ok()?.ok()
}

impl LinkClient for KeeperControlClient {
    fn spawn(stream: TcpStream, _: MessageFormat) -> RunningClient<KeeperControlClient> {
        let transport = postcard_transport(stream);
        RunningClient::spawn(KeeperControlClient::new(Config::default(), transport))
    }
}

/// A reconnecting client of one keeper.
pub type KeeperLink = PeerLink<KeeperControlClient>;
