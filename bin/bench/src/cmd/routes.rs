//! Measures a daemon's route table: memory, updates and the choice of a server.

use crate::cost::{mean_nanos, measure_memory};
use agatehill_decide::{
    name::{DaemonName, RegionName, ServiceName, ZoneName},
    priority::CallPriority,
    route::{RequestHash, RouteQuery, RouteReach, ServerDirectory, ServerState, ServerView},
    time::MonoTime,
};
use eyre::Result;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Number of timed table rebuilds.
const TIMED_REBUILDS: u64 = 20;

/// Slots of each server.
const SLOTS: u32 = 50;

/// Measures the route table of one daemon, which has every server of its own availability zone and
/// one entry for each service in every other zone.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of availability zones.
    #[arg(long, default_value_t = 29)]
    zones: u64,
    /// Number of services.
    #[arg(long, default_value_t = 840)]
    services: u64,
    /// Number of servers in the daemon's own zone.
    #[arg(long, default_value_t = 414)]
    servers: u64,
    /// Number of timed choices.
    #[arg(long, default_value_t = 1_000_000)]
    choices: u64,
}

/// Fills a route table and prints the figures.
pub(crate) fn run(args: &Args) -> Result<()> {
    let Args {
        zones, services, ..
    } = *args;
    let views = server_views(zones, services, args.servers);
    let entries = views.len() as u64;
    let mut upsert_nanos = 0.0;
    let ((mut directory, mut table), bytes) = measure_memory(|| {
        let mut directory = ServerDirectory::new(zone_name(0), region_name(0));
        upsert_nanos = mean_nanos(entries, |idx| directory.upsert(views[idx as usize].clone()));
        let table = directory.snapshot();
        (directory, table)
    })?;
    let rebuild_nanos = mean_nanos(TIMED_REBUILDS, |idx| {
        directory.upsert(views[idx as usize % views.len()].clone());
        table = directory.snapshot();
    });
    let service_names: Vec<_> = (0..services).map(service_name).collect();
    let choose_nanos = mean_nanos(args.choices, |number| {
        table.choose(&RouteQuery {
            service: &service_names[(number % services) as usize],
            request: RequestHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            priority: CallPriority::HIGHEST,
            tried: &[],
            reach: RouteReach::LOCAL,
            now: MonoTime::ZERO,
        })
    });
    println!(
        "zones={zones} services={services} entries={entries} bytes_each={} \
         upsert_ns={upsert_nanos:.0} rebuild_us={:.0} choose_ns={choose_nanos:.0}",
        bytes / entries,
        rebuild_nanos / 1e3
    );
    Ok(())
}

/// Returns the servers of zone 0 and the entries of the other zones.
fn server_views(zones: u64, services: u64, servers: u64) -> Vec<ServerView> {
    let own = (0..servers).map(|server| server_view(0, server % services, server, true));
    let other = (1..zones).flat_map(|zone| {
        (0..services).map(move |service| server_view(zone, service, service % servers, false))
    });
    own.chain(other).collect()
}

fn server_view(zone: u64, service: u64, host: u64, is_server: bool) -> ServerView {
    let address = |port| SocketAddr::new(IpAddr::V4(host_address(zone, host)), port);
    ServerView {
        service: service_name(service),
        daemon: DaemonName::try_from(format!("zone-{zone}-{host}")).expect("the name is valid"),
        zone: zone_name(zone),
        region: region_name(zone % 9),
        forward: address(7002),
        backend: is_server.then(|| address(8000)),
        state: ServerState::Serving,
        slots: SLOTS,
    }
}

fn host_address(zone: u64, host: u64) -> Ipv4Addr {
    Ipv4Addr::new(10, zone as u8, (host / 250) as u8, (host % 250) as u8)
}

fn service_name(number: u64) -> ServiceName {
    ServiceName::try_from(format!("service-{number}")).expect("the name is valid")
}

fn zone_name(number: u64) -> ZoneName {
    ZoneName::try_from(format!("zone-{number}")).expect("the name is valid")
}

fn region_name(number: u64) -> RegionName {
    RegionName::try_from(format!("region-{number}")).expect("the name is valid")
}
