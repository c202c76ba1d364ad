//! `agatehill contract`.

mod apply;
mod check;
mod get;
mod list;
mod log;

use crate::{error::CommandError, output::CommandOutput};
use agatehill_decide::name::CustomerName;
use agatehill_operator::client::ContractClient;
use clap::Subcommand;
use std::net::SocketAddr;

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Puts those contracts in files in force that differ from the current ones.
    Apply(apply::Args),
    /// Checks contracts in files without contacting a keeper.
    Check(check::Args),
    /// Prints the contract in force for one customer.
    Get(get::Args),
    /// Lists the contracts in force.
    List(list::Args),
    /// Lists the accepted revisions of one customer's contract.
    Log(log::Args),
}

/// Runs the subcommand.
pub(crate) async fn run(command: Command) -> Result<CommandOutput, CommandError> {
    match command {
        Command::Apply(args) => apply::run(args).await,
        Command::Check(args) => check::run(args),
        Command::Get(args) => get::run(args).await,
        Command::List(args) => list::run(args).await,
        Command::Log(args) => log::run(args).await,
    }
}

/// The keepers to contact.
#[derive(clap::Args, Debug)]
struct KeeperArgs {
    /// Operator address of a keeper; repeatable, tried in turn until one answers.
    #[arg(
        long = "keeper",
        value_name = "ADDR",
        required = true,
        env = "AGATEHILL_KEEPERS",
        value_delimiter = ','
    )]
    keepers: Vec<SocketAddr>,
}

impl KeeperArgs {
    fn open(self) -> ContractClient {
        ContractClient::new(self.keepers)
    }
}

fn parse_customer(text: &str) -> Result<CustomerName, String> {
    CustomerName::try_from(text).map_err(|e| e.to_string())
}
