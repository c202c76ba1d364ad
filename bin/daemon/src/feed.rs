//! Keeps the contracts in force up to date with the keepers.

use agatehill_caller::contracts::ContractView;
use agatehill_decide::contract::ContractSpec;
use agatehill_peer::{
    keeper::{ContractText, FeedPage},
    keeper_client::KeeperClient,
};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Time for which a feed request waits for something new.
const FEED_WAIT: Duration = Duration::from_secs(10);
/// Pause after no keeper answered.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A running feed of contracts.
#[derive(Debug)]
pub(crate) struct ContractFeed {
    position: watch::Receiver<Option<u64>>,
}

impl ContractFeed {
    /// Spawns the feed from `keepers` into `contracts`.
    pub(crate) fn spawn(keepers: KeeperClient, contracts: ContractView) -> ContractFeed {
        let (tx, position) = watch::channel(None);
        tokio::spawn(follow(keepers, contracts, tx));
        ContractFeed { position }
    }

    /// Waits until a keeper's contracts are in force.
    pub(crate) async fn in_force(&self) {
        let mut rx = self.position.clone();
        // The sender lives as long as the process.
        let _ = rx.wait_for(Option::is_some).await;
    }
}

async fn follow(keepers: KeeperClient, contracts: ContractView, tx: watch::Sender<Option<u64>>) {
    let mut after = 0;
    loop {
        let wait = if tx.borrow().is_none() {
            Duration::ZERO
        } else {
            FEED_WAIT
        };
        match keepers.feed(after, wait).await {
            Ok(page) => {
                after = apply(&page, &contracts).max(after);
                tx.send_replace(Some(after));
            }
            Err(_) => {
                metrics::counter!("agatehill_feed_failures_total").increment(1);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Puts the contracts of `page` in force and returns its position.
fn apply(page: &FeedPage, contracts: &ContractView) -> u64 {
    let specs: Vec<_> = page.contracts.iter().filter_map(parse).collect();
    let applied = contracts.apply(&specs);
    if applied > 0 {
        spdlog::info!("contracts in force up to position {}", page.position);
    }
    metrics::gauge!("agatehill_contract_position").set(page.position as f64);
    page.position
}

fn parse(contract: &ContractText) -> Option<Arc<ContractSpec>> {
    match ContractSpec::parse(&contract.text) {
        Ok(spec) => Some(Arc::new(spec)),
        Err(e) => {
            let customer = &contract.customer;
            spdlog::error!("contract of customer \"{customer}\" is not understood: {e}");
            None
        }
    }
}
