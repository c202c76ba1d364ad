//! Cost of commands at running keepers: latency and throughput of contracts, claims and feeds.

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

/// Time limit of a command.
const COMMAND_SPAN: Duration = Duration::from_secs(10);
/// Time for which claims are remembered, in seconds.
const REMEMBER_SECONDS: u32 = 3_600;

/// Measures commands at running keepers.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Peer address of a keeper; may be given several times.
    #[arg(long = "keeper", required = true)]
    keepers: Vec<SocketAddr>,
    /// Commands of each kind.
    #[arg(long, default_value_t = 2_000)]
    commands: u64,
    /// Commands in flight.
    #[arg(long, default_value_t = 1)]
    in_flight: u64,
    /// Tells the customers and requests of this run from those of others.
    #[arg(long, default_value_t = 1)]
    run: u64,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(measure(args))
}

async fn measure(args: &Args) -> Result<()> {
    let client = KeeperClient::open(args.keepers.clone());
    let probe = Prober {
        client,
        run: args.run,
    };
    let probe = Arc::new(probe);
    report("put", args, |lane, count| probe.clone().puts(lane, count)).await?;
    report("claim", args, |lane, count| {
        probe.clone().claims(lane, count)
    })
    .await?;
    report("feed", args, |_, count| probe.clone().feeds(count)).await
}

/// Runs `work` in as many lanes as commands are in flight and prints the latencies.
async fn report<F, Fut>(name: &str, args: &Args, work: F) -> Result<()>
where
    F: Fn(u64, u64) -> Fut,
    Fut: Future<Output = Result<Vec<Duration>>> + Send + 'static,
{
    let start = Instant::now();
    let mut lanes = JoinSet::new();
    for lane in 0..args.in_flight {
        lanes.spawn(work(lane, args.commands / args.in_flight));
    }
    let mut micros = Histogram::<u64>::new(3)?;
    while let Some(spans) = lanes.join_next().await {
        for span in spans?? {
            micros.record(u64::try_from(span.as_micros())?)?;
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

struct Prober {
    client: KeeperClient,
    run: u64,
}

impl Prober {
    /// Puts `count` revisions of one customer, one after the other.
    async fn puts(self: Arc<Self>, lane: u64, count: u64) -> Result<Vec<Duration>> {
        let customer = CustomerName::try_from(format!("bench-{}-{lane}", self.run))?;
        let mut spans = Vec::new();
        for revision in 1..=count {
            let text = contract(&customer, revision);
            let start = Instant::now();
            let reply = self.client.put_contract(customer.clone(), text).await?;
            spans.push(start.elapsed());
            if !matches!(reply, ContractReply::Accepted(_)) {
                bail!("revision {revision} of {customer} is not accepted: {reply:?}");
            }
        }
        Ok(spans)
    }

    /// Asks `count` times for contracts newer than the latest.
    async fn feeds(self: Arc<Self>, count: u64) -> Result<Vec<Duration>> {
        let mut spans = Vec::new();
        for _ in 0..count {
            let start = Instant::now();
            self.client.feed(u64::MAX, Duration::ZERO).await?;
            spans.push(start.elapsed());
        }
        Ok(spans)
    }

    /// Claims `count` requests and records each as ended; one span a pair.
    async fn claims(self: Arc<Self>, lane: u64, count: u64) -> Result<Vec<Duration>> {
        let mut spans = Vec::new();
        for number in 0..count {
            let key = ClaimKey {
                customer: CustomerName::try_from("bench")?,
                id: RequestId::try_from(format!("{}-{lane}-{number}", self.run))?,
            };
            let start = Instant::now();
            self.claim(key, lane, number).await?;
            spans.push(start.elapsed());
        }
        Ok(spans)
    }

    async fn claim(&self, key: ClaimKey, lane: u64, number: u64) -> Result<()> {
        let request = ClaimRequest {
            attempt: 0,
            key: key.clone(),
            digest: RequestDigest::of("POST", "gasdata", "/logbook/entries", b"entry"),
            owner: ClaimOwner {
                daemon: DaemonName::try_from(format!("bench-{lane}"))?,
                incarnation: Incarnation(self.run),
                sequence: number,
            },
            remember_seconds: REMEMBER_SECONDS,
        };
        let command = ClaimCommand::Claim(request);
        let reply = self.client.claim(&command, COMMAND_SPAN).await?;
        let ClaimReply::Granted(token) = reply else {
            bail!("request {key} is not granted: {reply:?}");
        };
        let outcome = ClaimOutcome::Unknown;
        let command = ClaimCommand::Finish {
            key,
            token,
            outcome,
        };
        self.client.claim(&command, COMMAND_SPAN).await?;
        Ok(())
    }
}

fn contract(customer: &CustomerName, revision: u64) -> String {
    format!(
        "customer = \"{customer}\"\nrevision = {revision}\ncalls_per_second = 4000\n\
         calls_in_flight = 1200\nretries_per_request = 2\nremember_hours = 48\n"
    )
}
