//! A request body that is held back until the process that it is sent to reads it.
//!
//! A frozen process accepts connections and bytes, and reads them when it wakes. A request that may run
//! once could not be sent elsewhere then. A gate runs no request before it has its whole body, and says
//! when it begins to read it (`100 Continue`). So a request whose body has not been released has not run
//! and never will.

use crate::pool::SendError;
use agatehill_peer::body::CallBody;
use bytes::Bytes;
use futures_util::task::AtomicWaker;
use http::{
    HeaderValue, Request, StatusCode,
    header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING},
};
use http_body::{Body, Frame};
use std::{
    future::Future,
    io,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

/// Time within which a gate must begin to read a request: several round trips between regions.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

// States of a hold.
const HELD: u8 = 0;
const RELEASED: u8 = 1;
const CANCELLED: u8 = 2;

#[derive(Debug, Default)]
struct HoldState {
    value: AtomicU8,
    waker: AtomicWaker,
}

/// Decides whether the body of one request is sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyHold {
    state: Arc<HoldState>,
}

/// How a request with a held body ended.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum HeldEnd<T> {
    /// The body was released, or there is a response without it.
    Sent(T),
    /// The body was never released: the request has not run and won't run.
    Unread,
}

/// A body that waits for its hold.
struct HeldBody {
    body: CallBody,
    state: Arc<HoldState>,
}

impl BodyHold {
    /// Holds the body of `req` until the receiver begins to read it.
    pub(crate) fn begin(req: &mut Request<CallBody>) -> BodyHold {
        let hold = BodyHold::default();
        let body = std::mem::replace(req.body_mut(), CallBody::empty());
        *req.body_mut() = CallBody::stream(HeldBody {
            body,
            state: hold.state.clone(),
        });
        let headers = req.headers_mut();
        // In chunks, so that also an empty body has an end that can be held back; named, because the
        // client sends a GET without a body otherwise.
        headers.remove(CONTENT_LENGTH);
        headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        headers.insert(EXPECT, HeaderValue::from_static("100-continue"));
        let reader = hold.clone();
        hyper::ext::on_informational(req, move |response| {
            if response.status() == StatusCode::CONTINUE {
                reader.release();
            }
        });
        hold
    }

    /// Waits for `sent`, the response to the request, but not for a receiver that doesn't read it.
    pub(crate) async fn watch<T>(
        &self,
        sent: impl Future<Output = Result<T, SendError>>,
    ) -> HeldEnd<Result<T, SendError>> {
        let mut sent = pin!(sent);
        let result = tokio::select! {
            result = &mut sent => result,
            () = tokio::time::sleep(READ_TIMEOUT) => {
                if self.cancel() {
                    return HeldEnd::Unread;
                }
                sent.await
            }
        };
        match result {
            Err(SendError::Lost | SendError::NotSent) if self.cancel() => HeldEnd::Unread,
            result => HeldEnd::Sent(result),
        }
    }

    fn release(&self) {
        if self.change_to(RELEASED) {
            self.state.waker.wake();
        }
    }

    /// Returns whether the body is still held; it will not be sent then.
    fn cancel(&self) -> bool {
        self.change_to(CANCELLED)
    }

    fn change_to(&self, value: u8) -> bool {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        let state = &self.state.value;
        state
            .compare_exchange(HELD, value, success, failure)
            .is_ok()
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let held = self.get_mut();
        held.state.waker.register(cx.waker());
        match held.state.value.load(Ordering::Acquire) {
            HELD => Poll::Pending,
            RELEASED => Pin::new(&mut held.body).poll_frame(cx),
            _ => Poll::Ready(Some(Err(io::Error::other(
                "the request has been cancelled",
            )))),
        }
    }
}
