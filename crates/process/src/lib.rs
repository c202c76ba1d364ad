//! Shared parts of all processes: monotonic clock, graceful stop, health checks, HTTP listeners.

pub mod budget;
pub mod clock;
pub mod connection;
pub mod drain;
pub mod health;
pub mod serve;
