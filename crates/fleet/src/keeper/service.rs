//! What a keeper replies to daemons and other keepers.

use super::FleetKeeper;
use crate::host_sharing::ShareScope;
use agatehill_decide::{
    config_history::{ConfigCommand, ConfigHistory, ConfigReply},
    host_directory::DirectoryQuery,
    quarantine::CrashReport,
    replica::ReplicaEnvelope,
};
use agatehill_peer::fleet::{
    CommandError, FleetService, KeeperExchange, KeeperExchangeReply, KeeperRecord, SharedHosts,
    SyncReply, SyncRequest,
};
use agatehill_replica::group::ProposeError;
use std::time::{Duration, Instant};

/// Longest time that the reply to a sync request is delayed.
const SYNC_WAIT_MAX: Duration = Duration::from_secs(5);
/// Time between two checks of a waiting sync request for contact with the leader.
const SYNC_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which new host records are collected before they are sent to a daemon.
const HOSTS_BATCH_DELAY: Duration = Duration::from_millis(50);

impl FleetKeeper {
    /// Returns whether there is something new that is sent at once.
    fn has_urgent_changes(&self, request: &SyncRequest) -> bool {
        self.shared.group.read(ConfigHistory::version) > request.config_after
            || request.keeper_run != self.shared.run
            || self.shared.crash_log.change_count() > request.reports_after
    }

    fn has_new_hosts(&self, request: &SyncRequest) -> bool {
        let is_behind = |query: &DirectoryQuery| {
            query.position.run != self.shared.run
                || self.directory().change_count() > query.position.change
        };
        request.hosts.as_ref().is_some_and(is_behind)
    }

    fn sync_reply(&self, request: &SyncRequest) -> SyncReply {
        // Read before the state: changes applied in between only make the reply newer.
        let is_current = self.is_current();
        let newer = |history: &ConfigHistory| {
            let config = history.current()?;
            (config.version > request.config_after).then(|| config.clone())
        };
        let config = self.shared.group.read(newer);
        let reports_after = match request.keeper_run == self.shared.run {
            true => request.reports_after,
            false => 0,
        };
        let strikes = self.shared.crash_log.changed_after(reports_after);
        let answer = |query| self.directory().answer(query, self.shared.run);
        SyncReply {
            is_current,
            config,
            keeper_run: self.shared.run,
            hosts: request.hosts.as_ref().map(answer),
            reports_at: strikes.at,
            crash_reports: strikes.reports,
            reports_digest: strikes.digest,
            keepers: self.keepers_unless(request.keepers_digest),
        }
    }

    /// Returns the known keepers, or none if `digest` is theirs.
    fn keepers_unless(&self, digest: u64) -> Vec<KeeperRecord> {
        match self.shared.keepers.digest() == digest {
            true => Vec::new(),
            false => self.shared.keepers.records(),
        }
    }

    /// Waits until a reply to `request` has something to tell, until `end` at most.
    async fn wait_changes(&self, request: &SyncRequest, end: Instant) {
        let mut applied = self.shared.group.subscribe_applied();
        let mut changed = self.shared.directory_changes.subscribe();
        let mut reported = self.shared.crash_log.subscribe();
        let mut end = end;
        let mut has_new_hosts = false;
        while Instant::now() < end && self.is_current() && !self.has_urgent_changes(request) {
            if !has_new_hosts && self.has_new_hosts(request) {
                has_new_hosts = true;
                end = end.min(Instant::now() + HOSTS_BATCH_DELAY);
            }
            let remaining = end.saturating_duration_since(Instant::now());
            tokio::select! {
                _ = applied.changed() => {}
                _ = changed.changed(), if !has_new_hosts => {}
                _ = reported.changed() => {}
                () = tokio::time::sleep(remaining.min(SYNC_CHECK_INTERVAL)) => {}
            }
        }
    }
}

impl FleetService for FleetKeeper {
    async fn sync(&self, request: SyncRequest) -> SyncReply {
        if let Some(record) = request.record.clone() {
            let gate = record.gate;
            let new = self.merge(vec![record]);
            self.shared.share_queue.add(new, ShareScope::All);
            // The reply tells the daemon that the server that has left its host is saved.
            self.shared.leave_log.wait_saved(gate).await;
        }
        let wait = Duration::from_millis(request.wait_ms.into()).min(SYNC_WAIT_MAX);
        self.wait_changes(&request, Instant::now() + wait).await;
        self.sync_reply(&request)
    }

    async fn share_hosts(&self, hosts: SharedHosts) {
        let new = self.merge(hosts.records);
        if hosts.is_relayed {
            self.shared.share_queue.add(new, ShareScope::Region);
        }
    }

    async fn share_crash_reports(&self, reports: Vec<CrashReport>) {
        self.shared.crash_log.merge(&reports);
    }

    async fn exchange_keepers(&self, exchange: KeeperExchange) -> KeeperExchangeReply {
        self.update_records(std::slice::from_ref(&exchange.sender));
        let crash_log = &self.shared.crash_log;
        KeeperExchangeReply {
            keepers: self.keepers_unless(exchange.keepers_digest),
            hosts: self.directory().answer(&exchange.hosts, self.shared.run),
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
