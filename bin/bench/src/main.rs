//! Benchmarks of agatehill.

mod cmd;
mod cost;
mod overload;

use clap::{Parser, Subcommand};

/// Measures the cost and the effect of agatehill's decisions.
#[derive(Debug, Parser)]
#[command(name = "agatehill-bench", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Claims(cmd::claims::Args),
    Contracts(cmd::contracts::Args),
    Digests(cmd::digests::Args),
    Members(cmd::members::Args),
    Keepers(cmd::keepers::Args),
    Notices(cmd::notices::Args),
    Overload(cmd::overload::Args),
    Quarantine(cmd::quarantine::Args),
    Routes(cmd::routes::Args),
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Claims(args) => cmd::claims::run(&args),
        Command::Contracts(args) => cmd::contracts::run(&args),
        Command::Digests(args) => cmd::digests::run(&args),
        Command::Members(args) => cmd::members::run(&args),
        Command::Keepers(args) => cmd::keepers::run(&args),
        Command::Notices(args) => cmd::notices::run(&args),
        Command::Overload(args) => cmd::overload::run(&args),
        Command::Quarantine(args) => cmd::quarantine::run(&args),
        Command::Routes(args) => cmd::routes::run(&args),
    }
}
