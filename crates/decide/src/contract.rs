//! Contracts: the one declaration a customer that every limit follows from.

use crate::name::{CustomerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

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
    /// The operations that the customer may call.
    #[serde(rename = "operation", default)]
    pub operations: Vec<OperationSpec>,
}

/// A contract text that was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ContractError(pub String);

impl fmt::Display for ContractError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ContractError {}

impl ContractSpec {
    /// Parses a contract from TOML.
    ///
    /// # Errors
    ///
    /// Unknown keys, missing keys and contradictions, with line and key.
    pub fn parse(text: &str) -> Result<ContractSpec, ContractError> {
        toml::from_str(text).map_err(|e| ContractError(e.to_string()))
    }

    /// Returns the operation that `method` and `path` (with its leading slash) name at `service`.
    pub fn operation(&self, service: &str, method: &str, path: &str) -> Option<&OperationSpec> {
        self.operations
            .iter()
            .find(|op| op.matches(service, method, path))
    }
}

impl OperationSpec {
    /// Returns the default and ceiling of the time a caller waits.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    fn matches(&self, service: &str, method: &str, path: &str) -> bool {
        self.service.as_str() == service && self.method == method && path_matches(&self.path, path)
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

fn path_matches(template: &str, path: &str) -> bool {
    let mut wanted = template.split('/');
    let mut given = path.split('/');
    loop {
        match (wanted.next(), given.next()) {
            (None, None) => return true,
            (Some(want), Some(have)) if segment_matches(want, have) => {}
            _ => return false,
        }
    }
}

fn segment_matches(want: &str, have: &str) -> bool {
    let is_variable = want.starts_with('{') && want.ends_with('}');
    want == have || (is_variable && !have.is_empty())
}
