//! Client of the contract API, for the command line.

use crate::{
    contracts::{ConflictReport, ContractReport, RevisionReport},
    response::ProblemBody,
};
use agatehill_decide::{contract::ContractSpec, name::CustomerName};
use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use std::{fmt, net::SocketAddr, time::Duration};

/// Time limit of one request to one keeper.
const REQUEST_SPAN: Duration = Duration::from_secs(10);
/// Rounds over all keepers before a request is given up that none of them answers.
const SILENT_ROUNDS: u32 = 3;
/// Rounds before a request is given up that keepers answer without a leader: an election's time.
const LEADERLESS_ROUNDS: u32 = 20;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Why a request to the keepers failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientError {
    /// The keepers found the request or the contract faulty.
    Refused {
        /// The HTTP status code.
        status: u16,
        /// What is wrong.
        detail: String,
    },
    /// The revision is taken by another text, or is not the next one.
    Conflict(ConflictReport),
    /// No keeper gave a final answer; the last failure.
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

/// A client of the contract API of several keepers.
#[derive(Clone, Debug)]
pub struct ContractClient {
    addresses: Vec<SocketAddr>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl ContractClient {
    /// Returns a client of the keepers whose operator addresses are given.
    pub fn new(addresses: Vec<SocketAddr>) -> ContractClient {
        let http = Client::builder(TokioExecutor::new()).build_http();
        ContractClient { addresses, http }
    }

    /// Proposes the contract `text`; a resend of the same bytes gets the same answer.
    ///
    /// # Errors
    ///
    /// The text is faulty, its revision conflicts, or no keeper answered.
    pub async fn put(&self, text: &str) -> Result<RevisionReport, ClientError> {
        let spec = ContractSpec::parse(text).map_err(|e| ClientError::Refused {
            status: StatusCode::BAD_REQUEST.as_u16(),
            detail: e.to_string(),
        })?;
        let path = format!("/contracts/{}", spec.customer);
        let body = Bytes::copy_from_slice(text.as_bytes());
        self.ask(Method::PUT, &path, body).await
    }

    /// Returns the latest contract of `customer`.
    ///
    /// # Errors
    ///
    /// No contract with the customer, or no keeper answered.
    pub async fn get(&self, customer: &CustomerName) -> Result<ContractReport, ClientError> {
        let path = format!("/contracts/{customer}");
        self.ask(Method::GET, &path, Bytes::new()).await
    }

    /// Returns the latest contracts of all customers.
    ///
    /// # Errors
    ///
    /// No keeper answered.
    pub async fn list(&self) -> Result<Vec<ContractReport>, ClientError> {
        self.ask(Method::GET, "/contracts", Bytes::new()).await
    }

    /// Returns the accepted revisions of `customer`, oldest first.
    ///
    /// # Errors
    ///
    /// No contract with the customer, or no keeper answered.
    pub async fn revisions(
        &self,
        customer: &CustomerName,
    ) -> Result<Vec<RevisionReport>, ClientError> {
        let path = format!("/contracts/{customer}/log");
        self.ask(Method::GET, &path, Bytes::new()).await
    }

    /// Returns the state of the keeper or daemon at `addr`.
    ///
    /// # Errors
    ///
    /// It did not answer.
    pub async fn fetch_dump(&self, addr: SocketAddr) -> Result<serde_json::Value, ClientError> {
        let (status, body) = self
            .send(addr, &Method::GET, "/dump", Bytes::new())
            .await
            .map_err(ClientError::Unavailable)?;
        parse_answer(status, &body)
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let mut last = "no keeper address is given".to_owned();
        let mut rounds = SILENT_ROUNDS;
        let mut round = 0;
        while round < rounds {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            round += 1;
            for &addr in &self.addresses {
                let sent = self.send(addr, &method, path, body.clone()).await;
                match sent {
                    Ok((status, body)) if !status.is_server_error() => {
                        return parse_answer(status, &body);
                    }
                    Ok((_, body)) => {
                        last = problem_detail(&body);
                        rounds = LEADERLESS_ROUNDS;
                    }
                    Err(reason) => last = reason,
                }
            }
        }
        Err(ClientError::Unavailable(last))
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
            let answer = self.http.request(request).await?;
            let status = answer.status();
            let body = answer.into_body().collect().await;
            Ok::<_, hyper_util::client::legacy::Error>((status, body))
        };
        let answered = tokio::time::timeout(REQUEST_SPAN, exchange).await;
        let answered = answered.map_err(|_| format!("{addr} did not answer in time"))?;
        let (status, body) = answered.map_err(|e| format!("{addr}: {e}"))?;
        let body = body.map_err(|e| format!("{addr}: {e}"))?;
        Ok((status, body.to_bytes()))
    }
}

fn parse_answer<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, ClientError> {
    if status.is_success() {
        let parsed = serde_json::from_slice(body);
        return parsed.map_err(|e| ClientError::Unavailable(format!("answer can't be read: {e}")));
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
