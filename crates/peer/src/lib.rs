//! What daemons and keepers say to each other.

pub mod body;
pub mod forward;
pub mod headers;
