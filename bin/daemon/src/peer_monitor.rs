//! Counts and logs what becomes of the other daemons and zones.

use agatehill_decide::{
    member::MemberStatus,
    name::{DaemonName, ZoneName},
};
use agatehill_peer::gossip::PeerSnapshot;
use std::collections::BTreeSet;

/// The daemons and zones that were last heard of.
#[derive(Debug, Default)]
pub(crate) struct PeerMonitor {
    members: BTreeSet<DaemonName>,
    stale: BTreeSet<ZoneName>,
}

impl PeerMonitor {
    /// Takes in what is known now.
    pub(crate) fn record(&mut self, peers: &PeerSnapshot) {
        let alive = peers
            .members
            .iter()
            .filter(|member| member.status == MemberStatus::Alive);
        let alive: BTreeSet<_> = alive.map(|member| member.record.name.clone()).collect();
        for name in alive.difference(&self.members) {
            spdlog::info!("daemon {name} answers");
        }
        for name in self.members.difference(&alive) {
            spdlog::warn!("daemon {name} has left or doesn't answer");
        }
        let stale = peers.zones.iter().filter(|zone| zone.is_stale);
        let stale: BTreeSet<_> = stale.map(|zone| zone.zone.clone()).collect();
        for name in stale.difference(&self.stale) {
            spdlog::warn!("availability zone {name} is silent");
        }
        for name in self.stale.difference(&stale) {
            spdlog::info!("availability zone {name} is heard");
        }
        metrics::gauge!("agatehill_members_alive").set(alive.len() as f64);
        metrics::gauge!("agatehill_zones_stale").set(stale.len() as f64);
        self.members = alive;
        self.stale = stale;
    }
}
