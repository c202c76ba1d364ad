//! What a process shares with the platform it runs on: clock, signals, health checks and the
//! accept loop of its HTTP listeners.

pub mod clock;
pub mod connection;
pub mod drain;
pub mod health;
pub mod serve;
