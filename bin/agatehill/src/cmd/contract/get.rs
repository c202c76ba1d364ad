//! `agatehill contract get`.

use super::{KeeperArgs, parse_customer};
use crate::{error::CommandError, output::CommandOutput};
use agatehill_decide::name::CustomerName;

#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Customer of the contract.
    #[arg(value_parser = parse_customer)]
    customer: CustomerName,
    #[command(flatten)]
    keepers: KeeperArgs,
    /// Prints JSON, with the log position and digest of the revision.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub(crate) async fn run(args: Args) -> Result<CommandOutput, CommandError> {
    let report = args.keepers.open().get(&args.customer).await?;
    if args.json {
        return Ok(CommandOutput::json(&report));
    }
    let text = report.text.strip_suffix('\n').unwrap_or(&report.text);
    Ok(CommandOutput::lines([text.to_owned()]))
}
