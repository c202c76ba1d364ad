//! Validation of a contract's values.

use super::{ContractSpec, OperationSpec, template};
use crate::document::DocumentFault;
use std::collections::HashMap;

/// Methods that an operation may have.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// Longest deadline, in milliseconds.
const DEADLINE_MS_MAX: u64 = 3_600_000;

/// Largest number of retries of one request.
const RETRIES_MAX: u32 = 100;

/// Longest time that a request is remembered, in hours.
const REMEMBER_HOURS_MAX: u32 = 24 * 366;

/// Returns the first value that is out of range or contradicts another one.
pub(super) fn check(spec: &ContractSpec) -> Result<(), DocumentFault> {
    check_limits(spec)?;
    for (idx, operation) in spec.operations.iter().enumerate() {
        let fault = |(key, reason)| DocumentFault::new(format!("operation[{idx}].{key}"), reason);
        check_operation(operation).map_err(fault)?;
    }
    check_remember_hours(spec)?;
    check_reachable(spec)
}

fn check_limits(spec: &ContractSpec) -> Result<(), DocumentFault> {
    let above_0 = "must be above 0";
    if spec.revision == 0 {
        return Err(DocumentFault::new("revision", above_0));
    }
    if spec.calls_per_second == 0 {
        return Err(DocumentFault::new("calls_per_second", above_0));
    }
    if spec.calls_in_flight == 0 {
        return Err(DocumentFault::new("calls_in_flight", above_0));
    }
    if spec.retries_per_request > RETRIES_MAX {
        let reason = format!("must be at most {RETRIES_MAX}");
        return Err(DocumentFault::new("retries_per_request", reason));
    }
    if spec.remember_hours > REMEMBER_HOURS_MAX {
        let reason = format!("must be at most {REMEMBER_HOURS_MAX}");
        return Err(DocumentFault::new("remember_hours", reason));
    }
    Ok(())
}

fn check_operation(operation: &OperationSpec) -> Result<(), (&'static str, String)> {
    let OperationSpec {
        method,
        path,
        deadline_ms,
        ..
    } = operation;
    if !METHODS.contains(&method.as_str()) {
        let reason = format!("method \"{method}\" is not one of {}", METHODS.join(", "));
        return Err(("method", reason));
    }
    template::check(path).map_err(|reason| ("path", format!("\"{path}\": {reason}")))?;
    if !(1..=DEADLINE_MS_MAX).contains(deadline_ms) {
        let reason = format!("must be 1 to {DEADLINE_MS_MAX}");
        return Err(("deadline_ms", reason));
    }
    Ok(())
}

fn check_remember_hours(spec: &ContractSpec) -> Result<(), DocumentFault> {
    let is_not_idempotent = |operation: &OperationSpec| !operation.idempotent;
    match spec.operations.iter().position(is_not_idempotent) {
        Some(idx) if spec.remember_hours == 0 => {
            let reason = format!("must be above 0, since operation[{idx}] is not idempotent");
            Err(DocumentFault::new("remember_hours", reason))
        }
        _ => Ok(()),
    }
}

/// Refuses an operation whose requests all match an earlier operation.
fn check_reachable(spec: &ContractSpec) -> Result<(), DocumentFault> {
    let mut earlier: HashMap<_, Vec<(usize, &str)>> = HashMap::new();
    for (idx, operation) in spec.operations.iter().enumerate() {
        let service_method = (&operation.service, &operation.method);
        let paths = earlier.entry(service_method).or_default();
        let covering = paths
            .iter()
            .find(|(_, path)| template::matches(path, &operation.path));
        if let Some((first, path)) = covering {
            let reason =
                format!("operation[{first}] with path \"{path}\" matches all its requests");
            let key = format!("operation[{idx}].path");
            return Err(DocumentFault::new(key, reason));
        }
        paths.push((idx, &operation.path));
    }
    Ok(())
}
