//! Reconnecting tarpc clients for control messages between processes.

use crate::{
    codec::{PostcardCodec, message_framing},
    dial::dial,
};
use socket2::{SockRef, TcpKeepalive};
use std::{
    future::Future,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::{client::RpcError, context::Context};
use tokio::{net::TcpStream, sync::Mutex, time};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Idle time after which the kernel sends the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A client of a tarpc service, as `tarpc::service` generates it.
pub trait LinkClient: Clone + Send + 'static {
    /// Starts a client on `stream`.
    fn spawn(stream: TcpStream) -> Self;
}

/// Returns a tarpc transport over `stream` with messages in postcard.
pub fn postcard_transport<In, Out>(
    stream: TcpStream,
) -> tarpc::serde_transport::Transport<TcpStream, In, Out, PostcardCodec>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    // Otherwise small messages wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    // An error is ignored: without probes, the time limits of requests detect a dead connection.
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
    let frames: Framed<TcpStream, LengthDelimitedCodec> = Framed::new(stream, message_framing());
    tarpc::serde_transport::new(frames, PostcardCodec)
}

/// Why a request over a link has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke or the request timed out; the request may have arrived.
    NoResponse,
}

/// A connection to one process, replaced when it breaks or a request times out.
#[derive(Debug)]
pub struct PeerLink<C> {
    addr: SocketAddr,
    state: Mutex<LinkState<C>>,
}

#[derive(Debug)]
struct LinkState<C> {
    client: Option<C>,
    /// Counts connections, so that a late failure of an old one doesn't close a newer one.
    generation: u64,
}

impl<C: LinkClient> PeerLink<C> {
    /// Returns a link to the process at `addr`; the first request opens the connection.
    pub fn open(addr: SocketAddr) -> PeerLink<C> {
        PeerLink {
            addr,
            state: Mutex::new(LinkState {
                client: None,
                generation: 0,
            }),
        }
    }

    /// Returns the process's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs `request` with a time limit; closes the connection if it fails.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be reached or doesn't reply within `limit`.
    pub async fn call<T, F, Fut>(&self, limit: Duration, request: F) -> Result<T, LinkError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let (client, generation) = self.connect().await.ok_or(LinkError::Unreachable)?;
        let mut ctx = tarpc::context::current();
        ctx.deadline = Instant::now() + limit;
        if let Ok(Ok(reply)) = time::timeout(limit, request(client, ctx)).await {
            return Ok(reply);
        }
        let mut state = self.state.lock().await;
        if state.generation == generation {
            state.client = None;
        }
        Err(LinkError::NoResponse)
    }

    async fn connect(&self) -> Option<(C, u64)> {
        let mut state = self.state.lock().await;
        if state.client.is_none() {
            let stream = dial(|| TcpStream::connect(self.addr)).await?;
            state.client = Some(C::spawn(stream));
            state.generation += 1;
        }
        Some((state.client.clone()?, state.generation))
    }
}
