//! A call of the load with its resends.

use super::mix::LoadOperation;
use crate::client::{
    ATTEMPT_HEADER, CUSTOMER_HEADER, DEADLINE_HEADER, HttpClient, IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER, RETRY_AFTER_HEADER, TRACE_PARENT_HEADER,
};
use agatehill_decide::contract::RequestClass;
use bytes::Bytes;
use eyre::Result;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use tokio::time;

/// Base of the exponential backoff between attempts without a retry-after.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Path of a call to the backend server.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CallRoute {
    /// Through a daemon.
    Through,
    /// Directly to a backend server.
    Direct,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CallOutcome {
    /// Complete response to this request.
    Whole,
    /// Response that belongs to another request.
    Mixed,
    /// Status other than success in the last attempt.
    Refused,
    /// No response, or a truncated one.
    Broken,
}

/// Record of a finished call.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) route: CallRoute,
    pub(crate) class: RequestClass,
    pub(crate) outcome: CallOutcome,
    /// Status and outcome header of the last response, or why there is none.
    pub(crate) last_response: String,
    pub(crate) attempts: u32,
    /// Time from the intended start to the end of the last attempt.
    pub(crate) latency: Duration,
}

/// Options of all calls of a load.
#[derive(Clone, Debug)]
pub(crate) struct CallOptions {
    pub(crate) customer: Option<HeaderValue>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) body: Bytes,
    pub(crate) attempt_timeout: Duration,
    pub(crate) resends: u32,
    /// Resends at once.
    pub(crate) ignores_retry_after: bool,
}

/// Call to make.
pub(crate) struct LoadCall {
    pub(crate) route: CallRoute,
    /// Address of the daemon or backend server, `HOST:PORT`.
    pub(crate) address: String,
    pub(crate) operation: LoadOperation,
    pub(crate) path: String,
    pub(crate) key: String,
    pub(crate) trace: HeaderValue,
    pub(crate) intended: Instant,
}

/// Fields of a stand-in's response that identify the request.
#[derive(Deserialize)]
struct StandInResponse {
    path: String,
    key: Option<String>,
}

struct AttemptResult {
    outcome: CallOutcome,
    response: String,
    resend: ResendAdvice,
}

/// Whether and when a call may be sent again.
enum ResendAdvice {
    Never,
    After(Duration),
    Backoff,
}

impl LoadCall {
    /// Makes the call with its resends and returns its record.
    pub(crate) async fn run(
        self,
        client: &HttpClient<Full<Bytes>>,
        options: &CallOptions,
    ) -> CallRecord {
        let mut attempts = 0;
        let last = loop {
            let attempt = self.attempt(client, options, attempts).await;
            attempts += 1;
            if attempts > options.resends {
                break attempt;
            }
            match attempt.resend {
                ResendAdvice::Never => break attempt,
                _ if options.ignores_retry_after => {}
                ResendAdvice::After(wait) => time::sleep(wait).await,
                ResendAdvice::Backoff => time::sleep(RESEND_DELAY * (1 << attempts.min(8))).await,
            }
        };
        CallRecord {
            route: self.route,
            class: self.operation.class,
            outcome: last.outcome,
            last_response: last.response,
            attempts,
            latency: self.intended.elapsed(),
        }
    }

    async fn attempt(
        &self,
        client: &HttpClient<Full<Bytes>>,
        options: &CallOptions,
        number: u32,
    ) -> AttemptResult {
        let broken = |reason: &str| AttemptResult {
            outcome: CallOutcome::Broken,
            response: reason.to_owned(),
            resend: ResendAdvice::Backoff,
        };
        match time::timeout(options.attempt_timeout, self.send(client, options, number)).await {
            Ok(Ok(attempt)) => attempt,
            Ok(Err(_)) => broken("connection error"),
            Err(_) => broken("time limit"),
        }
    }

    async fn send(
        &self,
        client: &HttpClient<Full<Bytes>>,
        options: &CallOptions,
        number: u32,
    ) -> Result<AttemptResult> {
        let response = client.request(self.request(options, number)?).await?;
        let (head, body) = response.into_parts();
        let reported = head.headers.get(&OUTCOME_HEADER);
        let reported = reported.and_then(|o| o.to_str().ok()).unwrap_or("-");
        let response = format!("{} {reported}", head.status.as_u16());
        let body = body.collect().await?.to_bytes();
        if head.status.is_success() {
            let outcome = self.classify(&body);
            let resend = ResendAdvice::Never;
            return Ok(AttemptResult {
                outcome,
                response,
                resend,
            });
        }
        Ok(AttemptResult {
            outcome: CallOutcome::Refused,
            response,
            resend: resend_advice(head.status, &head.headers),
        })
    }

    fn request(&self, options: &CallOptions, number: u32) -> Result<Request<Full<Bytes>>> {
        let LoadCall { address, path, .. } = self;
        let service = &self.operation.service;
        let uri = match self.route {
            CallRoute::Through => format!("http://{address}/call/{service}{path}"),
            CallRoute::Direct => format!("http://{address}{path}"),
        };
        let mut request = Request::new(Full::new(options.body.clone()));
        *request.method_mut() = self.operation.method.clone();
        *request.uri_mut() = uri.parse()?;
        let headers = request.headers_mut();
        if let Some(customer) = &options.customer {
            headers.insert(CUSTOMER_HEADER, customer.clone());
        }
        if let Some(millis) = options.deadline_ms {
            headers.insert(DEADLINE_HEADER, millis.into());
        }
        headers.insert(IDEMPOTENCY_KEY_HEADER, HeaderValue::try_from(&self.key)?);
        headers.insert(TRACE_PARENT_HEADER, self.trace.clone());
        headers.insert(ATTEMPT_HEADER, number.into());
        Ok(request)
    }

    /// Returns whether the successful response with `body` belongs to this call.
    fn classify(&self, body: &[u8]) -> CallOutcome {
        match serde_json::from_slice::<StandInResponse>(body) {
            Ok(response)
                if response.path == self.path && response.key.as_ref() == Some(&self.key) =>
            {
                CallOutcome::Whole
            }
            _ => CallOutcome::Mixed,
        }
    }
}

fn resend_advice(status: StatusCode, headers: &HeaderMap) -> ResendAdvice {
    match status {
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::BAD_GATEWAY
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::GATEWAY_TIMEOUT => {}
        _ => return ResendAdvice::Never,
    }
    let millis = headers
        .get(&RETRY_AFTER_HEADER)
        .and_then(|v| v.to_str().ok());
    match millis.and_then(|text| text.parse().ok()) {
        Some(millis) => ResendAdvice::After(Duration::from_millis(millis)),
        None => ResendAdvice::Backoff,
    }
}
