//! `GET /dump` and `GET /metrics`, which every process serves.

use crate::response::{ServiceHandler, json_response, response};
use gotham::{
    helpers::http::Body,
    pipeline::PipelineHandleChain,
    router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder},
    state::State,
};
use http::{Response, StatusCode};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::{panic::RefUnwindSafe, sync::OnceLock};

/// State that `GET /dump` returns.
pub trait StateDump: Send + Sync + 'static {
    /// Returns the current state as JSON.
    fn dump(&self) -> serde_json::Value;
}

/// Adds `GET /dump` and `GET /metrics` to `route`.
pub fn inspect_routes<D, C, P>(route: &mut RouterBuilder<'_, C, P>, state: D)
where
    D: Clone + StateDump,
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    route
        .get("/dump")
        .to_new_handler(ServiceHandler::new(state, dump));
    route
        .get("/metrics")
        .to_new_handler(ServiceHandler::new(metrics_recorder(), metrics));
}

/// Returns the handle of the process's metrics recorder, which the first call installs.
pub fn metrics_recorder() -> PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails if another recorder is installed; its owner reads the metrics then.
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    RECORDER.get_or_init(install).clone()
}

async fn dump<D: StateDump>(process: D, state: State) -> (State, Response<Body>) {
    (state, json_response(StatusCode::OK, &process.dump()))
}

async fn metrics(recorder: PrometheusHandle, state: State) -> (State, Response<Body>) {
    recorder.run_upkeep();
    let text = recorder.render();
    (
        state,
        response(StatusCode::OK, "text/plain; version=0.0.4", text),
    )
}
