//! Runs replicated groups: one thread a group that syncs, sends and applies what the group's
//! replica decides.

mod driver;
pub mod group;
pub mod outbox;
