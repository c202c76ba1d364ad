//! Client of the contract API, for the command line.

use crate::{
    contracts::{ConflictReport, ContractReport, RevisionReport},
    response::ProblemBody,
};
use agatehill_decide::{contract::ContractSpec, name::CustomerName};
use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use std::{fmt, net::SocketAddr, time::Duration};

/// Timeout of one request to one keeper.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body, in bytes; a dump of a large fleet has several MB.
const RESPONSE_BYTES_MAX: usize = 64 << 20;
/// Largest response head, in bytes.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Rounds over all keepers before a request fails if none of them responds.
const UNREACHABLE_ROUNDS: u32 = 3;
/// Rounds before a request fails if keepers respond without a leader; an election takes this long.
const LEADERLESS_ROUNDS: u32 = 20;
/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Why a request to the keepers failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientError {
    /// The request or the contract is invalid.
    Refused {
        /// The HTTP status code.
        status: u16,
        /// What is wrong.
        detail: String,
    },
    /// The revision is taken by another text, or is not the next one.
    Conflict(ConflictReport),
    /// No keeper gave a final response; holds the last failure.
    Unavailable(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Refused { detail, .. } => f.write_str(detail),
            ClientError::Conflict(report) => f.write_str(&report.detail),
            ClientError::Unavailable(last) => write!(f, "no answer: {last}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A client of the contract API. Sends each request to the keepers in turn until one gives a final
/// response.
#[derive(Clone, Debug)]
pub struct ContractClient {
    addresses: Vec<SocketAddr>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl ContractClient {
    /// Returns a client of the keepers with these operator addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> ContractClient {
        let http = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(HEAD_BYTES_MAX)
            .build_http();
        ContractClient { addresses, http }
    }

    /// Proposes the contract `text`; a resend of the same bytes gets the same response.
    ///
    /// # Errors
    ///
    /// The text is invalid, its revision conflicts, or no keeper gave a final response.
    pub async fn put(&self, text: &str) -> Result<RevisionReport, ClientError> {
        let spec = ContractSpec::parse(text).map_err(|e| ClientError::Refused {
            status: StatusCode::BAD_REQUEST.as_u16(),
            detail: e.to_string(),
        })?;
        let path = format!("/contracts/{}", spec.customer);
        let body = Bytes::copy_from_slice(text.as_bytes());
        self.request(Method::PUT, &path, body).await
    }

    /// Returns the latest contract of `customer`.
    ///
    /// # Errors
    ///
    /// The customer has no contract, or no keeper gave a final response.
    pub async fn get(&self, customer: &CustomerName) -> Result<ContractReport, ClientError> {
        let path = format!("/contracts/{customer}");
        self.request(Method::GET, &path, Bytes::new()).await
    }

    /// Returns the latest contracts of all customers.
    ///
    /// # Errors
    ///
    /// No keeper gave a final response.
    pub async fn list(&self) -> Result<Vec<ContractReport>, ClientError> {
        self.request(Method::GET, "/contracts", Bytes::new()).await
    }

    /// Returns the accepted revisions of `customer`, oldest first.
    ///
    /// # Errors
    ///
    /// The customer has no contract, or no keeper gave a final response.
    pub async fn revisions(
        &self,
        customer: &CustomerName,
    ) -> Result<Vec<RevisionReport>, ClientError> {
        let path = format!("/contracts/{customer}/log");
        self.request(Method::GET, &path, Bytes::new()).await
    }

    /// Returns the state of the keeper or daemon at `addr`.
    ///
    /// # Errors
    ///
    /// It did not respond, or its response can't be parsed.
    pub async fn fetch_dump(&self, addr: SocketAddr) -> Result<serde_json::Value, ClientError> {
        let (status, body) = self
            .send(addr, &Method::GET, "/dump", Bytes::new())
            .await
            .map_err(ClientError::Unavailable)?;
        parse_response(status, &body)
    }

    async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let mut last_failure = "no keeper address is given".to_owned();
        let mut rounds_max = UNREACHABLE_ROUNDS;
        let mut round = 0;
        while round < rounds_max {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            round += 1;
            for &addr in &self.addresses {
                let sent = self.send(addr, &method, path, body.clone()).await;
                match sent {
                    Ok((status, body)) if !status.is_server_error() => {
                        return parse_response(status, &body);
                    }
                    Ok((_, body)) => {
                        last_failure = problem_detail(&body);
                        rounds_max = LEADERLESS_ROUNDS;
                    }
                    Err(reason) => last_failure = reason,
                }
            }
        }
        Err(ClientError::Unavailable(last_failure))
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), String> {
        let uri: Uri = format!("http://{addr}{path}")
            .parse()
            .map_err(|e| format!("{addr}{path}: {e}"))?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|e| format!("{addr}: {e}"))?;
        let exchange = async {
            let response = self.http.request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX);
            let body = body.collect().await;
            Ok::<_, hyper_util::client::legacy::Error>((status, body))
        };
        let outcome = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        let exchanged =
            outcome.map_err(|_| format!("{addr}: no response within {REQUEST_TIMEOUT:?}"))?;
        let (status, body) = exchanged.map_err(|e| format!("{addr}: {e}"))?;
        let body = body.map_err(|e| format!("{addr}: {e}"))?;
        Ok((status, body.to_bytes()))
    }
}

fn parse_response<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, ClientError> {
    if status.is_success() {
        let parsed = serde_json::from_slice(body);
        return parsed
            .map_err(|e| ClientError::Unavailable(format!("response can't be parsed: {e}")));
    }
    if status == StatusCode::CONFLICT
        && let Ok(report) = serde_json::from_slice(body)
    {
        return Err(ClientError::Conflict(report));
    }
    Err(ClientError::Refused {
        status: status.as_u16(),
        detail: problem_detail(body),
    })
}

fn problem_detail(body: &[u8]) -> String {
    match serde_json::from_slice::<ProblemBody>(body) {
        Ok(problem) => problem.detail,
        Err(_) => String::from_utf8_lossy(body).into_owned(),
    }
}
