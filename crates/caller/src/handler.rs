//! The gotham handlers of the caller listener and of the forward listener.

use crate::entry::CallEntry;
use agatehill_peer::body::CallBody;
use agatehill_process::health::AssertNewHandler;
use gotham::{
    handler::{HandlerFuture, NewHandler},
    helpers::http::Body,
    prelude::*,
    router::{Router, build_simple_router},
    state::State,
};
use http::{HeaderMap, Method, Request, Response, Uri};
use std::{future::Future, pin::Pin, sync::Arc};

const METHODS: [Method; 7] = [
    Method::DELETE,
    Method::GET,
    Method::HEAD,
    Method::OPTIONS,
    Method::PATCH,
    Method::POST,
    Method::PUT,
];

/// Returns the router of the caller listener.
pub fn caller_router(entry: Arc<CallEntry>) -> Router {
    build_simple_router(|route| {
        let handler = AssertNewHandler(move || {
            let entry = entry.clone();
            Ok(move |state| respond(state, move |req| async move { entry.call(req).await }))
        });
        route
            .request(METHODS.to_vec(), "/call/*")
            .to_new_handler(handler);
    })
}

/// Returns the handler of the forward listener, which takes any path.
pub fn forward_handler(entry: Arc<CallEntry>) -> impl NewHandler + 'static {
    AssertNewHandler(move || {
        let entry = entry.clone();
        Ok(move |state| respond(state, move |req| async move { entry.forwarded(req).await }))
    })
}

fn respond<F, R>(mut state: State, run: F) -> Pin<Box<HandlerFuture>>
where
    F: FnOnce(Request<Body>) -> R + Send + 'static,
    R: Future<Output = Response<CallBody>> + Send + 'static,
{
    Box::pin(async move {
        let req = take_request(&mut state);
        let response = run(req).await;
        Ok((state, response.map(CallBody::into_gotham)))
    })
}

fn take_request(state: &mut State) -> Request<Body> {
    let mut req = Request::new(Body::take_from(state));
    *req.method_mut() = Method::take_from(state);
    *req.uri_mut() = Uri::take_from(state);
    *req.headers_mut() = HeaderMap::take_from(state);
    req
}
