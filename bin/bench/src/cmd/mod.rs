//! One module a command.

pub(crate) mod overload;
