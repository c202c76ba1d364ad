//! Limits of a caller's connection: the size of a request head, and timeouts for receiving one and for idling between
//! requests.
//!
//! The stream below hyper enforces the timeouts, as hyper has a single timeout for both. They don't apply
//! while a request is in flight, nor to HTTP/2, whose pings detect dead connections.

use http_body::{Body, Frame, SizeHint};
use parking_lot::{Mutex, MutexGuard};
use std::{
    future::Future,
    io::{self, IoSlice},
    ops::RangeInclusive,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

/// Response to a request head that takes too long; the connection is closed after it.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Prefix of the HTTP/2 connection preface that no HTTP/1 request starts with.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2";
/// Interval at which a connection without a timeout is checked; a timeout may fire late by as much.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest timeout; a shorter one would close new connections before their first byte.
const TIMEOUT_MIN: Duration = Duration::from_millis(100);
/// Smallest and largest buffer of a connection, in bytes; it holds a request head, or a part of a body.
const BUFFER_BYTES: RangeInclusive<usize> = 64 * 1024..=400 * 1024;

/// Limits of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Time to receive a request head, from its first byte.
    pub head_timeout: Duration,
    /// Time without a request in flight.
    pub idle_timeout: Duration,
    /// Size of the largest request head that is responded to, in bytes.
    pub head_bytes_max: usize,
}

impl ConnectionLimits {
    /// Returns the size of the connection's buffers, in bytes.
    pub(crate) fn buffer_bytes(&self) -> usize {
        let (min, max) = (*BUFFER_BYTES.start(), *BUFFER_BYTES.end());
        self.head_bytes_max.clamp(min, max)
    }
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits {
            head_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
            head_bytes_max: *BUFFER_BYTES.start(),
        }
    }
}

/// The limits of all connections of a listener; clones share them. Timeouts apply to open connections, too.
#[derive(Clone, Debug, Default)]
pub struct SharedLimits {
    limits: Arc<Mutex<ConnectionLimits>>,
}

impl SharedLimits {
    /// Applies `limits`; a wait already in progress may still end by the timeout it started with.
    pub fn set(&self, limits: ConnectionLimits) {
        let limits = ConnectionLimits {
            head_timeout: limits.head_timeout.max(TIMEOUT_MIN),
            idle_timeout: limits.idle_timeout.max(TIMEOUT_MIN),
            ..limits
        };
        *self.limits.lock() = limits;
    }

    pub(crate) fn get(&self) -> ConnectionLimits {
        *self.limits.lock()
    }
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug)]
enum ConnectionPhase {
    /// No request has been in flight since this time.
    Idle(Instant),
    /// A request head has been arriving since this time.
    Head(Instant),
    /// This many requests are in flight.
    Busy(usize),
}

/// Tracks the phase of one connection; shared by its stream and its requests.
#[derive(Clone, Debug)]
pub(crate) struct PhaseTracker {
    phase: Arc<Mutex<ConnectionPhase>>,
}

impl PhaseTracker {
    /// Returns the tracker of a new connection.
    pub(crate) fn open() -> PhaseTracker {
        let phase = ConnectionPhase::Idle(Instant::now());
        PhaseTracker {
            phase: Arc::new(Mutex::new(phase)),
        }
    }

    /// Records a complete request head; the request is in flight until the guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        let mut phase = self.lock();
        let count = match *phase {
            ConnectionPhase::Busy(count) => count,
            _ => 0,
        };
        *phase = ConnectionPhase::Busy(count + 1);
        RequestGuard {
            tracker: self.clone(),
        }
    }

    /// Records that bytes have arrived.
    fn record_read(&self) {
        let mut phase = self.lock();
        if matches!(*phase, ConnectionPhase::Idle(_)) {
            *phase = ConnectionPhase::Head(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionPhase> {
        self.phase.lock()
    }
}

/// Keeps a request counted as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    tracker: PhaseTracker,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut phase = self.tracker.lock();
        *phase = match *phase {
            ConnectionPhase::Busy(count) if count > 1 => ConnectionPhase::Busy(count - 1),
            _ => ConnectionPhase::Idle(Instant::now()),
        };
    }
}

/// A response body that keeps its request counted as in flight until it is dropped.
pub(crate) struct GuardedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> GuardedBody<B> {
    /// Returns `body` with the guard of its request.
    pub(crate) fn new(body: B, guard: RequestGuard) -> GuardedBody<B> {
        GuardedBody {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's stream that ends when a timeout has passed.
pub(crate) struct TimeoutStream {
    io: TcpStream,
    tracker: PhaseTracker,
    limits: SharedLimits,
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the caller speaks HTTP/2; `None` until the first bytes arrive.
    is_http2: Option<bool>,
    is_closed: bool,
}

impl TimeoutStream {
    /// Returns `stream` under the timeouts of `limits`.
    pub(crate) fn new(
        stream: TcpStream,
        tracker: PhaseTracker,
        limits: SharedLimits,
    ) -> TimeoutStream {
        TimeoutStream {
            io: stream,
            tracker,
            limits,
            timer: None,
            is_http2: None,
            is_closed: false,
        }
    }

    /// Returns when the current phase times out; `None` if it has no timeout.
    fn deadline(&self) -> Option<Instant> {
        if self.is_http2 == Some(true) {
            return None;
        }
        let phase = *self.tracker.lock();
        let limits = self.limits.get();
        match phase {
            ConnectionPhase::Idle(since) => Some(since + limits.idle_timeout),
            ConnectionPhase::Head(since) => Some(since + limits.head_timeout),
            ConnectionPhase::Busy(_) => None,
        }
    }

    /// Is ready when the current phase has timed out.
    ///
    /// The timer also runs in phases without a timeout, as hyper doesn't poll again when they end.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let deadline = self.deadline();
        let wake_at = deadline.unwrap_or_else(|| Instant::now() + RECHECK_INTERVAL);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(wake_at)));
        // A timer that fires early is set again: resetting it for each request would cost more.
        if timer.deadline() > wake_at {
            timer.as_mut().reset(wake_at);
        }
        while timer.as_mut().poll(cx).is_ready() {
            if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                return Poll::Ready(());
            }
            timer.as_mut().reset(wake_at);
        }
        Poll::Pending
    }

    /// Closes the connection; responds first if a request head is incomplete.
    fn close(&mut self, cx: &mut Context<'_>) {
        self.is_closed = true;
        let phase = *self.tracker.lock();
        if matches!(phase, ConnectionPhase::Head(_)) {
            // The response is lost if the caller reads nothing.
            let _ = Pin::new(&mut self.io).poll_write(cx, HEAD_TIMEOUT_RESPONSE);
        }
    }

    fn record_read(&mut self, bytes: &[u8]) {
        self.is_http2
            .get_or_insert_with(|| bytes.starts_with(HTTP2_PREFACE));
        self.tracker.record_read();
    }
}

impl AsyncRead for TimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_closed {
            return Poll::Ready(Ok(()));
        }
        let start = buf.filled().len();
        match Pin::new(&mut self.io).poll_read(cx, buf) {
            Poll::Ready(result) => {
                self.record_read(&buf.filled()[start..]);
                return Poll::Ready(result);
            }
            Poll::Pending => {}
        }
        ready!(self.poll_timeout(cx));
        self.close(cx);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
