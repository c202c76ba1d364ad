//! What the system's own processes say to each other.

pub mod codec;
pub mod keeper;
pub mod keeper_client;
//! What daemons and keepers say to each other.

pub mod body;
pub mod forward;
pub mod headers;
