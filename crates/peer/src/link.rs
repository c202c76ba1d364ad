//! Connections for control messages to other processes of the system.

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

/// Silence after which the kernel probes whether the other end is there.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Time between two such probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A client of a tarpc service.
pub trait LinkClient: Clone + Send + 'static {
    /// Starts a client on a new connection.
    fn spawn(stream: TcpStream) -> Self;
}

/// Returns the transport of a connection.
pub fn postcard_transport<In, Out>(
    stream: TcpStream,
) -> tarpc::serde_transport::Transport<TcpStream, In, Out, PostcardCodec>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    // Without this, small messages wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL);
    // Without probes a silent connection is found by the time limits of the requests.
    let _ = SockRef::from(&stream).set_tcp_keepalive(&probes);
    let frames: Framed<TcpStream, LengthDelimitedCodec> = Framed::new(stream, message_framing());
    tarpc::serde_transport::new(frames, PostcardCodec)
}

/// Why a link got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// The process can't be connected to; nothing was sent.
    Unreachable,
    /// The connection broke or stayed silent; the request may have arrived.
    NoResponse,
}

/// A connection to one process, replaced when it breaks or stays silent.
#[derive(Debug)]
pub struct PeerLink<C> {
    addr: SocketAddr,
    slot: Mutex<LinkSlot<C>>,
}

#[derive(Debug)]
struct LinkSlot<C> {
    client: Option<C>,
    /// Counts connections, so that a late failure spares a newer one.
    generation: u64,
}

impl<C: LinkClient> PeerLink<C> {
    /// Returns a link to the process at `addr`; the first request connects.
    pub fn open(addr: SocketAddr) -> PeerLink<C> {
        PeerLink {
            addr,
            slot: Mutex::new(LinkSlot {
                client: None,
                generation: 0,
            }),
        }
    }

    /// Returns the process's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs `request` with a time limit; without an answer the connection is given up.
    ///
    /// # Errors
    ///
    /// The process can't be reached or stayed silent.
    pub async fn call<T, F, Fut>(&self, span: Duration, request: F) -> Result<T, LinkError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let (client, generation) = self.connect().await.ok_or(LinkError::Unreachable)?;
        let mut ctx = tarpc::context::current();
        ctx.deadline = Instant::now() + span;
        if let Ok(Ok(answer)) = time::timeout(span, request(client, ctx)).await {
            return Ok(answer);
        }
        let mut slot = self.slot.lock().await;
        if slot.generation == generation {
            slot.client = None;
        }
        Err(LinkError::NoResponse)
    }

    async fn connect(&self) -> Option<(C, u64)> {
        let mut slot = self.slot.lock().await;
        if slot.client.is_none() {
            let stream = dial(|| TcpStream::connect(self.addr)).await?;
            slot.client = Some(C::spawn(stream));
            slot.generation += 1;
        }
        Some((slot.client.clone()?, slot.generation))
    }
}
