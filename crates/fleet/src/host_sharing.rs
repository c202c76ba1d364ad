//! Hands on new host records to the other keepers, in batches.

use crate::{keeper::FleetKeeper, keeper_map::KnownKeeper};
use agatehill_decide::{
    host_directory::HostRecord,
    keeper_exchange::SharePlan,
    name::{KeeperName, RegionName},
};
use agatehill_peer::fleet::{FleetLink, SharedHosts};
use metrics::counter;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};
use tokio::sync::Notify;

/// Time for which new records are collected before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Timeout of one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Which keepers new records are sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ShareScope {
    /// Those of this region, and one of each other region, which hands them on.
    All,
    /// Those of this region.
    Region,
}

/// New records that are to be sent.
#[derive(Debug, Default)]
pub(crate) struct ShareQueue {
    pending: Mutex<PendingRecords>,
    added: Notify,
}

#[derive(Debug, Default)]
struct PendingRecords {
    for_all: Vec<HostRecord>,
    for_region: Vec<HostRecord>,
}

impl ShareQueue {
    /// Adds records for the keepers of `scope`.
    pub(crate) fn add(&self, records: Vec<HostRecord>, scope: ShareScope) {
        if records.is_empty() {
            return;
        }
        let mut pending = self.pending.lock();
        match scope {
            ShareScope::All => pending.for_all.extend(records),
            ShareScope::Region => pending.for_region.extend(records),
        }
        drop(pending);
        self.added.notify_one();
    }

    /// Waits for records and takes those of the next [`BATCH_DELAY`].
    async fn take(&self) -> PendingRecords {
        self.added.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        std::mem::take(&mut *self.pending.lock())
    }
}

/// Sends the records of the keeper's queue, forever.
pub(crate) async fn share_new_hosts(keeper: FleetKeeper) {
    let mut batches = 0;
    loop {
        let pending = keeper.shared.share_queue.take().await;
        batches += 1;
        send_batch(&keeper, pending, batches);
    }
}

fn send_batch(keeper: &FleetKeeper, pending: PendingRecords, seed: u64) {
    let others = keeper.others();
    let known: Vec<_> = others.iter().map(name_and_region).collect();
    let plan = SharePlan::new(&keeper.shared.own_record.region, &known, seed);
    let links = |names: Vec<KeeperName>| -> Vec<Arc<FleetLink>> {
        let found = names
            .iter()
            .filter_map(|name| keeper.shared.keepers.get(name));
        found.map(|other| other.link).collect()
    };
    let near = pending.for_region.iter().chain(&pending.for_all);
    let near: Vec<_> = near.cloned().collect();
    for link in links(plan.direct) {
        tokio::spawn(send(link, near.clone(), false));
    }
    if pending.for_all.is_empty() {
        return;
    }
    for names in plan.regions {
        tokio::spawn(send_to_first(links(names), pending.for_all.clone()));
    }
}

fn name_and_region(keeper: &KnownKeeper) -> (KeeperName, Option<RegionName>) {
    let region = keeper.record.as_ref().map(|record| record.region.clone());
    (keeper.name.clone(), region)
}

/// Sends `records` to the first of `links` that accepts them, which hands them on.
async fn send_to_first(links: Vec<Arc<FleetLink>>, records: Vec<HostRecord>) {
    for link in links {
        if send(link, records.clone(), true).await {
            return;
        }
    }
}

/// Sends `records` over `link`; returns whether they have arrived. Exchanges recover lost ones.
async fn send(link: Arc<FleetLink>, records: Vec<HostRecord>, is_relayed: bool) -> bool {
    counter!("agatehill_keeper_host_records_sent").increment(records.len() as u64);
    let hosts = SharedHosts {
        records,
        is_relayed,
    };
    let sent = link.call(SEND_TIMEOUT, |client, ctx| async move {
        client.share_hosts(ctx, hosts).await
    });
    sent.await.is_ok()
}
