//! The daemon's side towards callers: the HTTP interface and the handling of calls.

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
