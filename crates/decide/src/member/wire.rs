//! Messages of the membership protocol.

use crate::{
    name::{DaemonName, Incarnation, ServiceName, ZoneName},
    route::ServerState,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum size of a datagram, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;
/// Maximum number of backend servers in a record, so that it fits into a datagram.
pub const SERVERS_MAX: usize = 8;

/// Upper bound of the size of a packet without its updates and names, in bytes.
const PACKET_BYTES: usize = 96;
/// Upper bound of the size of a record without its servers and names, in bytes.
const RECORD_BYTES: usize = 88;
/// Upper bound of the size of a server without its service name, in bytes.
const SERVER_BYTES: usize = 32;
/// Upper bound of the size of an update without a record, except the name, in bytes.
const NAME_UPDATE_BYTES: usize = 16;

/// A backend server, as announced by its daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberServer {
    /// Service that the server runs.
    pub service: ServiceName,
    /// Address for requests.
    pub backend: SocketAddr,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Announced state.
    pub state: ServerState,
}

/// A member's description of itself; every change increases the incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the member.
    pub name: DaemonName,
    /// Orders the updates about the member.
    pub incarnation: Incarnation,
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Address for control messages, which include full tables.
    pub control: SocketAddr,
    /// Address for forwarded requests.
    pub forward: SocketAddr,
    /// Backend servers of the member's host.
    pub servers: Vec<MemberServer>,
}

/// An update about one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberUpdate {
    /// The member is alive and has this record.
    Alive(MemberRecord),
    /// A probe of the member failed.
    Suspect(DaemonName, Incarnation),
    /// The member was suspected and didn't refute in time.
    Dead(DaemonName, Incarnation),
    /// The member left by a graceful shutdown.
    Left(DaemonName, Incarnation),
}

/// Message type of a packet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberMessage {
    /// Requests an `Ack` from the daemon of this name.
    Ping(DaemonName),
    /// Replies to a `Ping` or, through the helper, to a `PingRequest`.
    Ack,
    /// Requests a `Ping` of the named member at this address.
    PingRequest(DaemonName, SocketAddr),
    /// Replies to a `PingRequest`: no `Ack` arrived in time.
    Nack,
    /// Only carries updates.
    Gossip,
}

/// Content of a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberPacket {
    /// Name of the sender.
    pub from: DaemonName,
    /// Zone of the sender; packets from other zones are dropped.
    pub zone: ZoneName,
    /// Hash of the sender's table of living members.
    pub table_hash: u64,
    /// Sequence number that matches a reply with its request.
    pub seq: u32,
    /// Message type.
    pub message: MemberMessage,
    /// Piggybacked updates.
    pub updates: Vec<MemberUpdate>,
}

/// A member's table, exchanged over a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberExchange {
    /// Zone of the sender.
    pub zone: ZoneName,
    /// Record of the sender.
    pub sender: MemberRecord,
    /// Whether the sender's table is settled; see [`MemberNode::is_settled`].
    ///
    /// [`MemberNode::is_settled`]: super::MemberNode::is_settled
    pub is_settled: bool,
    /// The sender's table; empty if it only introduces itself.
    pub updates: Vec<MemberUpdate>,
}

impl MemberUpdate {
    /// Returns the name of the member that the update is about.
    pub fn name(&self) -> &DaemonName {
        match self {
            MemberUpdate::Alive(record) => &record.name,
            MemberUpdate::Suspect(name, _)
            | MemberUpdate::Dead(name, _)
            | MemberUpdate::Left(name, _) => name,
        }
    }

    /// Returns an upper bound of the update's size in a datagram.
    pub(super) fn bytes_max(&self) -> usize {
        match self {
            MemberUpdate::Alive(record) => record.bytes_max(),
            _ => NAME_UPDATE_BYTES + self.name().as_str().len(),
        }
    }
}

impl MemberRecord {
    fn bytes_max(&self) -> usize {
        let of_server = |server: &MemberServer| SERVER_BYTES + server.service.as_str().len();
        let servers: usize = self.servers.iter().map(of_server).sum();
        RECORD_BYTES + self.name.as_str().len() + servers
    }
}

impl MemberPacket {
    /// Returns an upper bound of the packet's size without its updates.
    pub(super) fn bytes_max(&self) -> usize {
        let target = match &self.message {
            MemberMessage::Ping(name) | MemberMessage::PingRequest(name, _) => name.as_str().len(),
            MemberMessage::Ack | MemberMessage::Nack | MemberMessage::Gossip => 0,
        };
        PACKET_BYTES + self.from.as_str().len() + self.zone.as_str().len() + target
    }
}
