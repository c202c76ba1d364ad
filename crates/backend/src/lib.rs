//! The daemon's side towards the backend servers on its host: announcements, admission and calls.

pub mod admission;
pub mod announce;
pub mod at_most_once;
pub mod attempt_tracker;
pub mod chain;
pub mod client;
pub mod gate;
pub mod guarded_body;
pub mod quarantine;
pub mod registry;

mod gate_metrics;
