//! The answers that the relay makes itself.

use agatehill_peer::body::CallBody;
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
};
use std::time::Duration;

/// Time to come back while no configuration is known.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Why a request gets no answer of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayError {
    /// No configuration is known yet; not run.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The head is larger than callers may send; not run.
    HeadTooLarge,
    /// The body is larger than callers may send; not run.
    BodyTooLarge,
    /// The body does not come in time; not run.
    BodyTimeout,
    /// The caller broke the request off.
    BadRequest,
    /// Nothing can run it now; not run.
    Unavailable {
        /// When there should be room.
        retry_after: Duration,
    },
    /// It was sent and no whole answer came: it may have run.
    Lost,
    /// No answer in time: it may have run.
    DeadlineExceeded,
}

impl RelayError {
    /// Returns the status.
    pub fn status(self) -> StatusCode {
        match self {
            RelayError::NoConfig | RelayError::Unavailable { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            RelayError::NoRoute => StatusCode::NOT_FOUND,
            RelayError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RelayError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RelayError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RelayError::BadRequest => StatusCode::BAD_REQUEST,
            RelayError::Lost => StatusCode::BAD_GATEWAY,
            RelayError::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason as a word, for logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            RelayError::NoConfig => "no-config",
            RelayError::NoRoute => "no-route",
            RelayError::HeadTooLarge => "head-too-large",
            RelayError::BodyTooLarge => "too-large",
            RelayError::BodyTimeout => "slow-body",
            RelayError::BadRequest => "bad-request",
            RelayError::Unavailable { .. } => "busy",
            RelayError::Lost => "lost",
            RelayError::DeadlineExceeded => "late",
        }
    }

    /// Returns the answer.
    pub fn response(self) -> Response<CallBody> {
        let body = CallBody::buffered(self.reason().into());
        let mut response = Response::new(body);
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let retry_after = match self {
            RelayError::NoConfig => Some(NO_CONFIG_RETRY),
            RelayError::Unavailable { retry_after } => Some(retry_after),
            _ => None,
        };
        if let Some(span) = retry_after {
            let text = format!("{:.3}", span.as_secs_f64());
            let value = HeaderValue::try_from(text).expect("numbers are header text");
            headers.insert(RETRY_AFTER, value);
        }
        let is_unread = matches!(
            self,
            RelayError::BodyTimeout | RelayError::BodyTooLarge | RelayError::HeadTooLarge
        );
        if is_unread {
            // The rest of the body is not read.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
