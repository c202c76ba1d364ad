//! `agatehill contract check`.

use crate::{
    contract_file::{self, ContractFile},
    error::CommandError,
    output::CommandOutput,
};
use agatehill_decide::name::CustomerName;
use serde::Serialize;
use std::path::PathBuf;

#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Files, or folders whose `.toml` files are contracts.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Serialize)]
struct CheckReport<'a> {
    file: &'a PathBuf,
    customer: &'a CustomerName,
    revision: u64,
    operations: usize,
}

/// Runs the command.
pub(crate) fn run(args: Args) -> Result<CommandOutput, CommandError> {
    let files = contract_file::read_contracts(&args.paths)?;
    let reports: Vec<_> = files.iter().map(CheckReport::from).collect();
    if args.json {
        return Ok(CommandOutput::json(&reports));
    }
    Ok(CommandOutput::lines(reports.iter().map(CheckReport::line)))
}

impl<'a> From<&'a ContractFile> for CheckReport<'a> {
    fn from(file: &'a ContractFile) -> CheckReport<'a> {
        CheckReport {
            file: &file.path,
            customer: &file.spec.customer,
            revision: file.spec.revision,
            operations: file.spec.operations.len(),
        }
    }
}

impl CheckReport<'_> {
    fn line(&self) -> String {
        let CheckReport {
            file,
            customer,
            revision,
            operations,
        } = self;
        let file = file.display();
        format!("{file}: customer={customer} revision={revision} operations={operations}")
    }
}
