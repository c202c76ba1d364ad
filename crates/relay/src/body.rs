//! Reads bodies: small ones into memory, larger ones as streams.

use agatehill_peer::{body::CallBody, timed_body::TimedBody};
use agatehill_process::budget::{ClientUsage, ListenerBudget};
use bytes::Bytes;
use http_body::{Body, Frame};
use metrics::counter;
use std::{
    future::poll_fn,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::time::Instant;

/// Memory of the buffer between a connection and the reader of a body, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Size limits of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body that is buffered in memory, in bytes.
    pub buffered_max: usize,
    /// Largest body that is accepted, in bytes.
    pub size_max: u64,
    /// Time at which a streamed body fails unless it has ended; `None` without a limit.
    pub ends_at: Option<Instant>,
}

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The sender aborted it.
    Interrupted,
    /// It exceeds [`BodyLimits::size_max`].
    TooLarge,
    /// It finds no memory, or gives way to other clients. Nothing of it has been passed on.
    NoRoom,
}

/// Returns the usage of `body` in the budget of its listener; `None` if it is empty.
pub fn body_usage<B: Body>(body: &B, budget: &ListenerBudget) -> Option<ClientUsage> {
    (!body.is_end_stream()).then(|| budget.body())
}

/// Reads `body`. A body of up to `limits.buffered_max` bytes is buffered; a larger one is returned
/// as a stream that holds `guard` until it is dropped and fails once it exceeds `limits.size_max` or goes
/// on past `limits.ends_at`. What is buffered is counted as `usage`, if there is one, which may give way until the body is
/// returned.
///
/// # Errors
///
/// The body is interrupted, turns out too large, or finds no memory before it is returned.
pub async fn read_body<B, G>(
    mut body: B,
    limits: BodyLimits,
    usage: Option<&ClientUsage>,
    guard: G,
) -> Result<CallBody, BodyError>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
    G: Send + Unpin + 'static,
{
    if body.size_hint().lower() > limits.size_max {
        return Err(BodyError::TooLarge);
    }
    if !usage.is_none_or(|usage| usage.try_hold(READ_BUFFER_BYTES)) {
        return Err(no_room());
    }
    let mut start = Vec::new();
    loop {
        let frame = poll_fn(|cx| poll_frame(&mut body, usage, cx)).await?;
        match frame {
            None => {
                keep(usage)?;
                return Ok(CallBody::buffered(start.into()));
            }
            Some(Err(_)) => return Err(BodyError::Interrupted),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    reserve(&mut start, data.len(), limits.buffered_max, usage)?;
                    start.extend_from_slice(&data);
                }
            }
        }
        let remaining = limits.size_max.checked_sub(start.len() as u64);
        let remaining = remaining.ok_or(BodyError::TooLarge)?;
        if start.len() > limits.buffered_max {
            keep(usage)?;
            return Ok(CallBody::stream(StartedBody {
                start: Some(start.into()),
                rest: TimedBody::new(body, limits.ends_at, counter!("agatehill_relay_bodies_cut")),
                remaining,
                _guard: guard,
            }));
        }
    }
}

/// Polls the next frame of a body, unless its usage has given way.
#[expect(
    clippy::type_complexity,
    reason = "the result of `Body::poll_frame` behind one of its own"
)]
fn poll_frame<B>(
    body: &mut B,
    usage: Option<&ClientUsage>,
    cx: &mut Context<'_>,
) -> Poll<Result<Option<Result<Frame<Bytes>, B::Error>>, BodyError>>
where
    B: Body<Data = Bytes> + Unpin,
{
    if usage.is_some_and(|usage| usage.poll_given_way(cx).is_ready()) {
        return Poll::Ready(Err(no_room()));
    }
    Pin::new(body).poll_frame(cx).map(Ok)
}

/// Makes room in `start` for `more` bytes, counted as `usage`; for no more than `len_max` bytes in all if they are enough.
fn reserve(
    start: &mut Vec<u8>,
    more: usize,
    len_max: usize,
    usage: Option<&ClientUsage>,
) -> Result<(), BodyError> {
    let needed = start.len() + more;
    if needed <= start.capacity() {
        return Ok(());
    }
    let capacity = needed.max(len_max.min(2 * start.capacity()));
    let is_held = usage.is_none_or(|usage| usage.try_hold(READ_BUFFER_BYTES + capacity));
    if !is_held {
        return Err(no_room());
    }
    start.reserve_exact(capacity - start.len());
    Ok(())
}

/// Keeps `usage` from giving way, as the request is passed on from now on.
fn keep(usage: Option<&ClientUsage>) -> Result<(), BodyError> {
    match usage.is_none_or(ClientUsage::set_busy) {
        true => Ok(()),
        false => Err(no_room()),
    }
}

/// Counts a body that finds no memory.
fn no_room() -> BodyError {
    counter!("agatehill_relay_bodies_refused").increment(1);
    BodyError::NoRoom
}

/// A streamed body whose first bytes have been read.
struct StartedBody<B, G> {
    start: Option<Bytes>,
    rest: TimedBody<B>,
    /// Bytes that may still follow `start` within the size limit.
    remaining: u64,
    _guard: G,
}

impl<B, G> Body for StartedBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + Send + Sync + 'static,
    G: Unpin,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        let frame = loop {
            match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                // As of a buffered body: they could hold headers that the system sets.
                Some(Ok(frame)) if frame.is_trailers() => {}
                Some(Ok(frame)) => break frame,
            }
        };
        let len = frame.data_ref().map_or(0, Bytes::len) as u64;
        match self.remaining.checked_sub(len) {
            None => Poll::Ready(Some(Err(body_error("it exceeds the size limit")))),
            Some(remaining) => {
                self.remaining = remaining;
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }
}

fn body_error(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("body: {reason}"))
}
