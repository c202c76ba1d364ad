//! Reconnecting tarpc clients for control messages between processes.

mod traffic;

use crate::{
    codec::{PostcardCodec, message_framing},
    dial::dial,
};
use socket2::{SockRef, TcpKeepalive};
use std::{
    fmt,
    future::Future,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tarpc::{client::RpcError, context::Context};
use tokio::{net::TcpStream, sync::Mutex, time};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
pub use traffic::LinkReport;
use traffic::{LinkTraffic, PendingCall};

/// Idle time after which the kernel sends the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A format of messages; builds write different ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageFormat {
    /// That of the builds up to 248d2bd.
    First,
    /// That of this build, and of those from e60a975 on.
    Present,
}

impl fmt::Display for MessageFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageFormat::First => "1",
            MessageFormat::Present => "2",
        })
    }
}

impl MessageFormat {
    /// Returns the format to try if the other end can't read this one.
    fn other(self) -> MessageFormat {
        match self {
            MessageFormat::First => MessageFormat::Present,
            MessageFormat::Present => MessageFormat::First,
        }
    }
}

/// A client of a tarpc service, as `tarpc::service` generates it.
pub trait LinkClient: Clone + Send + 'static {
    /// Starts a client on `stream` that writes and reads `format`, if its service has several.
    fn spawn(stream: TcpStream, format: MessageFormat) -> Self;
}

/// Returns a tarpc transport over `stream` with messages in postcard.
pub fn postcard_transport<In, Out>(
    stream: TcpStream,
) -> tarpc::serde_transport::Transport<TcpStream, In, Out, PostcardCodec>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
{
    codec_transport(stream, PostcardCodec)
}

/// Returns a tarpc transport over `stream` with messages in `codec`.
pub(crate) fn codec_transport<In, Out, C>(
    stream: TcpStream,
    codec: C,
) -> tarpc::serde_transport::Transport<TcpStream, In, Out, C>
where
    In: serde::de::DeserializeOwned,
    Out: serde::Serialize,
    C: Deserializer<In> + Serializer<Out>,
{
    // Otherwise small messages wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    // An error is ignored: without probes, the time limits of requests detect a dead connection.
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
    let frames: Framed<TcpStream, LengthDelimitedCodec> = Framed::new(stream, message_framing());
    tarpc::serde_transport::new(frames, codec)
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
    traffic: LinkTraffic,
}

#[derive(Debug)]
struct LinkState<C> {
    client: Option<C>,
    format: MessageFormat,
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
                format: MessageFormat::Present,
                generation: 0,
            }),
            traffic: LinkTraffic::default(),
        }
    }

    /// Returns the process's address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns what has passed over the link, for the dump.
    pub fn report(&self) -> LinkReport {
        self.traffic.report(self.addr)
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
        let pending = PendingCall::begin(&self.traffic);
        let Some((client, generation)) = self.connect().await else {
            pending.record_unreachable();
            return Err(LinkError::Unreachable);
        };
        let mut ctx = tarpc::context::current();
        ctx.deadline = Instant::now() + limit;
        let result = time::timeout(limit, request(client, ctx)).await;
        // A process ends the connection when it can't read a message.
        let is_ended = matches!(result, Ok(Err(RpcError::Shutdown | RpcError::Channel(_))));
        if let Ok(Ok(reply)) = result {
            pending.record_reply();
            return Ok(reply);
        }
        pending.record_unanswered();
        let mut state = self.state.lock().await;
        if state.generation == generation {
            state.client = None;
            if is_ended {
                state.format = state.format.other();
            }
        }
        Err(LinkError::NoResponse)
    }

    async fn connect(&self) -> Option<(C, u64)> {
        let mut state = self.state.lock().await;
        if state.client.is_none() {
            let stream = dial(|| TcpStream::connect(self.addr)).await?;
            state.client = Some(C::spawn(stream, state.format));
            state.generation += 1;
            self.traffic.record_connection();
        }
        Some((state.client.clone()?, state.generation))
    }
}
