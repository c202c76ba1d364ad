//! Keepers that meet: each greets every other it knows, and so hears of further ones and of hosts
//! whose records got lost on their way.

use crate::{keeper::FleetKeeper, keeper_map::KnownKeeper};
use agatehill_peer::fleet::KeeperExchange;
use std::time::Duration;

/// Time between two rounds of greetings while no group is formed.
const FORMING_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds of greetings.
const GREETING_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of a greeting.
const GREETING_SPAN: Duration = Duration::from_millis(900);

/// Greets the other keepers, round after round.
pub(crate) async fn meet_keepers(keeper: FleetKeeper) {
    loop {
        keeper.learn_voters();
        for other in keeper.shared.keepers.list() {
            if other.name != keeper.shared.me.name {
                tokio::spawn(greet(keeper.clone(), other));
            }
        }
        let pause = match keeper.status().role {
            "forming" => FORMING_INTERVAL,
            _ => GREETING_INTERVAL,
        };
        tokio::time::sleep(pause).await;
    }
}

async fn greet(keeper: FleetKeeper, other: KnownKeeper) {
    let exchange = KeeperExchange {
        keepers: keeper.shared.keepers.records(),
        hosts_digest: keeper.directory().digest(),
    };
    let greeted = other.link.call(GREETING_SPAN, |client, ctx| async move {
        client.exchange_keepers(ctx, exchange).await
    });
    // A keeper that doesn't answer is greeted again in the next round.
    if let Ok(reply) = greeted.await {
        keeper.learn(&reply.keepers);
        keeper.merge(reply.hosts);
    }
}
