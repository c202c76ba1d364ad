//! `agatehill-load backend`: a stand-in backend server.

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
/// It prints `ready address=ADDR` once it listens, and its counts when it has stopped.
///
/// Marks: a request whose path has a segment `poison`, or that carries the header
/// `agatehill-load-mark: poison`, aborts the process; `cut` breaks the answer off half way;
/// `fail` answers 500 after the work.
/// `GET /_runs` tells what ran; `POST /_silence` makes all open connections silent for good.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The service it belongs to.
    #[arg(long, value_parser = parse_service)]
    service: ServiceName,
    /// Address to listen on; port 0 takes any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Announce address of the daemon on this host; nothing is announced without it.
    #[arg(long)]
    announce: Option<SocketAddr>,
    /// Requests that it works on at once.
    #[arg(long, default_value_t = 50)]
    slots: usize,
    /// Connections that it accepts.
    #[arg(long, default_value_t = 400)]
    connections: usize,
    /// Slots that it announces, if not the true number.
    #[arg(long)]
    report_slots: Option<usize>,
    /// Time that a request takes, in milliseconds.
    #[arg(long, default_value_t = 0.0)]
    service_ms: f64,
    /// Draws the time that a request takes from an exponential distribution.
    #[arg(long)]
    exponential: bool,
    /// Time after the start in which requests take longer, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// How many times longer requests take in that time.
    #[arg(long, default_value_t = 10.0)]
    cold_factor: f64,
    /// Announces that it serves while it is still cold.
    #[arg(long)]
    hide_cold: bool,
    /// Answers 503 when all slots are taken; otherwise requests queue.
    #[arg(long)]
    shed: bool,
    /// Bytes of filling in each answer.
    #[arg(long, default_value_t = 0)]
    answer_bytes: usize,
    /// A call that each request makes, `SERVICE:/PATH` or `METHOD SERVICE:/PATH`; repeatable.
    #[arg(long = "call")]
    calls: Vec<ChildCall>,
    /// Caller address of the daemon that takes these calls.
    #[arg(long)]
    daemon: Option<SocketAddr>,
    /// Makes these calls at once instead of one after the other.
    #[arg(long)]
    parallel: bool,
    /// Times that a failed call is sent again at once.
    #[arg(long, default_value_t = 0)]
    call_retries: u32,
    /// Time that it goes on taking requests after SIGTERM, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    linger_ms: u64,
    /// Seed of its random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the stand-in until SIGTERM.
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
