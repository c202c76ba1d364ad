//! What a keeper replies to daemons and other keepers.

use super::FleetKeeper;
use agatehill_decide::{
    config_history::{ConfigCommand, ConfigHistory, ConfigReply},
    host_directory::HostRecord,
    quarantine::CrashReport,
    replica::ReplicaEnvelope,
};
use agatehill_peer::fleet::{
    CommandError, FleetService, KeeperExchange, KeeperExchangeReply, SyncReply, SyncRequest,
};
use agatehill_replica::group::ProposeError;
use std::time::{Duration, Instant};

/// Longest time that the reply to a sync request is delayed.
const SYNC_WAIT_MAX: Duration = Duration::from_secs(5);
/// Time between two checks of a waiting sync request for contact with the leader.
const SYNC_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl FleetKeeper {
    fn has_changes(&self, request: &SyncRequest) -> bool {
        let is_same_run = request.keeper_run == self.shared.run;
        self.shared.group.read(ConfigHistory::version) > request.config_after
            || !is_same_run
            || self.directory().change_count() > request.hosts_after
            || self.shared.crash_log.change_count() > request.reports_after
    }

    fn sync_reply(&self, request: &SyncRequest) -> SyncReply {
        // Read before the state: changes applied in between only make the reply newer.
        let is_current = self.status().current;
        let newer = |history: &ConfigHistory| {
            let config = history.current()?;
            (config.version > request.config_after).then(|| config.clone())
        };
        let config = self.shared.group.read(newer);
        let is_same_run = request.keeper_run == self.shared.run;
        let (hosts_after, reports_after) = match is_same_run {
            true => (request.hosts_after, request.reports_after),
            false => (0, 0),
        };
        let strikes = self.shared.crash_log.changed_after(reports_after);
        let directory = self.directory();
        SyncReply {
            is_current,
            config,
            keeper_run: self.shared.run,
            hosts_at: directory.change_count(),
            hosts: directory.changed_after(hosts_after),
            reports_at: strikes.at,
            crash_reports: strikes.reports,
            reports_digest: strikes.digest,
            keepers: self.shared.keepers.records(),
        }
    }
}

impl FleetService for FleetKeeper {
    async fn sync(&self, request: SyncRequest) -> SyncReply {
        if let Some(record) = request.record.clone() {
            let new = self.merge(vec![record]);
            if !new.is_empty() {
                self.share_with_others(new);
            }
        }
        let wait = Duration::from_millis(request.wait_ms.into()).min(SYNC_WAIT_MAX);
        let end = Instant::now() + wait;
        let mut applied = self.shared.group.subscribe_applied();
        let mut changed = self.shared.directory_changes.subscribe();
        let mut reported = self.shared.crash_log.subscribe();
        while Instant::now() < end && self.status().current && !self.has_changes(&request) {
            let remaining = end.saturating_duration_since(Instant::now());
            tokio::select! {
                _ = applied.changed() => {}
                _ = changed.changed() => {}
                _ = reported.changed() => {}
                () = tokio::time::sleep(remaining.min(SYNC_CHECK_INTERVAL)) => {}
            }
        }
        self.sync_reply(&request)
    }

    async fn share_hosts(&self, records: Vec<HostRecord>) {
        self.merge(records);
    }

    async fn share_crash_reports(&self, reports: Vec<CrashReport>) {
        self.shared.crash_log.merge(&reports);
    }

    async fn exchange_keepers(&self, exchange: KeeperExchange) -> KeeperExchangeReply {
        self.update_records(&exchange.keepers);
        let crash_log = &self.shared.crash_log;
        let directory = self.directory();
        let is_same = directory.digest() == exchange.hosts_digest;
        KeeperExchangeReply {
            keepers: self.shared.keepers.records(),
            hosts: match is_same {
                true => Vec::new(),
                false => directory.iter().cloned().collect(),
            },
            crash_reports: match crash_log.digest() == exchange.reports_digest {
                true => Vec::new(),
                false => crash_log.changed_after(0).reports,
            },
        }
    }

    async fn run_command(&self, command: ConfigCommand) -> Result<ConfigReply, CommandError> {
        let reply = self.propose(&command).await;
        reply.map_err(|error| match error {
            ProposeError::NotLeader(_) => CommandError::NotLeader,
            ProposeError::Unknown => CommandError::Unknown,
        })
    }

    async fn deliver(&self, envelopes: Vec<ReplicaEnvelope>) {
        for envelope in envelopes {
            self.shared.group.deliver(envelope);
        }
    }
}
