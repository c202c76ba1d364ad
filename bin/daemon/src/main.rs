//! The daemon, which runs on every backend server host.

mod budget;
mod cmd;
mod dump;
mod feed;
mod peer_monitor;
mod route_updater;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Accepts calls, routes them and controls admission to the backend servers on its host.
#[derive(Debug, Parser)]
#[command(name = "agatehill-daemon", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the daemon until SIGTERM or `POST /drain`.
    Serve(cmd::serve::Args),
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Serve(args) => cmd::serve::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("agatehill-daemon: {report:#}");
            ExitCode::FAILURE
        }
    }
}
