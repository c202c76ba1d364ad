//! `agatehill-load watch`: measures processor time and memory of running processes.

use crate::process::{ProcessMonitor, WatchedProcess};
use eyre::Result;
use std::time::Duration;

/// Prints the share of a core and the memory that each process uses.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// A process to measure, `NAME=PID`.
    #[arg(required = true)]
    processes: Vec<WatchedProcess>,
    /// Duration of the measurement, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Measures the processes and prints their usage.
pub(crate) async fn run(args: Args) -> Result<()> {
    let duration = Duration::from_secs(args.seconds);
    let monitor = ProcessMonitor::open(&args.processes)?;
    tokio::time::sleep(duration).await;
    for used in monitor.finish(duration, 0)? {
        println!("{used}");
    }
    Ok(())
}
