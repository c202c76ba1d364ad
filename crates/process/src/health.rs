//! The routes `GET /livez`, `GET /readyz` and `POST /drain`.

use crate::drain::DrainSignal;
use gotham::{
    helpers::http::response::create_empty_response, prelude::*, router::builder::RouterBuilder,
    state::State,
};
use http::StatusCode;
use std::{
    panic::RefUnwindSafe,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Whether the process accepts work; clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct ReadyFlag {
    flag: Arc<AtomicBool>,
}

impl ReadyFlag {
    /// Sets whether the process accepts work.
    pub fn set(&self, ready: bool) {
        self.flag.store(ready, Ordering::Release);
    }

    /// Returns whether the process accepts work.
    pub fn get(&self) -> bool {
        self.flag.load(Ordering::Acquire)
    }
}

/// Adds the health and drain routes to `route`.
pub fn add_routes<C, P>(route: &mut RouterBuilder<'_, C, P>, ready: ReadyFlag, drain: DrainSignal)
where
    C: gotham::pipeline::PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    route
        .get("/livez")
        .to_new_handler(|| Ok(|state| empty_response(state, StatusCode::OK)));
    let draining = drain.clone();
    route
        .get("/readyz")
        .to_new_handler(AssertUnwindSafeHandler(move || {
            let is_ready = ready.get() && !draining.is_raised();
            let status = if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            Ok(move |state| empty_response(state, status))
        }));
    route
        .post("/drain")
        .to_new_handler(AssertUnwindSafeHandler(move || {
            drain.raise();
            Ok(|state| empty_response(state, StatusCode::ACCEPTED))
        }));
}

/// Marks a handler factory as unwind safe.
///
/// The factories hold watch channels and atomics, which stay consistent after a caught panic.
#[derive(Clone, Debug)]
pub struct AssertUnwindSafeHandler<F>(pub F);

impl<F> RefUnwindSafe for AssertUnwindSafeHandler<F> {}

impl<F, H> gotham::handler::NewHandler for AssertUnwindSafeHandler<F>
where
    F: Fn() -> gotham::anyhow::Result<H> + Send + Sync,
    H: gotham::handler::Handler + Send,
{
    type Instance = H;

    fn new_handler(&self) -> gotham::anyhow::Result<H> {
        (self.0)()
    }
}

fn empty_response(
    state: State,
    status: StatusCode,
) -> (State, http::Response<gotham::helpers::http::Body>) {
    let response = create_empty_response(&state, status);
    (state, response)
}
