//! HTTP/1.1 connections that are used again: one request at a time on each, and none after
//! anything about an answer was wrong.

use crate::{
    body::{BodyLimits, read_body},
    headers::strip_hop_by_hop,
};
use agatehill_peer::body::CallBody;
use bytes::Bytes;
use http::{Request, header::CONTENT_LENGTH, response::Parts};
use http_body::{Body, Frame, SizeHint};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, task::JoinHandle, time};

/// Silence after which the kernel probes whether the other end is there.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between two such probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes that close a connection.
const PROBES_MAX: u32 = 2;
/// Time after which unacknowledged data closes a connection.
const UNACKED_LIMIT: Duration = Duration::from_secs(3);
/// Time for a connection to become free after its answer has ended.
const FREE_LIMIT: Duration = Duration::from_millis(100);
/// Largest answer that is held whole, in bytes; a larger one is streamed.
const WHOLE_ANSWER_MAX: usize = 64 * 1024;

/// How a request failed on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// It was never sent.
    NotSent,
    /// It was sent, at least in part, and no whole answer came.
    Lost,
}

/// For how long connections may be opened and reused.
#[derive(Clone, Copy, Debug)]
pub struct PoolOptions {
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

/// Pooled connections; clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    options: PoolOptions,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<PooledConnection>>>>,
}

/// An open connection; its task and with it the socket end when it is dropped.
#[derive(Debug)]
struct PooledConnection {
    addr: SocketAddr,
    sender: SendRequest<CallBody>,
    task: JoinHandle<()>,
    free_since: Instant,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The head of an answer and the connection that its body comes over.
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

    /// Sends `req` to `addr` and waits for the head of the answer. Dropping the future closes the
    /// connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// No head of an answer came.
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
            let answer = conn.sender.try_send_request(req).await;
            let mut error = match answer {
                Ok(answer) => {
                    let (head, incoming) = answer.into_parts();
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

    /// Closes the unused connections to `addr`.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes connections that have not been used for long.
    pub fn close_expired(&self) {
        let limit = self.options.idle_timeout;
        let mut idle = self.lock();
        for conns in idle.values_mut() {
            conns.retain(|conn| conn.free_since.elapsed() < limit && !conn.sender.is_closed());
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    fn take(&self, addr: SocketAddr) -> Option<PooledConnection> {
        let mut idle = self.lock();
        let conns = idle.get_mut(&addr)?;
        while let Some(conn) = conns.pop() {
            let is_fresh = conn.free_since.elapsed() < self.options.idle_timeout;
            if is_fresh && conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    fn put(&self, mut conn: PooledConnection) {
        conn.free_since = Instant::now();
        self.lock().entry(conn.addr).or_default().push(conn);
    }

    async fn connect(&self, addr: SocketAddr) -> Result<PooledConnection, SendError> {
        let connecting = time::timeout(self.options.connect_timeout, TcpStream::connect(addr));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            _ => return Err(SendError::NotSent),
        };
        set_options(&stream);
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent)?;
        metrics::counter!("agatehill_relay_connections_opened").increment(1);
        let task = tokio::spawn(async move {
            // What breaks the connection also ends its request, which reports it.
            let _ = conn.await;
        });
        Ok(PooledConnection {
            addr,
            sender,
            task,
            free_since: Instant::now(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<PooledConnection>>> {
        self.idle.lock().expect("no holder of the pool panics")
    }
}

impl PooledResponse {
    /// Reads the body: whole if it is small, else as a stream that keeps `guard` until its end. The
    /// head loses what concerns the connection alone.
    ///
    /// # Errors
    ///
    /// The body broke off.
    pub async fn read<G>(self, guard: G) -> Result<(Parts, CallBody), SendError>
    where
        G: Send + Unpin + 'static,
    {
        let PooledResponse { mut head, body } = self;
        let limits = BodyLimits {
            buffered_max: WHOLE_ANSWER_MAX,
            size_max: u64::MAX,
        };
        let read = read_body(body, limits, guard).await;
        let body = read.map_err(|_| SendError::Lost)?;
        strip_hop_by_hop(&mut head.headers);
        if matches!(body, CallBody::Buffered(_)) {
            // Its length is known again.
            head.headers.remove(CONTENT_LENGTH);
        }
        Ok((head, body))
    }
}

/// The body of an answer; gives its connection back at its end.
#[derive(Debug)]
struct PooledBody {
    incoming: Incoming,
    conn: Option<PooledConnection>,
    pool: ConnectionPool,
}

impl PooledBody {
    /// Gives the connection back once it is free for another request.
    fn give_back(&mut self) {
        let Some(mut conn) = self.conn.take() else {
            return;
        };
        if conn.sender.is_ready() {
            return self.pool.put(conn);
        }
        let pool = self.pool.clone();
        tokio::spawn(async move {
            let freed = time::timeout(FREE_LIMIT, conn.sender.ready()).await;
            if let Ok(Ok(())) = freed {
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
            None => self.give_back(),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.conn = None,
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Sets the socket's options; without one that the system refuses the connection still works.
fn set_options(stream: &TcpStream) {
    // Without it, small requests wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(UNACKED_LIMIT));
}
