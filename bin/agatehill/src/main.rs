//! The command line tool for operators: contracts, settings and the state of processes.

mod cmd;
mod contract_file;
mod error;
mod output;

use crate::{error::CommandError, output::CommandOutput};
use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Manages agatehill's contracts, checks settings and shows the state of processes.
///
/// Exit codes: 0 success; 1 refused, conflict, or processes that disagree; 2 invalid command line,
/// file or contract; 3 no answer, and what was sent may or may not be in force.
#[derive(Debug, Parser)]
#[command(name = "agatehill", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks, applies and prints contracts.
    #[command(subcommand)]
    Contract(cmd::contract::Command),
    /// Prints the state of one daemon or keeper as JSON.
    Dump(cmd::dump::Args),
    /// Checks settings files.
    #[command(subcommand)]
    Settings(cmd::settings::Command),
    /// Shows the status of daemons and keepers, with the contracts in force at each.
    Status(cmd::status::Args),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Contract(command) => cmd::contract::run(command).await,
        Command::Dump(args) => cmd::dump::run(args).await,
        Command::Settings(command) => cmd::settings::run(command),
        Command::Status(args) => cmd::status::run(args).await,
    };
    result
        .and_then(CommandOutput::print)
        .unwrap_or_else(CommandError::print)
}
