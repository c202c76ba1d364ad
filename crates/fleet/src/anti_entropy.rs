//! Anti-entropy between keepers: each keeper exchanges its known keepers and the digests of its
//! directory and its strikes with every other at intervals. So keepers discover each other and
//! recover lost host records and crash reports.

use crate::{keeper::FleetKeeper, keeper_map::KnownKeeper};
use agatehill_peer::fleet::KeeperExchange;
use std::time::Duration;

/// Time between two rounds of exchanges while no group has formed.
const FORMING_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds of exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Runs exchanges with all other keepers at intervals.
pub(crate) async fn run_anti_entropy(keeper: FleetKeeper) {
    loop {
        keeper.add_voters();
        keeper.shared.crash_log.remove_expired();
        for other in keeper.shared.keepers.list() {
            if other.name != keeper.shared.own_record.name {
                tokio::spawn(exchange_with(keeper.clone(), other));
            }
        }
        let interval = match keeper.status().role {
            "forming" => FORMING_INTERVAL,
            _ => EXCHANGE_INTERVAL,
        };
        tokio::time::sleep(interval).await;
    }
}

async fn exchange_with(keeper: FleetKeeper, other: KnownKeeper) {
    let exchange = KeeperExchange {
        keepers: keeper.shared.keepers.records(),
        hosts_digest: keeper.directory().digest(),
        reports_digest: keeper.shared.crash_log.digest(),
    };
    let sent = other.link.call(EXCHANGE_TIMEOUT, |client, ctx| async move {
        client.exchange_keepers(ctx, exchange).await
    });
    // An exchange that fails is repeated in the next round.
    if let Ok(reply) = sent.await {
        keeper.update_records(&reply.keepers);
        keeper.merge(reply.hosts);
        keeper.shared.crash_log.merge(&reply.crash_reports);
    }
}
