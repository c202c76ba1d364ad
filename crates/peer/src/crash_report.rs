//! Strikes against requests that crash backend servers, told between the daemons of a zone.
//!
//! They travel on the forward port, as a postcard value in hexadecimal digits in one header.

use crate::{
    body::CallBody,
    forward::{ForwardHeaderError, absolute_uri, decode, encode},
};
use agatehill_decide::quarantine::CrashReport;
use futures_util::future::join_all;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{net::SocketAddr, time::Duration};

/// Carries strikes to a daemon, and those of the daemon back.
pub const CRASH_REPORT_HEADER: HeaderName = HeaderName::from_static("agatehill-strikes");

/// Strikes in one message.
const NOTES_MAX: usize = 64;
/// Time for a daemon to answer; one that is silent learns of the strikes from a later message.
const TELL_LIMIT: Duration = Duration::from_secs(1);

/// Tells daemons of strikes, over a connection a message.
#[derive(Clone, Debug)]
pub struct CrashReportClient {
    client: Client<HttpConnector, CallBody>,
}

impl CrashReportClient {
    /// Opens a client without connections.
    pub fn open() -> CrashReportClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(TELL_LIMIT));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        CrashReportClient { client }
    }

    /// Tells all `peers`, by their forward addresses, and returns what they reply.
    pub async fn exchange(&self, peers: &[SocketAddr], notes: &[CrashReport]) -> Vec<CrashReport> {
        let messages = peers
            .iter()
            .flat_map(|peer| notes.chunks(NOTES_MAX).map(|chunk| self.send(*peer, chunk)));
        let replies = join_all(messages).await;
        replies.into_iter().flatten().flatten().collect()
    }

    async fn send(&self, peer: SocketAddr, notes: &[CrashReport]) -> Option<Vec<CrashReport>> {
        let mut req = Request::new(CallBody::empty());
        *req.method_mut() = Method::POST;
        *req.uri_mut() = absolute_uri(peer, &Uri::from_static("/"));
        req.headers_mut()
            .insert(CRASH_REPORT_HEADER, crash_report_value(notes));
        let sent = tokio::time::timeout(TELL_LIMIT, self.client.request(req));
        let response = sent.await.ok()?.ok()?;
        crash_reports(response.headers()).ok()
    }
}

/// Returns the header value that holds `notes`, the first of them where they are too many.
pub fn crash_report_value(notes: &[CrashReport]) -> HeaderValue {
    encode(&notes[..notes.len().min(NOTES_MAX)].to_vec())
}

/// Returns the strikes that `headers` hold.
///
/// # Errors
///
/// The header is missing or malformed.
pub fn crash_reports(headers: &HeaderMap) -> Result<Vec<CrashReport>, ForwardHeaderError> {
    decode(headers, CRASH_REPORT_HEADER)
}
