//! Harness for tests over real processes: a folder, processes that end with it, an HTTP client.

pub mod bed;
pub mod client;
pub mod member_simulation;
pub mod process;
pub mod tcp_proxy;
