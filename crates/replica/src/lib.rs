//! Runs replicated groups: one thread per group carries out the outputs of the group's replica.

mod driver;
pub mod group;
pub mod monitor;
pub mod outbox;
pub mod voter_log;
