//! `agatehill-load run`: open-loop load.

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
/// Latency counts from the intended start of a call. Answers are compared with what a stand-in
/// backend server must answer; those of another request are counted as mixed.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Caller address of a daemon; repeatable, used in turn.
    #[arg(long = "target", required_unless_present = "baselines")]
    targets: Vec<SocketAddr>,
    /// Address of a backend server that is called directly in the same run; repeatable.
    #[arg(long = "baseline")]
    baselines: Vec<SocketAddr>,
    /// Calls a second to the targets, and as many again to the baselines.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Time over which calls are started, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Time before that which isn't recorded, in seconds.
    #[arg(long, default_value_t = 1.0)]
    warmup: f64,
    /// Draws the gaps between calls from an exponential distribution.
    #[arg(long)]
    poisson: bool,
    /// The customer that calls.
    #[arg(long)]
    customer: Option<String>,
    /// An operation, `CLASS METHOD SERVICE:/PATH [WEIGHT]`; repeatable. `{n}` in the path is
    /// replaced by the number of the call.
    #[arg(long = "op", required = true)]
    operations: Vec<LoadOperation>,
    /// Bytes of each request's body.
    #[arg(long, default_value_t = 0)]
    body_bytes: usize,
    /// Time left that each call says it has, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Time after which an attempt is given up, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    limit_ms: u64,
    /// Times that a call is sent again after a refusal or a broken answer.
    #[arg(long, default_value_t = 0)]
    resends: u32,
    /// Resends at once instead of when the refusal says.
    #[arg(long)]
    impatient: bool,
    /// Speaks HTTP/2 in clear text instead of HTTP/1.1.
    #[arg(long)]
    h2c: bool,
    /// Seed of the calls; also the first part of each idempotency-key.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A process whose use is printed to standard error, `NAME=PID`; repeatable.
    #[arg(long = "watch")]
    watched: Vec<WatchedProcess>,
    /// Prints the report as JSON.
    #[arg(long)]
    json: bool,
}

/// Sends the load and prints its report.
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

/// Starts calls on a runtime.
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
            mix: OperationMix::open(args.operations.clone()).ok_or_eyre("all weights are 0")?,
            options: Arc::new(CallOptions {
                customer: customer.transpose()?,
                deadline_ms: args.deadline_ms,
                body: vec![b'x'; args.body_bytes].into(),
                attempt_timeout: Duration::from_millis(args.limit_ms),
                resends: args.resends,
                is_impatient: args.impatient,
            }),
            client: client::open(version),
            seed: args.seed,
            rng: StdRng::seed_from_u64(args.seed),
        })
    }

    /// Returns the number of routes that calls alternate between.
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
                // The receiver lives until the last sender is gone.
                let _ = records.send(record);
            }
        });
    }

    fn call(&mut self, number: u64, intended: Instant) -> LoadCall {
        let (route, addresses) = self.route(number);
        let turn = number as usize / self.route_count();
        let address = addresses[turn % addresses.len()].to_string();
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
