//! The daemon's state, for `GET /dump`.

use agatehill_caller::entry::CallEntry;
use agatehill_config::DaemonSettings;
use agatehill_operator::inspect::StateDump;
use agatehill_peer::gossip::PeerSnapshot;
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::sync::watch;

/// Assembles the dump of a daemon's state.
#[derive(Clone, Debug)]
pub(crate) struct DaemonDump {
    settings: Arc<DaemonSettings>,
    entry: Arc<CallEntry>,
    peers: watch::Receiver<Arc<PeerSnapshot>>,
}

impl DaemonDump {
    pub(crate) fn new(
        settings: &DaemonSettings,
        entry: Arc<CallEntry>,
        peers: watch::Receiver<Arc<PeerSnapshot>>,
    ) -> DaemonDump {
        DaemonDump {
            peers,
            settings: Arc::new(settings.clone()),
            entry,
        }
    }
}

impl StateDump for DaemonDump {
    fn dump(&self) -> Value {
        json!({
            "daemon": self.settings.name,
            "region": self.settings.region,
            "availability_zone": self.settings.availability_zone,
            "contracts": contracts(&self.entry),
            "servers": servers(&self.entry),
            "levels": levels(&self.entry),
            "routes": routes(&self.entry),
            "peers": **self.peers.borrow(),
        })
    }
}

fn contracts(entry: &CallEntry) -> Vec<Value> {
    let mut specs = entry.contracts.list();
    specs.sort_by(|a, b| a.customer.cmp(&b.customer));
    let value = |spec: &Arc<agatehill_decide::contract::ContractSpec>| json!({ "customer": spec.customer, "revision": spec.revision });
    specs.iter().map(value).collect()
}

fn servers(entry: &CallEntry) -> Vec<Value> {
    let servers = entry.runner.gate.registry().list();
    servers
        .iter()
        .map(|server| {
            json!({
                "announcement": server.announcement,
                "gate": server.admission.load(),
                "gate_counts": server.admission.counts(),
            })
        })
        .collect()
}

/// Returns the levels that apply at the entry of this daemon, lowest first.
fn levels(entry: &CallEntry) -> Vec<Value> {
    let now = entry.runner.gate.clock().now();
    let levels = entry.levels.list(now);
    let value = |(service, level)| json!({ "service_hash": service, "level": level });
    levels.into_iter().map(value).collect()
}

fn routes(entry: &CallEntry) -> Vec<Value> {
    let table = entry.runner.routes.load();
    let value = |(distance, view, stats): (
        agatehill_decide::route::RouteDistance,
        &Arc<agatehill_decide::route::ServerView>,
        &agatehill_decide::route::ServerStats,
    )| {
        json!({
            "service": view.service,
            "daemon": view.daemon,
            "availability_zone": view.zone,
            "region": view.region,
            "forward": view.forward,
            "backend": view.backend,
            "state": view.state,
            "slots": view.slots,
            "distance": distance,
            "in_flight": stats.in_flight(),
        })
    };
    table.iter().map(value).collect()
}
