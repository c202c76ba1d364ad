//! The gates that an entry can send requests to, by service.

use agatehill_decide::{
    gate_selection::{GateCandidate, GateDistance},
    host_directory::HostRecord,
    name::{RegionName, ServiceName, ZoneName},
};
use arc_swap::ArcSwap;
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// The gates of all services; reads take no lock, and clones share the content.
#[derive(Clone, Debug)]
pub struct GateView {
    region: RegionName,
    zone: ZoneName,
    gates: Arc<ArcSwap<HashMap<ServiceName, Arc<Vec<GateCandidate>>>>>,
    zone_gates: Arc<ArcSwap<HashMap<ZoneName, Vec<SocketAddr>>>>,
}

impl GateView {
    /// Returns an empty view for a daemon in `zone` of `region`.
    pub fn open(region: RegionName, zone: ZoneName) -> GateView {
        GateView {
            region,
            zone,
            gates: Arc::default(),
            zone_gates: Arc::default(),
        }
    }

    /// Returns the gates whose backend server runs `service`.
    pub fn get(&self, service: &ServiceName) -> Arc<Vec<GateCandidate>> {
        self.gates.load().get(service).cloned().unwrap_or_default()
    }

    /// Returns the availability zone of this daemon.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the gates in `zone` whose backend servers accept work, whatever their service; all gates there
    /// if none does, so that its daemons agree on a list also then.
    pub fn in_zone(&self, zone: &ZoneName) -> Vec<SocketAddr> {
        let zones = self.zone_gates.load();
        zones.get(zone).cloned().unwrap_or_default()
    }

    /// Replaces all gates by those of the hosts in `records`.
    pub fn set(&self, records: &[HostRecord]) {
        let mut gates: HashMap<ServiceName, Vec<GateCandidate>> = HashMap::new();
        for record in records {
            let Some(server) = &record.server else {
                continue;
            };
            let candidate = GateCandidate {
                gate: record.gate,
                distance: self.distance(record),
                slots: server.slots,
            };
            gates
                .entry(server.service.clone())
                .or_default()
                .push(candidate);
        }
        let gates = gates.into_iter().map(|(name, list)| (name, Arc::new(list)));
        self.gates.store(Arc::new(gates.collect()));
        self.zone_gates.store(Arc::new(gates_by_zone(records)));
    }

    fn distance(&self, record: &HostRecord) -> GateDistance {
        if record.zone == self.zone {
            GateDistance::Zone
        } else if record.region == self.region {
            GateDistance::Region
        } else {
            GateDistance::Remote
        }
    }
}

/// Returns the gates of each zone whose servers accept work, or all gates of a zone in which none does.
fn gates_by_zone(records: &[HostRecord]) -> HashMap<ZoneName, Vec<SocketAddr>> {
    let mut all: HashMap<ZoneName, Vec<SocketAddr>> = HashMap::new();
    let mut serving: HashMap<ZoneName, Vec<SocketAddr>> = HashMap::new();
    for record in records {
        let zone = all.entry(record.zone.clone());
        zone.or_default().push(record.gate);
        if record.server.is_some() {
            let zone = serving.entry(record.zone.clone());
            zone.or_default().push(record.gate);
        }
    }
    all.extend(serving);
    all
}
