//! Bodies that are held whole while they are small and pass through as streams beyond.

use agatehill_peer::body::CallBody;
use bytes::Bytes;
use http_body::{Body, Frame};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Bounds on a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest size that is held whole, in bytes.
    pub buffered_max: usize,
    /// Largest size at all, in bytes.
    pub size_max: u64,
}

/// Why a body can't be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// Its sender broke it off.
    Interrupted,
    /// It is larger than allowed.
    TooLarge,
}

/// Reads `body`: whole if it is small, else as a stream that keeps `guard` until its end and breaks
/// off where it is larger than allowed.
///
/// # Errors
///
/// The body broke off or is too large, as far as it was read.
pub async fn read_body<B, G>(
    mut body: B,
    limits: BodyLimits,
    guard: G,
) -> Result<CallBody, BodyError>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
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
        let left = limits.size_max.checked_sub(start.len() as u64);
        let left = left.ok_or(BodyError::TooLarge)?;
        if start.len() > limits.buffered_max {
            return Ok(CallBody::stream(StartedBody {
                start: Some(start.into()),
                rest: body,
                left,
                _guard: guard,
            }));
        }
    }
}

/// A body of which the start has been read.
struct StartedBody<B, G> {
    start: Option<Bytes>,
    rest: B,
    /// Bytes that may still come.
    left: u64,
    _guard: G,
}

impl<B, G> Body for StartedBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
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
        let frame = match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
            None => return Poll::Ready(None),
            Some(Err(_)) => return Poll::Ready(Some(Err(broken("the sender broke it off")))),
            Some(Ok(frame)) => frame,
        };
        let len = frame.data_ref().map_or(0, Bytes::len) as u64;
        match self.left.checked_sub(len) {
            None => Poll::Ready(Some(Err(broken("it is larger than allowed")))),
            Some(left) => {
                self.left = left;
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("body: {reason}"))
}
