//! `agatehill-load backend`: runs a stand-in backend server.

use crate::stand_in::{self, ChildCall, ServiceTime, StandIn, StandInSettings};
use agatehill_decide::name::ServiceName;
use eyre::{Result, WrapErr};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

/// Settings of a stand-in backend server.
///
/// The server prints `ready address=ADDR` once it listens, and its counts after it has stopped.
///
/// A path segment or the header `agatehill-load-mark` injects a fault into a request: `poison`
/// aborts the process, `cut` breaks the response off half way, `fail` answers 500 after the work.
/// `GET /_runs` returns the counts of requests; `POST /_silence` stalls all open connections for
/// good.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Service of the server.
    #[arg(long, value_parser = parse_service)]
    service: ServiceName,
    /// Address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Announce address of the daemon on this host; without it, the server announces nothing.
    #[arg(long)]
    announce: Option<SocketAddr>,
    /// Number of slots: requests that run at once.
    #[arg(long, default_value_t = 50)]
    slots: usize,
    /// Largest number of open connections.
    #[arg(long, default_value_t = 400)]
    connections: usize,
    /// Number of slots that it announces, if it differs from the real one.
    #[arg(long)]
    report_slots: Option<usize>,
    /// Service time of a request, in milliseconds.
    #[arg(long, default_value_t = 0.0)]
    service_ms: f64,
    /// Draws service times from an exponential distribution with that mean.
    #[arg(long)]
    exponential: bool,
    /// Cold phase after the start, with longer service times, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// Factor of service times in the cold phase.
    #[arg(long, default_value_t = 10.0)]
    cold_factor: f64,
    /// Announces the state `serving` also in the cold phase.
    #[arg(long)]
    hide_cold: bool,
    /// Answers 503 when all slots are taken, instead of queueing requests.
    #[arg(long)]
    shed: bool,
    /// Size of the filling in each response, in bytes.
    #[arg(long, default_value_t = 0)]
    answer_bytes: usize,
    /// Call that each request makes, `SERVICE:/PATH` or `METHOD SERVICE:/PATH`; repeatable.
    #[arg(long = "call")]
    calls: Vec<ChildCall>,
    /// Caller address of the daemon that these calls go to.
    #[arg(long)]
    daemon: Option<SocketAddr>,
    /// Makes these calls concurrently instead of one after the other.
    #[arg(long)]
    parallel: bool,
    /// Largest number of immediate retries of each of these calls.
    #[arg(long, default_value_t = 0)]
    call_retries: u32,
    /// Time from SIGTERM until the server accepts no more requests, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    linger_ms: u64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the stand-in until SIGTERM and the end of the requests in flight.
pub(crate) async fn run(args: Args) -> Result<()> {
    let listener = TcpListener::bind(args.listen)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", args.listen))?;
    let address = listener.local_addr()?;
    let announce = args.announce;
    let linger = Duration::from_millis(args.linger_ms);
    let stand_in = StandIn::open(address, settings(args)?);
    let mut terminate = signal(SignalKind::terminate())?;

    println!("ready address={address}");
    let announcer = announce.map(|daemon| stand_in::announce::spawn(daemon, stand_in.clone()));
    let stop = async {
        terminate.recv().await;
        stand_in.leave();
        tokio::time::sleep(linger).await;
    };
    stand_in::serve::serve(listener, stand_in.clone(), stop).await;
    if let Some(announcer) = announcer {
        announcer.abort();
    }
    let mut summary = stand_in.summary();
    summary.keys.clear();
    println!("stopped {}", serde_json::to_string(&summary)?);
    Ok(())
}

fn settings(args: Args) -> Result<StandInSettings> {
    if !args.calls.is_empty() && args.daemon.is_none() {
        eyre::bail!("--call needs --daemon");
    }
    Ok(StandInSettings {
        service: args.service,
        slots: args.slots,
        reported_slots: args.report_slots.unwrap_or(args.slots),
        connections: args.connections,
        service_time: ServiceTime {
            mean: Duration::from_secs_f64(args.service_ms / 1e3),
            is_exponential: args.exponential,
        },
        cold_duration: Duration::from_millis(args.cold_ms),
        cold_factor: args.cold_factor,
        hides_cold: args.hide_cold,
        sheds: args.shed,
        filling_bytes: args.answer_bytes,
        calls: args.calls,
        daemon: args.daemon,
        is_parallel: args.parallel,
        call_retries: args.call_retries,
        seed: args.seed,
    })
}

fn parse_service(text: &str) -> Result<ServiceName, String> {
    ServiceName::try_from(text).map_err(|e| e.to_string())
}
