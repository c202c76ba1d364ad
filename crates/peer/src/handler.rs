//! Runs an async function as a gotham handler.

use crate::body::CallBody;
use gotham::{handler::HandlerFuture, helpers::http::Body, prelude::*, state::State};
use http::{HeaderMap, Method, Request, Response, Uri};
use std::{future::Future, net::SocketAddr, pin::Pin};

/// Runs `handle` on the request in `state` and returns its response.
pub fn respond<F, R>(mut state: State, handle: F) -> Pin<Box<HandlerFuture>>
where
    F: FnOnce(Request<Body>) -> R + Send + 'static,
    R: Future<Output = Response<CallBody>> + Send + 'static,
{
    Box::pin(async move {
        let req = take_request(&mut state);
        let response = handle(req).await;
        Ok((state, response.map(CallBody::into_gotham)))
    })
}

/// Returns the address of the sender's end of the connection of the request in `state`.
///
/// # Panics
///
/// The request did not arrive over a connection.
pub fn client_addr(state: &State) -> SocketAddr {
    gotham::state::client_addr(state).expect("the listener sets the address of each connection")
}

fn take_request(state: &mut State) -> Request<Body> {
    let mut req = Request::new(Body::take_from(state));
    *req.method_mut() = Method::take_from(state);
    *req.uri_mut() = Uri::take_from(state);
    *req.headers_mut() = HeaderMap::take_from(state);
    req
}
