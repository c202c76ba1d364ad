//! `agatehill dump`.

use crate::{error::CommandError, output::CommandOutput};
use agatehill_operator::client::ContractClient;
use std::net::SocketAddr;

#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Operator address of a daemon or keeper.
    #[arg(value_name = "ADDR")]
    process: SocketAddr,
}

/// Runs the command.
pub(crate) async fn run(args: Args) -> Result<CommandOutput, CommandError> {
    let client = ContractClient::new(Vec::new());
    let state = client.fetch_dump(args.process).await?;
    Ok(CommandOutput::json(&state))
}
