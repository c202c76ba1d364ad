//! The contract API of a keeper.

use crate::response::{ServiceHandler, json_response, problem_response};
use agatehill_decide::{
    contract::ContractSpec,
    contract_history::{AcceptedRevision, ContractReply},
    name::CustomerName,
};
use agatehill_process::budget::ListenerBudget;
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

/// Largest contract text, in bytes.
pub const CONTRACT_BYTES_MAX: usize = 1 << 20;
/// Value of `retry-after` in responses with status 503, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// Detail of the response of a keeper whose contracts may be outdated.
const NOT_CURRENT: &str =
    "this keeper is not in touch with the leader; send the request to another one";

/// Detail of the response to a contract that finds no memory.
const NO_ROOM: &str = "too many contracts are being received; nothing was proposed";

/// One accepted revision of a contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RevisionReport {
    /// Revision number, from 1; each accepted change of the customer adds 1.
    pub revision: u64,
    /// Position of the change in the replicated log.
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
    /// The customer that the contract is with.
    pub customer: CustomerName,
    /// The revision in force.
    #[serde(flatten)]
    pub latest: RevisionReport,
    /// Text of the contract, in TOML.
    pub text: Arc<str>,
}

/// Response to a revision that is taken by another text or is not the next one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConflictReport {
    /// Always 409.
    pub status: u16,
    /// Summary of the kind of problem.
    pub title: String,
    /// What is wrong with this request.
    pub detail: String,
    /// The latest accepted revision, 0 if there is none.
    pub current: u64,
    /// The revision that is accepted under the same number with another text, if there is one.
    pub accepted: Option<RevisionReport>,
}

/// Why a proposal of a contract failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PutError {
    /// The text is invalid, for this reason.
    Invalid(String),
    /// No leader can be reached; nothing was proposed.
    NoLeader,
    /// The change may or may not have been accepted.
    OutcomeUnknown,
}

/// Contract operations of a keeper.
pub trait ContractService: Clone + Send + Sync + 'static {
    /// Proposes a contract.
    fn put(
        &self,
        customer: CustomerName,
        text: String,
    ) -> impl Future<Output = Result<ContractReply, PutError>> + Send;

    /// Returns what operators may hold.
    fn budget(&self) -> &ListenerBudget;

    /// Returns whether this keeper is in touch with the leader and so has the latest contracts.
    fn is_current(&self) -> bool;

    /// Returns the latest contract of `customer` that this keeper knows.
    fn get(&self, customer: &CustomerName) -> Option<ContractReport>;

    /// Returns the latest contracts that this keeper knows.
    fn list(&self) -> Vec<ContractReport>;

    /// Returns the accepted revisions of `customer`, oldest first.
    fn revisions(&self, customer: &CustomerName) -> Option<Vec<RevisionReport>>;
}

/// Parses a contract text and checks that it is the contract of `customer`.
///
/// # Errors
///
/// The text is invalid or is the contract of another customer.
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
    let log = ServiceHandler::new(service, list_revisions);
    route.get("/contracts").to_new_handler(list);
    route.get("/contracts/:customer").to_new_handler(get);
    route.put("/contracts/:customer").to_new_handler(put);
    route.get("/contracts/:customer/log").to_new_handler(log);
}

async fn list_contracts<S: ContractService>(service: S, state: State) -> (State, Response<Body>) {
    let response = if service.is_current() {
        json_response(StatusCode::OK, &service.list())
    } else {
        retry_later(NOT_CURRENT)
    };
    (state, response)
}

async fn get_contract<S: ContractService>(service: S, state: State) -> (State, Response<Body>) {
    let response = match path_customer(&state) {
        Ok(_) if !service.is_current() => retry_later(NOT_CURRENT),
        Ok(customer) => report_or_not_found(service.get(&customer), &customer),
        Err(error) => error.into(),
    };
    (state, response)
}

async fn list_revisions<S: ContractService>(service: S, state: State) -> (State, Response<Body>) {
    let response = match path_customer(&state) {
        Ok(_) if !service.is_current() => retry_later(NOT_CURRENT),
        Ok(customer) => report_or_not_found(service.revisions(&customer), &customer),
        Err(error) => error.into(),
    };
    (state, response)
}

async fn put_contract<S: ContractService>(service: S, mut state: State) -> (State, Response<Body>) {
    let response = match read_put(&service, &mut state).await {
        Ok((customer, text)) => run_put(service, customer, text).await,
        Err(error) => error.into(),
    };
    (state, response)
}

async fn run_put<S: ContractService>(
    service: S,
    customer: CustomerName,
    text: String,
) -> Response<Body> {
    let reply = service.put(customer.clone(), text).await;
    let (result, response) = match reply {
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
            (
                "conflict",
                conflict_response(detail, current, Some(accepted)),
            )
        }
        Ok(ContractReply::Gap { current }) => {
            let detail = format!(
                "the next revision of customer {:?} is {}",
                customer.as_str(),
                current + 1
            );
            ("conflict", conflict_response(detail, current, None))
        }
        Err(PutError::Invalid(reason)) => {
            ("invalid", problem_response(StatusCode::BAD_REQUEST, reason))
        }
        Err(PutError::NoLeader) => (
            "unavailable",
            retry_later("no leader can be reached; nothing was changed"),
        ),
        Err(PutError::OutcomeUnknown) => (
            "unknown",
            retry_later("the change may or may not be accepted; send the same bytes again"),
        ),
    };
    counter!("agatehill_contract_puts", "result" => result).increment(1);
    response
}

fn conflict_response(
    detail: String,
    current: u64,
    accepted: Option<AcceptedRevision>,
) -> Response<Body> {
    let status = StatusCode::CONFLICT;
    let report = ConflictReport {
        status: status.as_u16(),
        title: "Conflict".to_owned(),
        detail,
        current,
        accepted: accepted.map(RevisionReport::from),
    };
    let mut response = json_response(status, &report);
    let value = HeaderValue::from_static("application/problem+json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, value);
    response
}

fn retry_later(detail: &str) -> Response<Body> {
    let mut response = problem_response(StatusCode::SERVICE_UNAVAILABLE, detail);
    let value = HeaderValue::from_static(RETRY_AFTER_SECONDS);
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}

fn report_or_not_found<T: Serialize>(report: Option<T>, customer: &CustomerName) -> Response<Body> {
    match report {
        Some(report) => json_response(StatusCode::OK, &report),
        None => {
            let detail = format!("customer {:?} has no contract", customer.as_str());
            problem_response(StatusCode::NOT_FOUND, detail)
        }
    }
}

/// An invalid request, and the status of its response.
struct RequestError {
    status: StatusCode,
    detail: String,
}

impl RequestError {
    fn no_room() -> RequestError {
        RequestError {
            status: StatusCode::SERVICE_UNAVAILABLE,
            detail: NO_ROOM.to_owned(),
        }
    }

    fn bad(detail: impl Into<String>) -> RequestError {
        RequestError {
            status: StatusCode::BAD_REQUEST,
            detail: detail.into(),
        }
    }
}

impl From<RequestError> for Response<Body> {
    fn from(error: RequestError) -> Response<Body> {
        if error.status == StatusCode::SERVICE_UNAVAILABLE {
            return retry_later(&error.detail);
        }
        problem_response(error.status, error.detail)
    }
}

fn path_customer(state: &State) -> Result<CustomerName, RequestError> {
    let path = Uri::borrow_from(state).path();
    let name = path.split('/').nth(2).unwrap_or_default();
    CustomerName::try_from(name).map_err(|e| RequestError::bad(e.to_string()))
}

async fn read_put<S: ContractService>(
    service: &S,
    state: &mut State,
) -> Result<(CustomerName, String), RequestError> {
    let customer = path_customer(state)?;
    let usage = service.budget().body();
    if !usage.try_hold(CONTRACT_BYTES_MAX) {
        return Err(RequestError::no_room());
    }
    let body = Limited::new(Body::take_from(state), CONTRACT_BYTES_MAX);
    let collected = tokio::select! {
        collected = body.collect() => collected,
        () = usage.given_way() => return Err(RequestError::no_room()),
    };
    let body = collected.map_err(|e| {
        if !e.is::<http_body_util::LengthLimitError>() {
            return RequestError::bad(format!("the body is incomplete: {e}"));
        }
        RequestError {
            status: StatusCode::PAYLOAD_TOO_LARGE,
            detail: format!("a contract holds at most {CONTRACT_BYTES_MAX} bytes"),
        }
    })?;
    let text = String::from_utf8(body.to_bytes().into());
    let text = text.map_err(|_| RequestError::bad("contract is not UTF-8"))?;
    Ok((customer, text))
}
