//! Pool of HTTP/1.1 connections. Each carries one request at a time and is closed after any error
//! in a response.

use crate::body::{BodyLimits, read_body};
use agatehill_peer::body::CallBody;
use agatehill_process::budget::{ClientUsage, ListenerBudget};
use bytes::Bytes;
use http::{Request, header::CONTENT_LENGTH, response::Parts};
use http_body::{Body, Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::{Mutex, MutexGuard};
use socket2::{SockRef, TcpKeepalive};
use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, task::JoinHandle, time};

/// Idle time after which the kernel sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;
/// Time after which a connection with unacknowledged data is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a connection to become ready again after the end of a response.
const READY_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest buffer of a connection, in bytes; also the largest response head.
const READ_BUFFER_BYTES_MAX: usize = 64 * 1024;
/// Largest response body that is buffered, in bytes; a larger one is streamed.
const BUFFERED_RESPONSE_MAX: usize = 64 * 1024;

/// Why a request got no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// It was not sent, as no descriptor is free for a connection. This says nothing of the receiver.
    NoDescriptor,
    /// It was not sent.
    NotSent,
    /// It was sent at least in part, and no complete response arrived.
    Lost,
}

/// Options of a pool.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// The connections that the process may open.
    pub budget: ListenerBudget,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Idle connections by address; clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    options: PoolOptions,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<PooledConnection>>>>,
}

/// An open connection; dropping it ends its task and closes the socket.
#[derive(Debug)]
struct PooledConnection {
    addr: SocketAddr,
    sender: SendRequest<CallBody>,
    task: JoinHandle<()>,
    idle_since: Instant,
    _usage: ClientUsage,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The head of a response and the connection that delivers its body.
#[derive(Debug)]
pub struct PooledResponse {
    /// Status and headers.
    pub head: Parts,
    body: PooledBody,
}

impl ConnectionPool {
    /// Returns an empty pool.
    pub fn open(options: PoolOptions) -> ConnectionPool {
        ConnectionPool {
            options,
            idle: Arc::default(),
        }
    }

    /// Sends `req` to `addr` and waits for the response head. Dropping the future closes the
    /// connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// The request could not be sent, or no response head arrived.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<CallBody>,
    ) -> Result<PooledResponse, SendError> {
        loop {
            let (mut conn, is_reused) = match self.take(addr) {
                Some(conn) => (conn, true),
                None => (self.connect(addr).await?, false),
            };
            let sent = conn.sender.try_send_request(req).await;
            let mut error = match sent {
                Ok(response) => {
                    let (head, incoming) = response.into_parts();
                    let body = PooledBody {
                        incoming,
                        conn: Some(conn),
                        pool: self.clone(),
                    };
                    return Ok(PooledResponse { head, body });
                }
                Err(error) => error,
            };
            match error.take_message() {
                Some(unsent) if is_reused => req = unsent,
                Some(_) => return Err(SendError::NotSent),
                None => return Err(SendError::Lost),
            }
        }
    }

    /// Returns whether there is an idle connection to `addr`.
    pub fn has_idle(&self, addr: SocketAddr) -> bool {
        self.lock().contains_key(&addr)
    }

    /// Closes the idle connections to `addr`.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.lock().clear();
    }

    /// Closes connections that have been idle for longer than the timeout.
    pub fn close_expired(&self) {
        let timeout = self.options.idle_timeout;
        let mut idle = self.lock();
        for conns in idle.values_mut() {
            conns.retain(|conn| conn.idle_since.elapsed() < timeout && !conn.sender.is_closed());
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    fn take(&self, addr: SocketAddr) -> Option<PooledConnection> {
        let mut idle = self.lock();
        let conns = idle.get_mut(&addr)?;
        while let Some(conn) = conns.pop() {
            let is_unexpired = conn.idle_since.elapsed() < self.options.idle_timeout;
            if is_unexpired && conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    fn put(&self, mut conn: PooledConnection) {
        conn.idle_since = Instant::now();
        self.lock().entry(conn.addr).or_default().push(conn);
    }

    /// Returns the usage of a further connection, for which idle ones are closed if need be.
    fn admit(&self) -> Result<ClientUsage, SendError> {
        let admitted = self.options.budget.try_admit();
        let admitted = admitted.or_else(|| {
            self.close_all_idle();
            self.options.budget.try_admit()
        });
        if admitted.is_none() {
            metrics::counter!("agatehill_relay_connections_refused").increment(1);
        }
        admitted.ok_or(SendError::NoDescriptor)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<PooledConnection, SendError> {
        let usage = self.admit()?;
        let connecting = time::timeout(self.options.connect_timeout, TcpStream::connect(addr));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            _ => return Err(SendError::NotSent),
        };
        set_options(&stream);
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent)?;
        metrics::counter!("agatehill_relay_connections_opened").increment(1);
        let task = tokio::spawn(async move {
            // An error of the connection also fails its request, which reports it.
            let _ = conn.await;
        });
        Ok(PooledConnection {
            addr,
            sender,
            task,
            idle_since: Instant::now(),
            _usage: usage,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<PooledConnection>>> {
        self.idle.lock()
    }
}

impl PooledResponse {
    /// Reads the body into memory if it is small, else returns it as a stream that holds `guard`
    /// until it is dropped and fails at `ends_at`. The head keeps its hop-by-hop headers.
    ///
    /// # Errors
    ///
    /// The body is interrupted.
    pub async fn read<G>(
        self,
        guard: G,
        ends_at: Option<time::Instant>,
    ) -> Result<(Parts, CallBody), SendError>
    where
        G: Send + Unpin + 'static,
    {
        let PooledResponse { mut head, body } = self;
        let limits = BodyLimits {
            buffered_max: BUFFERED_RESPONSE_MAX,
            size_max: u64::MAX,
            ends_at,
        };
        let read = read_body(body, limits, None, guard).await;
        let body = read.map_err(|_| SendError::Lost)?;
        if matches!(body, CallBody::Buffered(_)) {
            // The buffered body states its own length.
            head.headers.remove(CONTENT_LENGTH);
        }
        Ok((head, body))
    }
}

/// A response body; returns its connection to the pool at its end.
#[derive(Debug)]
struct PooledBody {
    incoming: Incoming,
    conn: Option<PooledConnection>,
    pool: ConnectionPool,
}

impl PooledBody {
    /// Returns the connection to the pool once it is ready for another request.
    fn return_connection(&mut self) {
        let Some(mut conn) = self.conn.take() else {
            return;
        };
        if conn.sender.is_ready() {
            return self.pool.put(conn);
        }
        let pool = self.pool.clone();
        tokio::spawn(async move {
            let became_ready = time::timeout(READY_TIMEOUT, conn.sender.ready()).await;
            if let Ok(Ok(())) = became_ready {
                pool.put(conn);
            }
        });
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match &frame {
            None => self.return_connection(),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.conn = None,
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Sets the socket options. Errors are ignored: the connection works without them.
fn set_options(stream: &TcpStream) {
    // Otherwise small requests wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
}
