//! `agatehill status`.

use crate::{error::CommandError, output::CommandOutput};
use agatehill_operator::client::ContractClient;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Exit codes: 0 all answered and agree; 1 their contracts differ; 3 a process did not answer.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Operator addresses of daemons and keepers.
    #[arg(required = true, value_name = "ADDR")]
    processes: Vec<SocketAddr>,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// The fields of a process's dump that its status needs.
#[derive(Debug, Deserialize)]
struct ProcessDump {
    daemon: Option<String>,
    keeper: Option<String>,
    region: String,
    availability_zone: String,
    #[serde(default)]
    contracts: Vec<ContractDump>,
    #[serde(default)]
    servers: Vec<serde_json::Value>,
}

#[derive(Debug, Deserialize)]
struct ContractDump {
    customer: String,
    revision: u64,
}

/// The status of one process.
#[derive(Debug, Serialize)]
struct ProcessStatus {
    address: SocketAddr,
    #[serde(flatten)]
    answer: ProcessAnswer,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase", tag = "state")]
enum ProcessAnswer {
    Answered {
        role: ProcessRole,
        name: String,
        region: String,
        availability_zone: String,
        /// Revisions in force, by customer.
        contracts: BTreeMap<String, u64>,
        /// Number of backend servers on its host.
        servers: usize,
    },
    Unreachable {
        reason: String,
    },
}

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum ProcessRole {
    Daemon,
    Keeper,
}

/// Runs the command.
pub(crate) async fn run(args: Args) -> Result<CommandOutput, CommandError> {
    let client = ContractClient::new(Vec::new());
    let mut statuses = Vec::new();
    for address in args.processes {
        let answer = query(&client, address).await;
        statuses.push(ProcessStatus { address, answer });
    }
    let output = if args.json {
        CommandOutput::json(&statuses)
    } else {
        CommandOutput::lines(statuses.iter().map(ProcessStatus::line))
    };
    Ok(output.with_code(exit_code(&statuses)))
}

async fn query(client: &ContractClient, address: SocketAddr) -> ProcessAnswer {
    let dump = client.fetch_dump(address).await.map_err(|e| e.to_string());
    let parsed = dump
        .and_then(|state| serde_json::from_value::<ProcessDump>(state).map_err(|e| e.to_string()));
    match parsed.and_then(ProcessAnswer::try_from) {
        Ok(answer) => answer,
        Err(reason) => ProcessAnswer::Unreachable { reason },
    }
}

fn exit_code(statuses: &[ProcessStatus]) -> u8 {
    let mut distinct = BTreeSet::new();
    for status in statuses {
        match &status.answer {
            ProcessAnswer::Unreachable { .. } => return 3,
            ProcessAnswer::Answered { contracts, .. } => distinct.insert(contracts),
        };
    }
    u8::from(distinct.len() > 1)
}

impl TryFrom<ProcessDump> for ProcessAnswer {
    type Error = String;

    fn try_from(dump: ProcessDump) -> Result<ProcessAnswer, String> {
        let (role, name) = match (dump.daemon, dump.keeper) {
            (Some(name), None) => (ProcessRole::Daemon, name),
            (None, Some(name)) => (ProcessRole::Keeper, name),
            _ => return Err("the dump names neither a daemon nor a keeper".to_owned()),
        };
        let contracts = dump.contracts.into_iter();
        Ok(ProcessAnswer::Answered {
            role,
            name,
            region: dump.region,
            availability_zone: dump.availability_zone,
            contracts: contracts.map(|c| (c.customer, c.revision)).collect(),
            servers: dump.servers.len(),
        })
    }
}

impl ProcessStatus {
    fn line(&self) -> String {
        let address = self.address;
        match &self.answer {
            ProcessAnswer::Unreachable { reason } => format!("{address}: unreachable: {reason}"),
            ProcessAnswer::Answered {
                role,
                name,
                availability_zone,
                contracts,
                servers,
                ..
            } => {
                let role = role.as_str();
                let revisions: Vec<_> = contracts
                    .iter()
                    .map(|(customer, revision)| format!("{customer}@{revision}"))
                    .collect();
                let revisions = revisions.join(",");
                format!(
                    "{address}: {role}={name} zone={availability_zone} contracts={revisions} servers={servers}"
                )
            }
        }
    }
}

impl ProcessRole {
    fn as_str(self) -> &'static str {
        match self {
            ProcessRole::Daemon => "daemon",
            ProcessRole::Keeper => "keeper",
        }
    }
}
