//! Towards the backend servers on this host: announcements, admission and the calls themselves.

pub mod announce;
pub mod client;
pub mod gate;
pub mod held;
pub mod once;
pub mod registry;
