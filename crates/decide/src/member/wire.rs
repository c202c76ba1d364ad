//! What members tell one another.

use crate::{
    name::{DaemonName, Incarnation, ServiceName, ZoneName},
    route::ServerState,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest datagram, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;
/// Backend servers that one daemon announces at most, so that a record fits a datagram.
pub const SERVERS_MAX: usize = 8;

/// Upper bound of a packet without its updates and names, in bytes.
const PACKET_BYTES: usize = 96;
/// Upper bound of a record without its servers and names, in bytes.
const RECORD_BYTES: usize = 88;
/// Upper bound of a server without its name, in bytes.
const SERVER_BYTES: usize = 32;
/// Upper bound of an update that only names a member, without the name, in bytes.
const NAME_UPDATE_BYTES: usize = 16;

/// One backend server as its daemon announces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberServer {
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub backend: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Its announced state.
    pub state: ServerState,
}

/// What a member says of itself; any change gives it a larger incarnation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The member.
    pub name: DaemonName,
    /// Orders what is said of the member.
    pub incarnation: Incarnation,
    /// Where it takes gossip.
    pub gossip: SocketAddr,
    /// Where it takes control messages, whole tables among them.
    pub control: SocketAddr,
    /// Where it takes forwarded requests.
    pub forward: SocketAddr,
    /// Its backend servers.
    pub servers: Vec<MemberServer>,
}

/// One item of news about a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberUpdate {
    /// It lives, and this is what it says of itself.
    Alive(MemberRecord),
    /// It didn't answer pings.
    Suspect(DaemonName, Incarnation),
    /// It was suspected and didn't refute in time.
    Dead(DaemonName, Incarnation),
    /// It has left by a planned stop.
    Left(DaemonName, Incarnation),
}

/// The purpose of a packet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberMessage {
    /// Asks the daemon of this name for an `Ack`.
    Ping(DaemonName),
    /// Answers a `Ping` or, through the member that was asked, a `PingRequest`.
    Ack,
    /// Asks for a `Ping` of another member.
    PingRequest(DaemonName, SocketAddr),
    /// Answers a `PingRequest`: the other member gave no answer.
    Nack,
    /// Only brings updates.
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberPacket {
    /// The sender.
    pub from: DaemonName,
    /// The zone of the sender; packets of other zones are dropped.
    pub zone: ZoneName,
    /// Hash of the sender's table of living members.
    pub table_hash: u64,
    /// Matches an answer with its question.
    pub seq: u32,
    /// The purpose.
    pub message: MemberMessage,
    /// News of members.
    pub updates: Vec<MemberUpdate>,
}

/// All that a member knows, exchanged over a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberExchange {
    /// The zone of the sender.
    pub zone: ZoneName,
    /// The sender.
    pub sender: MemberRecord,
    /// Whether the sender has learned the table from another member since it started or froze.
    pub is_settled: bool,
    /// The sender's table, or nothing if it only introduces itself.
    pub updates: Vec<MemberUpdate>,
}

impl MemberUpdate {
    /// Returns the member that the update is about.
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
    /// Returns an upper bound of the packet's size without updates.
    pub(super) fn bytes_max(&self) -> usize {
        let target = match &self.message {
            MemberMessage::Ping(name) | MemberMessage::PingRequest(name, _) => name.as_str().len(),
            MemberMessage::Ack | MemberMessage::Nack | MemberMessage::Gossip => 0,
        };
        PACKET_BYTES + self.from.as_str().len() + self.zone.as_str().len() + target
    }
}
