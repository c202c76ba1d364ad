//! An HTTP body that keeps a guard alive until its end.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// A guard that is notified whether its body ended completely.
pub trait BodyGuard {
    /// Records the end of the body; called once, after the last frame.
    fn complete(&mut self);

    /// Records that the sender aborted the body; called once.
    fn aborted(&mut self) {}
}

/// Passes a body through and drops the guard at its end.
#[derive(Debug)]
pub struct GuardedBody<B, G> {
    body: B,
    guard: Option<G>,
}

impl<B, G> GuardedBody<B, G> {
    /// Wraps `body` and holds `guard` until it ends.
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
    fn release(&mut self, is_complete: bool) {
        let Some(mut guard) = self.guard.take() else {
            return;
        };
        if is_complete {
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
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => this.release(true),
            Poll::Ready(Some(Err(_))) => this.release(false),
            Poll::Ready(Some(Ok(_))) if this.body.is_end_stream() => this.release(true),
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
