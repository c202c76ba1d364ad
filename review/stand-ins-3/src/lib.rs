//! Stand-ins for the users' platform, operator, clients and backend servers, with the standard library only.

pub mod http;
pub mod platform;
pub mod record;
pub mod server;

pub use http::{Connection, Response, call};
pub use platform::{Host, HostOptions, Site, must};
pub use record::Record;
pub use server::{Backend, BackendOptions};

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How a case ended; the exit code of its program.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const NOT_RUN: i32 = 2;

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Sleeps for `ms` milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
