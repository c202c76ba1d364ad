//! Generates load and runs stand-in backend servers, to try agatehill on one machine.

mod client;
mod cmd;
mod load;
mod process;
mod stand_in;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Generates open-loop load and uploads, and runs stand-in backend servers.
#[derive(Debug, Parser)]
#[command(name = "agatehill-load", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a stand-in backend server until SIGTERM.
    Backend(Box<cmd::backend::Args>),
    /// Sends one call.
    Call(cmd::call::Args),
    /// Sends calls at a fixed rate and prints latencies and outcomes.
    Run(cmd::run::Args),
    /// Streams one large body and compares its digest with the received one.
    Upload(cmd::upload::Args),
    /// Prints processor time and memory of running processes.
    Watch(cmd::watch::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Backend(args) => cmd::backend::run(*args).await,
        Command::Call(args) => cmd::call::run(args).await,
        Command::Run(args) => cmd::run::run(args).await,
        Command::Upload(args) => cmd::upload::run(args).await,
        Command::Watch(args) => cmd::watch::run(args).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agatehill-load: {error:#}");
            ExitCode::FAILURE
        }
    }
}
