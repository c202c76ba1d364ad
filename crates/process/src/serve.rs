//! HTTP listeners that run a gotham handler over HTTP/1.1 and h2c, with a graceful stop.

use crate::connection::{GuardedBody, PhaseTracker, SharedLimits, TimeoutStream};
use gotham::{
    handler::NewHandler,
    service::call_handler,
    state::{FromState, State},
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, header::Entry};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use socket2::{SockRef, TcpKeepalive};
use std::{
    future::Future, io, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, oneshot},
    task::JoinHandle,
};

/// Header from which gotham takes the id of a request for its own logs.
const GOTHAM_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time between keep-alive pings on an HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an unanswered keep-alive ping closes an HTTP/2 connection.
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which the kernel sends the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);
/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 3;
/// Time without acknowledgement of sent data after which a connection is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A running HTTP listener.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds `addr` and serves `handler` until [`HttpServer::stop`], without a connection limit.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind<H>(addr: SocketAddr, handler: H) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        HttpServer::bind_with_connection_limit(addr, handler, Semaphore::MAX_PERMITS).await
    }

    /// Binds `addr` and serves `handler` with connection limits that can be changed later.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind_with_limits<H>(
        addr: SocketAddr,
        handler: H,
        limits: SharedLimits,
    ) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        HttpServer::spawn(addr, handler, limits, Semaphore::MAX_PERMITS).await
    }

    /// Binds `addr` and serves `handler`; with `connections_max` connections open, new ones wait.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind_with_connection_limit<H>(
        addr: SocketAddr,
        handler: H,
        connections_max: usize,
    ) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        HttpServer::spawn(addr, handler, SharedLimits::default(), connections_max).await
    }

    async fn spawn<H>(
        addr: SocketAddr,
        handler: H,
        limits: SharedLimits,
        connections_max: usize,
    ) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept_loop(
            listener,
            Arc::new(handler),
            limits,
            Arc::new(Semaphore::new(connections_max)),
            stopped,
        ));
        Ok(HttpServer { addr, stop, task })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening and waits until every request in flight has ended.
    pub async fn stop(self) {
        // An error means that the accept loop has already ended.
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

async fn accept_loop<H>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: SharedLimits,
    permits: Arc<Semaphore>,
    mut stopped: oneshot::Receiver<()>,
) where
    H: NewHandler + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = accept(&listener, &permits) => match accepted {
                Ok(accepted) => {
                    spawn_connection(accepted, handler.clone(), limits.clone(), &graceful);
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
            },
            _ = &mut stopped => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// An accepted connection with its permit under the connection limit.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<AcceptedConnection> {
    let permit = permits
        .clone()
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, peer) = listener.accept().await?;
    Ok(AcceptedConnection {
        stream,
        peer,
        permit,
    })
}

fn spawn_connection<H>(
    accepted: AcceptedConnection,
    handler: Arc<H>,
    limits: SharedLimits,
    graceful: &GracefulShutdown,
) where
    H: NewHandler + 'static,
{
    let AcceptedConnection {
        stream,
        peer,
        permit,
    } = accepted;
    set_socket_options(&stream);
    let tracker = PhaseTracker::open();
    let builder = connection_builder(limits.get().buffer_bytes());
    let stream = TimeoutStream::new(stream, tracker.clone(), limits);
    let service = service_fn(move |req: Request<Incoming>| {
        let guard = tracker.begin_request();
        let response = handle_request(handler.clone(), req, peer);
        async move {
            Ok::<_, gotham::anyhow::Error>(
                response.await?.map(|body| GuardedBody::new(body, guard)),
            )
        }
    });
    let conn = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(conn);
    tokio::spawn(async move {
        // An error affects only the requests of this connection, and they report their own outcome.
        let _ = watched.await;
        drop(permit);
    });
}

/// Sets the socket options; errors are ignored, as the connection works without them.
fn set_socket_options(stream: &TcpStream) {
    // Otherwise small responses wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
}

fn handle_request<H>(
    handler: Arc<H>,
    req: Request<Incoming>,
    peer: SocketAddr,
) -> impl Future<Output = gotham::anyhow::Result<http::Response<gotham::helpers::http::Body>>>
where
    H: NewHandler + 'static,
{
    let state = request_state(req, peer);
    call_handler(AssertUnwindSafeShared(handler), AssertUnwindSafe(state))
}

/// Returns gotham's state for a request, with the caller's `x-request-id` headers unchanged.
///
/// Gotham takes the id for its own logs from that header, which must be text, or else generates
/// one, which costs a system call. A placeholder avoids both: the header belongs to the caller and
/// the servers.
fn request_state(mut req: Request<Incoming>, peer: SocketAddr) -> State {
    let headers = req.headers_mut();
    let values: Vec<_> = match headers.entry(GOTHAM_REQUEST_ID) {
        Entry::Occupied(entry) => entry.remove_entry_mult().1.collect(),
        Entry::Vacant(_) => Vec::new(),
    };
    headers.insert(GOTHAM_REQUEST_ID, HeaderValue::from_static("-"));
    let mut state = State::from_request(req, peer);
    let headers = HeaderMap::borrow_mut_from(&mut state);
    headers.remove(GOTHAM_REQUEST_ID);
    for value in values {
        headers.append(GOTHAM_REQUEST_ID, value);
    }
    state
}

/// Marks a shared handler as unwind safe.
struct AssertUnwindSafeShared<H>(Arc<H>);

impl<H> std::panic::UnwindSafe for AssertUnwindSafeShared<H> {}
impl<H> std::panic::RefUnwindSafe for AssertUnwindSafeShared<H> {}

impl<H: NewHandler> NewHandler for AssertUnwindSafeShared<H> {
    type Instance = H::Instance;

    fn new_handler(&self) -> gotham::anyhow::Result<H::Instance> {
        self.0.new_handler()
    }
}

/// Returns a builder of connections whose buffers take up `buffer_bytes` at most.
fn connection_builder(buffer_bytes: usize) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(buffer_bytes)
        // `TimeoutStream` enforces the timeouts.
        .header_read_timeout(None);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_send_buf_size(buffer_bytes)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}
