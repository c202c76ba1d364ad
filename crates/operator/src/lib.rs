//! HTTP interfaces for operators: the contract API with its client, state dumps and metrics.

pub mod client;
pub mod contracts;
pub mod inspect;
pub mod response;
