//! Keeps the route table up to date with the servers that are known.

use agatehill_backend::registry::{LocalServer, ServerStage};
use agatehill_caller::attempt::AttemptRunner;
use agatehill_config::DaemonSettings;
use agatehill_decide::{
    name::{DaemonName, RegionName, ZoneName},
    route::{RouteBook, ServerState, ServerView},
};
use std::{net::SocketAddr, time::Duration};
use tokio::sync::watch;

/// Time between two looks for servers that have gone silent.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// The running upkeep of the route table.
#[derive(Debug)]
pub(crate) struct MemberTable {
    leaving: watch::Sender<bool>,
}

/// What every server of this daemon has in common.
struct LocalPlace {
    daemon: DaemonName,
    zone: ZoneName,
    region: RegionName,
    forward: SocketAddr,
}

impl MemberTable {
    /// Spawns the upkeep for a daemon that takes forwarded calls at `forward`.
    pub(crate) fn spawn(
        settings: &DaemonSettings,
        runner: AttemptRunner,
        forward: SocketAddr,
    ) -> MemberTable {
        let (leaving, left) = watch::channel(false);
        let place = LocalPlace {
            daemon: settings.name.clone(),
            zone: settings.availability_zone.clone(),
            region: settings.region.clone(),
            forward,
        };
        tokio::spawn(follow(place, runner, left));
        MemberTable { leaving }
    }

    /// Tells the others that this daemon takes no new work.
    pub(crate) fn leave(&self) {
        self.leaving.send_replace(true);
    }
}

async fn follow(place: LocalPlace, runner: AttemptRunner, left: watch::Receiver<bool>) {
    let registry = runner.gate.registry().clone();
    let mut changes = registry.changes();
    let mut book = RouteBook::new(place.zone.clone(), place.region.clone());
    let mut tick = tokio::time::interval(EXPIRE_INTERVAL);
    loop {
        tokio::select! {
            _ = tick.tick() => registry.expire(),
            _ = changes.changed() => {
                refresh(&mut book, &place, &registry.list(), *left.borrow());
                runner.routes.publish(book.snapshot());
            }
        }
    }
}

fn refresh(
    book: &mut RouteBook,
    place: &LocalPlace,
    servers: &[std::sync::Arc<LocalServer>],
    is_leaving: bool,
) {
    let keys: Vec<_> = servers
        .iter()
        .map(|server| book.upsert(place.view(server, is_leaving)))
        .collect();
    book.retain(|key, _| keys.contains(&key));
}

impl LocalPlace {
    fn view(&self, server: &LocalServer, is_leaving: bool) -> ServerView {
        let announced = &server.announcement;
        let state = match announced.state {
            _ if is_leaving => ServerState::Leaving,
            ServerStage::Starting => ServerState::Starting,
            ServerStage::Serving => ServerState::Serving,
            ServerStage::Leaving => ServerState::Leaving,
        };
        ServerView {
            service: announced.service.clone(),
            daemon: self.daemon.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            forward: self.forward,
            backend: Some(announced.address),
            state,
            slots: announced.slots,
        }
    }
}
