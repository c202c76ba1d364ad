//! Towards the backend servers on this host: announcements, admission and the calls themselves.

pub mod announce;
pub mod at_most_once;
pub mod chain;
pub mod client;
pub mod gate;
pub mod held;
pub mod inquiry;
pub mod places;
pub mod poison;
pub mod registry;

mod gate_metrics;
