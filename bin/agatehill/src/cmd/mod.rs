//! The commands, one module each.

pub(crate) mod contract;
pub(crate) mod dump;
pub(crate) mod settings;
pub(crate) mod status;
