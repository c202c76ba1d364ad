//! One poll of a keeper: what a daemon asks, and what it takes over from the reply.

use super::{FleetSync, leave::STORE_LIMITS};
use crate::{keeper_map::KnownKeeper, report_sender};
use agatehill_decide::{
    config_history::AcceptedConfig,
    host_directory::{DirectoryPosition, DirectoryQuery, HostRecord},
    keeper_poller::{LONG_POLL_GRACE, LONG_POLL_WAIT, POLL_ALL_TIMEOUT},
    name::{Incarnation, KeeperName},
};
use agatehill_peer::{
    fleet::{SyncReply, SyncRequest, record_skipped},
    link::RetryLimits,
};
use parking_lot::MutexGuard;
use std::{collections::HashMap, time::Duration};

/// Position in the changes of one keeper.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SyncPosition {
    hosts: DirectoryPosition,
    /// Run of the keeper to which `reports_at` belongs.
    keeper_run: u64,
    reports_at: u64,
}

/// What a poll is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PollPurpose {
    /// All changes; the keeper may delay its reply until there is one.
    Changes,
    /// The changes so far.
    ChangesSoFar,
    /// Publishing the daemon's record, or whether the keeper is in contact with the leader.
    Contact,
    /// Storing the server that has left, with the daemon's record.
    Store,
}

impl PollPurpose {
    fn asks_for_hosts(self) -> bool {
        matches!(self, PollPurpose::Changes | PollPurpose::ChangesSoFar)
    }

    /// Returns the time for which the keeper may delay its reply.
    fn wait(self) -> Duration {
        match self {
            PollPurpose::Changes => LONG_POLL_WAIT,
            PollPurpose::ChangesSoFar | PollPurpose::Contact | PollPurpose::Store => Duration::ZERO,
        }
    }

    /// Returns the time limits of the poll. The link applies them, so that no caller stops waiting before the link has
    /// noticed that the connection is dead.
    fn limits(self) -> RetryLimits {
        let limit = match self {
            PollPurpose::Changes => LONG_POLL_WAIT + LONG_POLL_GRACE,
            PollPurpose::ChangesSoFar | PollPurpose::Contact => POLL_ALL_TIMEOUT,
            PollPurpose::Store => return STORE_LIMITS,
        };
        RetryLimits {
            total: limit,
            attempt: limit,
        }
    }
}

impl FleetSync {
    /// Polls `keeper` and applies the reply. Returns `None` if none arrives in time.
    pub(super) async fn poll(
        &self,
        keeper: &KnownKeeper,
        purpose: PollPurpose,
    ) -> Option<SyncReply> {
        let wait = purpose.wait();
        let position = self.position(&keeper.name);
        let request = SyncRequest {
            record: Some(self.record().clone()),
            config_after: self.config_version(),
            hosts: purpose.asks_for_hosts().then(|| DirectoryQuery {
                position: position.hosts,
                digest: self.directory().digest(),
            }),
            keeper_run: position.keeper_run,
            reports_after: position.reports_at,
            keepers_digest: self.shared.keepers.digest(),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let limits = purpose.limits();
        let sent = keeper
            .link
            .call_idempotent(limits, |client, ctx| async move {
                client.sync(ctx, request).await
            });
        let reply = sent.await.ok()?;
        self.apply(&reply);
        if reply.is_current {
            self.shared.contact.record_confirmation(&keeper.name);
        }
        self.set_position(&keeper.name, position, &reply);
        report_sender::send_missing(self, keeper, &reply);
        // Only then this daemon's own record of an earlier run is known.
        let has_all = reply.hosts.as_ref().is_some_and(|answer| !answer.is_full());
        if reply.is_current && has_all {
            self.shared.has_synced.send_replace(true);
        }
        Some(reply)
    }

    fn apply(&self, reply: &SyncReply) {
        self.shared.keepers.update_records(&reply.keepers);
        // First the strikes: a daemon that has just started serves nothing without a configuration.
        self.shared.options.quarantine.merge(&reply.crash_reports);
        if let Some(config) = &reply.config {
            self.apply_config(config);
        }
        let hosts = reply.hosts.as_ref();
        record_skipped(hosts.map_or(0, |answer| answer.skipped));
        let hosts = hosts.map_or(&[][..], |answer| &answer.records);
        let mut directory = self.directory();
        let merged = hosts.iter().filter(|r| directory.merge((*r).clone()));
        if merged.count() > 0 {
            self.shared
                .directory_changes
                .send_modify(|changes| *changes += 1);
        }
        drop(directory);
        let gate = self.shared.options.gate_addr;
        if let Some(own) = hosts.iter().find(|record| record.gate == gate) {
            self.supersede(own);
            self.adopt_left(own);
        }
    }

    /// Stores a configuration if it is newer than the one held.
    fn apply_config(&self, config: &AcceptedConfig) {
        self.shared.config.send_if_modified(|held| {
            let is_newer = held.as_ref().is_none_or(|h| h.version < config.version);
            if is_newer {
                self.shared.contact.record_config();
                *held = Some(config.clone());
            }
            is_newer
        });
    }

    /// Raises this daemon's incarnation above that of `known`, the record of an earlier run, which is
    /// larger if the clock was set back in between.
    fn supersede(&self, known: &HostRecord) {
        let mut record = self.record();
        if known.run > record.run {
            // Doesn't overflow: records with larger numbers are left out when they are read.
            record.run = Incarnation(known.run.0 + 1);
        }
    }

    fn position(&self, keeper: &KeeperName) -> SyncPosition {
        self.positions().get(keeper).copied().unwrap_or_default()
    }

    /// Records how far `reply` leads from `position`.
    fn set_position(&self, keeper: &KeeperName, position: SyncPosition, reply: &SyncReply) {
        let hosts = reply.hosts.as_ref();
        let position = SyncPosition {
            hosts: hosts.map_or(position.hosts, |answer| answer.position),
            keeper_run: reply.keeper_run,
            reports_at: reply.reports_at,
        };
        self.positions().insert(keeper.clone(), position);
    }

    fn positions(&self) -> MutexGuard<'_, HashMap<KeeperName, SyncPosition>> {
        self.shared.positions.lock()
    }
}
