//! The services of a keeper for daemons, operators and other keepers.

use crate::hub::{CONTRACT_GROUP, KeeperHub};
use agatehill_decide::{
    claim::{ClaimCommand, ClaimReply, ClaimTable},
    contract_history::{ContractHistory, ContractPut, ContractRecord, ContractReply},
    name::CustomerName,
    replica::ReplicaEnvelope,
};
use agatehill_operator::{
    contracts::{ContractReport, ContractService, PutError, RevisionReport, parse_contract},
    inspect::StateDump,
};
use agatehill_peer::keeper::{FeedPage, KeeperError, KeeperService};
use agatehill_process::budget::ListenerBudget;
use agatehill_replica::group::GroupHandle;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;
use std::time::{Duration, Instant};

/// Longest time that a feed request waits for changes.
const FEED_WAIT_MAX: Duration = Duration::from_secs(30);
/// Time between two checks of the replica's status while a feed request waits.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(200);

impl KeeperService for KeeperHub {
    async fn feed(&self, after: u64, wait: Duration) -> Result<FeedPage, KeeperError> {
        let end = Instant::now() + wait.min(FEED_WAIT_MAX);
        let mut applied = self.contracts().subscribe_applied();
        let is_newer = |history: &ContractHistory| history.position() > after;
        while Instant::now() < end
            && self.contracts().is_current()
            && !self.contracts().read(is_newer)
        {
            let remaining = end.saturating_duration_since(Instant::now());
            // Wakes up now and then to check whether the replica is still in touch with a leader.
            let _ =
                tokio::time::timeout(remaining.min(FEED_POLL_INTERVAL), applied.changed()).await;
        }
        Ok(self.feed_page(after))
    }

    async fn put_contract(
        &self,
        customer: CustomerName,
        text: String,
    ) -> Result<ContractReply, KeeperError> {
        let spec = parse_contract(&customer, &text).map_err(KeeperError::Invalid)?;
        let put = ContractPut {
            customer,
            revision: spec.revision,
            text: text.into(),
        };
        self.propose_via_leader(CONTRACT_GROUP, self.contracts(), &put)
            .await
    }

    async fn claim(&self, command: ClaimCommand) -> Result<ClaimReply, KeeperError> {
        let key = match &command {
            ClaimCommand::Claim(request)
            | ClaimCommand::Query(request)
            | ClaimCommand::Withdraw(request) => &request.key,
            ClaimCommand::Finish { key, .. } => key,
            ClaimCommand::RetireRuns { .. } => {
                let groups = 0..self.claim_groups();
                let retire = |idx| self.run_claim(idx, &command);
                let replies = futures_util::future::join_all(groups.map(retire)).await;
                let all: Result<Vec<_>, _> = replies.into_iter().collect();
                return all.map(|_| ClaimReply::Done);
            }
            ClaimCommand::Tick { .. } => {
                let reason = "only keepers may send tick commands".to_owned();
                return Err(KeeperError::Invalid(reason));
            }
        };
        let idx = key.hash().group(self.claim_groups());
        self.run_claim(idx, &command).await
    }

    async fn propose(&self, group: u16, command: Vec<u8>) -> Result<Vec<u8>, KeeperError> {
        if group == CONTRACT_GROUP {
            let reply = self.contracts().propose(&decode(&command)?).await;
            return encode(reply.map_err(|e| self.keeper_error(e))?);
        }
        let Some(claims) = self.claims().get(usize::from(group) - 1) else {
            let reason = format!("group {group} does not exist");
            return Err(KeeperError::Invalid(reason));
        };
        let reply = claims.propose(&decode(&command)?).await;
        encode(reply.map_err(|e| self.keeper_error(e))?)
    }

    async fn deliver(&self, envelopes: Vec<ReplicaEnvelope>) {
        for envelope in envelopes {
            let group = envelope.group;
            if group == CONTRACT_GROUP {
                self.contracts().deliver(envelope);
            } else if let Some(claims) = self.claims().get(usize::from(group) - 1) {
                claims.deliver(envelope);
            }
        }
    }
}

impl ContractService for KeeperHub {
    fn budget(&self) -> &ListenerBudget {
        &KeeperHub::budget(self).operators
    }

    async fn put(&self, customer: CustomerName, text: String) -> Result<ContractReply, PutError> {
        let put = self.put_contract(customer, text).await;
        put.map_err(|error| match error {
            KeeperError::Invalid(reason) => PutError::Invalid(reason),
            KeeperError::Unknown => PutError::OutcomeUnknown,
            KeeperError::NotLeader { .. } | KeeperError::Unreachable => PutError::NoLeader,
        })
    }

    fn is_current(&self) -> bool {
        self.contracts().is_current()
    }

    fn get(&self, customer: &CustomerName) -> Option<ContractReport> {
        self.contracts().read(|history| {
            let record = history.get(customer)?;
            Some(contract_report((customer, record)))
        })
    }

    fn list(&self) -> Vec<ContractReport> {
        self.contracts()
            .read(|history| history.iter().map(contract_report).collect())
    }

    fn revisions(&self, customer: &CustomerName) -> Option<Vec<RevisionReport>> {
        self.contracts().read(|history| {
            let revisions = history.get(customer)?.revisions();
            Some(revisions.into_iter().map(RevisionReport::from).collect())
        })
    }
}

impl StateDump for KeeperHub {
    fn dump(&self) -> serde_json::Value {
        let settings = self.settings();
        let claim_group = |handle: &GroupHandle<ClaimTable>| {
            handle.read(|table| {
                json!({
                    "replica": handle.report(),
                    "claims": table.len(),
                    "running": table.running_count(),
                    "bytes": table.bytes(),
                    "clock_seconds": table.clock_seconds(),
                })
            })
        };
        json!({
            "keeper": settings.name,
            "region": settings.region,
            "availability_zone": settings.availability_zone,
            "position": self.contracts().read(ContractHistory::position),
            "replica": self.contracts().report(),
            "contracts": self.list(),
            "claim_groups": self.claims().iter().map(claim_group).collect::<Vec<_>>(),
        })
    }
}

/// Decodes a command before it is proposed: one that replicas can't decode must not enter the log.
fn decode<T: DeserializeOwned>(command: &[u8]) -> Result<T, KeeperError> {
    postcard::from_bytes(command).map_err(|e| KeeperError::Invalid(e.to_string()))
}

fn encode<T: Serialize>(reply: T) -> Result<Vec<u8>, KeeperError> {
    Ok(postcard::to_stdvec(&reply).expect("replies are serialisable"))
}

fn contract_report((customer, record): (&CustomerName, &ContractRecord)) -> ContractReport {
    ContractReport {
        customer: customer.clone(),
        latest: record.latest().into(),
        text: record.text().clone(),
    }
}
