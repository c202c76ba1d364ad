//! Error responses that the relay generates itself.

use agatehill_peer::body::CallBody;
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE},
};
use std::time::Duration;

/// Retry-after of requests that arrive before the first configuration.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry-after of requests that arrive whole when the daemon is about to exit; by then it listens no more, and
/// callers go elsewhere.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a request gets no response from a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayError {
    /// No configuration is in force yet. The request has not run.
    NoConfig,
    /// The daemon is about to exit, and too little time is left for the request. It has not run.
    Stopping,
    /// No route matches the host and path. The request has not run.
    NoRoute,
    /// The route needs a key, and the request carries none that is in force. The request has not run.
    Unauthorized,
    /// The client account has reached its limit. The request has not run.
    OverLimit {
        /// Time after which there is room for a request.
        retry_after: Duration,
    },
    /// No host that hands out the account's limit can be reached. The request has not run.
    QuotaUnknown {
        /// Time after which a retry is likely to be accepted.
        retry_after: Duration,
    },
    /// The request head exceeds the configured limit. The request has not run.
    HeadTooLarge,
    /// The request body exceeds the configured limit. The request has not run.
    BodyTooLarge,
    /// The request body did not arrive in time. The request has not run.
    BodyTimeout,
    /// The request is malformed, or its body was interrupted.
    BadRequest,
    /// The request body finds no memory, or gives way to other callers. The request has not run.
    NoRoom {
        /// Time after which a retry is likely to be accepted.
        retry_after: Duration,
    },
    /// No backend server accepts the request now. It has not run.
    Unavailable {
        /// Time after which a retry is likely to be accepted.
        retry_after: Duration,
    },
    /// The request has crashed backend servers; this attempt of it has not run.
    Quarantined {
        /// Remaining time of its quarantine.
        retry_after: Duration,
    },
    /// The request was sent and no complete response arrived: it may have run.
    Lost,
    /// No response arrived before the deadline: the request may have run.
    DeadlineExceeded,
}

impl RelayError {
    /// Reason of [`RelayError::Unavailable`].
    pub const BUSY: &'static str = "busy";

    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            RelayError::NoConfig
            | RelayError::Stopping
            | RelayError::NoRoom { .. }
            | RelayError::QuotaUnknown { .. }
            | RelayError::Unavailable { .. }
            | RelayError::Quarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            RelayError::Unauthorized => StatusCode::UNAUTHORIZED,
            RelayError::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            RelayError::NoRoute => StatusCode::NOT_FOUND,
            RelayError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RelayError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RelayError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RelayError::BadRequest => StatusCode::BAD_REQUEST,
            RelayError::Lost => StatusCode::BAD_GATEWAY,
            RelayError::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason that the response body, logs and metrics carry.
    pub fn reason(self) -> &'static str {
        match self {
            RelayError::NoConfig => "no-config",
            RelayError::Stopping => "stopping",
            RelayError::NoRoute => "no-route",
            RelayError::Unauthorized => "unauthorized",
            RelayError::OverLimit { .. } => "over-limit",
            RelayError::QuotaUnknown { .. } => "quota-unknown",
            RelayError::HeadTooLarge => "head-too-large",
            RelayError::BodyTooLarge => "too-large",
            RelayError::BodyTimeout => "slow-body",
            RelayError::BadRequest => "bad-request",
            RelayError::NoRoom { .. } | RelayError::Unavailable { .. } => RelayError::BUSY,
            RelayError::Quarantined { .. } => "quarantined",
            RelayError::Lost => "lost",
            RelayError::DeadlineExceeded => "late",
        }
    }

    /// Returns the HTTP response, with the reason as its body.
    pub fn response(self) -> Response<CallBody> {
        let body = CallBody::buffered(self.reason().into());
        let mut response = Response::new(body);
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let retry_after = match self {
            RelayError::NoConfig => Some(NO_CONFIG_RETRY_AFTER),
            RelayError::Stopping => Some(STOPPING_RETRY_AFTER),
            RelayError::OverLimit { retry_after }
            | RelayError::NoRoom { retry_after }
            | RelayError::QuotaUnknown { retry_after }
            | RelayError::Unavailable { retry_after }
            | RelayError::Quarantined { retry_after } => Some(retry_after),
            _ => None,
        };
        if let Some(delay) = retry_after {
            let text = format!("{:.3}", delay.as_secs_f64());
            let value =
                HeaderValue::try_from(text).expect("a formatted number is a valid header value");
            headers.insert(RETRY_AFTER, value);
        }
        if self == RelayError::Unauthorized {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        let has_unread_bytes = matches!(
            self,
            RelayError::BodyTimeout
                | RelayError::BodyTooLarge
                | RelayError::HeadTooLarge
                | RelayError::NoRoom { .. }
        );
        if has_unread_bytes {
            // The rest of the request stays unread, so the connection can't be reused.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
