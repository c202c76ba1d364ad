//! The service of a keeper in a deployment that discovers its hosts: directory of hosts, service
//! configuration and replication messages.

mod codec;
mod entries;
mod first_format;

use crate::{
    link::{LinkClient, MessageFormat, PeerLink, RunningClient, codec_transport, served_transport},
    listener::{PeerListener, run_calls},
    metered_stream::MeteredStream,
};
use agatehill_decide::{
    config_history::{AcceptedConfig, ConfigCommand, ConfigReply},
    host_directory::{DirectoryAnswer, DirectoryQuery, HostRecord, WireHostRecord},
    name::{KeeperName, NameError, RegionName, ZoneName},
    quarantine::CrashReport,
    replica::ReplicaEnvelope,
};
use agatehill_process::budget::ListenerBudget;
use serde::{Deserialize, Serialize};
use std::{future::Future, io, net::SocketAddr, time::Duration};
use tarpc::{
    client::Config,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};

use codec::{CallerCodec, KeeperCodec};
pub use control::FleetControlClient;
use control::{FleetControl, FleetControlRequest, FleetControlResponse};
pub use entries::record_skipped;
use entries::{read_valid, read_valid_entry};

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection to a keeper.
pub type FleetLink = PeerLink<FleetControlClient>;

/// A keeper and its location.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperRecord {
    /// Its name: the IP address of its host.
    pub name: KeeperName,
    /// Region of its host.
    pub region: RegionName,
    /// Availability zone of its host.
    pub zone: ZoneName,
}

/// A [`KeeperRecord`] with any text for its names.
#[derive(Debug, Deserialize)]
struct WireKeeperRecord {
    name: String,
    region: String,
    zone: String,
}

impl TryFrom<WireKeeperRecord> for KeeperRecord {
    type Error = NameError;

    fn try_from(wire: WireKeeperRecord) -> Result<KeeperRecord, NameError> {
        Ok(KeeperRecord {
            name: KeeperName::try_from(wire.name)?,
            region: RegionName::try_from(wire.region)?,
            zone: ZoneName::try_from(wire.zone)?,
        })
    }
}

/// A daemon's periodic request for changes to the configuration and the directory of hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The daemon's own record, if it has one to report.
    #[serde(deserialize_with = "read_valid_entry::<_, WireHostRecord, _>")]
    pub record: Option<HostRecord>,
    /// Version of the configuration that the daemon has; 0 for none.
    pub config_after: u64,
    /// Question for the host records that the daemon lacks; `None` if it asks for none.
    pub hosts: Option<DirectoryQuery>,
    /// Run of the keeper to which `reports_after` belongs.
    pub keeper_run: u64,
    /// Number of the last change to the strikes that the daemon has.
    pub reports_after: u64,
    /// Digest of the keepers that the daemon knows.
    pub keepers_digest: u64,
    /// Longest time that the keeper waits for a change, in milliseconds.
    pub wait_ms: u32,
}

/// The keeper's reply to a [`SyncRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncReply {
    /// Whether the keeper is in contact with the leader, so that no newer version is in force.
    pub is_current: bool,
    /// The configuration, if it is newer than the daemon's.
    pub config: Option<AcceptedConfig>,
    /// Run of the keeper to which `reports_at` belongs.
    pub keeper_run: u64,
    /// The host records that the daemon lacks, if it asks for them.
    pub hosts: Option<DirectoryAnswer>,
    /// Number of the last change to the strikes that `crash_reports` includes.
    pub reports_at: u64,
    /// Strikes against requests that crash servers, as far as they changed after `reports_after`.
    pub crash_reports: Vec<CrashReport>,
    /// Digest of all strikes that the keeper knows.
    pub reports_digest: u64,
    /// All keepers that the sender knows, if their digest differs from the daemon's; empty otherwise.
    #[serde(deserialize_with = "read_valid::<_, WireKeeperRecord, _>")]
    pub keepers: Vec<KeeperRecord>,
}

/// New host records that a keeper sends to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedHosts {
    /// The records.
    #[serde(deserialize_with = "read_valid::<_, WireHostRecord, _>")]
    pub records: Vec<HostRecord>,
    /// Whether the receiver hands them on to the other keepers of its region.
    pub is_relayed: bool,
}

/// What a keeper periodically sends to the other keepers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperExchange {
    /// The sender.
    pub sender: KeeperRecord,
    /// Digest of all keepers that the sender knows, itself included.
    pub keepers_digest: u64,
    /// Question for the host records that the sender lacks.
    pub hosts: DirectoryQuery,
    /// Digest of all strikes that the sender knows.
    pub reports_digest: u64,
}

/// The reply to a [`KeeperExchange`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperExchangeReply {
    /// All keepers that the receiver knows, itself included, if their digest differs; empty otherwise.
    #[serde(deserialize_with = "read_valid::<_, WireKeeperRecord, _>")]
    pub keepers: Vec<KeeperRecord>,
    /// The host records that the sender lacks.
    pub hosts: DirectoryAnswer,
    /// All strikes that the receiver knows, if their digest differs; empty otherwise.
    pub crash_reports: Vec<CrashReport>,
}

/// Why a command has no reply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandError {
    /// The keeper isn't the leader; nothing was proposed.
    NotLeader,
    /// The command may or may not take effect.
    Unknown,
}

impl CommandError {
    /// Returns the name for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            CommandError::NotLeader => "no-leader",
            CommandError::Unknown => "unknown",
        }
    }
}

/// Handles requests of daemons and other keepers.
pub trait FleetService: Clone + Send + Sync + 'static {
    /// Merges a daemon's record and returns what is newer than the daemon's state.
    fn sync(&self, request: SyncRequest) -> impl Future<Output = SyncReply> + Send;

    /// Merges host records from another keeper.
    fn share_hosts(&self, hosts: SharedHosts) -> impl Future<Output = ()> + Send;

    /// Merges strikes against requests that crash servers.
    fn share_crash_reports(&self, reports: Vec<CrashReport>) -> impl Future<Output = ()> + Send;

    /// Merges the keepers that another keeper knows and returns those known here.
    fn exchange_keepers(
        &self,
        exchange: KeeperExchange,
    ) -> impl Future<Output = KeeperExchangeReply> + Send;

    /// Runs a configuration command if this keeper is the leader.
    fn run_command(
        &self,
        command: ConfigCommand,
    ) -> impl Future<Output = Result<ConfigReply, CommandError>> + Send;

    /// Accepts messages from another keeper's replica.
    fn deliver(&self, envelopes: Vec<ReplicaEnvelope>) -> impl Future<Output = ()> + Send;
}

/// Adapts a [`FleetService`] to the generated trait, whose futures are not known to be `Send`.
#[derive(Clone)]
struct ControlAdapter<S>(S);

impl<S: FleetService> FleetControl for ControlAdapter<S> {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        self.0.sync(request).await
    }

    async fn share_hosts(self, _: Context, hosts: SharedHosts) {
        self.0.share_hosts(hosts).await;
    }

    async fn share_crash_reports(self, _: Context, reports: Vec<CrashReport>) {
        self.0.share_crash_reports(reports).await;
    }

    async fn exchange_keepers(self, _: Context, exchange: KeeperExchange) -> KeeperExchangeReply {
        self.0.exchange_keepers(exchange).await
    }

    async fn run_command(
        self,
        _: Context,
        command: ConfigCommand,
    ) -> Result<ConfigReply, CommandError> {
        self.0.run_command(command).await
    }

    async fn deliver(self, _: Context, envelopes: Vec<ReplicaEnvelope>) {
        self.0.deliver(envelopes).await;
    }
}

mod control {
    #![allow(missing_docs)] // tarpc generates items without documentation.

    use super::{
        CommandError, ConfigCommand, ConfigReply, CrashReport, KeeperExchange, KeeperExchangeReply,
        ReplicaEnvelope, SharedHosts, SyncReply, SyncRequest,
    };

    /// The wire form of [`super::FleetService`].
    #[tarpc::service]
    pub trait FleetControl {
        /// Merges a daemon's record and returns what is newer than the daemon's state.
        async fn sync(request: SyncRequest) -> SyncReply;
        /// Merges host records from another keeper.
        async fn share_hosts(hosts: SharedHosts);
        /// Merges the keepers that another keeper knows and returns those known here.
        async fn exchange_keepers(exchange: KeeperExchange) -> KeeperExchangeReply;
        /// Runs a configuration command if the receiver is the leader.
        async fn run_command(command: ConfigCommand) -> Result<ConfigReply, CommandError>;
        /// Accepts messages from another keeper's replica.
        async fn deliver(envelopes: Vec<ReplicaEnvelope>);
        /// Merges strikes against requests that crash servers.
        async fn share_crash_reports(reports: Vec<CrashReport>);
    }
}

impl LinkClient for FleetControlClient {
    fn spawn(stream: TcpStream, format: MessageFormat) -> RunningClient<FleetControlClient> {
        let transport = codec_transport(stream, CallerCodec { format });
        RunningClient::spawn(FleetControlClient::new(Config::default(), transport))
    }
}

/// A running listener for a [`FleetService`]; stops when dropped.
#[derive(Debug)]
pub struct FleetServer {
    listener: PeerListener,
}

impl FleetServer {
    /// Serves `service` on `addr` within `budget`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind<S: FleetService>(
        addr: SocketAddr,
        service: S,
        budget: ListenerBudget,
    ) -> io::Result<FleetServer> {
        let listener = TcpListener::bind(addr).await?;
        let listener = PeerListener::spawn(listener, budget, move |stream| {
            serve(stream, service.clone())
        })?;
        Ok(FleetServer { listener })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.listener.local_addr()
    }
}

async fn serve<S: FleetService>(stream: MeteredStream, service: S) {
    let transport = served_transport::<
        tarpc::ClientMessage<FleetControlRequest>,
        tarpc::Response<FleetControlResponse>,
        KeeperCodec,
    >(stream, KeeperCodec::new());
    let channel = BaseChannel::with_defaults(transport);
    run_calls(
        channel.execute(ControlAdapter(service).serve()),
        IDLE_TIMEOUT,
    )
    .await;
}
