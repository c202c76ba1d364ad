//! Headers of calls that a daemon forwards to the daemon on the chosen server's host.
//!
//! Calls are forwarded over HTTP/1.1 with pooled connections, so that bodies can be streamed. The
//! daemons exchange further data in one request header and one response header, each a postcard
//! value in hexadecimal digits.

use agatehill_decide::{
    attempt_status::{AttemptId, AttemptStatus},
    level::PathLevels,
    name::{ChainId, CustomerName, RequestId, ServiceName},
    outcome::CallOutcome,
    priority::CallPriority,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Uri};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{fmt, net::SocketAddr};

/// Carries a [`ForwardHead`].
pub const FORWARD_HEADER: HeaderName = HeaderName::from_static("agatehill-forward");
/// Carries an [`AttemptId`] in a status query, and the [`AttemptStatus`] in the reply.
pub const ATTEMPT_STATUS_HEADER: HeaderName = HeaderName::from_static("agatehill-ask");
/// Carries a [`ForwardReport`].
pub const REPORT_HEADER: HeaderName = HeaderName::from_static("agatehill-report");

/// What a gate needs to know about a forwarded call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardHead {
    /// Identifies this attempt.
    pub id: AttemptId,
    /// The customer whose contract applies.
    pub customer: CustomerName,
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The call chain.
    pub chain: ChainId,
    /// The service that runs the call.
    pub service: ServiceName,
    /// The chosen backend server; `None` if the receiving daemon is to choose one in its zone.
    pub server: Option<SocketAddr>,
    /// Priority of the chain.
    pub priority: CallPriority,
    /// Whether a backend server makes the call as part of a chain.
    pub is_nested: bool,
    /// Remaining time of the caller, in milliseconds.
    pub deadline_ms: u32,
    /// Retries that all nested calls together may use.
    pub retries: u32,
    /// The caller's attempt number.
    pub attempt: u32,
    /// Hours for which the run must be remembered; `None` if the operation is idempotent.
    pub remember_hours: Option<u32>,
}

/// Why a call was refused or failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum FailureKind {
    /// An earlier attempt has run, but its response was too large to store.
    AnswerNotKept,
    /// The deadline has passed, or the remaining time is too short.
    Deadline,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A limit of the contract is exhausted.
    Limit,
    /// The connection to the server or its host was lost.
    Lost,
    /// The server or its gate has no capacity for the call.
    Shed,
    /// The request is quarantined because it crashed servers.
    Quarantined,
    /// The claims can't be reached or are full, so a non-idempotent request is not run.
    Unclaimed,
    /// No server of the service can be reached.
    NoServer,
}

/// What a gate reports with its response.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardReport {
    /// What is known about the run.
    pub outcome: CallOutcome,
    /// Whether the outcome also applies to all earlier attempts of the request.
    pub covers_earlier: bool,
    /// Why there is no response of the server; `None` if there is one.
    pub failure: Option<FailureKind>,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u32,
    /// Retries that nested calls have used.
    pub retries_used: u32,
    /// Whether a nested call has stopped retrying, so that no caller above it retries either.
    pub is_final: bool,
    /// Calls at the server in thousandths of its concurrency limit.
    pub load: u16,
    /// The lowest priority that the gate admits.
    pub level: CallPriority,
    /// The admission levels of this gate and of the gates that nested calls have passed.
    pub levels: PathLevels,
}

impl ForwardReport {
    /// Returns a report with no load, retries or retry-after time, and the lowest level.
    pub fn new(outcome: CallOutcome, failure: Option<FailureKind>) -> ForwardReport {
        ForwardReport {
            outcome,
            covers_earlier: false,
            failure,
            retry_after_ms: 0,
            retries_used: 0,
            is_final: false,
            load: 0,
            level: CallPriority::LOWEST,
            levels: PathLevels::default(),
        }
    }
}

/// A header between daemons that is missing or malformed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardHeaderError {
    header: HeaderName,
    reason: String,
}

impl fmt::Display for ForwardHeaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "header {:?}: {}", self.header.as_str(), self.reason)
    }
}

impl std::error::Error for ForwardHeaderError {}

impl From<&ForwardHead> for HeaderValue {
    fn from(head: &ForwardHead) -> HeaderValue {
        encode(head)
    }
}

impl From<&ForwardReport> for HeaderValue {
    fn from(report: &ForwardReport) -> HeaderValue {
        encode(report)
    }
}

impl TryFrom<&HeaderMap> for ForwardHead {
    type Error = ForwardHeaderError;

    fn try_from(headers: &HeaderMap) -> Result<ForwardHead, ForwardHeaderError> {
        decode(headers, FORWARD_HEADER)
    }
}

impl TryFrom<&HeaderMap> for ForwardReport {
    type Error = ForwardHeaderError;

    fn try_from(headers: &HeaderMap) -> Result<ForwardReport, ForwardHeaderError> {
        decode(headers, REPORT_HEADER)
    }
}

/// Returns an absolute URI of host `addr` with the path and query of `uri`.
pub fn absolute_uri(addr: SocketAddr, uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build()
        .expect("a socket address and a parsed path form a valid URI")
}

/// Returns the header value that queries the status of attempt `id`.
pub fn attempt_query_value(id: AttemptId) -> HeaderValue {
    encode(&id)
}

/// Returns the attempt whose status `headers` query.
///
/// # Errors
///
/// Fails if the header is missing or malformed.
pub fn queried_attempt(headers: &HeaderMap) -> Result<AttemptId, ForwardHeaderError> {
    decode(headers, ATTEMPT_STATUS_HEADER)
}

/// Returns the header value that replies to a status query.
pub fn attempt_status_value(status: AttemptStatus) -> HeaderValue {
    encode(&status)
}

/// Returns the attempt status in `headers`.
///
/// # Errors
///
/// Fails if the header is missing or malformed.
pub fn attempt_status(headers: &HeaderMap) -> Result<AttemptStatus, ForwardHeaderError> {
    decode(headers, ATTEMPT_STATUS_HEADER)
}

pub(crate) fn encode<T: Serialize>(value: &T) -> HeaderValue {
    let bytes = postcard::to_allocvec(value).expect("forward types always encode");
    let mut text = vec![0; bytes.len() * 2];
    hex::encode_to_slice(&bytes, &mut text).expect("the buffer has two digits per byte");
    HeaderValue::from_maybe_shared(Bytes::from(text)).expect("hexadecimal digits are visible ASCII")
}

pub(crate) fn decode<T: DeserializeOwned>(
    headers: &HeaderMap,
    name: HeaderName,
) -> Result<T, ForwardHeaderError> {
    let fail = |reason: &str| ForwardHeaderError {
        header: name.clone(),
        reason: reason.to_owned(),
    };
    let value = headers.get(&name).ok_or_else(|| fail("missing"))?;
    let bytes = hex::decode(value.as_bytes()).map_err(|_| fail("not hexadecimal"))?;
    postcard::from_bytes(&bytes).map_err(|e| fail(&e.to_string()))
}
