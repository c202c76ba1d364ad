//! Measures the exchange of zone digests: size of replies and their processor time at a relay.

use crate::cost::mean_nanos;
use agatehill_decide::{
    digest::{
        DigestInput, DigestNode, DigestOutput, DigestReply, DigestRequest, DigestRow, DigestScope,
        DigestSettings, ZoneDelta, ZoneEntry, ZoneRelay,
    },
    member::MemberRecord,
    name::{DaemonName, Incarnation, RegionName, ServiceName, ZoneName},
    time::MonoTime,
};
use agatehill_tests::member_simulation::encoded_bytes;
use eyre::{OptionExt, Result};
use rand::{SeedableRng, rngs::StdRng};
use std::net::SocketAddr;

/// Number of timed replies.
const TIMED_REPLIES: u64 = 200;
/// Entry daemons listed in a row.
const ENTRIES_PER_ROW: u64 = 3;

/// Measures the digest replies of a relay that has the rows of all other zones.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of availability zones.
    #[arg(long, default_value_t = 29)]
    zones: u64,
    /// Number of services with a server in each zone; 12,000 servers in 29 zones allow at most 414.
    #[arg(long, default_value_t = 414)]
    services: u64,
}

/// Fills a relay with the rows of all other zones and prints the figures.
pub(crate) fn run(args: &Args) -> Result<()> {
    let mut random = StdRng::seed_from_u64(1);
    let mut node = DigestNode::new(settings());
    let now = MonoTime::from_millis(1_000);
    node.step(DigestInput::Members(vec![own_record()]), now, &mut random);
    let replies: Vec<_> = (1..args.zones)
        .map(|zone| zone_reply(zone, args.services))
        .collect();
    let zone_bytes = replies.iter().map(encoded_bytes).max().unwrap_or(0);
    for reply in replies {
        let from = control_addr(1);
        let reply = Some(reply);
        node.step(DigestInput::Reply { from, reply }, now, &mut random);
    }
    let mut reply_to = |scope, run, version| {
        let request = request(scope, run, version);
        let outputs = node.step(DigestInput::Request(request), now, &mut random);
        let replies = outputs.into_iter().filter_map(|output| match output {
            DigestOutput::Reply(reply) => Some(reply),
            _ => None,
        });
        replies.last()
    };
    let full = reply_to(DigestScope::Others, 0, 0).ok_or_eyre("the relay returned no reply")?;
    let (run, version) = (full.run, full.version);
    let idle =
        reply_to(DigestScope::Others, run, version).ok_or_eyre("the relay returned no reply")?;
    let own = reply_to(DigestScope::Own, run, version).ok_or_eyre("the relay returned no reply")?;
    let relays = reply_to(DigestScope::Relays, 0, 0).ok_or_eyre("the relay returned no reply")?;
    let idle_nanos = mean_nanos(TIMED_REPLIES, |_| {
        reply_to(DigestScope::Others, run, version)
    });
    let request_bytes = encoded_bytes(&request(DigestScope::Others, run, version));
    println!(
        "zones={} rows={} zone_bytes={zone_bytes} whole_bytes={} idle_bytes={} \
         own_idle_bytes={} relays_bytes={} ask_bytes={request_bytes} idle_reply_us={:.0}",
        args.zones,
        (args.zones - 1) * args.services,
        encoded_bytes(&full),
        encoded_bytes(&idle),
        encoded_bytes(&own),
        encoded_bytes(&relays),
        idle_nanos / 1e3
    );
    Ok(())
}

fn request(scope: DigestScope, run: u64, version: u64) -> DigestRequest {
    DigestRequest {
        from: relay(0),
        scope,
        run,
        version,
        loads: vec![(service_name(0), 500)],
    }
}

fn settings() -> DigestSettings {
    let own = relay(0);
    DigestSettings {
        name: daemon_name(0, 0),
        zone: own.zone,
        region: own.region,
        control: own.control,
        run: 1,
        seeds: Vec::new(),
    }
}

fn own_record() -> MemberRecord {
    MemberRecord {
        name: daemon_name(0, 0),
        incarnation: Incarnation(1),
        gossip: control_addr(0),
        control: control_addr(0),
        forward: control_addr(0),
        servers: Vec::new(),
    }
}

fn zone_reply(zone: u64, services: u64) -> DigestReply {
    let entry = |number| ZoneEntry {
        daemon: daemon_name(zone, number),
        forward: control_addr(zone),
    };
    let row = |number| DigestRow {
        service: service_name(number),
        servers: 1,
        slots: 50,
        load_permille: 500,
        entries: (0..ENTRIES_PER_ROW).map(entry).collect(),
    };
    let own = relay(zone);
    let delta = ZoneDelta {
        zone: own.zone.clone(),
        region: own.region,
        age_ms: 0,
        relays: vec![own.control; 3],
        rows: (0..services).map(row).collect(),
    };
    DigestReply {
        zone: own.zone,
        run: 1,
        version: 2,
        is_full: true,
        zones: vec![delta],
        known_zones: Vec::new(),
    }
}

fn relay(zone: u64) -> ZoneRelay {
    ZoneRelay {
        zone: ZoneName::try_from(format!("zone-{zone}")).expect("the name is valid"),
        region: RegionName::try_from(format!("region-{}", zone % 9)).expect("the name is valid"),
        control: control_addr(zone),
    }
}

fn daemon_name(zone: u64, number: u64) -> DaemonName {
    DaemonName::try_from(format!("zone-{zone}-host-{number}")).expect("the name is valid")
}

fn service_name(number: u64) -> ServiceName {
    ServiceName::try_from(format!("service-{number}")).expect("the name is valid")
}

fn control_addr(zone: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, zone as u8], 7_000))
}
