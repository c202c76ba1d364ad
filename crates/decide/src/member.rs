//! Membership of the daemons of one availability zone, as a state machine without I/O.
//!
//! Implements SWIM (Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", DSN 2002) with the local health score of Lifeguard (Dadgar,
//! Phillips and Currey, DSN-W 2018). Each daemon pings one member per probe interval. If no ack
//! arrives, it requests indirect pings from other members, then suspects the member and declares it
//! dead unless the member refutes. Updates are piggybacked on these messages and sent in gossip
//! rounds, each a bounded number of times, so that the cost per daemon doesn't grow with the zone.
//!
//! For anti-entropy, packets carry a hash of the sender's table. Members whose hashes still differ
//! after a time without updates exchange their full tables.

mod node;
mod probe;
mod queue;
mod receive;
mod table;
mod tick;
mod wire;

pub use node::{MemberInput, MemberNode, MemberOutput, MemberSeed, MemberSettings};
pub use table::{MemberStatus, MemberView};
pub use wire::{
    DATAGRAM_BYTES_MAX, MemberExchange, MemberMessage, MemberPacket, MemberRecord, MemberServer,
    MemberUpdate, SERVERS_MAX,
};

use std::time::Duration;

/// Longest time that a driver should let pass between two ticks of a node.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
