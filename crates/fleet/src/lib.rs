//! Hosts that find each other: keepers meet from a few seeds, form the group that keeps the service
//! configuration, and pass the directory of hosts and the configuration on to the daemons.

pub mod keeper;
pub mod keeper_map;
pub mod sync;
mod upkeep;
