//! Decisions and state machines of agatehill, without I/O.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws from a global random
//! source. Time and random numbers are arguments and outputs are values, so that the daemons, the
//! keepers, the property tests and the bench run the same code.

pub mod admission;
pub mod call_parent;
pub mod chain;
pub mod claim;
pub mod config_history;
pub mod contract;
pub mod contract_history;
pub mod deadline;
pub mod digest;
pub mod document;
pub mod fullness;
pub mod gate;
pub mod host_directory;
pub mod inquiry;
pub mod keeper_poller;
pub mod level;
pub mod limit;
pub mod line_budget;
pub mod member;
pub mod name;
pub mod outcome;
pub mod placement;
pub mod priority;
pub mod quarantine;
pub mod quota;
pub mod repeat_budget;
pub mod replica;
pub mod resend;
pub mod retry;
pub mod route;
pub mod route_limit;
pub mod server_track;
pub mod service_config;
pub mod silence;
pub mod state;
pub mod time;
pub mod weighted_round_robin;

mod hash;
