//! `agatehill-load watch`: processor time and memory of running processes.

use crate::process::{ProcessMonitor, WatchedProcess};
use eyre::Result;
use std::time::Duration;

/// Watches processes and prints the share of a core and the memory that each uses.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// A process, `NAME=PID`.
    #[arg(required = true)]
    processes: Vec<WatchedProcess>,
    /// Time to watch, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Watches the processes.
pub(crate) async fn run(args: Args) -> Result<()> {
    let duration = Duration::from_secs(args.seconds);
    let monitor = ProcessMonitor::open(&args.processes)?;
    tokio::time::sleep(duration).await;
    for used in monitor.finish(duration, 0)? {
        println!("{used}");
    }
    Ok(())
}
