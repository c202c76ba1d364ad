//! Subcommands, one module each.

pub(crate) mod backend;
pub(crate) mod call;
pub(crate) mod run;
pub(crate) mod upload;
pub(crate) mod watch;
