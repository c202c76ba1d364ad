//! The subcommands, one module each.

pub(crate) mod claims;
pub(crate) mod contracts;
pub(crate) mod digests;
pub(crate) mod keepers;
pub(crate) mod members;
pub(crate) mod notices;
pub(crate) mod overload;
pub(crate) mod quarantine;
pub(crate) mod routes;
