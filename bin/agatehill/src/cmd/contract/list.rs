//! `agatehill contract list`.

use super::KeeperArgs;
use crate::{error::CommandError, output::CommandOutput};

#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    #[command(flatten)]
    keepers: KeeperArgs,
    /// Prints JSON, with the text of each contract.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub(crate) async fn run(args: Args) -> Result<CommandOutput, CommandError> {
    let mut reports = args.keepers.open().list().await?;
    reports.sort_by(|a, b| a.customer.cmp(&b.customer));
    if args.json {
        return Ok(CommandOutput::json(&reports));
    }
    let line = |report: &agatehill_operator::contracts::ContractReport| {
        let latest = &report.latest;
        format!(
            "customer={} revision={} position={} digest={}",
            report.customer, latest.revision, latest.position, latest.digest
        )
    };
    Ok(CommandOutput::lines(reports.iter().map(line)))
}
