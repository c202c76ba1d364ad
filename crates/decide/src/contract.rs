//! Contracts: the one declaration a customer that every limit follows from.

mod check;
mod template;

pub use crate::document::DocumentError as ContractError;

use crate::{
    document,
    name::{CustomerName, ServiceName},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Importance of an operation under overload; `Background` is shed first, `Critical` last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// Shed last.
    Critical,
    /// Shed before `Critical`.
    Normal,
    /// Shed first.
    Background,
}

impl RequestClass {
    /// Returns 0 for the class that is shed last, counting up.
    pub fn rank(self) -> u16 {
        self as u16
    }
}

/// One operation of a contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// The service that runs it.
    pub service: ServiceName,
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path template; a segment in braces matches any one segment.
    pub path: String,
    /// Importance under overload.
    pub class: RequestClass,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Default and ceiling of the time a caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// The contract with one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractSpec {
    /// The customer that it is made with.
    pub customer: CustomerName,
    /// Counts accepted changes, from 1.
    pub revision: u64,
    /// Root calls a second over all places together.
    pub calls_per_second: u32,
    /// Root calls in flight over all places together.
    pub calls_in_flight: u32,
    /// Retries of one request over its whole chain, the caller's resends included.
    pub retries_per_request: u32,
    /// Hours for which a non-idempotent request is remembered.
    pub remember_hours: u32,
    /// The operations that the customer may call, ordered by service.
    #[serde(rename = "operation", default)]
    pub operations: Vec<OperationSpec>,
}

impl ContractSpec {
    /// Parses a contract from TOML.
    ///
    /// # Errors
    ///
    /// Unknown keys, missing keys and contradictions, with line and key.
    pub fn parse(text: &str) -> Result<ContractSpec, ContractError> {
        let mut spec = document::parse(text, check::check)?;
        spec.operations.sort_by(|a, b| a.service.cmp(&b.service));
        Ok(spec)
    }

    /// Returns the operation that `method` and `path` (with its leading slash) name at `service`.
    pub fn operation(&self, service: &str, method: &str, path: &str) -> Option<&OperationSpec> {
        let before = |op: &OperationSpec| op.service.as_str() < service;
        let start = self.operations.partition_point(before);
        self.operations[start..]
            .iter()
            .take_while(|op| op.service.as_str() == service)
            .find(|op| op.matches(method, path))
    }
}

impl OperationSpec {
    /// Returns the default and ceiling of the time a caller waits.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && template::matches(&self.path, path)
    }
}

/// The contracts in force at one place, by customer.
#[derive(Clone, Debug, Default)]
pub struct ContractTable {
    specs: HashMap<CustomerName, Arc<ContractSpec>>,
}

impl ContractTable {
    /// Returns the contract of `customer`.
    pub fn get(&self, customer: &CustomerName) -> Option<&Arc<ContractSpec>> {
        self.specs.get(customer)
    }

    /// Puts `spec` in force unless a newer revision is; returns whether it was.
    pub fn apply(&mut self, spec: Arc<ContractSpec>) -> bool {
        let newer = |old: &Arc<ContractSpec>| spec.revision > old.revision;
        let apply = self.specs.get(&spec.customer).is_none_or(newer);
        if apply {
            self.specs.insert(spec.customer.clone(), spec);
        }
        apply
    }

    /// Returns all contracts, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ContractSpec>> {
        self.specs.values()
    }
}
