//! Cost of membership: bytes, processor time, and how fast news travels.

use crate::cost::measure_memory;
use agatehill_decide::route::ServerState;
use agatehill_tests::member_simulation::{MemberSimulation, NetCost};
use eyre::{OptionExt, Result};
use rand::RngExt;
use std::time::Duration;

/// Time for the members to find each other before anything is measured.
const SETTLE_SPAN: Duration = Duration::from_secs(30);
/// Time that a member which is replaced is away.
const AWAY_SPAN: Duration = Duration::from_secs(20);
/// Time from telling that it leaves to the end of its process.
const LEAVE_SPAN: Duration = Duration::from_secs(1);
/// Longest time that news may take; far beyond the target.
const NEWS_LIMIT: Duration = Duration::from_secs(60);

/// Measures the membership of one zone in virtual time, with replacements as given.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Members of the simulated zone.
    #[arg(long, default_value_t = 414)]
    members: usize,
    /// Seconds between two replacements; 4,000 a day in 29 zones are one in 626 s.
    #[arg(long, default_value_t = 626)]
    replace_seconds: u64,
    /// Replacements that are measured.
    #[arg(long, default_value_t = 2)]
    replacements: u64,
    /// Leaving and killed members whose news is timed.
    #[arg(long, default_value_t = 10)]
    news: usize,
    /// Seed of everything random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> Result<()> {
    let (mut sim, memory) = measure_memory(|| {
        let mut sim = MemberSimulation::start(args.members, args.seed);
        sim.run(SETTLE_SPAN);
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
    let leaving = time_news(&mut sim, args, |sim, idx| {
        sim.announce(idx, ServerState::Leaving);
    })?;
    let dead = time_news(&mut sim, args, MemberSimulation::kill)?;
    println!("leaving_ms_max={leaving} dead_ms_max={dead}");
    Ok(())
}

/// Replaces members one after the other and returns what that cost.
fn measure_replacements(sim: &mut MemberSimulation, args: &Args) -> NetCost {
    sim.cost = NetCost::default();
    let rest = Duration::from_secs(args.replace_seconds).saturating_sub(AWAY_SPAN + LEAVE_SPAN);
    for _ in 0..args.replacements {
        let idx = sim.random.random_range(2..args.members);
        sim.leave(idx);
        sim.run(LEAVE_SPAN);
        sim.kill(idx);
        sim.run(AWAY_SPAN);
        sim.restart(idx);
        sim.run(rest);
    }
    sim.cost
}

/// Returns the longest time, in milliseconds, until nobody sends calls to a member that `end` ends.
fn time_news(
    sim: &mut MemberSimulation,
    args: &Args,
    end: impl Fn(&mut MemberSimulation, usize),
) -> Result<u128> {
    let mut longest = Duration::ZERO;
    for _ in 0..args.news {
        let idx = sim.random.random_range(2..args.members);
        end(sim, idx);
        let took = sim.run_until(NEWS_LIMIT, |sim| sim.count_routing_to(idx) == 0);
        longest = longest.max(took.ok_or_eyre("news doesn't reach everybody")?);
        sim.kill(idx);
        sim.run(NEWS_LIMIT);
        sim.restart(idx);
        sim.run(NEWS_LIMIT);
    }
    Ok(longest.as_millis())
}
