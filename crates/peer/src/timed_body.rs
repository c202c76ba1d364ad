//! A streamed body that must end in time.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use metrics::Counter;
use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::{Instant, Sleep, sleep_until};

/// Time after the deadline that a backend server was given in which the rest of its response may still arrive.
pub const BODY_GRACE: Duration = Duration::from_millis(100);

/// Passes a body through; fails if it goes on past a time.
#[derive(Debug)]
pub struct TimedBody<B> {
    body: B,
    timer: Option<BodyTimer>,
}

/// The time by which a body must have ended, and the count of those that have not.
#[derive(Debug)]
struct BodyTimer {
    sleep: Pin<Box<Sleep>>,
    cut: Counter,
}

impl<B> TimedBody<B> {
    /// Wraps `body`, which fails at `ends_at`, if there is such a time; `cut` counts that.
    pub fn new(body: B, ends_at: Option<Instant>, cut: Counter) -> TimedBody<B> {
        let timer = ends_at.map(|end| BodyTimer {
            sleep: Box::pin(sleep_until(end)),
            cut,
        });
        TimedBody { body, timer }
    }
}

impl<B> Body for TimedBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(timer) = &mut self.timer
            && timer.sleep.as_mut().poll(cx).is_ready()
        {
            timer.cut.increment(1);
            let error = io::Error::new(
                io::ErrorKind::TimedOut,
                "body: it goes on past the deadline",
            );
            return Poll::Ready(Some(Err(error)));
        }
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        frame.map_err(io::Error::other)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
