//! Time limits of a caller's connection: for a request head on its way, and between two requests.
//!
//! The stream under hyper keeps them, as hyper has one limit for both. A connection that is at work
//! on a request has no limit here, and one over HTTP/2 none at all: its pings tell who is there.

use http_body::{Body, Frame, SizeHint};
use std::{
    future::Future,
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

/// What is answered where a request head takes too long; the connection ends after it.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// How an HTTP/2 connection begins, as far as no HTTP/1 request does.
const HTTP2_START: &[u8] = b"PRI * HTTP/2";
/// Time after which a connection at work is looked at again; a limit may be noticed late by as much.
const LOOK_AGAIN: Duration = Duration::from_secs(1);
/// Shortest limit; a shorter one would end new connections before their first byte.
const LIMIT_MIN: Duration = Duration::from_millis(100);

/// Time limits of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionTimeouts {
    /// Time for a request head, from its first byte on.
    pub head: Duration,
    /// Time without a request.
    pub idle: Duration,
}

impl Default for ConnectionTimeouts {
    fn default() -> ConnectionTimeouts {
        ConnectionTimeouts {
            head: Duration::from_secs(60),
            idle: Duration::from_secs(60),
        }
    }
}

/// The limits of a listener's connections, open ones too; clones share them.
#[derive(Clone, Debug, Default)]
pub struct SharedTimeouts {
    limits: Arc<Mutex<ConnectionTimeouts>>,
}

impl SharedTimeouts {
    /// Puts `limits` in force; a wait that has begun may end by the limit that it began with.
    pub fn set(&self, limits: ConnectionTimeouts) {
        let limits = ConnectionTimeouts {
            head: limits.head.max(LIMIT_MIN),
            idle: limits.idle.max(LIMIT_MIN),
        };
        *self.limits.lock().expect("no holder of the limits panics") = limits;
    }

    fn get(&self) -> ConnectionTimeouts {
        *self.limits.lock().expect("no holder of the limits panics")
    }
}

/// What a connection is at.
#[derive(Clone, Copy, Debug)]
enum ConnectionPhase {
    /// Nothing is under way since then.
    Idle(Instant),
    /// A request head is under way since then.
    Head(Instant),
    /// This many requests are under way.
    Busy(usize),
}

/// The phase of one connection, which its stream and its requests share.
#[derive(Clone, Debug)]
pub(crate) struct PhaseClock {
    phase: Arc<Mutex<ConnectionPhase>>,
}

impl PhaseClock {
    /// Returns the clock of a connection that has just been opened.
    pub(crate) fn open() -> PhaseClock {
        let phase = ConnectionPhase::Idle(Instant::now());
        PhaseClock {
            phase: Arc::new(Mutex::new(phase)),
        }
    }

    /// Takes in that a whole request head has come; the request ends with the guard.
    pub(crate) fn begin(&self) -> RequestGuard {
        let mut phase = self.lock();
        let count = match *phase {
            ConnectionPhase::Busy(count) => count,
            _ => 0,
        };
        *phase = ConnectionPhase::Busy(count + 1);
        RequestGuard {
            clock: self.clone(),
        }
    }

    /// Takes in that bytes have come.
    fn note_read(&self) {
        let mut phase = self.lock();
        if matches!(*phase, ConnectionPhase::Idle(_)) {
            *phase = ConnectionPhase::Head(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionPhase> {
        self.phase.lock().expect("no holder of the phase panics")
    }
}

/// A request of a connection that is under way.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    clock: PhaseClock,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut phase = self.clock.lock();
        *phase = match *phase {
            ConnectionPhase::Busy(count) if count > 1 => ConnectionPhase::Busy(count - 1),
            _ => ConnectionPhase::Idle(Instant::now()),
        };
    }
}

/// The body of an answer; its request is under way until it ends.
pub(crate) struct GuardedBody<B> {
    body: B,
    _guard: RequestGuard,
}

impl<B> GuardedBody<B> {
    /// Returns `body`, which ends the request of `guard`.
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

/// A caller's stream that ends where a limit has passed.
pub(crate) struct TimedStream {
    io: TcpStream,
    clock: PhaseClock,
    limits: SharedTimeouts,
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether it has begun as HTTP/2; `None` until something has come.
    is_http2: Option<bool>,
    is_over: bool,
}

impl TimedStream {
    /// Returns `stream` under `limits`.
    pub(crate) fn new(stream: TcpStream, clock: PhaseClock, limits: SharedTimeouts) -> TimedStream {
        TimedStream {
            io: stream,
            clock,
            limits,
            timer: None,
            is_http2: None,
            is_over: false,
        }
    }

    /// Returns when the present phase must be over; `None` without a limit.
    fn deadline(&self) -> Option<Instant> {
        if self.is_http2 == Some(true) {
            return None;
        }
        let phase = *self.clock.lock();
        let limits = self.limits.get();
        match phase {
            ConnectionPhase::Idle(since) => Some(since + limits.idle),
            ConnectionPhase::Head(since) => Some(since + limits.head),
            ConnectionPhase::Busy(_) => None,
        }
    }

    /// Waits for the present phase's limit.
    ///
    /// A phase without one has the timer run too: hyper does not ask again when it ends.
    fn poll_limit(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let deadline = self.deadline();
        let look = deadline.unwrap_or_else(|| Instant::now() + LOOK_AGAIN);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(look)));
        // A timer that is early looks again: rewinding it for each request would cost more.
        if timer.deadline() > look {
            timer.as_mut().reset(look);
        }
        while timer.as_mut().poll(cx).is_ready() {
            if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                return Poll::Ready(());
            }
            timer.as_mut().reset(look);
        }
        Poll::Pending
    }

    /// Ends the connection; one with half a request head is told why.
    fn end(&mut self, cx: &mut Context<'_>) {
        self.is_over = true;
        let phase = *self.clock.lock();
        if matches!(phase, ConnectionPhase::Head(_)) {
            // A caller that takes no bytes either can't be told.
            let _ = Pin::new(&mut self.io).poll_write(cx, SLOW_HEAD);
        }
    }

    fn note_read(&mut self, bytes: &[u8]) {
        self.is_http2
            .get_or_insert_with(|| bytes.starts_with(HTTP2_START));
        self.clock.note_read();
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_over {
            return Poll::Ready(Ok(()));
        }
        let start = buf.filled().len();
        match Pin::new(&mut self.io).poll_read(cx, buf) {
            Poll::Ready(result) => {
                self.note_read(&buf.filled()[start..]);
                return Poll::Ready(result);
            }
            Poll::Pending => {}
        }
        ready!(self.poll_limit(cx));
        self.end(cx);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimedStream {
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
