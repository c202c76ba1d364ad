//! Membership of the daemons of one availability zone, without I/O.
//!
//! SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002) with the local health score of Lifeguard (Dadgar, Phillips and
//! Currey, DSN-W 2018): each daemon pings one member a period, asks others to ping it when no answer
//! comes, suspects it, and declares it dead unless it refutes. News travels on those messages and in
//! short bursts, each item a bounded number of times, so that the cost of a daemon doesn't grow
//! with the zone. Packets carry a hash of the sender's table; tables that differ
//! when no news is on its way are exchanged whole.

mod duty;
mod node;
mod probe;
mod queue;
mod receive;
mod table;
mod wire;

pub use node::{MemberInput, MemberNode, MemberOutput, MemberSeed, MemberSettings};
pub use table::{MemberStatus, MemberView};
pub use wire::{
    DATAGRAM_BYTES_MAX, MemberExchange, MemberMessage, MemberPacket, MemberRecord, MemberServer,
    MemberUpdate, SERVERS_MAX,
};

use std::time::Duration;

/// Longest time between two ticks that a driver should give a node.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
