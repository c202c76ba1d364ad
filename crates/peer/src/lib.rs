//! What daemons and keepers say to each other.

pub mod body;
pub mod codec;
pub mod forward;
pub mod keeper;
pub mod keeper_client;
