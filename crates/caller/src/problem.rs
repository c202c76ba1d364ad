//! Refusals and failures as problem details (RFC 9457).

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

/// States what is known about the run of the request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("agatehill-outcome");
/// Time after which the caller may retry, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: HeaderName = HeaderName::from_static("agatehill-retry-after-ms");

/// Retry-after of a request whose body finds no memory.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Why a caller gets no response from a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallProblem {
    /// The contract allows no attempt of this number.
    AttemptsSpent(AttemptError),
    /// The request body is over the daemon's size limit.
    BodyTooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The gate refused the call, or the call failed there or on the way to it.
    Failed {
        /// Kind of the failure.
        kind: FailureKind,
        /// What is known about the run, over all attempts.
        outcome: CallOutcome,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// A non-idempotent operation has no request id.
    KeyMissing,
    /// A header, the path or the body is malformed.
    Malformed(String),
    /// The request names no customer and belongs to no chain that does.
    CustomerMissing,
    /// The body finds no memory, or gives way to other callers.
    NoRoom,
    /// A backend server resent a child call and its chain has no retry left.
    RetriesSpent,
    /// No contract is in force for the customer.
    UnknownCustomer(CustomerName),
    /// The contract does not list the operation.
    UnknownOperation {
        /// The requested service.
        service: String,
        /// The requested method.
        method: String,
        /// The requested path.
        path: String,
    },
}

/// The JSON body of a problem response.
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
    /// Returns the problem for a failure of kind `kind` with the details of `report`.
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
            CallProblem::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            CallProblem::UnknownCustomer(_) => StatusCode::FORBIDDEN,
            CallProblem::UnknownOperation { .. } => StatusCode::NOT_FOUND,
            CallProblem::Failed { kind, .. } => failure_status(*kind),
        }
    }

    /// Returns what is known about the run of the request.
    pub fn outcome(&self) -> CallOutcome {
        match self {
            CallProblem::AttemptsSpent(_) | CallProblem::RetriesSpent => CallOutcome::Unknown,
            CallProblem::Failed { outcome, .. } => *outcome,
            _ => CallOutcome::NotRun,
        }
    }

    /// Returns the response to a resend.
    ///
    /// Its outcome is unknown, as a refusal at the entry says nothing about earlier attempts; a
    /// failure states an outcome that includes them.
    pub fn resend_response(&self) -> Response<CallBody> {
        match self {
            CallProblem::Failed { .. } => self.response(),
            _ => self.response_with(CallOutcome::Unknown),
        }
    }

    /// Returns the response, with the outcome of the problem itself.
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
        let retry_after = self.retry_after();
        if !retry_after.is_zero() {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(retry_after)));
            let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(millis));
        }
        response
    }

    /// Returns the time after which the caller may retry, zero if there is none to name.
    fn retry_after(&self) -> Duration {
        match self {
            CallProblem::Failed { retry_after, .. } => *retry_after,
            CallProblem::NoRoom => NO_ROOM_RETRY_AFTER,
            _ => Duration::ZERO,
        }
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
            CallProblem::NoRoom => "no-room",
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
                write!(f, "the request body is larger than {limit} bytes")
            }
            CallProblem::CustomerMissing => f.write_str(
                "header \"agatehill-customer\" is missing and the chain has no known customer",
            ),
            CallProblem::KeyMissing => f.write_str(
                "header \"idempotency-key\" is missing and the operation is not idempotent",
            ),
            CallProblem::Malformed(reason) => f.write_str(reason),
            CallProblem::NoRoom => {
                f.write_str("other callers take up the daemon's memory; this request was not run")
            }
            CallProblem::RetriesSpent => {
                f.write_str("the retry budget of the call chain is spent; this resend was not run")
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
                "the contract has no operation {method} {path:?} at service {service:?}"
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
            "an earlier attempt has run; its response was too large to store"
        }
        FailureKind::Deadline => "the remaining time is too short or has passed",
        FailureKind::KeyReused => "the idempotency-key was used for a request with other content",
        FailureKind::Limit => "a limit of the contract is reached",
        FailureKind::Lost => "the connection to the backend server was lost",
        FailureKind::NoServer => "no backend server of the service can be reached",
        FailureKind::Quarantined => "the request has crashed backend servers and is quarantined",
        FailureKind::Shed => "the backend servers are overloaded",
        FailureKind::Unclaimed => "no claim for the request could be obtained from the keepers",
    }
}

fn whole_seconds(duration: Duration) -> u64 {
    duration
        .as_millis()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u64::MAX)
}
