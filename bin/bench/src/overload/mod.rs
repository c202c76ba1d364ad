//! Simulates overload in virtual time, with the types of `agatehill-decide` in front of simulated
//! servers.
//!
//! Callers, daemons, servers and links are events on one clock, so the same seed gives the same
//! figures on every run. The simulation makes no decisions of its own: the gates, levels, budgets
//! and deadlines are the ones that the daemons run.

mod backend;
mod call;
mod clock;
pub(crate) mod control;
pub(crate) mod deployment;
pub(crate) mod report;
mod route;
pub(crate) mod scenario;
pub(crate) mod simulation;
mod stats;
