//! The hop from the daemon that took a call to the daemon beside the chosen server.
//!
//! The hop is HTTP/1.1 over pooled connections, so that bodies stream. What the two daemons tell
//! each other besides the call itself travels in one request and one answer header, each a
//! postcard value in hexadecimal digits.

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
/// Asks what has become of an attempt; holds its [`AttemptId`] in hexadecimal digits.
pub const ATTEMPT_STATUS_HEADER: HeaderName = HeaderName::from_static("agatehill-ask");
/// Carries a [`ForwardReport`].
pub const REPORT_HEADER: HeaderName = HeaderName::from_static("agatehill-report");

/// What the gate needs to know about a forwarded call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardHead {
    /// Names this attempt.
    pub id: AttemptId,
    /// The customer whose contract applies.
    pub customer: CustomerName,
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The call chain.
    pub chain: ChainId,
    /// The service to run it.
    pub service: ServiceName,
    /// The backend server that was chosen; `None` lets the receiving daemon choose in its zone.
    pub server: Option<SocketAddr>,
    /// Priority of the chain.
    pub priority: CallPriority,
    /// A backend server makes the call as part of a chain.
    pub is_nested: bool,
    /// Time left to the caller, in milliseconds.
    pub deadline_ms: u32,
    /// Retries that the calls below may spend together.
    pub retries: u32,
    /// The caller's own count of attempts.
    pub attempt: u32,
    /// Hours for which the run must be remembered; `None` when the operation is idempotent.
    pub remember_hours: Option<u32>,
}

/// Why a call was refused or failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum FailureKind {
    /// An earlier attempt has run; its answer was too large to keep.
    AnswerNotKept,
    /// The remaining time does not suffice or has passed.
    Deadline,
    /// The request id was used for another request.
    KeyReused,
    /// The contract's limits are spent.
    Limit,
    /// The connection to the server or its host was lost.
    Lost,
    /// The server or its gate has no place for the call.
    Shed,
    /// The request crashed servers.
    Quarantined,
    /// The keepers' claims can't be asked, so a non-idempotent request is not run.
    Unclaimed,
    /// No server of the service can be reached.
    NoServer,
}

/// What the gate tells beside the answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardReport {
    /// What is known about the run.
    pub outcome: CallOutcome,
    /// Whether the outcome speaks for all earlier attempts of the request too.
    pub covers_earlier: bool,
    /// Why there is no answer; `None` when there is one.
    pub failure: Option<FailureKind>,
    /// Time after which the caller may ask again, in milliseconds.
    pub retry_after_ms: u32,
    /// Retries that the calls below have spent.
    pub retries_used: u32,
    /// A deeper hop has given up; the failure is not retried above it.
    pub is_final: bool,
    /// Calls at the server, as a share of its limit, in thousandths.
    pub load: u16,
    /// The least important priority that the gate lets in.
    pub level: CallPriority,
    /// The levels of this gate and of those that the calls below have passed.
    pub levels: PathLevels,
}

impl ForwardReport {
    /// Returns a report without a load, a level, retries or a time to come back.
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

/// A forward header that does not decode.
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

/// Returns `uri`'s path and query at host `addr`.
pub fn absolute_uri(addr: SocketAddr, uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    Uri::builder()
        .scheme("http")
        .authority(addr.to_string())
        .path_and_query(path)
        .build()
        .expect("a socket address and a parsed path make a URI")
}

/// Returns the header value that asks for the attempt `id`.
pub fn attempt_query_value(id: AttemptId) -> HeaderValue {
    encode(&id)
}

/// Returns the attempt that `headers` ask for.
///
/// # Errors
///
/// The header is missing or malformed.
pub fn queried_attempt(headers: &HeaderMap) -> Result<AttemptId, ForwardHeaderError> {
    decode(headers, ATTEMPT_STATUS_HEADER)
}

/// Returns the header value that answers a question.
pub fn attempt_status_value(answer: AttemptStatus) -> HeaderValue {
    encode(&answer)
}

/// Returns the answer that `headers` hold.
///
/// # Errors
///
/// The header is missing or malformed.
pub fn attempt_status(headers: &HeaderMap) -> Result<AttemptStatus, ForwardHeaderError> {
    decode(headers, ATTEMPT_STATUS_HEADER)
}

pub(crate) fn encode<T: Serialize>(value: &T) -> HeaderValue {
    let bytes = postcard::to_allocvec(value).expect("forward types always encode");
    let mut text = vec![0; bytes.len() * 2];
    hex::encode_to_slice(&bytes, &mut text).expect("two digits a byte");
    HeaderValue::from_maybe_shared(Bytes::from(text)).expect("hexadecimal digits are visible")
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
