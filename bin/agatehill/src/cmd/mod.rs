//! One module a command.

pub(crate) mod contract;
pub(crate) mod dump;
pub(crate) mod settings;
pub(crate) mod status;
