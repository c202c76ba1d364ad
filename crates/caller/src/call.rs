//! A call that passes through this daemon.

use crate::{levels::OperationKey, problem::CallProblem, request::CallerRequest};
use agatehill_backend::chain::{ChainHandle, ChildLease};
use agatehill_decide::{
    attempt_status::AttemptId,
    chain::ChainRecord,
    contract::{ContractSpec, OperationSpec},
    deadline::CallDeadline,
    level::PathLevels,
    name::{ChainId, CustomerName, RequestId, ServiceName},
    priority::CallPriority,
    resend::ChildFingerprint,
    retry::RetryBudget,
    time::MonoTime,
};
use agatehill_peer::forward::{FailureKind, ForwardHead};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

/// A call whose contract and chain are known.
#[derive(Debug)]
pub struct ActiveCall {
    /// The customer whose contract applies.
    pub customer: CustomerName,
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The call chain.
    pub chain: ChainId,
    /// The service that runs the call.
    pub service: ServiceName,
    /// The operation; `None` unless this daemon took the call as the root of its chain.
    pub operation: Option<OperationKey>,
    /// Priority of the chain.
    pub priority: CallPriority,
    /// Whether a backend server makes the call as part of a chain.
    pub is_nested: bool,
    /// When the caller stops waiting.
    pub deadline: CallDeadline,
    /// Remaining retries.
    pub budget: RetryBudget,
    /// Retries leased from the parent call; `None` for a root or forwarded call.
    pub lease: Option<ChildLease>,
    /// Attempt number of the caller, from 0.
    pub attempt: u32,
    /// Retention of the claim in hours; `None` if the operation is idempotent.
    pub remember_hours: Option<u32>,
}

impl ActiveCall {
    /// Creates the first call of a chain from `req`, an operation of `spec`.
    ///
    /// `chain` is used if the caller did not name one; `attempt` counts the caller's resends.
    ///
    /// # Errors
    ///
    /// A non-idempotent operation has no request id, or the attempt is beyond the contract's bound.
    pub fn root(
        req: &CallerRequest,
        spec: &ContractSpec,
        operation: &OperationSpec,
        (chain, attempt): (ChainId, u32),
        now: MonoTime,
    ) -> Result<ActiveCall, CallProblem> {
        let chain = req.chain.unwrap_or(chain);
        let request = request_id(req, operation, chain)?;
        let requested = requested_time(req);
        Ok(ActiveCall {
            customer: spec.customer.clone(),
            priority: CallPriority::for_request(operation.class, &request),
            request,
            chain,
            operation: Some(OperationKey::of(
                &spec.customer,
                &operation.service,
                &operation.method,
                &operation.path,
            )),
            service: operation.service.clone(),
            is_nested: false,
            deadline: CallDeadline::at_root(requested, operation.deadline(), now),
            budget: root_budget(spec, operation, attempt)?,
            lease: None,
            attempt,
            remember_hours: (!operation.idempotent).then_some(spec.remember_hours),
        })
    }

    /// Creates a call that a backend server makes on behalf of the running call `parent`;
    /// `attempt` counts its resends.
    ///
    /// # Errors
    ///
    /// A non-idempotent operation has no request id, or no retry is left for a resend.
    pub fn child(
        req: &CallerRequest,
        spec: &ContractSpec,
        operation: &OperationSpec,
        (parent, attempt): (&ChainRecord<ChainHandle>, u32),
        now: MonoTime,
    ) -> Result<ActiveCall, CallProblem> {
        let request = request_id(req, operation, parent.chain)?;
        let lease = parent.budget.begin_child(child_fingerprint(req, operation));
        let lease = lease.ok_or(CallProblem::RetriesSpent)?;
        let latest = CallDeadline::at_root(requested_time(req), operation.deadline(), now);
        Ok(ActiveCall {
            customer: spec.customer.clone(),
            request,
            chain: parent.chain,
            service: operation.service.clone(),
            operation: None,
            priority: parent.priority,
            is_nested: true,
            deadline: CallDeadline::from(parent.deadline)
                .child(None, now)
                .min(latest),
            budget: RetryBudget::from_lease(lease.tokens()),
            lease: Some(lease),
            attempt,
            remember_hours: (!operation.idempotent).then_some(spec.remember_hours),
        })
    }

    /// Creates the call that another daemon has forwarded.
    pub fn from_forward(head: &ForwardHead, now: MonoTime) -> ActiveCall {
        ActiveCall {
            customer: head.customer.clone(),
            request: head.request.clone(),
            chain: head.chain,
            service: head.service.clone(),
            operation: None,
            priority: head.priority,
            is_nested: head.is_nested,
            deadline: CallDeadline::from_wire(u64::from(head.deadline_ms), now),
            budget: RetryBudget::from_lease(head.retries),
            lease: None,
            attempt: head.attempt,
            remember_hours: head.remember_hours,
        }
    }

    /// Returns the forward head of an attempt at `server` that may spend `retries`.
    ///
    /// # Errors
    ///
    /// [`FailureKind::Deadline`] if no time remains.
    pub fn forward_head(
        &self,
        server: Option<SocketAddr>,
        retries: u32,
        now: MonoTime,
    ) -> Result<ForwardHead, FailureKind> {
        let remaining = self.deadline.to_wire(now).ok_or(FailureKind::Deadline)?;
        Ok(ForwardHead {
            id: AttemptId(rand::random()),
            customer: self.customer.clone(),
            request: self.request.clone(),
            chain: self.chain,
            service: self.service.clone(),
            server,
            priority: self.priority,
            is_nested: self.is_nested,
            deadline_ms: u32::try_from(remaining).unwrap_or(u32::MAX),
            retries,
            attempt: self.attempt,
            remember_hours: self.remember_hours,
        })
    }

    /// Ends the call, which began at `started`, and returns its unused retries to the parent.
    pub fn end(self, is_answered: bool, started: MonoTime, now: MonoTime) {
        if let Some(lease) = self.lease {
            lease.end(is_answered, self.budget.remaining(), now.since(started));
        }
    }

    /// Reports the levels of the gates that the call has passed to its parent call.
    pub fn record_levels(&self, levels: &PathLevels) {
        if let Some(lease) = &self.lease {
            lease.record_levels(levels);
        }
    }

    /// Returns the priority used to choose a server.
    ///
    /// A nested call gets the highest priority: work has been done for its chain already, so no
    /// server's level applies to it, here as at the gates.
    pub fn routing_priority(&self) -> CallPriority {
        match self.is_nested {
            true => CallPriority::HIGHEST,
            false => self.priority,
        }
    }

    /// Returns whether the operation is idempotent.
    pub fn is_idempotent(&self) -> bool {
        self.remember_hours.is_none()
    }
}

fn child_fingerprint(req: &CallerRequest, operation: &OperationSpec) -> ChildFingerprint {
    let mut hasher = DefaultHasher::new();
    let request = req.request.as_ref().map(RequestId::as_str);
    (
        operation.service.as_str(),
        &operation.method,
        &req.target,
        request,
    )
        .hash(&mut hasher);
    ChildFingerprint(hasher.finish())
}

fn requested_time(req: &CallerRequest) -> Option<Duration> {
    req.deadline_ms
        .map(|ms| Duration::from_millis(u64::from(ms)))
}

/// Returns the retry budget of the caller's attempt number `attempt`.
///
/// A non-idempotent request may be resent beyond the contract's bound, so that the caller can still
/// get its outcome: the claim keeps it from running again.
fn root_budget(
    spec: &ContractSpec,
    operation: &OperationSpec,
    attempt: u32,
) -> Result<RetryBudget, CallProblem> {
    match RetryBudget::for_attempt(spec.retries_per_request, attempt) {
        Ok(budget) => Ok(budget),
        Err(_) if !operation.idempotent => Ok(RetryBudget::from_lease(0)),
        Err(e) => Err(CallProblem::AttemptsSpent(e)),
    }
}

fn request_id(
    req: &CallerRequest,
    operation: &OperationSpec,
    chain: ChainId,
) -> Result<RequestId, CallProblem> {
    match &req.request {
        Some(request) => Ok(request.clone()),
        None if operation.idempotent => Ok(chain_request_id(chain)),
        None => Err(CallProblem::KeyMissing),
    }
}

/// Returns the request id of a chain whose caller has sent none.
fn chain_request_id(chain: ChainId) -> RequestId {
    RequestId::try_from(chain.to_string()).expect("32 hexadecimal digits make a request id")
}
