//! Logs and counts changes in the reachability of other daemons and zones.

use agatehill_decide::{
    member::MemberStatus,
    name::{DaemonName, ZoneName},
};
use agatehill_peer::gossip::PeerSnapshot;
use std::collections::BTreeSet;

/// Remembers which daemons were alive and which zones were stale at the last snapshot.
#[derive(Debug, Default)]
pub(crate) struct PeerMonitor {
    alive: BTreeSet<DaemonName>,
    stale: BTreeSet<ZoneName>,
}

impl PeerMonitor {
    /// Logs the changes since the last snapshot and updates the metrics.
    pub(crate) fn record(&mut self, peers: &PeerSnapshot) {
        let alive = peers
            .members
            .iter()
            .filter(|member| member.status == MemberStatus::Alive);
        let alive: BTreeSet<_> = alive.map(|member| member.record.name.clone()).collect();
        for name in alive.difference(&self.alive) {
            spdlog::info!("daemon {name} is reachable");
        }
        for name in self.alive.difference(&alive) {
            spdlog::warn!("daemon {name} has left or is unreachable");
        }
        let stale = peers.zones.iter().filter(|zone| zone.is_stale);
        let stale: BTreeSet<_> = stale.map(|zone| zone.zone.clone()).collect();
        for name in stale.difference(&self.stale) {
            spdlog::warn!("no recent digest from availability zone {name}");
        }
        for name in self.stale.difference(&stale) {
            spdlog::info!("availability zone {name} sends digests again");
        }
        metrics::gauge!("agatehill_members_alive").set(alive.len() as f64);
        metrics::gauge!("agatehill_zones_stale").set(stale.len() as f64);
        self.alive = alive;
        self.stale = stale;
    }
}
