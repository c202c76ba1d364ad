//! One module a command.

pub(crate) mod claims;
pub(crate) mod contracts;
pub(crate) mod routes;
