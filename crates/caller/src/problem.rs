//! Refusals and failures, as problem details (RFC 9457).

use agatehill_decide::{name::CustomerName, outcome::CallOutcome, retry::AttemptError};
use agatehill_peer::{
    body::CallBody,
    forward::{FailureKind, ForwardReport},
};
use bytes::Bytes;
use http::{
    HeaderName, HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde::Serialize;
use std::{fmt, time::Duration};

/// Tells what is known about the run of the request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("agatehill-outcome");
/// Time after which the caller may ask again, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: HeaderName = HeaderName::from_static("agatehill-retry-after-ms");

/// Why a caller gets no answer from a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallProblem {
    /// A resend past the contract's bound.
    AttemptsSpent(AttemptError),
    /// The request's body is larger than the daemon passes on.
    BodyTooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The gate or the hop to it failed or refused.
    Failed {
        /// What happened.
        kind: FailureKind,
        /// What is known over all tries.
        outcome: CallOutcome,
        /// Time after which the caller may ask again.
        retry_after: Duration,
    },
    /// A non-idempotent operation without a request id.
    KeyMissing,
    /// A header or the path is wrong.
    Malformed(String),
    /// No customer was named.
    CustomerMissing,
    /// A backend server's resend of a child call without a retry left in its chain.
    RetriesSpent,
    /// No contract is in force for the customer.
    UnknownCustomer(CustomerName),
    /// The contract does not list the operation.
    UnknownOperation {
        /// The service asked for.
        service: String,
        /// The method asked for.
        method: String,
        /// The path asked for.
        path: String,
    },
}

/// The problem body.
#[derive(Debug, Serialize)]
struct ProblemBody {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: String,
    outcome: CallOutcome,
}

impl CallProblem {
    /// Returns the failure that `report` tells of, as `kind`.
    pub fn from_report(kind: FailureKind, report: &ForwardReport) -> CallProblem {
        let retry_after = Duration::from_millis(u64::from(report.retry_after_ms));
        CallProblem::Failed {
            kind,
            outcome: report.outcome,
            retry_after,
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            CallProblem::AttemptsSpent(_) | CallProblem::RetriesSpent => {
                StatusCode::TOO_MANY_REQUESTS
            }
            CallProblem::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            CallProblem::CustomerMissing | CallProblem::KeyMissing | CallProblem::Malformed(_) => {
                StatusCode::BAD_REQUEST
            }
            CallProblem::UnknownCustomer(_) => StatusCode::FORBIDDEN,
            CallProblem::UnknownOperation { .. } => StatusCode::NOT_FOUND,
            CallProblem::Failed { kind, .. } => failure_status(*kind),
        }
    }

    /// Returns what is known about the run.
    pub fn outcome(&self) -> CallOutcome {
        match self {
            CallProblem::AttemptsSpent(_) | CallProblem::RetriesSpent => CallOutcome::Unknown,
            CallProblem::Failed { outcome, .. } => *outcome,
            _ => CallOutcome::NotRun,
        }
    }

    /// Returns the answer for the caller of a resend: what has refused it knows nothing of the
    /// attempts before, unless it is a failure that says so.
    pub fn resend_response(&self) -> Response<CallBody> {
        match self {
            CallProblem::Failed { .. } => self.response(),
            _ => self.response_with(CallOutcome::Unknown),
        }
    }

    /// Returns the answer for the caller.
    pub fn response(&self) -> Response<CallBody> {
        self.response_with(self.outcome())
    }

    fn response_with(&self, outcome: CallOutcome) -> Response<CallBody> {
        let text =
            serde_json::to_vec(&self.body(outcome)).expect("problem bodies always serialise");
        let mut response = Response::new(CallBody::buffered(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
        if let CallProblem::Failed { retry_after, .. } = self
            && !retry_after.is_zero()
        {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(*retry_after)));
            let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(millis));
        }
        response
    }

    fn body(&self, outcome: CallOutcome) -> ProblemBody {
        ProblemBody {
            kind: format!("urn:agatehill:problem:{}", self.slug()),
            title: self.status().canonical_reason().unwrap_or("failed"),
            status: self.status().as_u16(),
            detail: self.to_string(),
            outcome,
        }
    }

    fn slug(&self) -> &'static str {
        match self {
            CallProblem::AttemptsSpent(_) => "attempts-spent",
            CallProblem::BodyTooLarge { .. } => "body-too-large",
            CallProblem::CustomerMissing => "customer-missing",
            CallProblem::KeyMissing => "key-missing",
            CallProblem::Malformed(_) => "malformed",
            CallProblem::RetriesSpent => "retries-spent",
            CallProblem::UnknownCustomer(_) => "unknown-customer",
            CallProblem::UnknownOperation { .. } => "unknown-operation",
            CallProblem::Failed { kind, .. } => failure_slug(*kind),
        }
    }
}

impl fmt::Display for CallProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallProblem::AttemptsSpent(e) => e.fmt(f),
            CallProblem::BodyTooLarge { limit } => {
                write!(f, "the body is larger than {limit} bytes")
            }
            CallProblem::CustomerMissing => {
                f.write_str("header \"agatehill-customer\" is missing and no chain names one")
            }
            CallProblem::KeyMissing => f.write_str(
                "header \"idempotency-key\" is missing and the operation is not idempotent",
            ),
            CallProblem::Malformed(reason) => f.write_str(reason),
            CallProblem::RetriesSpent => {
                f.write_str("the chain's retries are spent; this resend did not run")
            }
            CallProblem::UnknownCustomer(customer) => {
                write!(f, "no contract is in force for customer \"{customer}\"")
            }
            CallProblem::UnknownOperation {
                service,
                method,
                path,
            } => write!(
                f,
                "the contract lists no operation {method} {path:?} at service {service:?}"
            ),
            CallProblem::Failed { kind, .. } => f.write_str(failure_text(*kind)),
        }
    }
}

impl std::error::Error for CallProblem {}

fn failure_status(kind: FailureKind) -> StatusCode {
    match kind {
        FailureKind::AnswerNotKept => StatusCode::GONE,
        FailureKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        FailureKind::KeyReused => StatusCode::CONFLICT,
        FailureKind::Limit => StatusCode::TOO_MANY_REQUESTS,
        FailureKind::Lost => StatusCode::BAD_GATEWAY,
        FailureKind::NoServer | FailureKind::Shed | FailureKind::Unclaimed => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        FailureKind::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
    }
}

fn failure_slug(kind: FailureKind) -> &'static str {
    match kind {
        FailureKind::AnswerNotKept => "answer-not-kept",
        FailureKind::Deadline => "deadline",
        FailureKind::KeyReused => "key-reused",
        FailureKind::Limit => "limit",
        FailureKind::Lost => "server-lost",
        FailureKind::NoServer => "no-server",
        FailureKind::Quarantined => "quarantined",
        FailureKind::Shed => "shed",
        FailureKind::Unclaimed => "unclaimed",
    }
}

fn failure_text(kind: FailureKind) -> &'static str {
    match kind {
        FailureKind::AnswerNotKept => {
            "an earlier attempt has run and its answer was too large to keep"
        }
        FailureKind::Deadline => "the time left to the caller does not suffice",
        FailureKind::KeyReused => "the idempotency-key was used for another request",
        FailureKind::Limit => "a limit of the contract is spent",
        FailureKind::Lost => "the connection to the backend server was lost",
        FailureKind::NoServer => "no backend server of the service can be reached",
        FailureKind::Quarantined => "the request has crashed backend servers",
        FailureKind::Shed => "the backend servers are overloaded",
        FailureKind::Unclaimed => {
            "the keepers that see to it that the request runs once can't be reached"
        }
    }
}

fn whole_seconds(span: Duration) -> u64 {
    span.as_millis()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u64::MAX)
}
