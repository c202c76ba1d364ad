//! Measurement programs of agatehill.

mod cmd;
mod slope;

use clap::{Parser, Subcommand};

/// Measures the decisions of agatehill.
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
    Routes(cmd::routes::Args),
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Claims(args) => cmd::claims::run(&args),
        Command::Contracts(args) => cmd::contracts::run(&args),
        Command::Routes(args) => cmd::routes::run(&args),
    }
}
