//! HTTP listeners that run a gotham handler over HTTP/1.1 and h2c, with a graceful stop.

use crate::{
    budget::{ClientUsage, ListenerBudget},
    connection::{
        ConnectionLimits, GuardedBody, HTTP2_STREAMS_MAX, HTTP2_WINDOW_BYTES, LimitedStream,
        PhaseTracker, SharedLimits,
    },
};
use gotham::{
    handler::NewHandler,
    helpers::http::Body,
    service::call_handler,
    state::{FromState, State},
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, Entry, RETRY_AFTER},
};
use http_body::Body as _;
use http_body_util::{BodyExt, Empty};
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
    sync::oneshot,
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
    /// Binds `addr` and serves `handler` until [`HttpServer::stop`]; what its clients hold has no limit.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind<H>(addr: SocketAddr, handler: H) -> io::Result<HttpServer>
    where
        H: NewHandler + 'static,
    {
        let budget = ListenerBudget::unlimited();
        HttpServer::bind_within(addr, handler, SharedLimits::default(), budget).await
    }

    /// Binds `addr` and serves `handler` with `limits`, which can be changed later, and within `budget`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind_within<H>(
        addr: SocketAddr,
        handler: H,
        limits: SharedLimits,
        budget: ListenerBudget,
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
            budget,
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
    budget: ListenerBudget,
    mut stopped: oneshot::Receiver<()>,
) where
    H: NewHandler + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = accept(&listener, &budget) => match accepted {
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

/// An accepted connection with its part of the budget.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    usage: ClientUsage,
}

async fn accept(listener: &TcpListener, budget: &ListenerBudget) -> io::Result<AcceptedConnection> {
    let (stream, peer) = listener.accept().await?;
    // Only now, so that no other connection gives way before there is a newcomer.
    let usage = budget.admit().await;
    Ok(AcceptedConnection {
        stream,
        peer,
        usage,
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
        usage,
    } = accepted;
    set_socket_options(&stream);
    let tracker = PhaseTracker::open(usage);
    let builder = connection_builder(&limits.get());
    let stream = LimitedStream::new(stream, tracker.clone(), limits);
    let service = service_fn(move |req: Request<Incoming>| {
        serve_request(tracker.clone(), handler.clone(), req, peer)
    });
    let conn = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(conn);
    tokio::spawn(async move {
        // An error affects only the requests of this connection, and they report their own outcome.
        let _ = watched.await;
    });
}

/// Runs the handler on a request, which is in flight from now on until its response has been sent.
fn serve_request<H>(
    tracker: PhaseTracker,
    handler: Arc<H>,
    req: Request<Incoming>,
    peer: SocketAddr,
) -> impl Future<Output = gotham::anyhow::Result<Response<GuardedBody<Body>>>>
where
    H: NewHandler + 'static,
{
    let guard = tracker.begin_request();
    async move {
        let Some(mut guard) = guard else {
            return Ok(refuse_request(&tracker));
        };
        if tracker.is_http2() && !guard.try_hold_request(head_bytes(&req)) {
            return Ok(refuse_request(&tracker));
        }
        let response = handle_request(handler, req, peer).await?;
        tracker.record_response(response.body().size_hint().exact());
        Ok(response.map(|body| GuardedBody::new(body, Some(guard))))
    }
}

/// Returns the response to a request that finds no room; it has not run.
fn refuse_request(tracker: &PhaseTracker) -> Response<GuardedBody<Body>> {
    let body = Empty::new().map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(GuardedBody::new(body, None));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    if !tracker.is_http2() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the size of a request head, in bytes.
fn head_bytes(req: &Request<Incoming>) -> usize {
    let fields = req.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len());
    fields.sum::<usize>() + req.uri().path().len()
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
) -> impl Future<Output = gotham::anyhow::Result<Response<Body>>>
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

/// Returns a builder of connections with these limits.
fn connection_builder(limits: &ConnectionLimits) -> Builder<TokioExecutor> {
    let buffer_bytes = limits.buffer_bytes();
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(buffer_bytes)
        // `LimitedStream` enforces the timeouts.
        .header_read_timeout(None);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_send_buf_size(buffer_bytes)
        .max_header_list_size(u32::try_from(buffer_bytes).unwrap_or(u32::MAX))
        .max_concurrent_streams(HTTP2_STREAMS_MAX)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES / 2)
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}
