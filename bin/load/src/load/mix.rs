//! Weighted mix of the operations of a load.

use agatehill_decide::contract::RequestClass;
use http::Method;
use rand::RngExt;
use std::str::FromStr;

/// Operation, written `CLASS METHOD SERVICE:/PATH [WEIGHT]`.
#[derive(Clone, Debug)]
pub(crate) struct LoadOperation {
    pub(crate) class: RequestClass,
    pub(crate) method: Method,
    pub(crate) service: String,
    path: String,
    weight: u32,
}

impl LoadOperation {
    /// Returns the path of call `number`, which replaces `{n}` in the operation's path.
    pub(crate) fn path(&self, number: u64) -> String {
        self.path.replace("{n}", &number.to_string())
    }
}

impl FromStr for LoadOperation {
    type Err = String;

    fn from_str(text: &str) -> Result<LoadOperation, String> {
        let fields: Vec<&str> = text.split_whitespace().collect();
        let (class, method, target, weight) = match fields[..] {
            [class, method, target] => (class, method, target, "1"),
            [class, method, target, weight] => (class, method, target, weight),
            _ => {
                return Err(format!(
                    "\"{text}\" is not CLASS METHOD SERVICE:/PATH [WEIGHT]"
                ));
            }
        };
        let Some((service, path)) = target.split_once(':') else {
            return Err(format!("\"{target}\" is not SERVICE:/PATH"));
        };
        let invalid_weight = |_| format!("weight \"{weight}\" is not a number");
        Ok(LoadOperation {
            class: parse_class(class)?,
            method: Method::from_str(method).map_err(|e| e.to_string())?,
            service: service.to_owned(),
            path: path.to_owned(),
            weight: weight.parse().map_err(invalid_weight)?,
        })
    }
}

/// Operations, drawn at random by weight.
#[derive(Clone, Debug)]
pub(crate) struct OperationMix {
    operations: Vec<LoadOperation>,
    total_weight: u32,
}

impl OperationMix {
    /// Returns a mix of `operations`; `None` if all weights are 0.
    pub(crate) fn open(operations: Vec<LoadOperation>) -> Option<OperationMix> {
        let total_weight = operations.iter().map(|operation| operation.weight).sum();
        (total_weight > 0).then_some(OperationMix {
            operations,
            total_weight,
        })
    }

    /// Draws an operation at random, in proportion to the weights.
    pub(crate) fn draw(&self, rng: &mut impl RngExt) -> &LoadOperation {
        let mut remaining = rng.random_range(0..self.total_weight);
        for operation in &self.operations {
            if remaining < operation.weight {
                return operation;
            }
            remaining -= operation.weight;
        }
        &self.operations[0]
    }
}

fn parse_class(text: &str) -> Result<RequestClass, String> {
    match text {
        "critical" => Ok(RequestClass::Critical),
        "normal" => Ok(RequestClass::Normal),
        "background" => Ok(RequestClass::Background),
        _ => Err(format!(
            "class \"{text}\" is not critical, normal or background"
        )),
    }
}
