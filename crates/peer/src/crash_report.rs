//! Exchange of crash reports, on requests that crash backend servers, between a zone's daemons.
//!
//! Reports are sent to the forward port in one header: a postcard value in hexadecimal digits.

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

/// Carries crash reports to a daemon, and that daemon's reports back.
pub const CRASH_REPORT_HEADER: HeaderName = HeaderName::from_static("agatehill-strikes");

/// Most reports in one message.
const REPORTS_MAX: usize = 64;
/// Time limit of a message; a daemon that misses it receives the reports with a later message.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends crash reports to daemons, over a new connection for each message.
#[derive(Clone, Debug)]
pub struct CrashReportClient {
    client: Client<HttpConnector, CallBody>,
}

impl CrashReportClient {
    /// Opens a client without connections.
    pub fn open() -> CrashReportClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(EXCHANGE_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        CrashReportClient { client }
    }

    /// Sends `reports` to the forward addresses `peers` and returns the reports in their replies.
    pub async fn exchange(
        &self,
        peers: &[SocketAddr],
        reports: &[CrashReport],
    ) -> Vec<CrashReport> {
        let messages = peers.iter().flat_map(|peer| {
            reports
                .chunks(REPORTS_MAX)
                .map(|chunk| self.send(*peer, chunk))
        });
        let replies = join_all(messages).await;
        replies.into_iter().flatten().flatten().collect()
    }

    async fn send(&self, addr: SocketAddr, reports: &[CrashReport]) -> Option<Vec<CrashReport>> {
        let mut req = Request::new(CallBody::empty());
        *req.method_mut() = Method::POST;
        *req.uri_mut() = absolute_uri(addr, &Uri::from_static("/"));
        req.headers_mut()
            .insert(CRASH_REPORT_HEADER, crash_report_value(reports));
        let response = tokio::time::timeout(EXCHANGE_TIMEOUT, self.client.request(req));
        let response = response.await.ok()?.ok()?;
        crash_reports(response.headers()).ok()
    }
}

/// Returns the header value that holds `reports`; those beyond the maximum are left out.
pub fn crash_report_value(reports: &[CrashReport]) -> HeaderValue {
    encode(&reports[..reports.len().min(REPORTS_MAX)].to_vec())
}

/// Returns the crash reports in `headers`.
///
/// # Errors
///
/// Fails if the header is missing or malformed.
pub fn crash_reports(headers: &HeaderMap) -> Result<Vec<CrashReport>, ForwardHeaderError> {
    decode(headers, CRASH_REPORT_HEADER)
}
