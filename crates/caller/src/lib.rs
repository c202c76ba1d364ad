//! Towards callers: the HTTP interface, and the path of a call through the daemon that took it.

pub mod attempt;
pub mod call;
pub mod contracts;
pub mod entry;
pub mod handler;
pub mod levels;
mod message;
pub mod problem;
pub mod request;
pub mod routes;
pub mod trace;
