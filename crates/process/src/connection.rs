//! Limits of a caller's connection: the size of a request head, timeouts for receiving one and for idling between
//! requests, and what it may hold of the process's memory.
//!
//! The stream below hyper enforces them, as hyper has a single timeout for both and doesn't tell how much it buffers. The
//! timeouts don't apply while a request is in flight, unless its response isn't read.

use crate::budget::{CONNECTION_BYTES, ClientUsage};
use http_body::{Body, Frame, SizeHint};
use parking_lot::{Mutex, MutexGuard};
use std::{
    future::Future,
    io::{self, IoSlice},
    ops::RangeInclusive,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

/// Response to a request head that takes too long; the connection is closed after it.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Response to a request head whose connection gives way to others; it is closed after it. Nothing of the request has run.
const GAVE_WAY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";
/// Prefix of the HTTP/2 connection preface that no HTTP/1 request starts with.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2";
/// Interval at which a connection without a timeout is checked; a timeout may fire late by as much.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest timeout; a shorter one would close new connections before their first byte.
const TIMEOUT_MIN: Duration = Duration::from_millis(100);
/// Smallest and largest buffer of a connection, in bytes; it holds a request head, or a part of a body.
const BUFFER_BYTES: RangeInclusive<usize> = 64 * 1024..=400 * 1024;
/// Most bytes of one read; the buffer of a body, which idle connections keep, grows with the reads that fill it.
const READ_BYTES_MAX: u64 = 16 * 1024;
/// Memory for each byte that is read before it is used: a buffer that grows takes up twice its content.
const BUFFER_FACTOR: usize = 2;
/// Steps in which the memory of a buffer is counted, in bytes.
const COUNT_STEP: usize = 16 * 1024;
/// Memory of a response that is sent in parts, in bytes; also the most that is counted for one.
const RESPONSE_BYTES_MAX: usize = 128 * 1024;
/// Bytes that a connection over HTTP/2 may receive in bodies that nobody reads.
pub(crate) const HTTP2_WINDOW_BYTES: u32 = 128 * 1024;
/// Requests at once of a connection over HTTP/2.
pub(crate) const HTTP2_STREAMS_MAX: u32 = 100;
/// Memory that a connection over HTTP/2 is counted with, in bytes: its window, whose frames keep
/// up to twice their size, and buffers.
const HTTP2_BYTES: usize = 512 * 1024;

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
    shared: Arc<TrackedConnection>,
}

#[derive(Debug)]
struct TrackedConnection {
    phase: Mutex<ConnectionPhase>,
    usage: ClientUsage,
    /// Whether the caller speaks HTTP/2.
    is_http2: AtomicBool,
    /// Memory of the response that may not be sent yet, in bytes.
    response_bytes: AtomicUsize,
}

impl PhaseTracker {
    /// Returns the tracker of a new connection, which may give way.
    pub(crate) fn open(usage: ClientUsage) -> PhaseTracker {
        let phase = ConnectionPhase::Idle(Instant::now());
        usage.set_waiting();
        PhaseTracker {
            shared: Arc::new(TrackedConnection {
                phase: Mutex::new(phase),
                usage,
                is_http2: AtomicBool::new(false),
                response_bytes: AtomicUsize::new(0),
            }),
        }
    }

    /// Records a complete request head; the request is in flight until the guard is dropped. Returns `None` if the
    /// connection has given way before.
    pub(crate) fn begin_request(&self) -> Option<RequestGuard> {
        let mut phase = self.lock();
        if !self.shared.usage.set_busy() {
            return None;
        }
        let count = match *phase {
            ConnectionPhase::Busy(count) => count,
            _ => 0,
        };
        *phase = ConnectionPhase::Busy(count + 1);
        Some(RequestGuard {
            tracker: self.clone(),
            usage: None,
        })
    }

    /// Returns whether the caller speaks HTTP/2.
    pub(crate) fn is_http2(&self) -> bool {
        self.shared.is_http2.load(Ordering::Relaxed)
    }

    /// Returns whether requests are in flight.
    fn is_busy(&self) -> bool {
        matches!(*self.lock(), ConnectionPhase::Busy(_))
    }

    /// Records the size of a response that is about to be sent; `None` if it is sent in parts.
    pub(crate) fn record_response(&self, len: Option<u64>) {
        let len = len.and_then(|len| usize::try_from(len).ok());
        let bytes = len.unwrap_or(RESPONSE_BYTES_MAX).min(RESPONSE_BYTES_MAX);
        if bytes > COUNT_STEP {
            self.shared
                .response_bytes
                .fetch_max(bytes, Ordering::Relaxed);
        }
    }

    /// Records that bytes have arrived; returns whether they are of a request head.
    fn record_read(&self) -> bool {
        let mut phase = self.lock();
        if self.is_http2() {
            return false;
        }
        if matches!(*phase, ConnectionPhase::Idle(_)) {
            *phase = ConnectionPhase::Head(Instant::now());
            self.shared.usage.set_waiting();
        }
        matches!(*phase, ConnectionPhase::Head(_))
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionPhase> {
        self.shared.phase.lock()
    }
}

/// Keeps a request counted as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    tracker: PhaseTracker,
    /// What it holds, if that isn't counted with the connection.
    usage: Option<ClientUsage>,
}

impl RequestGuard {
    /// Counts a request over HTTP/2 with a head of `bytes`; returns false if there is no room.
    pub(crate) fn try_hold_request(&mut self, bytes: usize) -> bool {
        let usage = self.tracker.shared.usage.part().body();
        let bytes = CONNECTION_BYTES + bytes * BUFFER_FACTOR;
        let is_held = usage.try_hold(bytes) && usage.set_busy();
        self.usage = Some(usage);
        is_held
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut phase = self.tracker.lock();
        *phase = match *phase {
            ConnectionPhase::Busy(count) if count > 1 => ConnectionPhase::Busy(count - 1),
            _ => {
                self.tracker.shared.usage.set_waiting();
                ConnectionPhase::Idle(Instant::now())
            }
        };
    }
}

/// A response body that keeps its request counted as in flight until it is dropped.
pub(crate) struct GuardedBody<B> {
    body: B,
    _guard: Option<RequestGuard>,
}

impl<B> GuardedBody<B> {
    /// Returns `body` with the guard of its request, if that is in flight.
    pub(crate) fn new(body: B, guard: Option<RequestGuard>) -> GuardedBody<B> {
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

/// A caller's stream that ends when a timeout has passed, or when it gives way to others.
pub(crate) struct LimitedStream {
    io: Take<TcpStream>,
    tracker: PhaseTracker,
    limits: SharedLimits,
    timer: Option<Pin<Box<Sleep>>>,
    has_read: bool,
    /// Since when the caller has not read what is sent to it; `None` while it does.
    stalled_since: Option<Instant>,
    /// Bytes of the request head that have arrived.
    head_bytes: usize,
    /// Memory of its buffers that is counted, in bytes.
    buffer_bytes: usize,
    is_closed: bool,
}

impl LimitedStream {
    /// Returns `stream` under the timeouts of `limits`.
    pub(crate) fn new(
        stream: TcpStream,
        tracker: PhaseTracker,
        limits: SharedLimits,
    ) -> LimitedStream {
        LimitedStream {
            io: stream.take(READ_BYTES_MAX),
            tracker,
            limits,
            timer: None,
            has_read: false,
            stalled_since: None,
            head_bytes: 0,
            buffer_bytes: CONNECTION_BYTES,
            is_closed: false,
        }
    }

    /// Returns when the current phase times out; `None` if it has no timeout.
    fn deadline(&self) -> Option<Instant> {
        let phase = *self.tracker.lock();
        let limits = self.limits.get();
        match phase {
            ConnectionPhase::Idle(since) => Some(since + limits.idle_timeout),
            ConnectionPhase::Head(since) => Some(since + limits.head_timeout),
            ConnectionPhase::Busy(_) => Some(self.stalled_since? + limits.idle_timeout),
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

    /// Closes the connection; sends `response` first if a request head is incomplete.
    fn close(&mut self, cx: &mut Context<'_>, response: &[u8]) {
        self.is_closed = true;
        let phase = *self.tracker.lock();
        if matches!(phase, ConnectionPhase::Head(_)) {
            // The response is lost if the caller reads nothing.
            let _ = Pin::new(self.io.get_mut()).poll_write(cx, response);
        }
    }

    /// Counts `bytes` that have been read; returns false if there is no room for them.
    fn record_read(&mut self, bytes: &[u8]) -> bool {
        if !self.has_read {
            self.has_read = true;
            let is_http2 = bytes.starts_with(HTTP2_PREFACE);
            let shared = &self.tracker.shared;
            shared.is_http2.store(is_http2, Ordering::Relaxed);
        }
        if self.tracker.record_read() {
            self.head_bytes += bytes.len();
            return self.try_buffer(self.head_bytes * BUFFER_FACTOR);
        }
        self.head_bytes = 0;
        match self.tracker.is_http2() {
            true => self.try_buffer(HTTP2_BYTES),
            // The request is in flight, and its body is read as fast as it is used.
            false => {
                let _ = self.try_buffer(bytes.len() * BUFFER_FACTOR);
                true
            }
        }
    }

    /// Counts buffers of `bytes`, which are kept until the connection closes; returns false if there is no room.
    fn try_buffer(&mut self, bytes: usize) -> bool {
        if bytes <= self.buffer_bytes {
            return true;
        }
        let bytes = bytes.next_multiple_of(COUNT_STEP);
        let is_held = self.tracker.shared.usage.try_hold(bytes);
        if is_held {
            self.buffer_bytes = bytes;
        }
        is_held
    }

    /// Counts the response that is being sent, if it is large.
    fn hold_response(&self) {
        let bytes = self.tracker.shared.response_bytes.load(Ordering::Relaxed);
        if bytes > 0 {
            // Without room it is sent all the same: the request has run.
            let _ = self
                .tracker
                .shared
                .usage
                .try_hold(self.buffer_bytes + bytes);
        }
    }

    /// Counts the response no more, as all of it has been sent.
    fn release_response(&self) {
        let shared = &self.tracker.shared;
        if shared.response_bytes.swap(0, Ordering::Relaxed) > 0 {
            let _ = shared.usage.try_hold(self.buffer_bytes);
        }
    }

    /// Records whether the caller takes what is sent. A connection whose caller doesn't may give way, and ends in time.
    fn check_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if self.stalled_since.take().is_some() && self.tracker.is_busy() {
                // Fails if the connection gives way now; its next read ends it.
                let _ = self.tracker.shared.usage.set_busy();
            }
            return written;
        }
        if self.stalled_since.is_none() {
            self.stalled_since = Some(Instant::now());
            self.tracker.shared.usage.set_waiting();
            self.hold_response();
        }
        let has_given_way = self.tracker.shared.usage.poll_given_way(cx).is_ready();
        if has_given_way || self.poll_timeout(cx).is_ready() {
            self.is_closed = true;
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_closed {
            return Poll::Ready(Ok(()));
        }
        if self.tracker.shared.usage.poll_given_way(cx).is_ready() {
            self.close(cx, GAVE_WAY_RESPONSE);
            return Poll::Ready(Ok(()));
        }
        let start = buf.filled().len();
        self.io.set_limit(READ_BYTES_MAX);
        match Pin::new(&mut self.io).poll_read(cx, buf) {
            Poll::Ready(result) => {
                if !self.record_read(&buf.filled()[start..]) {
                    buf.set_filled(start);
                    self.close(cx, GAVE_WAY_RESPONSE);
                    return Poll::Ready(Ok(()));
                }
                return Poll::Ready(result);
            }
            Poll::Pending => {}
        }
        ready!(self.poll_timeout(cx));
        self.close(cx, HEAD_TIMEOUT_RESPONSE);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.io.get_mut()).poll_write(cx, buf);
        self.check_write(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called once everything has been written.
        self.release_response();
        Pin::new(self.io.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.io.get_mut()).poll_write_vectored(cx, bufs);
        self.check_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.get_ref().is_write_vectored()
    }
}
