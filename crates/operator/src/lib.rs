//! Towards operators: the contract API, state dumps and metrics, both sides.

pub mod client;
pub mod contracts;
pub mod inspect;
pub mod response;
