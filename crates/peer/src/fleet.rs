//! The service that a keeper offers to daemons and other keepers where hosts are found: the
//! directory of hosts, the service configuration and the messages of its replica.

use crate::link::{LinkClient, PeerLink, postcard_transport};
use agatehill_decide::{
    config_history::{AcceptedConfig, ConfigCommand, ConfigReply},
    host_directory::HostRecord,
    name::{KeeperName, RegionName, ZoneName},
    replica::ReplicaEnvelope,
};
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use std::{future::Future, io, net::SocketAddr, time::Duration};
use tarpc::{
    client::Config,
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::{TcpListener, TcpStream};

pub use control::FleetControlClient;
use control::{FleetControl, FleetControlRequest, FleetControlResponse};

/// A connection without a request for this long is closed.
const IDLE_SPAN: Duration = Duration::from_secs(30);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A connection to a keeper.
pub type FleetLink = PeerLink<FleetControlClient>;

/// A keeper and where it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperRecord {
    /// The IP address of its host, which names it.
    pub name: KeeperName,
    /// Region of its host.
    pub region: RegionName,
    /// Availability zone of its host.
    pub zone: ZoneName,
}

/// What a daemon tells and asks a keeper, over and over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncRequest {
    /// The daemon's own record, if it is new to the keeper.
    pub record: Option<HostRecord>,
    /// The version of the configuration that the daemon holds, 0 for none.
    pub config_after: u64,
    /// The run of the keeper that `hosts_after` counts in.
    pub keeper_run: u64,
    /// The change of the directory up to which the daemon holds it.
    pub hosts_after: u64,
    /// Time to wait for something new.
    pub wait_ms: u32,
}

/// The answer of a keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncReply {
    /// Whether the keeper is in touch with the leader, so that no newer configuration is in force.
    pub is_current: bool,
    /// A configuration that is newer than the daemon's.
    pub config: Option<AcceptedConfig>,
    /// The run of the keeper.
    pub keeper_run: u64,
    /// The change up to which `hosts` brings the daemon's directory.
    pub hosts_at: u64,
    /// The records that changed.
    pub hosts: Vec<HostRecord>,
    /// All keepers that the keeper knows.
    pub keepers: Vec<KeeperRecord>,
}

/// What keepers tell each other, over and over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperExchange {
    /// All keepers that the sender knows, itself included.
    pub keepers: Vec<KeeperRecord>,
    /// Digest of its directory.
    pub hosts_digest: u64,
}

/// The reply to an exchange.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperExchangeReply {
    /// All keepers that the receiver knows, itself included.
    pub keepers: Vec<KeeperRecord>,
    /// The receiver's directory, if it differs.
    pub hosts: Vec<HostRecord>,
}

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandError {
    /// The keeper doesn't lead; nothing was proposed.
    NotLeader,
    /// The command may or may not be carried out.
    Unknown,
}

/// What a keeper does for daemons and other keepers.
pub trait FleetService: Clone + Send + Sync + 'static {
    /// Takes a daemon's record and returns what is new for it.
    fn sync(&self, request: SyncRequest) -> impl Future<Output = SyncReply> + Send;

    /// Takes records of daemons from another keeper.
    fn share_hosts(&self, records: Vec<HostRecord>) -> impl Future<Output = ()> + Send;

    /// Takes another keeper's exchange.
    fn exchange_keepers(
        &self,
        exchange: KeeperExchange,
    ) -> impl Future<Output = KeeperExchangeReply> + Send;

    /// Runs a command of the configuration if this keeper leads.
    fn run_command(
        &self,
        command: ConfigCommand,
    ) -> impl Future<Output = Result<ConfigReply, CommandError>> + Send;

    /// Takes messages of another keeper's replica.
    fn deliver(&self, envelopes: Vec<ReplicaEnvelope>) -> impl Future<Output = ()> + Send;
}

/// Adapts a [`FleetService`] to the generated trait, whose futures are not known to be `Send`.
#[derive(Clone)]
struct ControlAdapter<S>(S);

impl<S: FleetService> FleetControl for ControlAdapter<S> {
    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        self.0.sync(request).await
    }

    async fn share_hosts(self, _: Context, records: Vec<HostRecord>) {
        self.0.share_hosts(records).await;
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
        CommandError, ConfigCommand, ConfigReply, HostRecord, KeeperExchange, KeeperExchangeReply,
        ReplicaEnvelope, SyncReply, SyncRequest,
    };

    /// The wire form of [`super::FleetService`].
    #[tarpc::service]
    pub trait FleetControl {
        /// Takes a daemon's record and returns what is new for it.
        async fn sync(request: SyncRequest) -> SyncReply;
        /// Takes records of daemons from another keeper.
        async fn share_hosts(records: Vec<HostRecord>);
        /// Takes another keeper's exchange.
        async fn exchange_keepers(exchange: KeeperExchange) -> KeeperExchangeReply;
        /// Runs a command of the configuration if the keeper leads.
        async fn run_command(command: ConfigCommand) -> Result<ConfigReply, CommandError>;
        /// Passes on messages of replicas.
        async fn deliver(envelopes: Vec<ReplicaEnvelope>);
    }
}

impl LinkClient for FleetControlClient {
    fn spawn(stream: TcpStream) -> FleetControlClient {
        FleetControlClient::new(Config::default(), postcard_transport(stream)).spawn()
    }
}

/// A running listener for a [`FleetService`]; stops when dropped.
#[derive(Debug)]
pub struct FleetServer {
    addr: SocketAddr,
    accepting: tokio::task::JoinHandle<()>,
}

impl FleetServer {
    /// Serves `service` on `addr`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind<S: FleetService>(addr: SocketAddr, service: S) -> io::Result<FleetServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener, service));
        Ok(FleetServer { addr, accepting })
    }

    /// Returns the address that is listened on.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for FleetServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept<S: FleetService>(listener: TcpListener, service: S) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, service.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve<S: FleetService>(stream: TcpStream, service: S) {
    let transport = postcard_transport::<
        tarpc::ClientMessage<FleetControlRequest>,
        tarpc::Response<FleetControlResponse>,
    >(stream);
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = Box::pin(channel.execute(ControlAdapter(service).serve()));
    while let Ok(Some(call)) = tokio::time::timeout(IDLE_SPAN, calls.next()).await {
        tokio::spawn(call);
    }
}
