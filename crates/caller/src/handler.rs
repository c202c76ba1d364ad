//! Gotham handlers of the caller listener and the forward listener.

use crate::entry::CallEntry;
use agatehill_peer::handler::respond;
use agatehill_process::health::AssertNewHandler;
use gotham::{
    handler::NewHandler,
    prelude::*,
    router::{Router, build_simple_router},
};
use http::Method;
use std::sync::Arc;

/// HTTP methods that callers may use.
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
            Ok(move |state| {
                respond(
                    state,
                    move |req| async move { entry.handle_call(req).await },
                )
            })
        });
        route
            .request(METHODS.to_vec(), "/call/*")
            .to_new_handler(handler);
    })
}

/// Returns the handler of the forward listener, which accepts any path.
pub fn forward_handler(entry: Arc<CallEntry>) -> impl NewHandler + 'static {
    AssertNewHandler(move || {
        let entry = entry.clone();
        Ok(move |state| {
            respond(state, move |req| async move {
                entry.handle_forwarded(req).await
            })
        })
    })
}
