//! Measurement programs of agatehill.

mod cmd;
mod overload;

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
    Overload(cmd::overload::Args),
}

fn main() -> eyre::Result<()> {
    match Args::parse().command {
        Command::Overload(args) => cmd::overload::run(&args),
    }
}
