//! The contract API of a keeper.

use crate::response::{ServiceHandler, json_response, problem_response};
use agatehill_decide::{
    contract::ContractSpec,
    contract_history::{AcceptedRevision, ContractReply},
    name::CustomerName,
};
use gotham::{
    helpers::http::Body,
    pipeline::PipelineHandleChain,
    router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder},
    state::{FromState, State},
};
use http::{HeaderValue, Response, StatusCode, Uri, header::RETRY_AFTER};
use http_body_util::{BodyExt, Limited};
use metrics::counter;
use serde::{Deserialize, Serialize};
use std::{future::Future, panic::RefUnwindSafe, sync::Arc};

/// Longest contract, in bytes.
pub const CONTRACT_BYTES_MAX: usize = 1 << 20;
/// Seconds after which an operator may try again.
const RETRY_SECONDS: &str = "1";
/// Detail of an answer that a keeper can't give by itself.
const NOT_CURRENT: &str = "this keeper is not in touch with the leader; ask another one";

/// One accepted revision, as operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RevisionReport {
    /// Counts the customer's accepted changes, from 1.
    pub revision: u64,
    /// Position of the change in the log.
    pub position: u64,
    /// BLAKE3 digest of the accepted text, in hexadecimal.
    pub digest: String,
}

impl From<AcceptedRevision> for RevisionReport {
    fn from(accepted: AcceptedRevision) -> RevisionReport {
        let hex = accepted.digest.iter().map(|b| format!("{b:02x}"));
        RevisionReport {
            revision: accepted.revision,
            position: accepted.position,
            digest: hex.collect(),
        }
    }
}

/// The latest contract of one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContractReport {
    /// Whose contract it is.
    pub customer: CustomerName,
    /// The revision in force.
    #[serde(flatten)]
    pub latest: RevisionReport,
    /// The contract in TOML.
    pub text: Arc<str>,
}

/// Answer to a conflicting or skipping revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConflictReport {
    /// Always 409.
    pub status: u16,
    /// What kind of problem it is.
    pub title: String,
    /// What is wrong with this request.
    pub detail: String,
    /// The latest accepted revision, 0 without any.
    pub current: u64,
    /// What is accepted at the given revision.
    pub accepted: Option<RevisionReport>,
}

/// Why a proposed contract has no reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PutError {
    /// The text is faulty.
    Invalid(String),
    /// Nothing was proposed: no leader can be reached.
    NoLeader,
    /// The change may or may not have been accepted.
    OutcomeUnknown,
}

/// What a keeper does for operators.
pub trait ContractService: Clone + Send + Sync + 'static {
    /// Proposes a contract.
    fn put(
        &self,
        customer: CustomerName,
        text: String,
    ) -> impl Future<Output = Result<ContractReply, PutError>> + Send;

    /// Returns whether this keeper is in touch with the leader, so that its contracts are the latest.
    fn is_current(&self) -> bool;

    /// Returns the latest contract of `customer` that this keeper knows.
    fn get(&self, customer: &CustomerName) -> Option<ContractReport>;

    /// Returns the latest contracts that this keeper knows.
    fn list(&self) -> Vec<ContractReport>;

    /// Returns the accepted revisions of `customer`, oldest first.
    fn revisions(&self, customer: &CustomerName) -> Option<Vec<RevisionReport>>;
}

/// Checks a contract text for `customer` and returns what it declares.
///
/// # Errors
///
/// What is wrong with the text.
pub fn parse_contract(customer: &CustomerName, text: &str) -> Result<ContractSpec, String> {
    let spec = ContractSpec::parse(text).map_err(|e| e.to_string())?;
    if spec.customer != *customer {
        return Err(format!(
            "contract of customer {:?} was put under customer {:?}",
            spec.customer.as_str(),
            customer.as_str()
        ));
    }
    Ok(spec)
}

/// Adds the contract API to `route`.
pub fn contract_routes<S, C, P>(route: &mut RouterBuilder<'_, C, P>, service: S)
where
    S: ContractService,
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: RefUnwindSafe + Send + Sync + 'static,
{
    let list = ServiceHandler::new(service.clone(), list_contracts);
    let get = ServiceHandler::new(service.clone(), get_contract);
    let put = ServiceHandler::new(service.clone(), put_contract);
    let log = ServiceHandler::new(service, log_contract);
    route.get("/contracts").to_new_handler(list);
    route.get("/contracts/:customer").to_new_handler(get);
    route.put("/contracts/:customer").to_new_handler(put);
    route.get("/contracts/:customer/log").to_new_handler(log);
}

async fn list_contracts<S: ContractService>(service: S, state: State) -> (State, Response<Body>) {
    let answer = if service.is_current() {
        json_response(StatusCode::OK, &service.list())
    } else {
        again(NOT_CURRENT)
    };
    (state, answer)
}

async fn get_contract<S: ContractService>(service: S, state: State) -> (State, Response<Body>) {
    let answer = match path_customer(&state) {
        Ok(_) if !service.is_current() => again(NOT_CURRENT),
        Ok(customer) => found(service.get(&customer), &customer),
        Err(fault) => fault.into(),
    };
    (state, answer)
}

async fn log_contract<S: ContractService>(service: S, state: State) -> (State, Response<Body>) {
    let answer = match path_customer(&state) {
        Ok(_) if !service.is_current() => again(NOT_CURRENT),
        Ok(customer) => found(service.revisions(&customer), &customer),
        Err(fault) => fault.into(),
    };
    (state, answer)
}

async fn put_contract<S: ContractService>(service: S, mut state: State) -> (State, Response<Body>) {
    let answer = match read_put(&mut state).await {
        Ok((customer, text)) => run_put(service, customer, text).await,
        Err(fault) => fault.into(),
    };
    (state, answer)
}

async fn run_put<S: ContractService>(
    service: S,
    customer: CustomerName,
    text: String,
) -> Response<Body> {
    let replied = service.put(customer.clone(), text).await;
    let (name, answer) = match replied {
        Ok(ContractReply::Accepted(accepted)) => {
            let report = RevisionReport::from(accepted);
            ("accepted", json_response(StatusCode::OK, &report))
        }
        Ok(ContractReply::Conflict(accepted)) => {
            let current = service.get(&customer);
            let current = current.map_or(accepted.revision, |c| c.latest.revision);
            let detail = format!(
                "revision {} of customer {:?} is accepted with another text",
                accepted.revision,
                customer.as_str()
            );
            ("conflict", conflict(detail, current, Some(accepted)))
        }
        Ok(ContractReply::Gap { current }) => {
            let detail = format!(
                "the next revision of customer {:?} is {}",
                customer.as_str(),
                current + 1
            );
            ("conflict", conflict(detail, current, None))
        }
        Err(PutError::Invalid(reason)) => {
            ("invalid", problem_response(StatusCode::BAD_REQUEST, reason))
        }
        Err(PutError::NoLeader) => (
            "unavailable",
            again("no leader can be reached; nothing was changed"),
        ),
        Err(PutError::OutcomeUnknown) => (
            "unknown",
            again("the change may or may not be accepted; send the same bytes again"),
        ),
    };
    counter!("agatehill_contract_puts", "result" => name).increment(1);
    answer
}

fn conflict(detail: String, current: u64, accepted: Option<AcceptedRevision>) -> Response<Body> {
    let status = StatusCode::CONFLICT;
    let report = ConflictReport {
        status: status.as_u16(),
        title: "Conflict".to_owned(),
        detail,
        current,
        accepted: accepted.map(RevisionReport::from),
    };
    let mut answer = json_response(status, &report);
    let value = HeaderValue::from_static("application/problem+json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, value);
    answer
}

fn again(detail: &str) -> Response<Body> {
    let mut answer = problem_response(StatusCode::SERVICE_UNAVAILABLE, detail);
    let value = HeaderValue::from_static(RETRY_SECONDS);
    answer.headers_mut().insert(RETRY_AFTER, value);
    answer
}

fn found<T: Serialize>(report: Option<T>, customer: &CustomerName) -> Response<Body> {
    match report {
        Some(report) => json_response(StatusCode::OK, &report),
        None => {
            let detail = format!("customer {:?} has no contract", customer.as_str());
            problem_response(StatusCode::NOT_FOUND, detail)
        }
    }
}

/// A request that can't be read.
struct RequestFault {
    status: StatusCode,
    detail: String,
}

impl RequestFault {
    fn bad(detail: impl Into<String>) -> RequestFault {
        RequestFault {
            status: StatusCode::BAD_REQUEST,
            detail: detail.into(),
        }
    }
}

impl From<RequestFault> for Response<Body> {
    fn from(fault: RequestFault) -> Response<Body> {
        problem_response(fault.status, fault.detail)
    }
}

fn path_customer(state: &State) -> Result<CustomerName, RequestFault> {
    let path = Uri::borrow_from(state).path();
    let name = path.split('/').nth(2).unwrap_or_default();
    CustomerName::try_from(name).map_err(|e| RequestFault::bad(e.to_string()))
}

async fn read_put(state: &mut State) -> Result<(CustomerName, String), RequestFault> {
    let customer = path_customer(state)?;
    let body = Limited::new(Body::take_from(state), CONTRACT_BYTES_MAX);
    let body = body.collect().await.map_err(|e| {
        if !e.is::<http_body_util::LengthLimitError>() {
            return RequestFault::bad(format!("body was cut short: {e}"));
        }
        RequestFault {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            detail: format!("a contract holds at most {CONTRACT_BYTES_MAX} bytes"),
        }
    })?;
    let text = String::from_utf8(body.to_bytes().into());
    let text = text.map_err(|_| RequestFault::bad("contract is not UTF-8"))?;
    Ok((customer, text))
}
