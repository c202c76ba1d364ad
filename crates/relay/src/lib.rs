//! Relays HTTP requests that are routed by host name and path: from the caller to the entry of the
//! daemon on its host, and on to the gate of the daemon on the host of the selected backend
//! server.

pub mod body;
mod call;
mod content;
mod credentials;
pub mod decision_log;
pub mod entry;
pub mod error;
pub mod gate;
pub mod gate_view;
pub mod headers;
mod held_body;
pub mod hop;
pub mod host_server;
mod notice;
pub mod pool;
pub mod quota;
