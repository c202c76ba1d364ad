//! One module a command.

pub(crate) mod claims;
pub(crate) mod contracts;
pub(crate) mod overload;
pub(crate) mod routes;
