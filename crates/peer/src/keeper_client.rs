//! Client of the keepers: several addresses, one answer.

use crate::{
    codec::{PostcardCodec, message_frames},
    keeper::{FeedPage, KeeperControlClient, KeeperError},
};
use agatehill_decide::{contract_book::PutReply, name::CustomerName};
use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tarpc::{
    client::{Config, RpcError},
    context::Context,
};
use tokio::{net::TcpStream, sync::Mutex, time};
use tokio_util::codec::Framed;

/// Time limit of a connection attempt.
const CONNECT_SPAN: Duration = Duration::from_secs(1);
/// Time limit of one attempt of a command.
const COMMAND_SPAN: Duration = Duration::from_secs(2);
/// Time limit of a feed beyond the time it was asked to wait.
const FEED_GRACE: Duration = Duration::from_secs(2);
/// Time limit of a command over all attempts.
const TOTAL_SPAN: Duration = Duration::from_secs(8);
/// Pause before another keeper is asked while none leads.
const ELECTION_PAUSE: Duration = Duration::from_millis(100);

/// A handle on the keepers; clones share its connections.
#[derive(Clone, Debug)]
pub struct KeeperClient {
    shared: Arc<ClientShared>,
}

#[derive(Debug)]
struct ClientShared {
    addresses: Vec<SocketAddr>,
    /// Connection to the keeper that feeds contracts, the first reachable one.
    feed: Mutex<KeeperLane>,
    /// Connection to the keeper that was last found to lead.
    lead: Mutex<KeeperLane>,
}

/// One connection and where it goes.
#[derive(Debug, Default)]
struct KeeperLane {
    target: Option<SocketAddr>,
    next: usize,
    client: Option<KeeperControlClient>,
}

impl KeeperClient {
    /// Returns a handle on the keepers at `addresses`, the nearest first.
    ///
    /// Connections are opened by the first request.
    pub fn spawn(addresses: Vec<SocketAddr>) -> KeeperClient {
        let shared = ClientShared {
            addresses,
            feed: Mutex::default(),
            lead: Mutex::default(),
        };
        KeeperClient {
            shared: Arc::new(shared),
        }
    }

    /// Waits up to `wait` for contracts that are newer than log position `after`.
    ///
    /// # Errors
    ///
    /// No keeper answered.
    pub async fn feed(&self, after: u64, wait: Duration) -> Result<FeedPage, KeeperError> {
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let lane = &self.shared.feed;
        let mut last = KeeperError::Unreachable;
        for _ in 0..=self.shared.addresses.len() {
            let Some((addr, client)) = self.connect(lane).await else {
                continue;
            };
            let span = wait + FEED_GRACE;
            match attempt(span, |ctx| client.feed(ctx, after, wait_ms)).await {
                Some(Ok(page)) => return Ok(page),
                Some(Err(error)) => last = error,
                None => {}
            }
            drop_lane(lane, addr, None).await;
        }
        Err(last)
    }

    /// Proposes a contract, at whichever keeper leads.
    ///
    /// A put is idempotent, so an attempt without an answer is repeated.
    ///
    /// # Errors
    ///
    /// The text is faulty, or no answer came in time.
    pub async fn put_contract(
        &self,
        customer: CustomerName,
        text: String,
    ) -> Result<PutReply, KeeperError> {
        self.command(|client, ctx| {
            let (customer, text) = (customer.clone(), text.clone());
            async move { client.put_contract(ctx, customer, text).await }
        })
        .await
    }

    /// Runs an idempotent command at whichever keeper leads, over several attempts.
    pub(crate) async fn command<T, F, Fut>(&self, request: F) -> Result<T, KeeperError>
    where
        F: Fn(KeeperControlClient, Context) -> Fut,
        Fut: Future<Output = Result<Result<T, KeeperError>, RpcError>>,
    {
        let lane = &self.shared.lead;
        let deadline = Instant::now() + TOTAL_SPAN;
        let mut last = KeeperError::Unreachable;
        while Instant::now() < deadline {
            let Some((addr, client)) = self.connect(lane).await else {
                time::sleep(ELECTION_PAUSE).await;
                continue;
            };
            match attempt(COMMAND_SPAN, |ctx| request(client.clone(), ctx)).await {
                Some(Err(KeeperError::NotLeader { leader })) => {
                    drop_lane(lane, addr, leader).await;
                    if leader.is_none() {
                        time::sleep(ELECTION_PAUSE).await;
                    }
                }
                Some(Err(KeeperError::Unknown)) | None => {
                    last = KeeperError::Unknown;
                    drop_lane(lane, addr, None).await;
                }
                Some(reply) => return reply,
            }
        }
        Err(last)
    }

    async fn connect(&self, lane: &Mutex<KeeperLane>) -> Option<(SocketAddr, KeeperControlClient)> {
        let mut lane = lane.lock().await;
        let addr = match lane.target {
            Some(addr) => addr,
            None => self.rotate(&mut lane)?,
        };
        lane.target = Some(addr);
        if let Some(client) = &lane.client {
            return Some((addr, client.clone()));
        }
        match dial(addr).await {
            Some(client) => {
                lane.client = Some(client.clone());
                Some((addr, client))
            }
            None => {
                lane.target = None;
                None
            }
        }
    }

    fn rotate(&self, lane: &mut KeeperLane) -> Option<SocketAddr> {
        let addresses = &self.shared.addresses;
        let addr = addresses.get(lane.next % addresses.len().max(1)).copied();
        lane.next += 1;
        addr
    }
}

/// Opens a connection to the keeper at `addr`; `None` if it can't be reached in time.
pub async fn dial(addr: SocketAddr) -> Option<KeeperControlClient> {
    let connected = time::timeout(CONNECT_SPAN, TcpStream::connect(addr)).await;
    let stream = connected.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let frames = Framed::new(stream, message_frames());
    let transport = tarpc::serde_transport::new(frames, PostcardCodec);
    Some(KeeperControlClient::new(Config::default(), transport).spawn())
}

/// Runs one attempt; `None` if the connection failed or stayed silent.
async fn attempt<T, F, Fut>(span: Duration, request: F) -> Option<Result<T, KeeperError>>
where
    F: FnOnce(Context) -> Fut,
    Fut: Future<Output = Result<Result<T, KeeperError>, RpcError>>,
{
    let mut ctx = tarpc::context::current();
    ctx.deadline = Instant::now() + span;
    let answered = time::timeout(span, request(ctx)).await;
    answered.ok()?.ok()
}

/// Gives up the connection to `addr`; the next one goes to `target` or to the next address.
async fn drop_lane(lane: &Mutex<KeeperLane>, addr: SocketAddr, target: Option<SocketAddr>) {
    let mut lane = lane.lock().await;
    if lane.target == Some(addr) {
        lane.client = None;
        lane.target = target;
    }
}
