//! Protocols between daemons and keepers: messages, clients and listeners.

pub mod body;
pub mod codec;
pub mod control;
pub mod crash_report;
pub mod dial;
pub mod fleet;
pub mod forward;
pub mod forward_client;
pub mod gossip;
pub mod handler;
pub mod headers;
pub mod keeper;
pub mod keeper_client;
pub mod link;
mod listener;
mod metered_stream;
pub mod timed_body;
