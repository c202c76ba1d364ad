//! Answers of the HTTP interfaces: JSON bodies and RFC 9457 problems.

use bytes::Bytes;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::State,
};
use http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use serde::{Deserialize, Serialize};
use std::{future::Future, panic::AssertUnwindSafe, pin::Pin};

/// An RFC 9457 problem.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProblemBody {
    /// The HTTP status code.
    pub status: u16,
    /// What kind of problem it is.
    pub title: String,
    /// What is wrong with this request.
    pub detail: String,
}

/// Returns `value` as a JSON answer.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let buf = serde_json::to_vec(value).expect("answers are serialisable");
    response(status, "application/json", buf)
}

/// Returns a problem answer.
pub fn problem_response(status: StatusCode, detail: impl Into<String>) -> Response<Body> {
    let title = status.canonical_reason().unwrap_or_default();
    let body = ProblemBody {
        status: status.as_u16(),
        title: title.to_owned(),
        detail: detail.into(),
    };
    let buf = serde_json::to_vec(&body).expect("answers are serialisable");
    response(status, "application/problem+json", buf)
}

/// Returns an answer with a whole body.
pub fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

/// Runs `handle` for each request, with a clone of `service`.
pub struct ServiceHandler<S, F> {
    service: AssertUnwindSafe<S>,
    handle: F,
}

impl<S, F> ServiceHandler<S, F> {
    /// Returns a handler of requests.
    pub fn new(service: S, handle: F) -> ServiceHandler<S, F> {
        let service = AssertUnwindSafe(service);
        ServiceHandler { service, handle }
    }
}

/// A request on its way to a [`ServiceHandler`]'s function.
pub struct ServiceHandlerInstance<S, F>(S, F);

impl<S, F, Fut> NewHandler for ServiceHandler<S, F>
where
    S: Clone + Send + Sync + 'static,
    F: Fn(S, State) -> Fut + Copy + Send + Sync + std::panic::RefUnwindSafe + 'static,
    Fut: Future<Output = (State, Response<Body>)> + Send + 'static,
{
    type Instance = ServiceHandlerInstance<S, F>;

    fn new_handler(&self) -> gotham::anyhow::Result<ServiceHandlerInstance<S, F>> {
        Ok(ServiceHandlerInstance(self.service.0.clone(), self.handle))
    }
}

impl<S, F, Fut> Handler for ServiceHandlerInstance<S, F>
where
    S: Send + 'static,
    F: Fn(S, State) -> Fut + Send + 'static,
    Fut: Future<Output = (State, Response<Body>)> + Send + 'static,
{
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let ServiceHandlerInstance(service, handle) = self;
        Box::pin(async move { Ok(handle(service, state).await) })
    }
}
