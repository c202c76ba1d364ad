//! `agatehill contract log`.

use super::{KeeperArgs, parse_customer};
use crate::{error::CommandError, output::CommandOutput};
use agatehill_decide::name::CustomerName;
use agatehill_operator::contracts::RevisionReport;

#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Customer of the contract.
    #[arg(value_parser = parse_customer)]
    customer: CustomerName,
    #[command(flatten)]
    keepers: KeeperArgs,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub(crate) async fn run(args: Args) -> Result<CommandOutput, CommandError> {
    let revisions = args.keepers.open().revisions(&args.customer).await?;
    if args.json {
        return Ok(CommandOutput::json(&revisions));
    }
    let line = |report: &RevisionReport| {
        let RevisionReport {
            revision,
            position,
            digest,
        } = report;
        format!("revision={revision} position={position} digest={digest}")
    };
    Ok(CommandOutput::lines(revisions.iter().map(line)))
}
