//! The backend servers that have left this host: stored at the keepers, and adopted by the daemon's next run.

use super::{FleetSync, poll::PollPurpose};
use crate::keeper_map::KnownKeeper;
use agatehill_decide::{host_directory::HostRecord, server_tracker::ServerIdentity};
use agatehill_peer::link::RetryLimits;
use futures_util::{
    future::ready,
    stream::{FuturesUnordered, StreamExt},
};
use parking_lot::Mutex;
use std::time::Duration;
use tokio::{sync::watch, time::timeout};

/// Longest wait for the keepers that a leave is stored at; below the second for which a server waits for its
/// acknowledgement.
const STORE_TIMEOUT: Duration = Duration::from_millis(850);
/// Timeouts of a poll that stores a leave. A try over a connection that has gone silent leaves time for another one.
pub(super) const STORE_LIMITS: RetryLimits = RetryLimits {
    total: STORE_TIMEOUT,
    attempt: Duration::from_millis(400),
};

/// What is known of the servers that have left.
#[derive(Debug, Default)]
pub(super) struct LeaveState {
    /// The server that had left this host, as an earlier run of the daemon told the keepers.
    before: watch::Sender<Option<ServerIdentity>>,
    /// The last server that has left this host and is stored at enough keepers.
    stored: Mutex<Option<ServerIdentity>>,
}

impl FleetSync {
    /// Subscribes to the server that had left this host before the daemon started.
    pub fn left_before(&self) -> watch::Receiver<Option<ServerIdentity>> {
        self.shared.leaves.before.subscribe()
    }

    /// Stores at the keepers that `left` accepts no new work. Returns whether enough of them have saved it, so
    /// that no restart of daemons and keepers makes it forgotten; the others get it too.
    pub async fn store_left(&self, left: ServerIdentity) -> bool {
        let left = self.add_left(left);
        if *self.shared.leaves.stored.lock() == left {
            return true;
        }
        let stored = timeout(STORE_TIMEOUT, self.publish_to_all()).await;
        let is_stored = stored.is_ok_and(|copies| copies >= self.shared.options.leave_copies);
        if is_stored {
            *self.shared.leaves.stored.lock() = left;
        }
        is_stored
    }

    /// Adds a server that has left to this daemon's record. Returns the one that the record names, which
    /// started last: it stands for all that started before.
    fn add_left(&self, left: ServerIdentity) -> Option<ServerIdentity> {
        let mut record = self.record();
        let latest = ServerIdentity::latest(Some(left), record.left.clone());
        if record.left != latest {
            record.left.clone_from(&latest);
            record.sequence += 1;
        }
        latest
    }

    /// Sends this daemon's record to all keepers. Returns the number of replies, without waiting for more of
    /// them than a leave needs.
    async fn publish_to_all(&self) -> usize {
        let publish = |keeper: KnownKeeper| {
            let sync = self.clone();
            tokio::spawn(async move { sync.poll(&keeper, PollPurpose::Store).await })
        };
        let keepers = self.shared.keepers.list().into_iter();
        let polls: FuturesUnordered<_> = keepers.map(publish).collect();
        let replies = polls.filter(|polled| ready(matches!(polled, Ok(Some(_)))));
        replies.take(self.shared.options.leave_copies).count().await
    }

    /// Takes over the server that had left this host from `known`, a record of an earlier run or one that
    /// the keepers have completed from it.
    pub(super) fn adopt_left(&self, known: &HostRecord) {
        let mut record = self.record();
        let latest = ServerIdentity::latest(record.left.clone(), known.left.clone());
        if record.left == latest {
            return;
        }
        record.left.clone_from(&latest);
        drop(record);
        self.shared.leaves.before.send_replace(latest);
    }
}
