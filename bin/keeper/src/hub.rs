//! The groups of a keeper, and the forwarding of commands to their leaders.

use crate::budget::KeeperBudget;
use agatehill_config::KeeperSettings;
use agatehill_decide::{
    claim::{ClaimCommand, ClaimReply, ClaimTable},
    contract_history::{ContractHistory, ContractRecord},
    name::{CustomerName, Incarnation, KeeperName},
    replica::{ReplicaEnvelope, ReplicaId, ReplicaSettings, ReplicaStatus, VoterPolicy},
};
use agatehill_peer::{
    keeper::{AcceptedContract, FeedPage, KeeperError},
    keeper_client::KeeperLink,
    link::{LinkError, RetryLimits},
};
use agatehill_process::clock::MonoClock;
use agatehill_replica::{
    group::{GroupHandle, GroupState, ProposeError},
    monitor::report_group,
    outbox::{PeerOutbox, ReplicaLink},
};
use agatehill_store::{DataFolder, StoreError};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// Number of the contract group; the claim groups have the numbers from 1.
pub(crate) const CONTRACT_GROUP: u16 = 0;
/// Timeouts of a command forwarded to the leader.
const FORWARD_LIMITS: RetryLimits = RetryLimits {
    total: Duration::from_millis(1_600),
    attempt: Duration::from_millis(500),
};
/// Longest wait for other keepers to take over the leadership.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks whether they have.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two heartbeats of a leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time without a heartbeat before an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(800);
/// Size of the chunks in which a snapshot is sent, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;

/// All groups of one keeper; clones share the groups.
#[derive(Clone)]
pub(crate) struct KeeperHub {
    shared: Arc<HubShared>,
}

struct HubShared {
    settings: KeeperSettings,
    budget: KeeperBudget,
    _folder: DataFolder,
    links: HashMap<KeeperName, Arc<KeeperLink>>,
    contracts: GroupHandle<ContractHistory>,
    claims: Vec<GroupHandle<ClaimTable>>,
}

impl KeeperHub {
    /// Opens the data folder and starts the threads of the groups.
    ///
    /// # Errors
    ///
    /// The data folder can't be used.
    pub(crate) fn open(settings: &KeeperSettings) -> Result<KeeperHub, StoreError> {
        let folder = DataFolder::open(&settings.data_dir, &settings.name, claim_groups(settings))?;
        let others = settings.keepers.iter().filter(|k| k.name != settings.name);
        let link = |keeper: &agatehill_config::KeeperPeer| {
            let link = KeeperLink::open(keeper.peer);
            (keeper.name.clone(), Arc::new(link))
        };
        let links: HashMap<_, _> = others.map(link).collect();
        let outbox = PeerOutbox::open();
        for (name, link) in &links {
            outbox.add_keeper(name, Arc::new(EnvelopeLink(link.clone())));
        }
        let clock = MonoClock::open();
        let opener = GroupOpener {
            settings,
            folder: &folder,
            clock,
            outbox,
        };
        let contracts = opener.open(CONTRACT_GROUP)?;
        let groups = 1..=claim_groups(settings);
        let claims: Result<Vec<_>, _> = groups.map(|group| opener.open(group)).collect();
        Ok(KeeperHub {
            shared: Arc::new(HubShared {
                settings: settings.clone(),
                budget: KeeperBudget::open(&settings.limits),
                contracts,
                claims: claims?,
                _folder: folder,
                links,
            }),
        })
    }

    /// Transfers the leadership of every group before the process stops, and waits for new leaders.
    pub(crate) async fn transfer_leadership(&self) {
        self.contracts().transfer_leadership();
        self.claims()
            .iter()
            .for_each(GroupHandle::transfer_leadership);
        let end = Instant::now() + TRANSFER_TIMEOUT;
        let lacks_successor =
            |status: ReplicaStatus| status.role == "leader" || status.leader.is_none();
        let is_pending = || {
            let claims = self.claims().iter();
            lacks_successor(self.contracts().status())
                || claims.map(GroupHandle::status).any(lacks_successor)
        };
        while Instant::now() < end && is_pending() {
            tokio::time::sleep(TRANSFER_POLL_INTERVAL).await;
        }
    }

    /// Returns the settings.
    pub(crate) fn settings(&self) -> &KeeperSettings {
        &self.shared.settings
    }

    /// Returns what the clients of the keeper may hold.
    pub(crate) fn budget(&self) -> &KeeperBudget {
        &self.shared.budget
    }

    /// Returns the claim groups.
    pub(crate) fn claims(&self) -> &[GroupHandle<ClaimTable>] {
        &self.shared.claims
    }

    /// Returns the contract group.
    pub(crate) fn contracts(&self) -> &GroupHandle<ContractHistory> {
        &self.shared.contracts
    }

    /// Returns the contracts that changed after log position `after`.
    pub(crate) fn feed_page(&self, after: u64) -> FeedPage {
        // Read before the state: entries applied in between only make the page newer.
        let current = self.contracts().is_current();
        self.contracts().read(|history| FeedPage {
            position: history.position(),
            current,
            contracts: history.changed_after(after).map(contract_text).collect(),
        })
    }

    /// Proposes `command` to `group`, whose local replica is behind `handle`; forwards it if
    /// another keeper leads the group.
    pub(crate) async fn propose_via_leader<S>(
        &self,
        group: u16,
        handle: &GroupHandle<S>,
        command: &S::Command,
    ) -> Result<S::Reply, KeeperError>
    where
        S: GroupState,
        S::Command: Serialize,
        S::Reply: DeserializeOwned + Send,
    {
        let leader = match handle.propose(command).await {
            Ok(reply) => return Ok(reply),
            Err(ProposeError::Unknown) => return Err(KeeperError::Unknown),
            Err(ProposeError::NotLeader(leader)) => leader,
        };
        let link = leader.and_then(|name| self.shared.links.get(&name));
        let link = link.ok_or(KeeperError::NotLeader { leader: None })?;
        let command = postcard::to_stdvec(command).expect("commands are serialisable");
        let forwarded = link
            .call_idempotent(FORWARD_LIMITS, move |client, ctx| async move {
                client.propose(ctx, group, command).await
            })
            .await;
        let reply = forwarded.map_err(|error| match error {
            LinkError::Unreachable => KeeperError::NotLeader { leader: None },
            LinkError::NoResponse => KeeperError::Unknown,
        })??;
        postcard::from_bytes(&reply).map_err(|_| KeeperError::Unknown)
    }

    /// Runs `command` in the claim group with the index `idx`, from 0.
    pub(crate) async fn run_claim(
        &self,
        idx: u16,
        command: &ClaimCommand,
    ) -> Result<ClaimReply, KeeperError> {
        let handle = &self.shared.claims[usize::from(idx)];
        if let Some(reply) = handle.read(|table| table.reply_without_log(command)) {
            return Ok(reply);
        }
        self.propose_via_leader(idx + 1, handle, command).await
    }

    /// Returns the number of claim groups.
    pub(crate) fn claim_groups(&self) -> u16 {
        self.shared.claims.len() as u16
    }

    /// Converts the error of a proposal that another keeper forwarded.
    pub(crate) fn keeper_error(&self, error: ProposeError) -> KeeperError {
        let leader = match error {
            ProposeError::Unknown => return KeeperError::Unknown,
            ProposeError::NotLeader(leader) => leader,
        };
        let link = leader.and_then(|name| self.shared.links.get(&name));
        KeeperError::NotLeader {
            leader: link.map(|link| link.addr()),
        }
    }
}

/// Delivers messages of replicas over a link to a keeper.
struct EnvelopeLink(Arc<KeeperLink>);

impl ReplicaLink for EnvelopeLink {
    async fn deliver(&self, envelopes: Vec<ReplicaEnvelope>, timeout: Duration) {
        let delivered = self.0.call(timeout, |client, ctx| async move {
            client.deliver(ctx, envelopes).await
        });
        // Replicas retransmit lost messages.
        let _ = delivered.await;
    }
}

/// What all groups of the keeper have in common.
struct GroupOpener<'a> {
    settings: &'a KeeperSettings,
    folder: &'a DataFolder,
    clock: MonoClock,
    outbox: PeerOutbox,
}

impl GroupOpener<'_> {
    fn open<S>(&self, group: u16) -> Result<GroupHandle<S>, StoreError>
    where
        S: GroupState,
        S::Reply: Send,
    {
        let keepers = &self.settings.keepers;
        let voters = keepers.iter().filter(|keeper| keeper.voter);
        let replica = ReplicaSettings {
            group,
            group_count: claim_groups(self.settings),
            id: ReplicaId {
                name: self.settings.name.clone(),
                incarnation: Incarnation(rand::random()),
            },
            keepers: keepers.iter().map(|k| k.name.clone()).collect(),
            voter_policy: VoterPolicy::Listed(voters.map(|k| k.name.clone()).collect()),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
        };
        let folder = self.folder.group_path(group);
        let outbox = self.outbox.for_group(group);
        let handle = GroupHandle::open(replica, &folder, self.clock, outbox)?;
        tokio::spawn(report_group(group, handle.clone()));
        Ok(handle)
    }
}

fn claim_groups(settings: &KeeperSettings) -> u16 {
    u16::try_from(settings.claim_groups).expect("checked with the settings")
}

fn contract_text((customer, record): (&CustomerName, &ContractRecord)) -> AcceptedContract {
    AcceptedContract {
        customer: customer.clone(),
        revision: record.latest().revision,
        text: record.text().clone(),
    }
}
