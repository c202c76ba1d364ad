//! Measures commands at running keepers: latency and throughput of contract puts, claims and
//! reads of the contract feed.

use agatehill_decide::{
    claim::{
        ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, ClaimRequest, RequestDigest,
    },
    contract_history::ContractReply,
    name::{CustomerName, DaemonName, Incarnation, RequestId},
};
use agatehill_peer::keeper_client::KeeperClient;
use eyre::{Result, bail};
use hdrhistogram::Histogram;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Timeout of a claim command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Retention of the claims, in seconds.
const REMEMBER_SECONDS: u32 = 3_600;

/// Measures latency and throughput of commands at running keepers.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Peer address of a keeper; may be given several times.
    #[arg(long = "keeper", required = true)]
    keepers: Vec<SocketAddr>,
    /// Number of commands of each kind.
    #[arg(long, default_value_t = 2_000)]
    commands: u64,
    /// Number of commands in flight at once.
    #[arg(long, default_value_t = 1)]
    in_flight: u64,
    /// Number of this run; keeps its customers and requests apart from those of other runs.
    #[arg(long, default_value_t = 1)]
    run: u64,
}

/// Sends commands of each kind in turn and prints their latencies.
pub(crate) fn run(args: &Args) -> Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(measure(args))
}

async fn measure(args: &Args) -> Result<()> {
    let client = KeeperClient::open(args.keepers.clone());
    let bench = KeeperBench {
        client,
        run: args.run,
    };
    let bench = Arc::new(bench);
    report("put", args, |task, count| {
        bench.clone().measure_puts(task, count)
    })
    .await?;
    report("claim", args, |task, count| {
        bench.clone().measure_claims(task, count)
    })
    .await?;
    report("feed", args, |_, count| bench.clone().measure_feeds(count)).await
}

/// Runs `work` in one task per command in flight and prints throughput and latencies.
async fn report<F, Fut>(name: &str, args: &Args, work: F) -> Result<()>
where
    F: Fn(u64, u64) -> Fut,
    Fut: Future<Output = Result<Vec<Duration>>> + Send + 'static,
{
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for task in 0..args.in_flight {
        tasks.spawn(work(task, args.commands / args.in_flight));
    }
    let mut micros = Histogram::<u64>::new(3)?;
    while let Some(latencies) = tasks.join_next().await {
        for latency in latencies?? {
            micros.record(u64::try_from(latency.as_micros())?)?;
        }
    }
    println!(
        "kind={name} in_flight={} commands={} per_second={:.0} p50_us={} p99_us={} max_us={}",
        args.in_flight,
        micros.len(),
        micros.len() as f64 / start.elapsed().as_secs_f64(),
        micros.value_at_quantile(0.5),
        micros.value_at_quantile(0.99),
        micros.max()
    );
    Ok(())
}

struct KeeperBench {
    client: KeeperClient,
    run: u64,
}

impl KeeperBench {
    /// Puts `count` revisions of one customer's contract in sequence; returns their latencies.
    async fn measure_puts(self: Arc<Self>, task: u64, count: u64) -> Result<Vec<Duration>> {
        let customer = CustomerName::try_from(format!("bench-{}-{task}", self.run))?;
        let mut latencies = Vec::new();
        for revision in 1..=count {
            let text = contract_text(&customer, revision);
            let start = Instant::now();
            let reply = self.client.put_contract(customer.clone(), text).await?;
            latencies.push(start.elapsed());
            if !matches!(reply, ContractReply::Accepted(_)) {
                bail!(
                    "keepers did not accept revision {revision} of customer {customer}: {reply:?}"
                );
            }
        }
        Ok(latencies)
    }

    /// Reads the contract feed past its end `count` times; returns the latencies.
    async fn measure_feeds(self: Arc<Self>, count: u64) -> Result<Vec<Duration>> {
        let mut latencies = Vec::new();
        for _ in 0..count {
            let start = Instant::now();
            self.client.feed(u64::MAX, Duration::ZERO).await?;
            latencies.push(start.elapsed());
        }
        Ok(latencies)
    }

    /// Claims and finishes `count` requests; returns one latency for each pair of commands.
    async fn measure_claims(self: Arc<Self>, task: u64, count: u64) -> Result<Vec<Duration>> {
        let mut latencies = Vec::new();
        for number in 0..count {
            let key = ClaimKey {
                customer: CustomerName::try_from("bench")?,
                id: RequestId::try_from(format!("{}-{task}-{number}", self.run))?,
            };
            let start = Instant::now();
            self.claim_and_finish(key, task, number).await?;
            latencies.push(start.elapsed());
        }
        Ok(latencies)
    }

    async fn claim_and_finish(&self, key: ClaimKey, task: u64, number: u64) -> Result<()> {
        let request = ClaimRequest {
            attempt: 0,
            key: key.clone(),
            digest: RequestDigest::of("POST", "gasdata", "/logbook/entries", b"entry"),
            owner: ClaimOwner {
                daemon: DaemonName::try_from(format!("bench-{task}"))?,
                incarnation: Incarnation(self.run),
                sequence: number,
            },
            remember_seconds: REMEMBER_SECONDS,
        };
        let command = ClaimCommand::Claim(request);
        let reply = self.client.claim(&command, COMMAND_TIMEOUT).await?;
        let ClaimReply::Granted(token) = reply else {
            bail!("keepers did not grant the claim of request {key}: {reply:?}");
        };
        let outcome = ClaimOutcome::Unknown;
        let command = ClaimCommand::Finish {
            key,
            token,
            outcome,
        };
        self.client.claim(&command, COMMAND_TIMEOUT).await?;
        Ok(())
    }
}

fn contract_text(customer: &CustomerName, revision: u64) -> String {
    format!(
        "customer = \"{customer}\"\nrevision = {revision}\ncalls_per_second = 4000\n\
         calls_in_flight = 1200\nretries_per_request = 2\nremember_hours = 48\n"
    )
}
