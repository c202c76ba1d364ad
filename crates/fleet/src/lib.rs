//! Discovery of hosts and distribution of the service configuration. Keepers discover each other
//! from seeds and form the replica group of the configuration. They distribute the configuration
//! and the directory of hosts to the daemons.

mod anti_entropy;
mod catch_up;
mod crash_log;
mod host_sharing;
pub mod keeper;
pub mod keeper_map;
mod leave_log;
mod report_sender;
pub mod sync;
