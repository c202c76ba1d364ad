//! `agatehill-load run`: sends open-loop load.

use crate::{
    client::{self, HttpClient, HttpVersion},
    load::{
        call::{CallOptions, CallRecord, CallRoute, LoadCall},
        mix::{LoadOperation, OperationMix},
        report::LoadReport,
        schedule::LoadSchedule,
    },
    process::{ProcessMonitor, WatchedProcess},
};
use bytes::Bytes;
use eyre::{OptionExt, Result};
use http::HeaderValue;
use http_body_util::Full;
use rand::{SeedableRng, rngs::StdRng};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    runtime::Handle,
    sync::mpsc::{self, UnboundedSender},
    task,
};

/// Settings of a load.
///
/// Latency counts from the intended start of a call. Responses are compared with what a stand-in
/// backend server returns; responses to another request are counted as `mixed`.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Caller address of a daemon; repeatable, used round-robin.
    #[arg(long = "target", required_unless_present = "baselines")]
    targets: Vec<SocketAddr>,
    /// Address of a backend server that is called directly, for comparison; repeatable.
    #[arg(long = "baseline")]
    baselines: Vec<SocketAddr>,
    /// Calls per second to the targets, and as many again to the baselines.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Time for which recorded calls are started, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Time before that in which calls are not recorded, in seconds.
    #[arg(long, default_value_t = 1.0)]
    warmup: f64,
    /// Draws the intervals between calls from an exponential distribution.
    #[arg(long)]
    poisson: bool,
    /// Customer that makes the calls.
    #[arg(long)]
    customer: Option<String>,
    /// Operation, `CLASS METHOD SERVICE:/PATH [WEIGHT]`; repeatable. `{n}` in the path is replaced
    /// by the number of the call.
    #[arg(long = "op", required = true)]
    operations: Vec<LoadOperation>,
    /// Size of each request body, in bytes.
    #[arg(long, default_value_t = 0)]
    body_bytes: usize,
    /// Remaining time that each call declares, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Timeout of an attempt, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    limit_ms: u64,
    /// Largest number of resends of a call that was refused or got no complete response.
    #[arg(long, default_value_t = 0)]
    resends: u32,
    /// Resends at once instead of after the time in the refusal.
    #[arg(long)]
    impatient: bool,
    /// Uses HTTP/2 without TLS instead of HTTP/1.1.
    #[arg(long)]
    h2c: bool,
    /// Seed of the random numbers; also a part of each idempotency key.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Process whose usage is printed to standard error, `NAME=PID`; repeatable.
    #[arg(long = "watch")]
    watched: Vec<WatchedProcess>,
    /// Prints the report as JSON.
    #[arg(long)]
    json: bool,
}

/// Sends the load and prints the report.
pub(crate) async fn run(args: Args) -> Result<()> {
    let starter = CallStarter::open(&args)?;
    let warmup = Duration::from_secs_f64(args.warmup);
    let schedule = LoadSchedule {
        rate: args.rate * starter.route_count() as f64,
        duration: warmup + Duration::from_secs_f64(args.seconds),
        is_poisson: args.poisson,
        seed: args.seed,
    };
    let duration = schedule.duration;
    let monitor = ProcessMonitor::open(&args.watched)?;
    let (records, mut received) = mpsc::unbounded_channel();
    let handle = Handle::current();
    let pacer = task::spawn_blocking(move || {
        let begin = Instant::now();
        let mut starter = starter;
        schedule.run(|number, intended| {
            let is_recorded = intended >= begin + warmup;
            starter.start(
                &handle,
                number,
                intended,
                is_recorded.then(|| records.clone()),
            );
        });
    });

    let mut report = LoadReport::open(Duration::from_secs_f64(args.seconds));
    while let Some(record) = received.recv().await {
        report.add(record);
    }
    pacer.await?;
    let summary = report.summary();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&summary)?);
    } else {
        print!("{summary}");
    }
    let calls = (args.rate * duration.as_secs_f64()) as u64;
    for used in monitor.finish(duration, calls)? {
        eprintln!("{used}");
    }
    Ok(())
}

/// Builds calls and starts them on a runtime.
struct CallStarter {
    targets: Vec<SocketAddr>,
    baselines: Vec<SocketAddr>,
    mix: OperationMix,
    options: Arc<CallOptions>,
    client: HttpClient<Full<Bytes>>,
    seed: u64,
    rng: StdRng,
}

impl CallStarter {
    fn open(args: &Args) -> Result<CallStarter> {
        let customer = args.customer.as_deref().map(HeaderValue::from_str);
        let version = if args.h2c {
            HttpVersion::Http2
        } else {
            HttpVersion::Http1
        };
        Ok(CallStarter {
            targets: args.targets.clone(),
            baselines: args.baselines.clone(),
            mix: OperationMix::open(args.operations.clone())
                .ok_or_eyre("the weights of all operations are 0")?,
            options: Arc::new(CallOptions {
                customer: customer.transpose()?,
                deadline_ms: args.deadline_ms,
                body: vec![b'x'; args.body_bytes].into(),
                attempt_timeout: Duration::from_millis(args.limit_ms),
                resends: args.resends,
                ignores_retry_after: args.impatient,
            }),
            client: client::open(version),
            seed: args.seed,
            rng: StdRng::seed_from_u64(args.seed),
        })
    }

    /// Returns the number of [`CallRoute`]s in use.
    fn route_count(&self) -> usize {
        let used = |addresses: &[SocketAddr]| usize::from(!addresses.is_empty());
        used(&self.targets) + used(&self.baselines)
    }

    fn start(
        &mut self,
        handle: &Handle,
        number: u64,
        intended: Instant,
        records: Option<UnboundedSender<CallRecord>>,
    ) {
        let call = self.call(number, intended);
        let client = self.client.clone();
        let options = self.options.clone();
        handle.spawn(async move {
            let record = call.run(&client, &options).await;
            if let Some(records) = records {
                // The receiver is dropped only after the last sender.
                let _ = records.send(record);
            }
        });
    }

    fn call(&mut self, number: u64, intended: Instant) -> LoadCall {
        let (route, addresses) = self.route(number);
        let round = number as usize / self.route_count();
        let address = addresses[round % addresses.len()].to_string();
        let operation = self.mix.draw(&mut self.rng).clone();
        LoadCall {
            route,
            address,
            path: operation.path(number),
            operation,
            key: format!("load-{}-{number}", self.seed),
            trace: client::new_trace_parent(&mut self.rng),
            intended,
        }
    }

    fn route(&self, number: u64) -> (CallRoute, &[SocketAddr]) {
        let is_direct = match (self.targets.is_empty(), self.baselines.is_empty()) {
            (true, _) => true,
            (_, true) => false,
            (false, false) => number % 2 == 1,
        };
        if is_direct {
            (CallRoute::Direct, &self.baselines)
        } else {
            (CallRoute::Through, &self.targets)
        }
    }
}
