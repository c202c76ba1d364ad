//! Measures membership: traffic, processor time, memory and propagation time of changes.

use crate::cost::measure_memory;
use agatehill_decide::route::ServerState;
use agatehill_tests::member_simulation::{MemberSimulation, NetCost};
use eyre::{OptionExt, Result};
use rand::RngExt;
use std::time::Duration;

/// Time in which the members discover each other before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// Time between the end of a replaced member and its restart.
const DOWN_TIME: Duration = Duration::from_secs(20);
/// Time between the announcement that a member leaves and the end of its process.
const LEAVE_TIME: Duration = Duration::from_secs(1);
/// Timeout for the propagation of a change; far above the target.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);

/// Measures the membership of one zone in virtual time while members are replaced.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of members in the simulated zone.
    #[arg(long, default_value_t = 414)]
    members: usize,
    /// Seconds between two replacements; 4,000 per day in 29 zones are one per zone every 626 s.
    #[arg(long, default_value_t = 626)]
    replace_seconds: u64,
    /// Number of measured replacements.
    #[arg(long, default_value_t = 2)]
    replacements: u64,
    /// Number of leaving members, and of killed members, whose propagation is timed.
    #[arg(long, default_value_t = 10)]
    news: usize,
    /// Seed of the random number generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Simulates the zone and prints the figures.
pub(crate) fn run(args: &Args) -> Result<()> {
    let (mut sim, memory) = measure_memory(|| {
        let mut sim = MemberSimulation::start(args.members, args.seed);
        sim.run(SETTLE_TIME);
        sim
    })?;
    let cost = measure_replacements(&mut sim, args);
    let seconds = args.replace_seconds as f64 * args.replacements as f64;
    let daemon_seconds = seconds * args.members as f64;
    let bytes = (cost.datagram_bytes + cost.exchange_bytes) as f64;
    println!(
        "members={} bytes_per_second={:.0} datagrams_per_second={:.1} exchanges={} \
         step_us_per_second={:.0} memory_kib_each={}",
        args.members,
        bytes / daemon_seconds,
        cost.datagrams as f64 / daemon_seconds,
        cost.exchanges,
        cost.step_time.as_secs_f64() * 1e6 / daemon_seconds,
        memory / args.members as u64 / 1_024,
    );
    let leaving = measure_propagation(&mut sim, args, |sim, idx| {
        sim.announce(idx, ServerState::Leaving);
    })?;
    let dead = measure_propagation(&mut sim, args, MemberSimulation::kill)?;
    println!("leaving_ms_max={leaving} dead_ms_max={dead}");
    Ok(())
}

/// Replaces members one after the other and returns the cost.
fn measure_replacements(sim: &mut MemberSimulation, args: &Args) -> NetCost {
    sim.cost = NetCost::default();
    let remaining =
        Duration::from_secs(args.replace_seconds).saturating_sub(DOWN_TIME + LEAVE_TIME);
    for _ in 0..args.replacements {
        let idx = sim.random.random_range(2..args.members);
        sim.leave(idx);
        sim.run(LEAVE_TIME);
        sim.kill(idx);
        sim.run(DOWN_TIME);
        sim.restart(idx);
        sim.run(remaining);
    }
    sim.cost
}

/// Ends members with `end`; returns the longest time, in milliseconds, until no other member routes
/// calls to one of them.
fn measure_propagation(
    sim: &mut MemberSimulation,
    args: &Args,
    end: impl Fn(&mut MemberSimulation, usize),
) -> Result<u128> {
    let mut longest = Duration::ZERO;
    for _ in 0..args.news {
        let idx = sim.random.random_range(2..args.members);
        end(sim, idx);
        let elapsed = sim.run_until(PROPAGATION_TIMEOUT, |sim| sim.count_routing_to(idx) == 0);
        longest = longest
            .max(elapsed.ok_or_eyre("some members still route calls to a member that ended")?);
        sim.kill(idx);
        sim.run(PROPAGATION_TIMEOUT);
        sim.restart(idx);
        sim.run(PROPAGATION_TIMEOUT);
    }
    Ok(longest.as_millis())
}
