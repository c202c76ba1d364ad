//! Route tables of the daemons, one per zone.

use super::deployment::{DeploymentSpec, ZONES};
use agatehill_decide::{
    name::{DaemonName, RegionName, ServiceName, ZoneName},
    route::{RouteTable, ServerDirectory, ServerKey, ServerState, ServerView},
    time::MonoTime,
};
use slotmap::SecondaryMap;
use std::net::SocketAddr;

/// The servers known to the daemons of one zone, and the route table built from them.
pub(super) struct ZoneRoutes {
    directory: ServerDirectory,
    pub(super) table: RouteTable,
    /// Index of each server in the simulation.
    pub(super) servers: SecondaryMap<ServerKey, usize>,
}

impl ZoneRoutes {
    /// Returns the routes of `zone`; servers announce their slots multiplied by their service's
    /// factor.
    pub(super) fn new(
        deployment: &DeploymentSpec,
        zone: usize,
        slots_factors: &[u32],
    ) -> ZoneRoutes {
        let mut directory = ServerDirectory::new(zone_name(zone), region_name(zone));
        let mut servers = SecondaryMap::new();
        for (service, size) in deployment.services.iter().enumerate() {
            for server_zone in 0..ZONES {
                let server = service * ZONES + server_zone;
                let slots = size.slots * slots_factors[service];
                let key = directory.upsert(server_view(size.name, server, server_zone, slots));
                servers.insert(key, server);
            }
        }
        let table = directory.snapshot();
        ZoneRoutes {
            directory,
            table,
            servers,
        }
    }

    /// Records the load of each server, in thousandths of its slots.
    pub(super) fn record_loads(&self, loads: &[u16], now: MonoTime) {
        for (key, server) in &self.servers {
            if let Some(stats) = self.directory.stats(key) {
                stats.report_load(loads[*server], now);
            }
        }
    }
}

/// Converts the name of a service of a deployment.
pub(super) fn service_name(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("the names of a deployment are valid")
}

fn server_view(service: &str, server: usize, zone: usize, slots: u32) -> ServerView {
    let port = 10_000 + server as u16;
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    ServerView {
        service: service_name(service),
        daemon: DaemonName::try_from(format!("d{server}")).expect("the name is valid"),
        zone: zone_name(zone),
        region: region_name(zone),
        forward: addr,
        backend: Some(addr),
        state: ServerState::Serving,
        slots,
    }
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::try_from(format!("zone{zone}")).expect("the name is valid")
}

fn region_name(zone: usize) -> RegionName {
    RegionName::try_from(format!("region{}", zone / 2)).expect("the name is valid")
}
