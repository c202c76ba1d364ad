//! The path of a request that is routed by host and path: from its caller through the entry of any
//! daemon to the gate beside the chosen backend server, and back.

pub mod body;
mod call;
pub mod decision_log;
pub mod entry;
pub mod error;
pub mod gate;
pub mod gate_view;
pub mod headers;
pub mod hop;
pub mod local_server;
pub mod pool;
