//! Anti-entropy between keepers: each keeper compares digests of its known keepers, its directory and
//! its strikes with a few others at intervals, and gets what it lacks. So keepers discover each other
//! and recover lost host records and crash reports.

use crate::{keeper::FleetKeeper, keeper_map::KnownKeeper};
use agatehill_decide::{
    host_directory::DirectoryQuery, keeper_exchange::round_keepers, name::KeeperName,
};
use agatehill_peer::fleet::{KeeperExchange, KeeperExchangeReply, record_skipped};
use std::time::Duration;

/// Time between two rounds of exchanges while no group has formed.
const FORMING_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds of exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Runs exchanges with other keepers at intervals: with all of them until this keeper belongs to a group and
/// has caught up.
pub(crate) async fn run_anti_entropy(keeper: FleetKeeper) {
    let mut round = 0;
    loop {
        keeper.add_voters();
        keeper.shared.crash_log.remove_expired();
        let is_forming = keeper.status().role == "forming" || !keeper.has_caught_up();
        let others = keeper.others();
        let names: Vec<_> = others.iter().map(|other| other.name.clone()).collect();
        let own_name = &keeper.shared.own_record.name;
        let selected = match is_forming {
            true => names,
            false => round_keepers(own_name, &names, round),
        };
        for other in others.into_iter().filter(|o| selected.contains(&o.name)) {
            tokio::spawn(exchange_with(keeper.clone(), other));
        }
        round += 1;
        let interval = match is_forming {
            true => FORMING_INTERVAL,
            false => EXCHANGE_INTERVAL,
        };
        tokio::time::sleep(interval).await;
    }
}

/// Exchanges with `other`, again at once while it has more records than fit into one reply.
async fn exchange_with(keeper: FleetKeeper, other: KnownKeeper) {
    loop {
        let exchange = KeeperExchange {
            sender: keeper.shared.own_record.clone(),
            keepers_digest: keeper.shared.keepers.digest(),
            hosts: DirectoryQuery {
                position: keeper.position(&other.name),
                digest: keeper.directory().digest(),
            },
            reports_digest: keeper.shared.crash_log.digest(),
        };
        let sent = other.link.call(EXCHANGE_TIMEOUT, |client, ctx| async move {
            client.exchange_keepers(ctx, exchange).await
        });
        // An exchange that fails is repeated in a later round.
        let Ok(reply) = sent.await else { return };
        if !apply(&keeper, &other.name, reply) {
            keeper.shared.catch_up.record_exchange(&other.name);
            return;
        }
    }
}

/// Applies a reply of `other`; returns whether it may have more host records.
fn apply(keeper: &FleetKeeper, other: &KeeperName, reply: KeeperExchangeReply) -> bool {
    if !reply.keepers.is_empty() {
        keeper.update_records(&reply.keepers);
    }
    // The first format has no positions: without progress, the same records would come again.
    let has_advanced = keeper.position(other) != reply.hosts.position;
    let may_have_more = reply.hosts.is_full() && has_advanced;
    record_skipped(reply.hosts.skipped);
    keeper.merge(reply.hosts.records);
    keeper.set_position(other, reply.hosts.position);
    keeper.shared.crash_log.merge(&reply.crash_reports);
    may_have_more
}
