//! Control messages between daemons over TCP: full member tables, zone digests and contracts.

use crate::{
    codec::{PostcardCodec, message_framing},
    dial::dial,
    keeper::FeedPage,
    link::served_transport,
    listener::{PeerListener, run_calls},
    metered_stream::MeteredStream,
};
use agatehill_decide::{
    digest::{DigestReply, DigestRequest},
    member::MemberExchange,
};
use agatehill_process::budget::ListenerBudget;
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tarpc::{
    client::Config,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::codec::Framed;

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit of a request, apart from opening the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles requests of other daemons.
pub trait ControlService: Clone + Send + Sync + 'static {
    /// Merges another daemon's member table and returns this daemon's; `None` if the sender belongs
    /// to another zone.
    fn exchange(
        &self,
        table: MemberExchange,
    ) -> impl Future<Output = Option<MemberExchange>> + Send;

    /// Returns the requested zone digests; `None` while the daemon stops.
    fn digests(&self, request: DigestRequest) -> impl Future<Output = Option<DigestReply>> + Send;

    /// Returns the contracts that this daemon applies.
    fn contracts(&self) -> impl Future<Output = FeedPage> + Send;
}

/// Adapts a [`ControlService`] to the generated trait, whose futures are not known to be `Send`.
#[derive(Clone)]
struct ControlAdapter<S>(S);

impl<S: ControlService> wire::PeerControl for ControlAdapter<S> {
    async fn exchange(self, _: Context, table: MemberExchange) -> Option<MemberExchange> {
        self.0.exchange(table).await
    }

    async fn digests(self, _: Context, request: DigestRequest) -> Option<DigestReply> {
        self.0.digests(request).await
    }

    async fn contracts(self, _: Context) -> FeedPage {
        self.0.contracts().await
    }
}

mod wire {
    #![allow(missing_docs)] // tarpc generates items without documentation.

    use super::{DigestReply, DigestRequest, FeedPage, MemberExchange};

    /// The wire form of [`super::ControlService`].
    #[tarpc::service]
    pub trait PeerControl {
        /// Merges a member table and returns the receiver's.
        async fn exchange(table: MemberExchange) -> Option<MemberExchange>;
        /// Returns the digests that are new to the sender.
        async fn digests(request: DigestRequest) -> Option<DigestReply>;
        /// Returns the contracts that the daemon applies.
        async fn contracts() -> FeedPage;
    }
}

use wire::{PeerControl, PeerControlClient, PeerControlRequest, PeerControlResponse};

/// A running listener for a [`ControlService`]; stops when dropped.
#[derive(Debug)]
pub struct ControlServer {
    listener: PeerListener,
}

impl ControlServer {
    /// Serves `service` on `listener` within `budget`.
    ///
    /// # Errors
    ///
    /// Fails if the listener's address can't be read.
    pub fn spawn<S: ControlService>(
        listener: TcpListener,
        service: S,
        budget: ListenerBudget,
    ) -> io::Result<ControlServer> {
        let listener = PeerListener::spawn(listener, budget, move |stream| {
            serve(stream, service.clone())
        })?;
        Ok(ControlServer { listener })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.listener.local_addr()
    }
}

async fn serve<S: ControlService>(stream: MeteredStream, service: S) {
    let transport = served_transport::<
        tarpc::ClientMessage<PeerControlRequest>,
        tarpc::Response<PeerControlResponse>,
        _,
    >(stream, PostcardCodec);
    let channel = BaseChannel::with_defaults(transport);
    run_calls(
        channel.execute(ControlAdapter(service).serve()),
        IDLE_TIMEOUT,
    )
    .await;
}

/// Sends requests to other daemons; clones share pooled connections.
#[derive(Clone, Debug, Default)]
pub struct ControlClient {
    /// Connections for digests, which are requested from the same few daemons periodically.
    pool: Arc<Mutex<HashMap<SocketAddr, PeerControlClient>>>,
}

impl ControlClient {
    /// Sends `table` to the daemon at `addr` and returns that daemon's table; `None` if it can't be
    /// reached, belongs to another zone or doesn't reply in time.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        table: MemberExchange,
    ) -> Option<MemberExchange> {
        let client = connect(addr).await?;
        let reply = time::timeout(REQUEST_TIMEOUT, client.exchange(deadline(), table));
        reply.await.ok()?.ok()?
    }

    /// Requests digests from the daemon at `addr`; `None` if it doesn't reply in time.
    ///
    /// A connection on which a request times out is closed.
    pub async fn digests(&self, addr: SocketAddr, request: DigestRequest) -> Option<DigestReply> {
        let pooled = self.pool().remove(&addr);
        let client = match pooled {
            Some(client) => client,
            None => connect(addr).await?,
        };
        let reply = time::timeout(REQUEST_TIMEOUT, client.digests(deadline(), request));
        let reply = reply.await.ok()?.ok()?;
        self.pool().insert(addr, client);
        reply
    }

    /// Requests the contracts of the daemon at `addr`; `None` if it doesn't reply in time.
    pub async fn contracts(&self, addr: SocketAddr) -> Option<FeedPage> {
        let client = connect(addr).await?;
        let reply = time::timeout(REQUEST_TIMEOUT, client.contracts(deadline()));
        reply.await.ok()?.ok()
    }

    fn pool(&self) -> parking_lot::MutexGuard<'_, HashMap<SocketAddr, PeerControlClient>> {
        self.pool.lock()
    }
}

fn deadline() -> Context {
    let mut ctx = tarpc::context::current();
    ctx.deadline = Instant::now() + REQUEST_TIMEOUT;
    ctx
}

/// Opens a connection to the daemon at `addr`; `None` if it can't be reached in time.
async fn connect(addr: SocketAddr) -> Option<PeerControlClient> {
    let stream = dial(|| TcpStream::connect(addr)).await?;
    // Otherwise small requests wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let frames = Framed::new(stream, message_framing());
    let transport = tarpc::serde_transport::new(frames, PostcardCodec);
    Some(PeerControlClient::new(Config::default(), transport).spawn())
}
