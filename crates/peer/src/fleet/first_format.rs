//! The messages to keepers as the builds up to 248d2bd write them, and their conversion.
//!
//! Messages have no field names, so that each change of a field is a new format. Requests are numbered in
//! both formats alike, and differ in `sync`, `share_hosts` and `exchange_keepers`.

use super::{
    CommandError, KeeperExchange, KeeperExchangeReply, KeeperRecord, SharedHosts, SyncReply,
    SyncRequest, WireKeeperRecord,
    control::{FleetControlRequest, FleetControlResponse},
    entries::{read_valid, read_valid_entry},
};
use agatehill_decide::{
    config_history::{AcceptedConfig, ConfigCommand, ConfigReply},
    host_directory::{
        DirectoryAnswer, DirectoryPosition, DirectoryQuery, HostRecord, WireHostRecord,
    },
    quarantine::CrashReport,
    replica::ReplicaEnvelope,
};
use serde::{Deserialize, Serialize};

/// A request in the first format.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum FirstRequest {
    Sync {
        request: FirstSyncRequest,
    },
    ShareHosts {
        #[serde(deserialize_with = "read_valid::<_, WireHostRecord, _>")]
        records: Vec<HostRecord>,
    },
    ExchangeKeepers {
        exchange: FirstExchange,
    },
    RunCommand {
        command: ConfigCommand,
    },
    Deliver {
        envelopes: Vec<ReplicaEnvelope>,
    },
    ShareCrashReports {
        reports: Vec<CrashReport>,
    },
}

/// A response in the first format.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum FirstResponse {
    Sync(FirstSyncReply),
    ShareHosts(()),
    ExchangeKeepers(FirstExchangeReply),
    RunCommand(Result<ConfigReply, CommandError>),
    Deliver(()),
    ShareCrashReports(()),
}

#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FirstSyncRequest {
    #[serde(deserialize_with = "read_valid_entry::<_, WireHostRecord, _>")]
    record: Option<HostRecord>,
    config_after: u64,
    /// Run of the keeper to which the numbers of changes belong.
    keeper_run: u64,
    hosts_after: u64,
    reports_after: u64,
    wait_ms: u32,
}

#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FirstSyncReply {
    is_current: bool,
    config: Option<AcceptedConfig>,
    keeper_run: u64,
    hosts_at: u64,
    #[serde(deserialize_with = "read_valid::<_, WireHostRecord, _>")]
    hosts: Vec<HostRecord>,
    reports_at: u64,
    crash_reports: Vec<CrashReport>,
    reports_digest: u64,
    #[serde(deserialize_with = "read_valid::<_, WireKeeperRecord, _>")]
    keepers: Vec<KeeperRecord>,
}

#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FirstExchange {
    /// The keepers that the sender knows, itself included.
    #[serde(deserialize_with = "read_valid::<_, WireKeeperRecord, _>")]
    keepers: Vec<KeeperRecord>,
    hosts_digest: u64,
    reports_digest: u64,
}

#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FirstExchangeReply {
    #[serde(deserialize_with = "read_valid::<_, WireKeeperRecord, _>")]
    keepers: Vec<KeeperRecord>,
    #[serde(deserialize_with = "read_valid::<_, WireHostRecord, _>")]
    hosts: Vec<HostRecord>,
    crash_reports: Vec<CrashReport>,
}

/// A request of the first format without a counterpart: an exchange that names no keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct NoSender;

impl TryFrom<FirstRequest> for FleetControlRequest {
    type Error = NoSender;

    fn try_from(request: FirstRequest) -> Result<FleetControlRequest, NoSender> {
        Ok(match request {
            FirstRequest::Sync { request } => FleetControlRequest::Sync {
                request: request.into(),
            },
            FirstRequest::ShareHosts { records } => FleetControlRequest::ShareHosts {
                hosts: SharedHosts {
                    records,
                    // Its sender sends them to all keepers.
                    is_relayed: false,
                },
            },
            FirstRequest::ExchangeKeepers { exchange } => FleetControlRequest::ExchangeKeepers {
                exchange: exchange.try_into()?,
            },
            FirstRequest::RunCommand { command } => FleetControlRequest::RunCommand { command },
            FirstRequest::Deliver { envelopes } => FleetControlRequest::Deliver { envelopes },
            FirstRequest::ShareCrashReports { reports } => {
                FleetControlRequest::ShareCrashReports { reports }
            }
        })
    }
}

impl From<&FleetControlRequest> for FirstRequest {
    fn from(request: &FleetControlRequest) -> FirstRequest {
        match request {
            FleetControlRequest::Sync { request } => FirstRequest::Sync {
                request: request.into(),
            },
            FleetControlRequest::ShareHosts { hosts } => FirstRequest::ShareHosts {
                records: hosts.records.clone(),
            },
            FleetControlRequest::ExchangeKeepers { exchange } => FirstRequest::ExchangeKeepers {
                exchange: exchange.into(),
            },
            FleetControlRequest::RunCommand { command } => FirstRequest::RunCommand {
                command: command.clone(),
            },
            FleetControlRequest::Deliver { envelopes } => FirstRequest::Deliver {
                envelopes: envelopes.clone(),
            },
            FleetControlRequest::ShareCrashReports { reports } => FirstRequest::ShareCrashReports {
                reports: reports.clone(),
            },
        }
    }
}

impl From<FirstResponse> for FleetControlResponse {
    fn from(response: FirstResponse) -> FleetControlResponse {
        match response {
            FirstResponse::Sync(reply) => FleetControlResponse::Sync(reply.into()),
            FirstResponse::ShareHosts(()) => FleetControlResponse::ShareHosts(()),
            FirstResponse::ExchangeKeepers(reply) => {
                FleetControlResponse::ExchangeKeepers(reply.into())
            }
            FirstResponse::RunCommand(reply) => FleetControlResponse::RunCommand(reply),
            FirstResponse::Deliver(()) => FleetControlResponse::Deliver(()),
            FirstResponse::ShareCrashReports(()) => FleetControlResponse::ShareCrashReports(()),
        }
    }
}

impl From<&FleetControlResponse> for FirstResponse {
    fn from(response: &FleetControlResponse) -> FirstResponse {
        match response {
            FleetControlResponse::Sync(reply) => FirstResponse::Sync(reply.into()),
            FleetControlResponse::ShareHosts(()) => FirstResponse::ShareHosts(()),
            FleetControlResponse::ExchangeKeepers(reply) => {
                FirstResponse::ExchangeKeepers(reply.into())
            }
            FleetControlResponse::RunCommand(reply) => FirstResponse::RunCommand(reply.clone()),
            FleetControlResponse::Deliver(()) => FirstResponse::Deliver(()),
            FleetControlResponse::ShareCrashReports(()) => FirstResponse::ShareCrashReports(()),
        }
    }
}

impl From<FirstSyncRequest> for SyncRequest {
    fn from(request: FirstSyncRequest) -> SyncRequest {
        SyncRequest {
            record: request.record,
            config_after: request.config_after,
            hosts: Some(DirectoryQuery {
                position: DirectoryPosition {
                    run: request.keeper_run,
                    change: request.hosts_after,
                },
                // Digests differ between the formats: the position says what the sender lacks.
                digest: 0,
            }),
            keeper_run: request.keeper_run,
            reports_after: request.reports_after,
            keepers_digest: 0,
            wait_ms: request.wait_ms,
        }
    }
}

impl From<&SyncRequest> for FirstSyncRequest {
    fn from(request: &SyncRequest) -> FirstSyncRequest {
        let position = request.hosts.map(|query| query.position);
        let position = position.filter(|position| position.run == request.keeper_run);
        FirstSyncRequest {
            record: request.record.clone(),
            config_after: request.config_after,
            keeper_run: request.keeper_run,
            hosts_after: position.map_or(0, |position| position.change),
            reports_after: request.reports_after,
            wait_ms: request.wait_ms,
        }
    }
}

impl From<FirstSyncReply> for SyncReply {
    fn from(reply: FirstSyncReply) -> SyncReply {
        SyncReply {
            is_current: reply.is_current,
            config: reply.config,
            keeper_run: reply.keeper_run,
            hosts: Some(DirectoryAnswer {
                position: DirectoryPosition {
                    run: reply.keeper_run,
                    change: reply.hosts_at,
                },
                records: reply.hosts,
                skipped: 0,
            }),
            reports_at: reply.reports_at,
            crash_reports: reply.crash_reports,
            reports_digest: reply.reports_digest,
            keepers: reply.keepers,
        }
    }
}

impl From<&SyncReply> for FirstSyncReply {
    fn from(reply: &SyncReply) -> FirstSyncReply {
        let hosts = reply.hosts.as_ref();
        FirstSyncReply {
            is_current: reply.is_current,
            config: reply.config.clone(),
            keeper_run: reply.keeper_run,
            hosts_at: hosts.map_or(0, |answer| answer.position.change),
            hosts: hosts.map_or_else(Vec::new, |answer| answer.records.clone()),
            reports_at: reply.reports_at,
            crash_reports: reply.crash_reports.clone(),
            reports_digest: reply.reports_digest,
            keepers: reply.keepers.clone(),
        }
    }
}

impl TryFrom<FirstExchange> for KeeperExchange {
    type Error = NoSender;

    fn try_from(exchange: FirstExchange) -> Result<KeeperExchange, NoSender> {
        Ok(KeeperExchange {
            // Which of them sends it isn't said; the others make themselves known.
            sender: exchange.keepers.into_iter().next().ok_or(NoSender)?,
            keepers_digest: 0,
            hosts: DirectoryQuery {
                position: DirectoryPosition::default(),
                digest: exchange.hosts_digest,
            },
            reports_digest: exchange.reports_digest,
        })
    }
}

impl From<&KeeperExchange> for FirstExchange {
    fn from(exchange: &KeeperExchange) -> FirstExchange {
        FirstExchange {
            keepers: vec![exchange.sender.clone()],
            hosts_digest: exchange.hosts.digest,
            reports_digest: exchange.reports_digest,
        }
    }
}

impl From<FirstExchangeReply> for KeeperExchangeReply {
    fn from(reply: FirstExchangeReply) -> KeeperExchangeReply {
        KeeperExchangeReply {
            keepers: reply.keepers,
            hosts: DirectoryAnswer {
                position: DirectoryPosition::default(),
                records: reply.hosts,
                skipped: 0,
            },
            crash_reports: reply.crash_reports,
        }
    }
}

impl From<&KeeperExchangeReply> for FirstExchangeReply {
    fn from(reply: &KeeperExchangeReply) -> FirstExchangeReply {
        FirstExchangeReply {
            keepers: reply.keepers.clone(),
            hosts: reply.hosts.records.clone(),
            crash_reports: reply.crash_reports.clone(),
        }
    }
}
