//! `agatehill contract apply`.

use super::KeeperArgs;
use crate::{
    contract_file::{self, ContractFile},
    error::CommandError,
    output::CommandOutput,
};
use agatehill_decide::name::CustomerName;
use agatehill_operator::{
    client::{ClientError, ContractClient},
    contracts::ContractReport,
};
use http::StatusCode;
use serde::Serialize;
use std::path::{Path, PathBuf};

/// All files are checked before the first contract is sent. Contracts that are already in force are
/// not sent, so the command can be retried after an answer was lost.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Files, or folders whose `.toml` files are contracts.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    #[command(flatten)]
    keepers: KeeperArgs,
    /// Prints what differs and sends nothing.
    #[arg(long)]
    dry_run: bool,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// What the command did with one file.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
enum ApplyResult {
    /// Sent and accepted.
    Accepted,
    /// Would be sent without `--dry-run`.
    Differs,
    /// Already in force.
    Unchanged,
    /// Refused by a keeper, or not sent because the revision in force is as new or newer.
    Refused,
    /// No final answer; the contract may or may not have been accepted.
    Unknown,
}

#[derive(Serialize)]
struct ApplyReport<'a> {
    file: &'a Path,
    customer: &'a CustomerName,
    revision: u64,
    result: ApplyResult,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

/// Runs the command.
pub(crate) async fn run(args: Args) -> Result<CommandOutput, CommandError> {
    let files = contract_file::read_contracts(&args.paths)?;
    let client = args.keepers.open();
    let mut reports = Vec::new();
    for file in &files {
        let (result, detail) = apply(&client, file, args.dry_run).await;
        reports.push(ApplyReport {
            file: &file.path,
            customer: &file.spec.customer,
            revision: file.spec.revision,
            result,
            detail,
        });
    }
    let code = reports.iter().map(|r| r.result.exit_code()).max();
    let output = if args.json {
        CommandOutput::json(&reports)
    } else {
        CommandOutput::lines(reports.iter().map(ApplyReport::line))
    };
    Ok(output.with_code(code.unwrap_or(0)))
}

async fn apply(
    client: &ContractClient,
    file: &ContractFile,
    dry_run: bool,
) -> (ApplyResult, Option<String>) {
    let latest = match client.get(&file.spec.customer).await {
        Ok(report) => Some(report),
        Err(ClientError::Refused { status, .. }) if status == StatusCode::NOT_FOUND => None,
        Err(error) => return failure(error),
    };
    match latest {
        Some(latest) if *latest.text == file.text => (ApplyResult::Unchanged, None),
        Some(latest) if latest.latest.revision >= file.spec.revision => superseded(&latest),
        _ if dry_run => (ApplyResult::Differs, None),
        _ => put(client, file).await,
    }
}

async fn put(client: &ContractClient, file: &ContractFile) -> (ApplyResult, Option<String>) {
    match client.put(&file.text).await {
        Ok(_) => (ApplyResult::Accepted, None),
        Err(error) => failure(error),
    }
}

fn superseded(latest: &ContractReport) -> (ApplyResult, Option<String>) {
    let revision = latest.latest.revision;
    let detail = format!("revision {revision} is in force with another text");
    (ApplyResult::Refused, Some(detail))
}

fn failure(error: ClientError) -> (ApplyResult, Option<String>) {
    let result = match error {
        ClientError::Refused { .. } | ClientError::Conflict(_) => ApplyResult::Refused,
        ClientError::Unavailable(_) => ApplyResult::Unknown,
    };
    (result, Some(error.to_string()))
}

impl ApplyResult {
    fn exit_code(self) -> u8 {
        match self {
            ApplyResult::Accepted | ApplyResult::Differs | ApplyResult::Unchanged => 0,
            ApplyResult::Refused => 1,
            ApplyResult::Unknown => 3,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            ApplyResult::Accepted => "accepted",
            ApplyResult::Differs => "differs",
            ApplyResult::Unchanged => "unchanged",
            ApplyResult::Refused => "refused",
            ApplyResult::Unknown => "unknown",
        }
    }
}

impl ApplyReport<'_> {
    fn line(&self) -> String {
        let file = self.file.display();
        let result = self.result.as_str();
        let mut line = format!(
            "{file}: {result} customer={} revision={}",
            self.customer, self.revision
        );
        if let Some(detail) = &self.detail {
            line.push_str(": ");
            line.push_str(detail);
        }
        line
    }
}
