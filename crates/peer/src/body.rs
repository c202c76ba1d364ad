//! The body of a call: buffered in memory when small, streamed otherwise.

use bytes::Bytes;
use futures_util::FutureExt;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Largest body that is buffered, in bytes; a larger one is streamed and can't be resent.
pub const BUFFERED_BODY_BYTES_MAX: u64 = 64 * 1024;

/// The body of a request or of its response.
#[derive(Debug)]
pub enum CallBody {
    /// A body held in memory; can be sent again.
    Buffered(Full<Bytes>),
    /// A body that is passed on frame by frame.
    Stream(gotham::helpers::http::Body),
}

impl CallBody {
    /// Returns an empty body.
    pub fn empty() -> CallBody {
        CallBody::buffered(Bytes::new())
    }

    /// Returns a body that holds `bytes`.
    pub fn buffered(bytes: Bytes) -> CallBody {
        CallBody::Buffered(Full::new(bytes))
    }

    /// Returns a body that is passed on frame by frame.
    pub fn stream<B>(body: B) -> CallBody
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        CallBody::Stream(body.map_err(io::Error::other).boxed_unsync())
    }

    /// Returns a copy of a buffered body; `None` for a stream.
    pub fn try_clone(&self) -> Option<CallBody> {
        match self {
            CallBody::Buffered(bytes) => Some(CallBody::Buffered(bytes.clone())),
            CallBody::Stream(_) => None,
        }
    }

    /// Returns the bytes of a buffered body; `None` for a stream.
    pub fn buffered_bytes(&self) -> Option<Bytes> {
        let CallBody::Buffered(bytes) = self else {
            return None;
        };
        let frame = bytes.clone().frame().now_or_never()?;
        let data = frame.and_then(|Ok(frame)| frame.into_data().ok());
        Some(data.unwrap_or_default())
    }

    /// Buffers `body` if its length is known and at most [`BUFFERED_BODY_BYTES_MAX`], else wraps it
    /// as a stream.
    ///
    /// # Errors
    ///
    /// Fails if the sender aborts the body before its end.
    pub async fn read<B>(body: B) -> io::Result<CallBody>
    where
        B: Body<Data = Bytes> + Send + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let is_small = body
            .size_hint()
            .exact()
            .is_some_and(|n| n <= BUFFERED_BODY_BYTES_MAX);
        if !is_small {
            return Ok(CallBody::stream(body));
        }
        let bytes = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(CallBody::buffered(bytes))
    }

    /// Converts the body to that of a gotham response.
    pub fn into_gotham(self) -> gotham::helpers::http::Body {
        match self {
            CallBody::Buffered(bytes) => bytes.map_err(|never| match never {}).boxed_unsync(),
            CallBody::Stream(body) => body,
        }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            CallBody::Buffered(bytes) => Pin::new(bytes)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            CallBody::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            CallBody::Buffered(bytes) => bytes.is_end_stream(),
            CallBody::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallBody::Buffered(bytes) => bytes.size_hint(),
            CallBody::Stream(body) => body.size_hint(),
        }
    }
}
