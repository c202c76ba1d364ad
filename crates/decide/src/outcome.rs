//! What is known about the run of a request, and how several tries combine.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What is known about the run of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The backend server ran the request and its whole answer is passed on.
    Answered,
    /// The request never reached the backend server's work.
    NotRun,
    /// The stored answer of an earlier attempt.
    Replayed,
    /// The request may have run.
    Unknown,
}

impl CallOutcome {
    /// Combines the outcome of an earlier try with that of a later one.
    ///
    /// An answer settles the request. Without one, a try that may have run stays so: a later
    /// `NotRun` speaks only for its own try.
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
