//! Harness for tests with real processes: settings, process guards, an HTTP client, a TCP proxy
//! that stalls connections, and a simulation of members.

pub mod bed;
pub mod client;
pub mod contract;
pub mod crowd;
pub mod member_simulation;
pub mod process;
pub mod process_usage;
pub mod raw_server;
pub mod stopped_thread;
pub mod tcp_proxy;
