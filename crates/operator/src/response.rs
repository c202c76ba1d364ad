//! HTTP responses with JSON bodies or RFC 9457 problems, and the handlers that return them.

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

/// Body of an RFC 9457 problem.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProblemBody {
    /// The HTTP status code.
    pub status: u16,
    /// Summary of the kind of problem.
    pub title: String,
    /// What is wrong with this request.
    pub detail: String,
}

/// Returns a response with `value` as its JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let buf = serde_json::to_vec(value).expect("response bodies are serialisable");
    response(status, "application/json", buf)
}

/// Returns a response with an RFC 9457 problem as its body.
pub fn problem_response(status: StatusCode, detail: impl Into<String>) -> Response<Body> {
    let title = status.canonical_reason().unwrap_or_default();
    let body = ProblemBody {
        status: status.as_u16(),
        title: title.to_owned(),
        detail: detail.into(),
    };
    let buf = serde_json::to_vec(&body).expect("response bodies are serialisable");
    response(status, "application/problem+json", buf)
}

/// Returns a response with `body` of type `content_type`.
pub fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// A gotham handler that calls `handle` for each request, with a clone of `service`.
pub struct ServiceHandler<S, F> {
    service: AssertUnwindSafe<S>,
    handle: F,
}

impl<S, F> ServiceHandler<S, F> {
    /// Returns a handler that passes each request to `handle`.
    pub fn new(service: S, handle: F) -> ServiceHandler<S, F> {
        let service = AssertUnwindSafe(service);
        ServiceHandler { service, handle }
    }
}

/// The handler of one request: the function of a [`ServiceHandler`] and its clone of the service.
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
