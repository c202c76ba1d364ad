//! Child calls that a stand-in makes through the daemon on its host.

use super::work::text_header;
use crate::client::{
    self, CUSTOMER_HEADER, HttpClient, HttpVersion, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER,
    TRACE_PARENT_HEADER,
};
use bytes::Bytes;
use eyre::Result;
use futures_util::future;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::{
    net::SocketAddr,
    str::FromStr,
    sync::{Mutex, PoisonError},
};

/// Child call, written `SERVICE:/PATH` or `METHOD SERVICE:/PATH`.
#[derive(Clone, Debug)]
pub(crate) struct ChildCall {
    method: Method,
    service: String,
    path: String,
}

impl FromStr for ChildCall {
    type Err = String;

    fn from_str(text: &str) -> Result<ChildCall, String> {
        let (method, rest) = text.split_once(' ').unwrap_or(("GET", text));
        let method = Method::from_str(method).map_err(|e| e.to_string())?;
        match rest.split_once(':') {
            Some((service, path)) if path.starts_with('/') => Ok(ChildCall {
                method,
                service: service.to_owned(),
                path: path.to_owned(),
            }),
            _ => Err(format!("call \"{text}\" is not SERVICE:/PATH")),
        }
    }
}

/// Child call that failed in its last attempt.
#[derive(Debug, Serialize)]
pub(crate) struct ChildCallError {
    call: String,
    status: u16,
    outcome: String,
}

/// Makes child calls and retries them at once.
pub(crate) struct ChildCaller {
    daemon: SocketAddr,
    client: HttpClient<Empty<Bytes>>,
    retries: u32,
    rng: Mutex<StdRng>,
}

impl ChildCaller {
    /// Returns a caller that sends through the daemon at `daemon`.
    pub(crate) fn open(daemon: SocketAddr, retries: u32, seed: u64) -> ChildCaller {
        ChildCaller {
            daemon,
            client: client::open(HttpVersion::Http1),
            retries,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Makes `calls` as children of the request with headers `parent`.
    ///
    /// # Errors
    ///
    /// The first call that failed in its last attempt.
    pub(crate) async fn call_all(
        &self,
        calls: &[ChildCall],
        is_parallel: bool,
        parent: &HeaderMap,
    ) -> Result<(), ChildCallError> {
        let futures = calls
            .iter()
            .enumerate()
            .map(|(idx, call)| self.call(idx, call, parent));
        if is_parallel {
            future::try_join_all(futures).await?;
            return Ok(());
        }
        for call in futures {
            call.await?;
        }
        Ok(())
    }

    async fn call(
        &self,
        idx: usize,
        call: &ChildCall,
        parent: &HeaderMap,
    ) -> Result<(), ChildCallError> {
        let mut retries = 0;
        loop {
            let result = self.send(idx, call, parent).await;
            if result.is_ok() || retries >= self.retries {
                return result;
            }
            retries += 1;
        }
    }

    async fn send(
        &self,
        idx: usize,
        call: &ChildCall,
        parent: &HeaderMap,
    ) -> Result<(), ChildCallError> {
        let fail = |status: u16, outcome: &str| ChildCallError {
            call: format!("{}:{}", call.service, call.path),
            status,
            outcome: outcome.to_owned(),
        };
        let request = self
            .request(idx, call, parent)
            .map_err(|_| fail(0, "unsent"))?;
        let response = self.client.request(request).await;
        let response = response.map_err(|_| fail(0, "unanswered"))?;
        let status = response.status();
        let outcome = text_header(response.headers(), &OUTCOME_HEADER)
            .unwrap_or("")
            .to_owned();
        let body = response.into_body().collect().await;
        match (status, body) {
            (StatusCode::OK, Ok(_)) => Ok(()),
            _ => Err(fail(status.as_u16(), &outcome)),
        }
    }

    fn request(
        &self,
        idx: usize,
        call: &ChildCall,
        parent: &HeaderMap,
    ) -> Result<Request<Empty<Bytes>>> {
        let uri = format!("http://{}/call/{}{}", self.daemon, call.service, call.path);
        let mut request = Request::new(Empty::new());
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = uri.parse()?;
        let headers = request.headers_mut();
        if let Some(customer) = parent.get(&CUSTOMER_HEADER) {
            headers.insert(CUSTOMER_HEADER, customer.clone());
        }
        if let Some(key) = text_header(parent, &IDEMPOTENCY_KEY_HEADER) {
            let key = HeaderValue::try_from(format!("{key}.{idx}"))?;
            headers.insert(IDEMPOTENCY_KEY_HEADER, key);
        }
        if let Some(trace) =
            text_header(parent, &TRACE_PARENT_HEADER).and_then(|t| t.split('-').nth(1))
        {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            headers.insert(
                TRACE_PARENT_HEADER,
                client::child_trace_parent(trace, &mut *rng),
            );
        }
        Ok(request)
    }
}
