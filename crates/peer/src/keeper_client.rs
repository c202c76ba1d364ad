//! Clients of the keepers: a link to one of them, and a client of all.

use crate::{
    keeper::{FeedPage, KeeperControlClient, KeeperError},
    link::{LinkClient, LinkError, PeerLink, postcard_transport},
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

/// Time limit of one attempt of a command.
const COMMAND_SPAN: Duration = Duration::from_secs(2);
/// Time limit of a put over all attempts.
const PUT_SPAN: Duration = Duration::from_secs(8);
/// Longest wait of a feed, so that a silent connection is noticed.
const FEED_WAIT_MAX: Duration = Duration::from_secs(1);
/// Time limit of a feed beyond the time it was asked to wait.
const FEED_GRACE: Duration = Duration::from_millis(500);
/// Most keepers that one feed asks.
const FEED_TRIES: usize = 3;
/// Time after which the nearest keeper is tried again.
const HOME_SPAN: Duration = Duration::from_secs(30);
/// Pause before another attempt while no keeper leads or can be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A handle on all keepers; clones share its connections.
#[derive(Clone, Debug)]
pub struct KeeperClient {
    shared: Arc<ClientShared>,
}

#[derive(Debug)]
struct ClientShared {
    links: Vec<KeeperLink>,
    /// The link in use; the first one is the nearest keeper's.
    current: AtomicUsize,
    moved_at: std::sync::Mutex<Instant>,
}

impl KeeperClient {
    /// Returns a handle on the keepers at `addresses`, the nearest first.
    ///
    /// Any keeper takes any request and passes it on to the one that leads.
    pub fn open(addresses: Vec<SocketAddr>) -> KeeperClient {
        let shared = ClientShared {
            links: addresses.into_iter().map(KeeperLink::open).collect(),
            current: AtomicUsize::new(0),
            moved_at: std::sync::Mutex::new(Instant::now()),
        };
        KeeperClient {
            shared: Arc::new(shared),
        }
    }

    /// Waits up to `wait`, a second at most, for contracts newer than log position `after`.
    ///
    /// A keeper that is cut off from the leader is left for another one; its page counts only if
    /// no other keeper has a better one.
    ///
    /// # Errors
    ///
    /// No keeper answered.
    pub async fn feed(&self, after: u64, wait: Duration) -> Result<FeedPage, KeeperError> {
        let wait = wait.min(FEED_WAIT_MAX);
        let start = Instant::now();
        let mut best: Option<FeedPage> = None;
        for _ in self.shared.links.iter().take(FEED_TRIES) {
            let (idx, link) = self.link()?;
            match ask_page(link, after, wait).await {
                Some(page) if page.current => return Ok(page),
                page => best = page.into_iter().chain(best).max_by_key(|p| p.position),
            }
            self.move_on(idx);
        }
        let page = best.ok_or(KeeperError::Unreachable)?;
        if page.contracts.is_empty() {
            // No keeper is in touch with a leader: don't ask them in a tight loop.
            time::sleep(wait.saturating_sub(start.elapsed())).await;
        }
        Ok(page)
    }

    /// Asks each keeper once and returns the page that reaches furthest.
    ///
    /// # Errors
    ///
    /// No keeper answered.
    pub async fn newest_page(&self, after: u64) -> Result<FeedPage, KeeperError> {
        let ask = |link| ask_page(link, after, Duration::ZERO);
        let pages = futures_util::future::join_all(self.shared.links.iter().map(ask)).await;
        let newest = pages.into_iter().flatten().max_by_key(|page| page.position);
        newest.ok_or(KeeperError::Unreachable)
    }

    /// Proposes a contract; an attempt without an answer is repeated, as a put is idempotent.
    ///
    /// # Errors
    ///
    /// The text is faulty, or no answer came in time.
    pub async fn put_contract(
        &self,
        customer: CustomerName,
        text: String,
    ) -> Result<ContractReply, KeeperError> {
        self.command(PUT_SPAN, |client, ctx| {
            let (customer, text) = (customer.clone(), text.clone());
            async move { client.put_contract(ctx, customer, text).await }
        })
        .await
    }

    /// Runs a command of the claim table; an attempt without an answer is repeated, as each
    /// command is idempotent for its owner.
    ///
    /// # Errors
    ///
    /// No answer came within `span`. With [`KeeperError::Unknown`] the command may have been run.
    pub async fn claim(
        &self,
        command: &ClaimCommand,
        span: Duration,
    ) -> Result<ClaimReply, KeeperError> {
        self.command(span, |client, ctx| {
            let command = command.clone();
            async move { client.claim(ctx, command).await }
        })
        .await
    }

    /// Runs an idempotent command, over several attempts.
    async fn command<T, F, Fut>(&self, span: Duration, request: F) -> Result<T, KeeperError>
    where
        F: Fn(KeeperControlClient, Context) -> Fut,
        Fut: Future<Output = Result<Result<T, KeeperError>, RpcError>>,
    {
        let deadline = Instant::now() + span;
        // Once an attempt may have arrived, later failures to connect don't settle it.
        let mut last = KeeperError::Unreachable;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(last);
            }
            let (idx, link) = self.link()?;
            match link.call(left.min(COMMAND_SPAN), &request).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(KeeperError::Invalid(reason))) => return Err(KeeperError::Invalid(reason)),
                Ok(Err(KeeperError::Unknown)) | Err(LinkError::NoResponse) => {
                    last = KeeperError::Unknown;
                }
                Ok(Err(_)) | Err(LinkError::Unreachable) => {}
            }
            self.move_on(idx);
            time::sleep(RETRY_PAUSE.min(left)).await;
        }
    }

    /// Returns the link in use; goes back to the nearest keeper from time to time.
    fn link(&self) -> Result<(usize, &KeeperLink), KeeperError> {
        let shared = &self.shared;
        let moved_at = *shared
            .moved_at
            .lock()
            .expect("no holder of the lock panics");
        if moved_at.elapsed() > HOME_SPAN {
            shared.current.store(0, Ordering::Relaxed);
        }
        let idx = shared.current.load(Ordering::Relaxed);
        let link = shared.links.get(idx).ok_or(KeeperError::Unreachable)?;
        Ok((idx, link))
    }

    /// Leaves the keeper at `idx` for the next one, unless that was done already.
    fn move_on(&self, idx: usize) {
        let shared = &self.shared;
        let next = (idx + 1) % shared.links.len();
        let order = Ordering::Relaxed;
        let moved = shared.current.compare_exchange(idx, next, order, order);
        if moved.is_ok() {
            *shared
                .moved_at
                .lock()
                .expect("no holder of the lock panics") = Instant::now();
        }
    }
}

async fn ask_page(link: &KeeperLink, after: u64, wait: Duration) -> Option<FeedPage> {
    let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    let asked = link.call(wait + FEED_GRACE, |client, ctx| async move {
        client.feed(ctx, after, wait_ms).await
    });
    asked.await.ok()?.ok()
}

impl LinkClient for KeeperControlClient {
    fn spawn(stream: TcpStream) -> KeeperControlClient {
        KeeperControlClient::new(Config::default(), postcard_transport(stream)).spawn()
    }
}

/// A connection to one keeper.
pub type KeeperLink = PeerLink<KeeperControlClient>;
