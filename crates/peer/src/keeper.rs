//! The service of keepers for daemons and other keepers: contracts, claims and replication.

use crate::{
    codec::PostcardCodec,
    link::served_transport,
    listener::{PeerListener, run_calls},
    metered_stream::MeteredStream,
};
use agatehill_decide::{
    claim::{ClaimCommand, ClaimReply},
    contract_history::ContractReply,
    name::CustomerName,
    replica::ReplicaEnvelope,
};
use agatehill_process::budget::ListenerBudget;
use serde::{Deserialize, Serialize};
use std::{fmt, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::net::TcpListener;

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// An accepted revision of a customer's contract.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedContract {
    /// The customer of the contract.
    pub customer: CustomerName,
    /// Revision of the contract.
    pub revision: u64,
    /// The contract in TOML.
    pub text: Arc<str>,
}

/// Contracts that were accepted after a log position.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedPage {
    /// The log position up to which the page is complete.
    pub position: u64,
    /// Whether the keeper is in contact with the leader, so that no newer contract is accepted.
    pub current: bool,
    /// The latest contract of each customer whose contract has changed.
    pub contracts: Vec<AcceptedContract>,
}

/// Why a keeper did not carry out a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KeeperError {
    /// The keeper isn't the group's leader; nothing was proposed.
    NotLeader {
        /// Peer address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The contract's text is invalid, for the given reason; nothing was proposed.
    Invalid(String),
    /// No reply came in time, or the leader changed; the change may take effect.
    Unknown,
    /// No keeper could be reached; nothing was proposed.
    Unreachable,
}

impl fmt::Display for KeeperError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeeperError::NotLeader { leader: Some(addr) } => write!(f, "keeper {addr} is leader"),
            KeeperError::NotLeader { leader: None } => f.write_str("no leader is known"),
            KeeperError::Invalid(reason) => write!(f, "invalid contract: {reason}"),
            KeeperError::Unknown => f.write_str("the change may or may not take effect"),
            KeeperError::Unreachable => f.write_str("no keeper could be reached"),
        }
    }
}

impl std::error::Error for KeeperError {}

pub use control::KeeperControlClient;
use control::{KeeperControl, KeeperControlRequest, KeeperControlResponse};

/// Handles requests of daemons and other keepers.
pub trait KeeperService: Clone + Send + Sync + 'static {
    /// Waits up to `wait` for contracts that are newer than log position `after`.
    fn feed(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedPage, KeeperError>> + Send;

    /// Proposes a contract, here or at the leader.
    fn put_contract(
        &self,
        customer: CustomerName,
        text: String,
    ) -> impl Future<Output = Result<ContractReply, KeeperError>> + Send;

    /// Proposes a command to the claim table, here or at the leader.
    fn claim(
        &self,
        command: ClaimCommand,
    ) -> impl Future<Output = Result<ClaimReply, KeeperError>> + Send;

    /// Proposes a serialised command to `group`, if this keeper is its leader.
    fn propose(
        &self,
        group: u16,
        command: Vec<u8>,
    ) -> impl Future<Output = Result<Vec<u8>, KeeperError>> + Send;

    /// Accepts messages from another keeper's replicas.
    fn deliver(&self, envelopes: Vec<ReplicaEnvelope>) -> impl Future<Output = ()> + Send;
}

/// Adapts a [`KeeperService`] to the generated trait, whose futures are not known to be `Send`.
#[derive(Clone)]
struct ControlAdapter<S>(S);

impl<S: KeeperService> KeeperControl for ControlAdapter<S> {
    async fn feed(self, _: Context, after: u64, wait_ms: u32) -> Result<FeedPage, KeeperError> {
        self.0
            .feed(after, Duration::from_millis(wait_ms.into()))
            .await
    }

    async fn put_contract(
        self,
        _: Context,
        customer: CustomerName,
        text: String,
    ) -> Result<ContractReply, KeeperError> {
        self.0.put_contract(customer, text).await
    }

    async fn claim(self, _: Context, command: ClaimCommand) -> Result<ClaimReply, KeeperError> {
        self.0.claim(command).await
    }

    async fn propose(
        self,
        _: Context,
        group: u16,
        command: Vec<u8>,
    ) -> Result<Vec<u8>, KeeperError> {
        self.0.propose(group, command).await
    }

    async fn deliver(self, _: Context, envelopes: Vec<ReplicaEnvelope>) {
        self.0.deliver(envelopes).await;
    }
}

mod control {
    #![allow(missing_docs)] // tarpc generates items without documentation.

    use super::{
        ClaimCommand, ClaimReply, ContractReply, CustomerName, FeedPage, KeeperError,
        ReplicaEnvelope,
    };

    /// The wire form of [`super::KeeperService`].
    #[tarpc::service]
    pub trait KeeperControl {
        /// Waits up to `wait_ms` for contracts that are newer than log position `after`.
        async fn feed(after: u64, wait_ms: u32) -> Result<FeedPage, KeeperError>;
        /// Proposes a contract at the leader.
        async fn put_contract(
            customer: CustomerName,
            text: String,
        ) -> Result<ContractReply, KeeperError>;
        /// Proposes a command to the claim table at the leader.
        async fn claim(command: ClaimCommand) -> Result<ClaimReply, KeeperError>;
        /// Proposes a serialised command to `group`, if the receiver is its leader.
        async fn propose(group: u16, command: Vec<u8>) -> Result<Vec<u8>, KeeperError>;
        /// Accepts messages from another keeper's replicas.
        async fn deliver(envelopes: Vec<ReplicaEnvelope>);
    }
}

/// A running listener for a [`KeeperService`]; stops when dropped.
#[derive(Debug)]
pub struct KeeperServer {
    listener: PeerListener,
}

impl KeeperServer {
    /// Serves `service` on `addr` within `budget`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind<S: KeeperService>(
        addr: SocketAddr,
        service: S,
        budget: ListenerBudget,
    ) -> io::Result<KeeperServer> {
        let listener = TcpListener::bind(addr).await?;
        let listener = PeerListener::spawn(listener, budget, move |stream| {
            serve(stream, service.clone())
        })?;
        Ok(KeeperServer { listener })
    }

    /// Returns the bound address.
    pub fn local_addr(&self) -> SocketAddr {
        self.listener.local_addr()
    }
}

async fn serve<S: KeeperService>(stream: MeteredStream, service: S) {
    let transport = served_transport::<
        tarpc::ClientMessage<KeeperControlRequest>,
        tarpc::Response<KeeperControlResponse>,
        _,
    >(stream, PostcardCodec);
    let channel = BaseChannel::with_defaults(transport);
    run_calls(
        channel.execute(ControlAdapter(service).serve()),
        IDLE_TIMEOUT,
    )
    .await;
}
