//! A body that holds a guard until its end.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// A guard that learns whether the body it is held by came whole.
pub trait BodyGuard {
    /// Called once, after the last frame.
    fn complete(&mut self);

    /// Called once, when the sender has broken the body off.
    fn aborted(&mut self) {}
}

/// Passes `body` through and drops `guard` at its end.
#[derive(Debug)]
pub struct GuardedBody<B, G> {
    body: B,
    guard: Option<G>,
}

impl<B, G> GuardedBody<B, G> {
    /// Wraps `body`.
    pub fn new(body: B, guard: G) -> GuardedBody<B, G> {
        GuardedBody {
            body,
            guard: Some(guard),
        }
    }
}

impl<B, G> GuardedBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: BodyGuard + Unpin,
{
    fn release(&mut self, is_whole: bool) {
        let Some(mut guard) = self.guard.take() else {
            return;
        };
        if is_whole {
            guard.complete();
        } else {
            guard.aborted();
        }
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: BodyGuard + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let held = self.get_mut();
        let polled = Pin::new(&mut held.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => held.release(true),
            Poll::Ready(Some(Err(_))) => held.release(false),
            Poll::Ready(Some(Ok(_))) if held.body.is_end_stream() => held.release(true),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
