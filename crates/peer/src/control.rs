//! Control messages between daemons: whole tables of members, digests of zones, and contracts.

use crate::{
    codec::{PostcardCodec, message_framing},
    dial::dial,
    keeper::FeedPage,
};
use agatehill_decide::{
    digest::{DigestReply, DigestRequest},
    member::MemberExchange,
};
use futures_util::StreamExt;
use std::{
    collections::HashMap,
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tarpc::{
    client::Config,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};
use tokio_util::codec::Framed;

/// A connection without a request for this long is closed.
const IDLE_SPAN: Duration = Duration::from_secs(60);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time limit of a request.
const REQUEST_SPAN: Duration = Duration::from_secs(2);

/// What a daemon does for other daemons.
pub trait ControlService: Clone + Send + Sync + 'static {
    /// Takes another member's table in; `None` if it is of another zone.
    fn exchange(
        &self,
        table: MemberExchange,
    ) -> impl Future<Output = Option<MemberExchange>> + Send;

    /// Answers what other daemons ask about zones; `None` while the daemon stops.
    fn digests(&self, request: DigestRequest) -> impl Future<Output = Option<DigestReply>> + Send;

    /// Returns the contracts in force here.
    fn contracts(&self) -> impl Future<Output = FeedPage> + Send;
}

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
        /// Takes a table of members in and returns the own one.
        async fn exchange(table: MemberExchange) -> Option<MemberExchange>;
        /// Returns what has changed in the digests.
        async fn digests(request: DigestRequest) -> Option<DigestReply>;
        /// Returns the contracts in force.
        async fn contracts() -> FeedPage;
    }
}

use wire::{PeerControl, PeerControlClient};

/// A running listener for a [`ControlService`]; stops when dropped.
#[derive(Debug)]
pub struct ControlServer {
    addr: SocketAddr,
    _stop: watch::Sender<()>,
}

impl ControlServer {
    /// Serves `service` on `listener`.
    ///
    /// # Errors
    ///
    /// The listener's address can't be read.
    pub fn spawn<S: ControlService>(
        listener: TcpListener,
        service: S,
    ) -> io::Result<ControlServer> {
        let addr = listener.local_addr()?;
        let (stop, stopped) = watch::channel(());
        tokio::spawn(accept(listener, service, stopped));
        Ok(ControlServer { addr, _stop: stop })
    }

    /// Returns the address that is listened on.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }
}

async fn accept<S: ControlService>(
    listener: TcpListener,
    service: S,
    mut stopped: watch::Receiver<()>,
) {
    loop {
        let accepted = tokio::select! {
            _ = stopped.changed() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, service.clone(), stopped.clone()));
            }
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve<S: ControlService>(stream: TcpStream, service: S, mut stopped: watch::Receiver<()>) {
    // Without this, small answers wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let frames = Framed::new(stream, message_framing());
    let transport = tarpc::serde_transport::new(frames, PostcardCodec);
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = Box::pin(channel.execute(ControlAdapter(service).serve()));
    loop {
        let call = tokio::select! {
            _ = stopped.changed() => return,
            call = time::timeout(IDLE_SPAN, calls.next()) => call,
        };
        let Ok(Some(call)) = call else { return };
        tokio::spawn(call);
    }
}

/// Asks other daemons; clones share its connections.
#[derive(Clone, Debug, Default)]
pub struct ControlClient {
    /// Connections for digests, which are asked for again and again at the same few daemons.
    pool: Arc<Mutex<HashMap<SocketAddr, PeerControlClient>>>,
}

impl ControlClient {
    /// Sends `table` to the daemon at `addr` and returns its own; `None` without an answer in time.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        table: MemberExchange,
    ) -> Option<MemberExchange> {
        let client = connect(addr).await?;
        let asked = time::timeout(REQUEST_SPAN, client.exchange(deadline(), table));
        asked.await.ok()?.ok()?
    }

    /// Asks the daemon at `addr` for digests; `None` without an answer in time.
    ///
    /// A connection that stays silent is given up.
    pub async fn digests(&self, addr: SocketAddr, request: DigestRequest) -> Option<DigestReply> {
        let pooled = self.pool().remove(&addr);
        let client = match pooled {
            Some(client) => client,
            None => connect(addr).await?,
        };
        let asked = time::timeout(REQUEST_SPAN, client.digests(deadline(), request));
        let reply = asked.await.ok()?.ok()?;
        self.pool().insert(addr, client);
        reply
    }

    /// Asks the daemon at `addr` for its contracts; `None` without an answer in time.
    pub async fn contracts(&self, addr: SocketAddr) -> Option<FeedPage> {
        let client = connect(addr).await?;
        let asked = time::timeout(REQUEST_SPAN, client.contracts(deadline()));
        asked.await.ok()?.ok()
    }

    fn pool(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerControlClient>> {
        self.pool.lock().expect("no holder of the pool panics")
    }
}

fn deadline() -> Context {
    let mut ctx = tarpc::context::current();
    ctx.deadline = Instant::now() + REQUEST_SPAN;
    ctx
}

/// Opens a connection to the daemon at `addr`; `None` if it can't be reached in time.
async fn connect(addr: SocketAddr) -> Option<PeerControlClient> {
    let stream = dial(|| TcpStream::connect(addr)).await?;
    // Without this, small requests wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let frames = Framed::new(stream, message_framing());
    let transport = tarpc::serde_transport::new(frames, PostcardCodec);
    Some(PeerControlClient::new(Config::default(), transport).spawn())
}
