//! Reads bodies: small ones into memory, larger ones as streams.

use crate::buffer_budget::BufferReservation;
use agatehill_peer::{body::CallBody, timed_body::TimedBody};
use bytes::Bytes;
use http_body::{Body, Frame};
use metrics::counter;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::time::Instant;

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
    /// Other bodies take up the memory for it.
    NoRoom,
}

/// Reads `body`. A body of up to `limits.buffered_max` bytes is buffered; a larger one is returned
/// as a stream that holds `guard` until it is dropped and fails once it exceeds `limits.size_max` or goes
/// on past `limits.ends_at`. What is buffered is reserved from `buffer`, if there is one.
///
/// # Errors
///
/// The body is interrupted, turns out too large or finds no memory before it is returned.
pub async fn read_body<B, G>(
    mut body: B,
    limits: BodyLimits,
    mut buffer: Option<&mut BufferReservation>,
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
    let mut start = Vec::new();
    loop {
        let frame = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
        match frame {
            None => return Ok(CallBody::buffered(start.into())),
            Some(Err(_)) => return Err(BodyError::Interrupted),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    start.extend_from_slice(&data);
                }
            }
        }
        let remaining = limits.size_max.checked_sub(start.len() as u64);
        let remaining = remaining.ok_or(BodyError::TooLarge)?;
        let reserved = buffer.as_mut().map(|buffer| buffer.try_hold(start.len()));
        if reserved == Some(false) {
            return Err(BodyError::NoRoom);
        }
        if start.len() > limits.buffered_max {
            return Ok(CallBody::stream(StartedBody {
                start: Some(start.into()),
                rest: TimedBody::new(body, limits.ends_at, counter!("agatehill_relay_bodies_cut")),
                remaining,
                _guard: guard,
            }));
        }
    }
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
