//! An HTTP client for tests.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{net::SocketAddr, time::Duration};

/// Longest time for a call, from the request to the end of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl TestResponse {
    /// Returns the value of header `name`, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().expect("the header is ASCII"))
    }

    /// Parses the body as JSON; panics if it is not JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// HTTP/1.1 client with pooled connections.
#[derive(Clone, Debug)]
pub struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for TestClient {
    fn default() -> TestClient {
        TestClient {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl TestClient {
    /// Sends a request and reads the whole response; `None` on an error or a timeout.
    pub async fn send(
        &self,
        method: &str,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<TestResponse> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let req = builder
            .body(Full::new(body.into()))
            .expect("the request is well formed");
        let call = async {
            let (parts, body) = self.client.request(req).await.ok()?.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(TestResponse {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(CALL_TIMEOUT, call)
            .await
            .ok()
            .flatten()
    }

    /// Sends a GET without headers; see [`TestClient::send`].
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Option<TestResponse> {
        self.send("GET", addr, path, &[], Bytes::new()).await
    }
}

/// Polls `check` until it returns true; panics with `what` after `timeout`.
pub async fn eventually<F, R>(what: &str, timeout: Duration, mut check: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + timeout;
    while !check().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out after {timeout:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}
