//! The keeper's groups, as daemons, operators and other keepers see them.

use crate::group::GroupHandle;
use agatehill_config::KeeperSettings;
use agatehill_decide::{
    contract_book::{ContractBook, ContractRecord, PutContract, PutReply},
    name::CustomerName,
};
use agatehill_operator::{
    contracts::{ContractReport, ContractService, PutError, RevisionReport, check_contract},
    inspect::StateDump,
};
use agatehill_peer::keeper::{ContractText, FeedPage, KeeperError, KeeperService};
use serde_json::json;
use std::{sync::Arc, time::Duration};

/// Longest wait of a feed request.
const FEED_WAIT_MAX: Duration = Duration::from_secs(30);

/// All groups of one keeper; clones share them.
#[derive(Clone)]
pub(crate) struct KeeperHub {
    settings: Arc<KeeperSettings>,
    book: GroupHandle<ContractBook>,
}

impl KeeperHub {
    /// Opens the groups.
    pub(crate) fn open(settings: &KeeperSettings) -> eyre::Result<KeeperHub> {
        Ok(KeeperHub {
            settings: Arc::new(settings.clone()),
            book: GroupHandle::open(),
        })
    }

    fn feed_page(&self, after: u64) -> FeedPage {
        self.book.read(|book| FeedPage {
            position: book.position(),
            contracts: book.changed_after(after).map(contract_text).collect(),
        })
    }
}

impl KeeperService for KeeperHub {
    async fn feed(&self, after: u64, wait: Duration) -> Result<FeedPage, KeeperError> {
        let mut applied = self.book.applied();
        let newer = async {
            while self.book.read(ContractBook::position) <= after {
                if applied.changed().await.is_err() {
                    return;
                }
            }
        };
        // A page without contracts is the answer when none is newer.
        let _ = tokio::time::timeout(wait.min(FEED_WAIT_MAX), newer).await;
        Ok(self.feed_page(after))
    }

    async fn put_contract(
        &self,
        customer: CustomerName,
        text: String,
    ) -> Result<PutReply, KeeperError> {
        let spec = check_contract(&customer, &text).map_err(KeeperError::Invalid)?;
        Ok(self.book.propose(PutContract {
            customer,
            revision: spec.revision,
            text: text.into(),
        }))
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

    fn get(&self, customer: &CustomerName) -> Option<ContractReport> {
        self.book.read(|book| {
            let record = book.get(customer)?;
            Some(contract_report((customer, record)))
        })
    }

    fn list(&self) -> Vec<ContractReport> {
        self.book
            .read(|book| book.iter().map(contract_report).collect())
    }

    fn log(&self, customer: &CustomerName) -> Option<Vec<RevisionReport>> {
        self.book.read(|book| {
            let log = book.get(customer)?.log();
            Some(log.into_iter().map(RevisionReport::from).collect())
        })
    }
}

impl StateDump for KeeperHub {
    fn dump(&self) -> serde_json::Value {
        json!({
            "keeper": self.settings.name,
            "region": self.settings.region,
            "availability_zone": self.settings.availability_zone,
            "contracts": self.list(),
        })
    }
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
