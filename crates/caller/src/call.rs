//! A call on its way through this daemon.

use crate::{problem::CallProblem, request::CallerRequest};
use agatehill_decide::{
    contract::{ContractSpec, OperationSpec},
    name::{ChainId, CustomerName, RequestId, ServiceName},
    priority::CallPriority,
    time::MonoTime,
};
use agatehill_peer::forward::{FailureKind, ForwardHead};
use std::{net::SocketAddr, time::Duration};

/// A call whose contract and chain are known.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    /// The customer whose contract applies.
    pub customer: CustomerName,
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The call chain.
    pub chain: ChainId,
    /// The service to run it.
    pub service: ServiceName,
    /// Priority of the chain.
    pub priority: CallPriority,
    /// When the caller stops waiting.
    pub deadline: MonoTime,
    /// Retries that are left.
    pub retries: u32,
    /// The caller's own count of attempts.
    pub attempt: u32,
    /// Hours for which the run must be remembered; `None` when the operation is idempotent.
    pub remember_hours: Option<u32>,
}

impl ActiveCall {
    /// Begins the chain whose first call is `req`, an operation of `spec`.
    ///
    /// `chain` names the chain when the caller did not.
    ///
    /// # Errors
    ///
    /// A non-idempotent operation needs the caller's request id.
    pub fn root(
        req: &CallerRequest,
        spec: &ContractSpec,
        operation: &OperationSpec,
        chain: ChainId,
        now: MonoTime,
    ) -> Result<ActiveCall, CallProblem> {
        let chain = req.chain.unwrap_or(chain);
        let request = request_id(req, operation, chain)?;
        let ceiling = operation.deadline();
        let asked = req
            .deadline_ms
            .map(|ms| Duration::from_millis(u64::from(ms)));
        Ok(ActiveCall {
            customer: spec.customer.clone(),
            priority: CallPriority::of(operation.class, &request),
            request,
            chain,
            service: operation.service.clone(),
            deadline: now + asked.map_or(ceiling, |asked| asked.min(ceiling)),
            retries: spec.retries_per_request.saturating_sub(req.attempt),
            attempt: req.attempt,
            remember_hours: (!operation.idempotent).then_some(spec.remember_hours),
        })
    }

    /// Takes over the call that another daemon forwarded.
    pub fn forwarded(head: &ForwardHead, now: MonoTime) -> ActiveCall {
        ActiveCall {
            customer: head.customer.clone(),
            request: head.request.clone(),
            chain: head.chain,
            service: head.service.clone(),
            priority: head.priority,
            deadline: now + Duration::from_millis(u64::from(head.deadline_ms)),
            retries: head.retries,
            attempt: head.attempt,
            remember_hours: head.remember_hours,
        }
    }

    /// Returns what the gate of `server` needs to know.
    ///
    /// # Errors
    ///
    /// [`FailureKind::Deadline`] when no time is left.
    pub fn head(
        &self,
        server: Option<SocketAddr>,
        now: MonoTime,
    ) -> Result<ForwardHead, FailureKind> {
        let left = self.deadline.since(now).as_millis();
        if left == 0 {
            return Err(FailureKind::Deadline);
        }
        Ok(ForwardHead {
            customer: self.customer.clone(),
            request: self.request.clone(),
            chain: self.chain,
            service: self.service.clone(),
            server,
            priority: self.priority,
            deadline_ms: u32::try_from(left).unwrap_or(u32::MAX),
            retries: self.retries,
            attempt: self.attempt,
            remember_hours: self.remember_hours,
        })
    }

    /// Returns whether running the operation twice does no harm.
    pub fn is_idempotent(&self) -> bool {
        self.remember_hours.is_none()
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

/// Returns the request id of a chain whose caller gave none.
fn chain_request_id(chain: ChainId) -> RequestId {
    RequestId::try_from(chain.to_string()).expect("32 hexadecimal digits make a request id")
}
