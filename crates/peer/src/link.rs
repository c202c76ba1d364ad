//! Reconnecting tarpc clients for control messages between processes.

mod connection;
mod traffic;
mod transport;

use connection::LinkConnection;
use parking_lot::Mutex;
use std::{fmt, future::Future, net::SocketAddr, sync::Arc, time::Duration};
use tarpc::{
    client::{NewClient, RpcError},
    context::Context,
};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, sleep, timeout_at},
};
pub use traffic::LinkReport;
use traffic::LinkTraffic;
pub use transport::postcard_transport;
pub(crate) use transport::{codec_transport, served_transport};

/// Pause before a request is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

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
pub trait LinkClient: Clone + Send + Sync + 'static {
    /// Starts a client on `stream` that writes and reads `format`, if its service has several.
    fn spawn(stream: TcpStream, format: MessageFormat) -> RunningClient<Self>;
}

/// A client whose connection is served by a task.
#[derive(Clone, Debug)]
pub struct RunningClient<C> {
    pub(crate) client: C,
    /// Ends with the connection.
    pub(crate) dispatch: AbortHandle,
}

impl<C> RunningClient<C> {
    /// Starts the task of `new`.
    pub(crate) fn spawn<D, E>(new: NewClient<C, D>) -> RunningClient<C>
    where
        D: Future<Output = Result<(), E>> + Send + 'static,
    {
        let dispatch = tokio::spawn(async move {
            // An error of the connection also fails its requests, which report it.
            let _ = new.dispatch.await;
        });
        RunningClient {
            client: new.client,
            dispatch: dispatch.abort_handle(),
        }
    }
}

/// Why a request over a link has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection broke or the request timed out; the request may have arrived.
    NoResponse,
}

/// Time limits of a request that is retried.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// All tries together.
    pub total: Duration,
    /// One try.
    pub attempt: Duration,
}

/// A connection to one process, replaced when it breaks or a request gets no reply in time.
///
/// Each request runs in a task of its own until its reply arrives or its time limit passes. So a connection that is silent
/// is noticed also if the caller stops waiting earlier.
#[derive(Debug)]
pub struct PeerLink<C> {
    shared: Arc<LinkShared<C>>,
}

#[derive(Debug)]
struct LinkShared<C> {
    addr: SocketAddr,
    state: Mutex<LinkState<C>>,
    traffic: LinkTraffic,
}

#[derive(Debug)]
struct LinkState<C> {
    connection: Option<LinkConnection<C>>,
    format: MessageFormat,
    /// Counts connections, so that a late failure of an old one doesn't close a newer one.
    generation: u64,
}

impl<C: LinkClient> PeerLink<C> {
    /// Returns a link to the process at `addr`; the first request opens the connection.
    pub fn open(addr: SocketAddr) -> PeerLink<C> {
        let state = LinkState {
            connection: None,
            format: MessageFormat::Present,
            generation: 0,
        };
        PeerLink {
            shared: Arc::new(LinkShared {
                addr,
                state: Mutex::new(state),
                traffic: LinkTraffic::default(),
            }),
        }
    }

    /// Returns the process's address.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns what has passed over the link, for the dump.
    pub fn report(&self) -> LinkReport {
        self.shared.traffic.report(self.shared.addr)
    }

    /// Runs `request`, with `limit` for the connection setup and the reply together; closes the connection if it fails.
    /// The request goes on if the returned future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be reached or doesn't reply within `limit`.
    pub async fn call<T, F, Fut>(&self, limit: Duration, request: F) -> Result<T, LinkError>
    where
        T: Send + 'static,
        F: FnOnce(C, Context) -> Fut + Send + 'static,
        Fut: Future<Output = Result<T, RpcError>> + Send + 'static,
    {
        let exchange = self.shared.clone().exchange(limit, request);
        let ended = tokio::spawn(exchange).await;
        // The task fails only if the runtime shuts down.
        ended.unwrap_or(Err(LinkError::NoResponse))
    }

    /// Runs an idempotent `request`, again over a new connection each time it gets no reply, until the limits' total has
    /// passed.
    ///
    /// # Errors
    ///
    /// Fails if no try has a reply; the process is called unreachable only if none may have arrived.
    pub async fn call_idempotent<T, F, Fut>(
        &self,
        limits: RetryLimits,
        request: F,
    ) -> Result<T, LinkError>
    where
        T: Send + 'static,
        F: FnOnce(C, Context) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = Result<T, RpcError>> + Send + 'static,
    {
        let end = Instant::now() + limits.total;
        let mut result = self.call(limits.attempt, request.clone()).await;
        while matches!(result, Err(LinkError::NoResponse)) && Instant::now() + RETRY_PAUSE < end {
            sleep(RETRY_PAUSE).await;
            let remaining = end - Instant::now();
            let retried = self.call(limits.attempt.min(remaining), request.clone());
            // The first try may have arrived.
            result = retried.await.or(Err(LinkError::NoResponse));
        }
        result
    }
}

impl<C: LinkClient> LinkShared<C> {
    async fn exchange<T, F, Fut>(
        self: Arc<Self>,
        limit: Duration,
        request: F,
    ) -> Result<T, LinkError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + limit;
        let connection = self.connection();
        let opened = timeout_at(deadline, connection.client()).await;
        let Some(client) = opened.ok().flatten() else {
            self.traffic.record_unreachable();
            return Err(LinkError::Unreachable);
        };
        let mut ctx = tarpc::context::current();
        ctx.deadline = deadline.into_std();
        let result = timeout_at(deadline, request(client, ctx)).await;
        if let Ok(Ok(reply)) = result {
            self.traffic.record_reply();
            return Ok(reply);
        }
        self.traffic.record_unanswered();
        // A process ends the connection when it can't read a message.
        let is_ended = matches!(result, Ok(Err(RpcError::Shutdown | RpcError::Channel(_))));
        self.close(connection.generation, is_ended);
        Err(LinkError::NoResponse)
    }

    /// Returns the present connection, which may still be opening; opens one if there is none or it has ended.
    fn connection(&self) -> LinkConnection<C> {
        let mut state = self.state.lock();
        let present = state.connection.as_ref().filter(|c| !c.has_ended());
        if let Some(connection) = present {
            return connection.clone();
        }
        state.generation += 1;
        self.traffic.record_connection();
        let connection = LinkConnection::open(self.addr, state.format, state.generation);
        state.connection = Some(connection.clone());
        connection
    }

    /// Closes connection number `generation`, unless a later one is in use.
    fn close(&self, generation: u64, changes_format: bool) {
        let mut state = self.state.lock();
        if state.generation != generation {
            return;
        }
        state.connection = None;
        if changes_format {
            state.format = state.format.other();
        }
    }
}
