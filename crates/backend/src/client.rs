//! HTTP calls to a backend server on this host.

use agatehill_peer::{body::CallBody, forward::absolute_uri};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use std::{net::SocketAddr, time::Duration};

/// Time after which an unused pooled connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Time to open a connection on this host.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// How a call to a backend server failed on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The call was never sent.
    NotSent,
    /// The call was sent and its answer did not come whole.
    Lost,
}

/// Calls backend servers over pooled connections.
#[derive(Clone, Debug)]
pub struct BackendClient {
    client: Client<HttpConnector, CallBody>,
}

impl BackendClient {
    /// Opens a client with an empty connection pool.
    pub fn open() -> BackendClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .build(connector);
        BackendClient { client }
    }

    /// Sends `req` to the backend server at `addr`.
    ///
    /// # Errors
    ///
    /// No answer came; the failure tells whether the call was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut req: Request<CallBody>,
    ) -> Result<Response<Incoming>, CallFailure> {
        *req.uri_mut() = absolute_uri(addr, req.uri());
        self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                CallFailure::NotSent
            } else {
                CallFailure::Lost
            }
        })
    }
}
