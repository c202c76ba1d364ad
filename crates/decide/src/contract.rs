//! Contracts: one declaration per customer, from which all its limits are derived.

mod check;
mod template;

pub use crate::document::DocumentError as ContractError;

use crate::{
    document,
    name::{CustomerName, ServiceName},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Importance of an operation under overload.
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
    /// Returns the rank of the class: 0 is shed last.
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
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path template; a segment in braces matches any one segment.
    pub path: String,
    /// Importance under overload.
    pub class: RequestClass,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Default and maximum time that a caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// The contract with one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ContractSpec {
    /// The customer that it applies to.
    pub customer: CustomerName,
    /// Number of the accepted change, from 1.
    pub revision: u64,
    /// Root calls per second, summed over all daemons.
    pub calls_per_second: u32,
    /// Root calls in flight, summed over all daemons.
    pub calls_in_flight: u32,
    /// Retries of one request over its whole call chain, including the caller's own.
    pub retries_per_request: u32,
    /// Hours for which a non-idempotent request is remembered.
    pub remember_hours: u32,
    /// The operations that the customer may call, sorted by service.
    #[serde(rename = "operation", default)]
    pub operations: Vec<OperationSpec>,
}

impl ContractSpec {
    /// Parses a contract from TOML.
    ///
    /// # Errors
    ///
    /// Returns unknown keys, missing keys and invalid values, with their line and key.
    pub fn parse(text: &str) -> Result<ContractSpec, ContractError> {
        let mut spec = document::parse(text, check::check)?;
        spec.operations.sort_by(|a, b| a.service.cmp(&b.service));
        Ok(spec)
    }

    /// Returns the operation of `service` that `method` and `path`, with its leading slash, match.
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
    /// Returns the default and maximum time that a caller waits.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && template::matches(&self.path, path)
    }
}

/// The contracts in force at one daemon, by customer.
#[derive(Clone, Debug, Default)]
pub struct ContractTable {
    specs: HashMap<CustomerName, Arc<ContractSpec>>,
}

impl ContractTable {
    /// Returns the contract of `customer`.
    pub fn get(&self, customer: &CustomerName) -> Option<&Arc<ContractSpec>> {
        self.specs.get(customer)
    }

    /// Puts `spec` in force unless the same or a newer revision already is; returns whether it did.
    pub fn apply(&mut self, spec: Arc<ContractSpec>) -> bool {
        let newer = |old: &Arc<ContractSpec>| spec.revision > old.revision;
        let apply = self.specs.get(&spec.customer).is_none_or(newer);
        if apply {
            self.specs.insert(spec.customer.clone(), spec);
        }
        apply
    }

    /// Returns all contracts, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ContractSpec>> {
        self.specs.values()
    }
}
