//! Accepts connections of a stand-in and dispatches its requests.

use super::{StandIn, work};
use bytes::Bytes;
use eyre::Result;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::{conn::auto, graceful::GracefulShutdown},
};
use std::{
    future, io,
    sync::{Arc, atomic::Ordering},
};
use tokio::net::{TcpListener, TcpStream};

/// Body of a response; an error truncates it.
pub(crate) type ResponseBody = BoxBody<Bytes, io::Error>;

/// Open connection; its `Drop` decrements the count of open connections.
struct ConnectionGuard(Arc<StandIn>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves connections until `stop` resolves, then finishes the requests in flight.
pub(crate) async fn serve(
    listener: TcpListener,
    stand_in: Arc<StandIn>,
    stop: impl Future<Output = ()>,
) {
    let graceful = GracefulShutdown::new();
    let builder = auto::Builder::new(TokioExecutor::new());
    let mut stop = std::pin::pin!(stop);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        if let Ok((stream, _)) = stream {
            serve_connection(&builder, &graceful, stream, stand_in.clone());
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(
    builder: &auto::Builder<TokioExecutor>,
    graceful: &GracefulShutdown,
    stream: TcpStream,
    stand_in: Arc<StandIn>,
) {
    let open = stand_in.open_connections.fetch_add(1, Ordering::Relaxed);
    let guard = ConnectionGuard(stand_in.clone());
    if open >= stand_in.settings.connections {
        return;
    }
    let _ = stream.set_nodelay(true);
    let epoch = stand_in.stall_epoch();
    let service = service_fn(move |request| handle(stand_in.clone(), epoch, request));
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        let _guard = guard;
        // A connection error means that the caller has gone; nothing is left to do.
        let _ = watched.await;
    });
}

async fn handle(
    stand_in: Arc<StandIn>,
    epoch: u64,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>> {
    if epoch != stand_in.stall_epoch() {
        future::pending::<()>().await;
    }
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/_runs") => json_response(StatusCode::OK, &stand_in.summary()),
        (&Method::POST, "/_silence") => {
            stand_in.stall_open_connections();
            json_response(StatusCode::OK, &())
        }
        _ => work::respond(&stand_in, request).await,
    }
}

/// Returns a response with `value` as JSON.
pub(crate) fn json_response(
    status: StatusCode,
    value: &impl serde::Serialize,
) -> Result<Response<ResponseBody>> {
    let body = full_body(serde_json::to_vec(value)?);
    let response = Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json");
    Ok(response.body(body)?)
}

/// Returns a body of known length from `bytes`.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}
