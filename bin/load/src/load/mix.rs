//! The operations that a load is mixed of.

use agatehill_decide::contract::RequestClass;
use http::Method;
use rand::RngExt;
use std::str::FromStr;

/// One operation, written `CLASS METHOD SERVICE:/PATH [WEIGHT]`.
#[derive(Clone, Debug)]
pub(crate) struct LoadOperation {
    pub(crate) class: RequestClass,
    pub(crate) method: Method,
    pub(crate) service: String,
    path: String,
    weight: u32,
}

impl LoadOperation {
    /// Returns the path of call `number`; `{n}` in the template stands for the number.
    pub(crate) fn path(&self, number: u64) -> String {
        self.path.replace("{n}", &number.to_string())
    }
}

impl FromStr for LoadOperation {
    type Err = String;

    fn from_str(text: &str) -> Result<LoadOperation, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let (class, method, place, weight) = match words[..] {
            [class, method, place] => (class, method, place, "1"),
            [class, method, place, weight] => (class, method, place, weight),
            _ => {
                return Err(format!(
                    "\"{text}\" is not CLASS METHOD SERVICE:/PATH [WEIGHT]"
                ));
            }
        };
        let Some((service, path)) = place.split_once(':') else {
            return Err(format!("\"{place}\" is not SERVICE:/PATH"));
        };
        let bad_weight = |_| format!("weight \"{weight}\" is not a number");
        Ok(LoadOperation {
            class: parse_class(class)?,
            method: Method::from_str(method).map_err(|e| e.to_string())?,
            service: service.to_owned(),
            path: path.to_owned(),
            weight: weight.parse().map_err(bad_weight)?,
        })
    }
}

/// Operations and how often each is drawn.
#[derive(Clone, Debug)]
pub(crate) struct OperationMix {
    operations: Vec<LoadOperation>,
    total: u32,
}

impl OperationMix {
    /// Mixes `operations` by their weights; `None` if all weights are 0.
    pub(crate) fn open(operations: Vec<LoadOperation>) -> Option<OperationMix> {
        let total = operations.iter().map(|operation| operation.weight).sum();
        (total > 0).then_some(OperationMix { operations, total })
    }

    /// Draws one operation.
    pub(crate) fn draw(&self, rng: &mut impl RngExt) -> &LoadOperation {
        let mut left = rng.random_range(0..self.total);
        for operation in &self.operations {
            if left < operation.weight {
                return operation;
            }
            left -= operation.weight;
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
