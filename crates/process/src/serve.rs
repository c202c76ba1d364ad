//! The accept loop that runs a gotham handler over HTTP/1.1 and h2c, with a graceful stop.

use crate::connection::{GuardedBody, PhaseClock, SharedTimeouts, TimedStream};
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

/// Where gotham looks for the id of a request in its own logs.
const GOTHAM_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time between keep-alive pings on an HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an unanswered keep-alive ping closes an HTTP/2 connection.
const PING_LIMIT: Duration = Duration::from_secs(5);
/// Silence on a connection after which the kernel probes whether the other end is there.
const PROBE_AFTER: Duration = Duration::from_secs(10);
/// Time between two such probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered probes that close a connection.
const PROBES_MAX: u32 = 3;
/// Time after which unacknowledged data closes a connection.
const UNACKED_LIMIT: Duration = Duration::from_secs(20);
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A running HTTP listener.
#[derive(Debug)]
pub struct HttpServer {
    local: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds `addr` and serves `handler` until [`HttpServer::stop`], without a limit on connections.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind<H>(addr: SocketAddr, handler: H) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        HttpServer::bind_with_connection_limit(addr, handler, Semaphore::MAX_PERMITS).await
    }

    /// Binds `addr` and serves `handler`, with time limits that the owner of `limits` sets.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind_with_timeouts<H>(
        addr: SocketAddr,
        handler: H,
        limits: SharedTimeouts,
    ) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        HttpServer::spawn(addr, handler, limits, Semaphore::MAX_PERMITS).await
    }

    /// Binds `addr` and serves `handler`; past `connections_max` open connections new ones wait.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind_with_connection_limit<H>(
        addr: SocketAddr,
        handler: H,
        connections_max: usize,
    ) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        HttpServer::spawn(addr, handler, SharedTimeouts::default(), connections_max).await
    }

    async fn spawn<H>(
        addr: SocketAddr,
        handler: H,
        limits: SharedTimeouts,
        connections_max: usize,
    ) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let local = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(accept_loop(
            listener,
            Arc::new(handler),
            limits,
            Arc::new(Semaphore::new(connections_max)),
            stopped,
        ));
        Ok(HttpServer { local, stop, task })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Stops listening and waits until every request in flight has ended.
    pub async fn stop(self) {
        // The loop may have ended by itself; then there is nobody to tell.
        let _ = self.stop.send(());
        let _ = self.task.await;
    }
}

async fn accept_loop<H>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: SharedTimeouts,
    free: Arc<Semaphore>,
    mut stopped: oneshot::Receiver<()>,
) where
    H: NewHandler + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = accept(&listener, &free) => match accepted {
                Ok(accepted) => {
                    spawn_connection(accepted, handler.clone(), limits.clone(), &graceful);
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            _ = &mut stopped => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// An accepted connection and its part of the limit.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
}

async fn accept(listener: &TcpListener, free: &Arc<Semaphore>) -> io::Result<AcceptedConnection> {
    let permit = free
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
    limits: SharedTimeouts,
    graceful: &GracefulShutdown,
) where
    H: NewHandler + 'static,
{
    let AcceptedConnection {
        stream,
        peer,
        permit,
    } = accepted;
    set_options(&stream);
    let clock = PhaseClock::open();
    let stream = TimedStream::new(stream, clock.clone(), limits);
    let service = service_fn(move |req: Request<Incoming>| {
        let guard = clock.begin();
        let response = serve_one(handler.clone(), req, peer);
        async move {
            Ok::<_, gotham::anyhow::Error>(
                response.await?.map(|body| GuardedBody::new(body, guard)),
            )
        }
    });
    let conn = connection_builder()
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(conn);
    tokio::spawn(async move {
        // A connection that breaks concerns its own requests only; they report their outcome.
        let _ = watched.await;
        drop(permit);
    });
}

/// Sets the socket's options; without one that the system refuses the connection still works.
fn set_options(stream: &TcpStream) {
    // Without it, small answers wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_keepalive(&probes);
    let _ = socket.set_tcp_user_timeout(Some(UNACKED_LIMIT));
}

fn serve_one<H>(
    handler: Arc<H>,
    req: Request<Incoming>,
    peer: SocketAddr,
) -> impl Future<Output = gotham::anyhow::Result<http::Response<gotham::helpers::http::Body>>>
where
    H: NewHandler + 'static,
{
    let state = request_state(req, peer);
    call_handler(AssertShared(handler), AssertUnwindSafe(state))
}

/// Returns gotham's state of a request.
///
/// Gotham takes an id for its own logs from a header of the caller's, which must be text, or else
/// draws one, which costs a system call. Neither is wanted: the header is the caller's and the
/// servers'.
fn request_state(mut req: Request<Incoming>, peer: SocketAddr) -> State {
    let headers = req.headers_mut();
    let values: Vec<_> = match headers.entry(GOTHAM_ID) {
        Entry::Occupied(entry) => entry.remove_entry_mult().1.collect(),
        Entry::Vacant(_) => Vec::new(),
    };
    headers.insert(GOTHAM_ID, HeaderValue::from_static("-"));
    let mut state = State::from_request(req, peer);
    let headers = HeaderMap::borrow_mut_from(&mut state);
    headers.remove(GOTHAM_ID);
    for value in values {
        headers.append(GOTHAM_ID, value);
    }
    state
}

/// A shared handler that a caught panic leaves usable.
struct AssertShared<H>(Arc<H>);

impl<H> std::panic::UnwindSafe for AssertShared<H> {}
impl<H> std::panic::RefUnwindSafe for AssertShared<H> {}

impl<H: NewHandler> NewHandler for AssertShared<H> {
    type Instance = H::Instance;

    fn new_handler(&self) -> gotham::anyhow::Result<H::Instance> {
        self.0.new_handler()
    }
}

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // The stream has the limits.
        .header_read_timeout(None);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_LIMIT);
    builder
}
