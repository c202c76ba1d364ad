//! One call with its resends.

use super::mix::LoadOperation;
use crate::client::{
    ATTEMPT, CUSTOMER, DEADLINE, HttpClient, OUTCOME, REQUEST_ID, RETRY_AFTER, TRACE_PARENT,
};
use agatehill_decide::contract::RequestClass;
use bytes::Bytes;
use eyre::Result;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use tokio::time;

/// Wait before the first resend of a call whose refusal gives no time, doubled each time.
const RESEND_WAIT: Duration = Duration::from_millis(100);

/// Which way a call goes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CallRoute {
    /// Through a daemon.
    Through,
    /// Directly to a backend server.
    Direct,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CallEnd {
    /// The whole answer to this very request.
    Whole,
    /// An answer that belongs to another request.
    Mixed,
    /// A final status other than success.
    Refused,
    /// No answer, or one cut short.
    Broken,
}

/// What is recorded of a call.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) route: CallRoute,
    pub(crate) class: RequestClass,
    pub(crate) end: CallEnd,
    /// Status and outcome of the last attempt.
    pub(crate) last: String,
    pub(crate) attempts: u32,
    /// From the intended start to the end of the answer.
    pub(crate) latency: Duration,
}

/// What all calls of a load have in common.
#[derive(Clone, Debug)]
pub(crate) struct CallPlan {
    pub(crate) customer: Option<HeaderValue>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) body: Bytes,
    pub(crate) limit: Duration,
    pub(crate) resends: u32,
    pub(crate) impatient: bool,
}

/// One call to make.
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

/// The parts of a stand-in's answer that tell whose it is.
#[derive(Deserialize)]
struct Answer {
    path: String,
    key: Option<String>,
}

struct Attempt {
    end: CallEnd,
    last: String,
    resend: ResendAdvice,
}

/// Whether and when a call may be sent again.
enum ResendAdvice {
    Never,
    After(Duration),
    Any,
}

impl LoadCall {
    /// Makes the call and its resends.
    pub(crate) async fn run(self, client: &HttpClient<Full<Bytes>>, plan: &CallPlan) -> CallRecord {
        let mut attempts = 0;
        let last = loop {
            let attempt = self.attempt(client, plan, attempts).await;
            attempts += 1;
            if attempts > plan.resends {
                break attempt;
            }
            match attempt.resend {
                ResendAdvice::Never => break attempt,
                _ if plan.impatient => {}
                ResendAdvice::After(wait) => time::sleep(wait).await,
                ResendAdvice::Any => time::sleep(RESEND_WAIT * (1 << attempts.min(8))).await,
            }
        };
        CallRecord {
            route: self.route,
            class: self.operation.class,
            end: last.end,
            last: last.last,
            attempts,
            latency: self.intended.elapsed(),
        }
    }

    async fn attempt(
        &self,
        client: &HttpClient<Full<Bytes>>,
        plan: &CallPlan,
        number: u32,
    ) -> Attempt {
        let broken = |last: &str| Attempt {
            end: CallEnd::Broken,
            last: last.to_owned(),
            resend: ResendAdvice::Any,
        };
        match time::timeout(plan.limit, self.send(client, plan, number)).await {
            Ok(Ok(attempt)) => attempt,
            Ok(Err(_)) => broken("connection error"),
            Err(_) => broken("time limit"),
        }
    }

    async fn send(
        &self,
        client: &HttpClient<Full<Bytes>>,
        plan: &CallPlan,
        number: u32,
    ) -> Result<Attempt> {
        let response = client.request(self.request(plan, number)?).await?;
        let (head, body) = response.into_parts();
        let outcome = head.headers.get(&OUTCOME);
        let outcome = outcome.and_then(|o| o.to_str().ok()).unwrap_or("-");
        let last = format!("{} {outcome}", head.status.as_u16());
        let body = body.collect().await?.to_bytes();
        if head.status.is_success() {
            let end = self.compare(&body);
            let resend = ResendAdvice::Never;
            return Ok(Attempt { end, last, resend });
        }
        Ok(Attempt {
            end: CallEnd::Refused,
            last,
            resend: resend_advice(head.status, &head.headers),
        })
    }

    fn request(&self, plan: &CallPlan, number: u32) -> Result<Request<Full<Bytes>>> {
        let LoadCall { address, path, .. } = self;
        let service = &self.operation.service;
        let uri = match self.route {
            CallRoute::Through => format!("http://{address}/call/{service}{path}"),
            CallRoute::Direct => format!("http://{address}{path}"),
        };
        let mut request = Request::new(Full::new(plan.body.clone()));
        *request.method_mut() = self.operation.method.clone();
        *request.uri_mut() = uri.parse()?;
        let headers = request.headers_mut();
        if let Some(customer) = &plan.customer {
            headers.insert(CUSTOMER, customer.clone());
        }
        if let Some(millis) = plan.deadline_ms {
            headers.insert(DEADLINE, millis.into());
        }
        headers.insert(REQUEST_ID, HeaderValue::try_from(&self.key)?);
        headers.insert(TRACE_PARENT, self.trace.clone());
        headers.insert(ATTEMPT, number.into());
        Ok(request)
    }

    /// Tells whether the answer in `body` is the one to this call.
    fn compare(&self, body: &[u8]) -> CallEnd {
        match serde_json::from_slice::<Answer>(body) {
            Ok(answer) if answer.path == self.path && answer.key.as_ref() == Some(&self.key) => {
                CallEnd::Whole
            }
            _ => CallEnd::Mixed,
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
    let millis = headers.get(&RETRY_AFTER).and_then(|v| v.to_str().ok());
    match millis.and_then(|text| text.parse().ok()) {
        Some(millis) => ResendAdvice::After(Duration::from_millis(millis)),
        None => ResendAdvice::Any,
    }
}
