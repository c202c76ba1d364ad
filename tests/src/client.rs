//! An HTTP client for tests.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{net::SocketAddr, time::Duration};

/// Time after which a call of a test has failed.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// An answer, read whole.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl TestResponse {
    /// Returns header `name`, empty when missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().expect("headers are ASCII"))
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// Calls over pooled connections.
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
    /// Sends a request and reads the whole answer; `None` when there is none.
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
            .expect("the test's request is well formed");
        let call = async {
            let (parts, body) = self.client.request(req).await.ok()?.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(TestResponse {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(CALL_LIMIT, call).await.ok().flatten()
    }

    /// Sends a GET and reads the whole answer.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Option<TestResponse> {
        self.send("GET", addr, path, &[], Bytes::new()).await
    }
}

/// Runs `check` until it returns true, or fails the test after `limit`.
pub async fn eventually<F, R>(what: &str, limit: Duration, mut check: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let end = tokio::time::Instant::now() + limit;
    while !check().await {
        assert!(
            tokio::time::Instant::now() < end,
            "not within {limit:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
}
