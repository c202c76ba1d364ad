//! What is known about whether a request ran, combined over several tries.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What is known about whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The backend server ran the request and its complete response is passed on.
    Answered,
    /// The backend server did not run the request.
    NotRun,
    /// The stored response of an earlier attempt is passed on.
    Replayed,
    /// The request may have run.
    Unknown,
}

impl CallOutcome {
    /// Combines the outcome of an earlier try with that of a later one.
    ///
    /// A response determines the outcome. Without one, the outcome of a request that may have run stays
    /// unknown: a later `NotRun` applies to the later try only.
    pub fn combine(self, later: CallOutcome) -> CallOutcome {
        match (self, later) {
            (_, CallOutcome::Answered | CallOutcome::Replayed) => later,
            (CallOutcome::Answered | CallOutcome::Replayed, _) => self,
            (CallOutcome::Unknown, _) | (_, CallOutcome::Unknown) => CallOutcome::Unknown,
            (CallOutcome::NotRun, CallOutcome::NotRun) => CallOutcome::NotRun,
        }
    }

    /// Returns the value of the `agatehill-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::NotRun => "not-run",
            CallOutcome::Replayed => "replayed",
            CallOutcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
