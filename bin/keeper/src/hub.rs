//! The keeper's groups, as daemons, operators and other keepers see them.

use crate::{
    group::{GroupHandle, ProposeError},
    outbox::PeerOutbox,
};
use agatehill_config::KeeperSettings;
use agatehill_decide::{
    claim::{ClaimCommand, ClaimReply, ClaimTable},
    contract_book::{ContractBook, ContractRecord, PutContract, PutReply},
    name::{CustomerName, Incarnation, KeeperName},
    replica::{MemberKey, ReplicaEnvelope, ReplicaSettings},
};
use agatehill_operator::{
    contracts::{ContractReport, ContractService, PutError, RevisionReport, check_contract},
    inspect::StateDump,
};
use agatehill_peer::{
    keeper::{ContractText, FeedPage, KeeperError, KeeperService},
    keeper_client::{KeeperLink, LinkError},
};
use agatehill_platform::clock::MonoClock;
use agatehill_store::{DataFolder, StoreError};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// The group of the contracts; those of the claims follow.
const CONTRACT_GROUP: u16 = 0;
/// Longest wait of a feed request.
const FEED_WAIT_MAX: Duration = Duration::from_secs(30);
/// Time between two looks of a waiting feed at the replica.
const FEED_LOOK: Duration = Duration::from_millis(200);
/// Time limit of a command that is passed on to the keeper that leads.
const FORWARD_SPAN: Duration = Duration::from_secs(2);
/// Time between two messages of a leader.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Shortest time without a leader before an election.
const ELECTION: Duration = Duration::from_millis(800);

/// All groups of one keeper; clones share them.
#[derive(Clone)]
pub(crate) struct KeeperHub {
    shared: Arc<HubShared>,
}

struct HubShared {
    settings: KeeperSettings,
    _folder: DataFolder,
    links: HashMap<KeeperName, Arc<KeeperLink>>,
    book: GroupHandle<ContractBook>,
    claims: Vec<GroupHandle<ClaimTable>>,
}

impl KeeperHub {
    /// Opens the data folder and starts the groups.
    pub(crate) fn open(settings: &KeeperSettings) -> Result<KeeperHub, StoreError> {
        let folder = DataFolder::open(&settings.data_dir, &settings.name)?;
        let others = settings.keepers.iter().filter(|k| k.name != settings.name);
        let link = |keeper: &agatehill_config::KeeperPeer| {
            let link = KeeperLink::open(keeper.peer);
            (keeper.name.clone(), Arc::new(link))
        };
        let links: HashMap<_, _> = others.map(link).collect();
        let outbox = PeerOutbox::spawn(&links);
        let clock = MonoClock::open();
        let opener = GroupOpener {
            settings,
            folder: &folder,
            clock,
            outbox,
        };
        let book = opener.open(CONTRACT_GROUP)?;
        let groups = 1..=settings.claim_groups as u16;
        let claims: Result<Vec<_>, _> = groups.map(|group| opener.open(group)).collect();
        Ok(KeeperHub {
            shared: Arc::new(HubShared {
                settings: settings.clone(),
                book,
                claims: claims?,
                _folder: folder,
                links,
            }),
        })
    }

    fn book(&self) -> &GroupHandle<ContractBook> {
        &self.shared.book
    }

    fn feed_page(&self, after: u64) -> FeedPage {
        // Read before the state: what is applied meanwhile makes the page only newer.
        let current = self.book().status().current;
        self.book().read(|book| FeedPage {
            position: book.position(),
            current,
            contracts: book.changed_after(after).map(contract_text).collect(),
        })
    }

    /// Proposes `command` here or, if another keeper leads the group, there.
    async fn propose_anywhere<S>(
        &self,
        group: u16,
        handle: &GroupHandle<S>,
        command: &S::Command,
    ) -> Result<S::Reply, KeeperError>
    where
        S: crate::group::GroupState,
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
            .call(FORWARD_SPAN, |client, ctx| async move {
                client.propose(ctx, group, command).await
            })
            .await;
        let reply = forwarded.map_err(|error| match error {
            LinkError::Unreachable => KeeperError::NotLeader { leader: None },
            LinkError::Silent => KeeperError::Unknown,
        })??;
        postcard::from_bytes(&reply).map_err(|_| KeeperError::Unknown)
    }

    async fn claim_in(&self, idx: u16, command: &ClaimCommand) -> Result<ClaimReply, KeeperError> {
        let handle = &self.shared.claims[usize::from(idx)];
        if let Some(reply) = handle.read(|table| table.settled(command)) {
            return Ok(reply);
        }
        self.propose_anywhere(idx + 1, handle, command).await
    }

    fn claim_groups(&self) -> u16 {
        self.shared.claims.len() as u16
    }

    fn error(&self, error: ProposeError) -> KeeperError {
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

/// What all groups are opened with.
struct GroupOpener<'a> {
    settings: &'a KeeperSettings,
    folder: &'a DataFolder,
    clock: MonoClock,
    outbox: PeerOutbox,
}

impl GroupOpener<'_> {
    fn open<S>(&self, group: u16) -> Result<GroupHandle<S>, StoreError>
    where
        S: crate::group::GroupState,
        S::Reply: Send,
    {
        let keepers = &self.settings.keepers;
        let replica = ReplicaSettings {
            group,
            key: MemberKey {
                name: self.settings.name.clone(),
                incarnation: Incarnation(rand::random()),
            },
            keepers: keepers.iter().map(|k| k.name.clone()).collect(),
            voters: keepers
                .iter()
                .filter(|k| k.voter)
                .map(|k| k.name.clone())
                .collect(),
            heartbeat: HEARTBEAT,
            election: ELECTION,
        };
        let folder = self.folder.group_path(group);
        GroupHandle::open(replica, &folder, self.clock, self.outbox.of_group(group))
    }
}

impl KeeperService for KeeperHub {
    async fn feed(&self, after: u64, wait: Duration) -> Result<FeedPage, KeeperError> {
        let end = Instant::now() + wait.min(FEED_WAIT_MAX);
        let mut applied = self.book().applied();
        let is_newer = |book: &ContractBook| book.position() > after;
        while Instant::now() < end && self.book().status().current && !self.book().read(is_newer) {
            let left = end.saturating_duration_since(Instant::now());
            // Looks up now and then to see whether the leader can still be heard.
            let _ = tokio::time::timeout(left.min(FEED_LOOK), applied.changed()).await;
        }
        Ok(self.feed_page(after))
    }

    async fn put_contract(
        &self,
        customer: CustomerName,
        text: String,
    ) -> Result<PutReply, KeeperError> {
        let spec = check_contract(&customer, &text).map_err(KeeperError::Invalid)?;
        let put = PutContract {
            customer,
            revision: spec.revision,
            text: text.into(),
        };
        self.propose_anywhere(CONTRACT_GROUP, self.book(), &put)
            .await
    }

    async fn claim(&self, command: ClaimCommand) -> Result<ClaimReply, KeeperError> {
        let key = match &command {
            ClaimCommand::Claim(request)
            | ClaimCommand::Look(request)
            | ClaimCommand::Withdraw(request) => &request.key,
            ClaimCommand::Finish { key, .. } => key,
            ClaimCommand::Retire { .. } => {
                let groups = 0..self.claim_groups();
                let retire = |idx| self.claim_in(idx, &command);
                let replies = futures_util::future::join_all(groups.map(retire)).await;
                let all: Result<Vec<_>, _> = replies.into_iter().collect();
                return all.map(|_| ClaimReply::Done);
            }
            ClaimCommand::Tick { .. } => {
                let reason = "only keepers age the claims".to_owned();
                return Err(KeeperError::Invalid(reason));
            }
        };
        let idx = key.hash().group(self.claim_groups());
        self.claim_in(idx, &command).await
    }

    async fn propose(&self, group: u16, command: Vec<u8>) -> Result<Vec<u8>, KeeperError> {
        if group == CONTRACT_GROUP {
            let reply = self.book().propose_bytes(command).await;
            return encode(reply.map_err(|e| self.error(e))?);
        }
        let Some(claims) = self.shared.claims.get(usize::from(group) - 1) else {
            let reason = format!("group {group} does not exist");
            return Err(KeeperError::Invalid(reason));
        };
        let reply = claims.propose_bytes(command).await;
        encode(reply.map_err(|e| self.error(e))?)
    }

    async fn deliver(&self, envelopes: Vec<ReplicaEnvelope>) {
        for envelope in envelopes {
            let group = envelope.group;
            if group == CONTRACT_GROUP {
                self.book().deliver(envelope);
            } else if let Some(claims) = self.shared.claims.get(usize::from(group) - 1) {
                claims.deliver(envelope);
            }
        }
    }
}

impl ContractService for KeeperHub {
    async fn put(&self, customer: CustomerName, text: String) -> Result<PutReply, PutError> {
        let put = self.put_contract(customer, text).await;
        put.map_err(|error| match error {
            KeeperError::Invalid(reason) => PutError::Invalid(reason),
            KeeperError::Unknown => PutError::Unknown,
            KeeperError::NotLeader { .. } | KeeperError::Unreachable => PutError::Unavailable,
        })
    }

    fn is_current(&self) -> bool {
        self.book().status().current
    }

    fn get(&self, customer: &CustomerName) -> Option<ContractReport> {
        self.book().read(|book| {
            let record = book.get(customer)?;
            Some(contract_report((customer, record)))
        })
    }

    fn list(&self) -> Vec<ContractReport> {
        self.book()
            .read(|book| book.iter().map(contract_report).collect())
    }

    fn log(&self, customer: &CustomerName) -> Option<Vec<RevisionReport>> {
        self.book().read(|book| {
            let log = book.get(customer)?.log();
            Some(log.into_iter().map(RevisionReport::from).collect())
        })
    }
}

impl StateDump for KeeperHub {
    fn dump(&self) -> serde_json::Value {
        let shared = &self.shared;
        let claim_group = |handle: &GroupHandle<ClaimTable>| {
            handle.read(|table| {
                json!({
                    "replica": handle.status(),
                    "claims": table.len(),
                    "running": table.running(),
                    "bytes": table.bytes(),
                    "clock_seconds": table.clock(),
                })
            })
        };
        json!({
            "keeper": shared.settings.name,
            "region": shared.settings.region,
            "availability_zone": shared.settings.availability_zone,
            "position": self.book().read(ContractBook::position),
            "replica": self.book().status(),
            "contracts": self.list(),
            "claim_groups": shared.claims.iter().map(claim_group).collect::<Vec<_>>(),
        })
    }
}

fn encode<T: Serialize>(reply: T) -> Result<Vec<u8>, KeeperError> {
    Ok(postcard::to_stdvec(&reply).expect("replies are serialisable"))
}

fn contract_text((customer, record): (&CustomerName, &ContractRecord)) -> ContractText {
    ContractText {
        customer: customer.clone(),
        revision: record.latest().revision,
        text: record.text().clone(),
    }
}

fn contract_report((customer, record): (&CustomerName, &ContractRecord)) -> ContractReport {
    ContractReport {
        customer: customer.clone(),
        latest: record.latest().into(),
        text: record.text().clone(),
    }
}
