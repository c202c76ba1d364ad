//! Decisions and state machines of agatehill, without I/O.
//!
//! Nothing here opens a socket, reads a clock, starts a thread or draws from a global random
//! source. Time and random numbers are arguments and outputs are values, so that the daemons, the
//! keepers, the property tests and the bench run the same code.

pub mod admission;
pub mod attempt_status;
pub mod call_parent;
pub mod chain;
pub mod claim;
pub mod config_history;
pub mod contract;
pub mod contract_history;
pub mod deadline;
pub mod digest;
pub mod document;
pub mod gate;
pub mod gate_selection;
pub mod host_directory;
pub mod keeper_exchange;
pub mod keeper_poller;
pub mod latency_budget;
pub mod level;
pub mod limit;
pub mod log_rate_limit;
pub mod member;
pub mod name;
pub mod occupancy;
pub mod outcome;
pub mod priority;
pub mod quarantine;
pub mod quota;
pub mod replica;
pub mod replicated_state;
pub mod resend;
pub mod retry;
pub mod route;
pub mod route_limit;
pub mod server_notice;
pub mod server_tracker;
pub mod service_config;
pub mod service_retry_budget;
pub mod stall_detector;
pub mod time;
pub mod weighted_round_robin;

mod hash;
