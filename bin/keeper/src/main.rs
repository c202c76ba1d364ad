//! The keeper: stores agatehill's replicated state on hosts with a disk.

mod budget;
mod cmd;
mod hub;
mod service;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Stores contracts and claims on disk, replicated across the keepers.
#[derive(Debug, Parser)]
#[command(name = "agatehill-keeper", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the keeper until SIGTERM or `POST /drain`.
    Serve(cmd::serve::Args),
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Serve(args) => cmd::serve::run(args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("agatehill-keeper: {report:#}");
            ExitCode::FAILURE
        }
    }
}
