//! Keeps the contracts in force up to date from the keepers, and from other daemons while no keeper
//! is in touch with a leader.

use agatehill_caller::contracts::ContractView;
use agatehill_decide::contract::ContractSpec;
use agatehill_peer::{
    control::ControlClient,
    gossip::PeerSnapshot,
    keeper::{AcceptedContract, FeedPage},
    keeper_client::KeeperClient,
};
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// Time for which a feed request waits for changes.
const FEED_WAIT: Duration = Duration::from_secs(1);
/// Delay before the next request when none was answered.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time between two polls of another daemon while no keeper is in touch with a leader.
const PEER_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// Most daemons that are polled before this one starts to accept calls.
const START_PEERS_MAX: usize = 3;

/// Keeps the contracts in force up to date.
#[derive(Debug)]
pub(crate) struct ContractFeed {
    keepers: KeeperClient,
    peers: ControlClient,
    contracts: ContractView,
    /// All contracts in force, as text, for other daemons.
    page: watch::Sender<Arc<FeedPage>>,
}

impl ContractFeed {
    /// Returns a feed from `keepers` into `contracts`.
    pub(crate) fn open(keepers: KeeperClient, contracts: ContractView) -> ContractFeed {
        ContractFeed {
            keepers,
            peers: ControlClient::default(),
            contracts,
            page: watch::channel(Arc::default()).0,
        }
    }

    /// Returns a receiver of the contracts in force, as text.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<FeedPage>> {
        self.page.subscribe()
    }

    /// Waits until the newest contracts known to the keepers and daemons at `seeds` are in force.
    ///
    /// It polls several of them: a daemon that restarts next to a lagging keeper must not go back
    /// to an older contract than it had in force.
    pub(crate) async fn catch_up(&self, seeds: &[SocketAddr]) {
        loop {
            let polled = seeds.iter().take(START_PEERS_MAX);
            let peers = join_all(polled.map(|seed| self.peers.contracts(*seed)));
            let (newest, pages) = tokio::join!(self.keepers.newest_page(0), peers);
            let pages: Vec<_> = pages.into_iter().flatten().collect();
            let is_known = newest.is_ok() || pages.iter().any(|page| page.position > 0);
            for page in newest.iter().chain(&pages) {
                self.merge(page);
            }
            if is_known {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Spawns the feed; it polls `members` while no keeper is in touch with a leader.
    pub(crate) fn spawn(self, members: watch::Receiver<Arc<PeerSnapshot>>) {
        tokio::spawn(self.run(members));
    }

    async fn run(self, members: watch::Receiver<Arc<PeerSnapshot>>) {
        let mut last_poll = Instant::now();
        loop {
            let after = self.page.borrow().position;
            let is_current = match self.keepers.feed(after, FEED_WAIT).await {
                Ok(page) => {
                    self.merge(&page);
                    page.current
                }
                Err(_) => {
                    metrics::counter!("agatehill_feed_failures_total").increment(1);
                    tokio::time::sleep(RETRY_DELAY).await;
                    false
                }
            };
            if !is_current && last_poll.elapsed() >= PEER_POLL_INTERVAL {
                last_poll = Instant::now();
                self.poll_member(&members).await;
            }
        }
    }

    /// Merges the contracts in force at a random daemon of the zone.
    async fn poll_member(&self, members: &watch::Receiver<Arc<PeerSnapshot>>) {
        let snapshot = members.borrow().clone();
        let Some(member) = snapshot.members.iter().choose(&mut rand::rng()) else {
            return;
        };
        if let Some(page) = self.peers.contracts(member.record.control).await {
            self.merge(&page);
        }
    }

    /// Puts those contracts of `page` in force that are newer.
    fn merge(&self, page: &FeedPage) {
        let specs: Vec<_> = page.contracts.iter().filter_map(parse).collect();
        let applied = self.contracts.apply(&specs);
        self.page.send_if_modified(|own| merge_page(own, page));
        if applied > 0 {
            spdlog::info!("contracts in force up to position {}", page.position);
        }
        metrics::gauge!("agatehill_contract_position").set(self.page.borrow().position as f64);
    }
}

/// Merges newer contracts and the position of `page` into `own`; returns whether `page` may have
/// changed it.
fn merge_page(own: &mut Arc<FeedPage>, page: &FeedPage) -> bool {
    if page.contracts.is_empty() && page.position <= own.position {
        return false;
    }
    let own = Arc::make_mut(own);
    own.position = own.position.max(page.position);
    for contract in &page.contracts {
        let same = |old: &&mut AcceptedContract| old.customer == contract.customer;
        match own.contracts.iter_mut().find(same) {
            Some(old) if old.revision >= contract.revision => {}
            Some(old) => *old = contract.clone(),
            None => own.contracts.push(contract.clone()),
        }
    }
    true
}

fn parse(contract: &AcceptedContract) -> Option<Arc<ContractSpec>> {
    match ContractSpec::parse(&contract.text) {
        Ok(spec) => Some(Arc::new(spec)),
        Err(e) => {
            let customer = &contract.customer;
            spdlog::error!("contract of customer \"{customer}\" cannot be parsed: {e}");
            None
        }
    }
}
