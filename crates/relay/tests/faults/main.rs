//! Daemons in this process with backend servers that fail in ways that the test selects.

mod accounts;
mod endless;
mod server_faults;
mod silent_gate;
mod silent_gates;
mod silent_owner;
mod support;
