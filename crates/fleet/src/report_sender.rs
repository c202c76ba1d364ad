//! Sends a daemon's crash reports to all keepers: each hands them on to the daemons that poll it.

use crate::{keeper_map::KnownKeeper, sync::FleetSync};
use agatehill_backend::quarantine::CrashReportQueue;
use agatehill_decide::{keeper_poller::POLL_RETRY_PAUSE, quarantine::CrashReport};
use agatehill_peer::fleet::{FleetLink, SyncReply};
use futures_util::stream::{FuturesUnordered, StreamExt};
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinHandle,
    time::{Instant, timeout_at},
};

/// Timeout of a message with reports.
const SEND_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which reports are collected that only clear requests; strikes are sent at once.
const CLEAR_DELAY: Duration = Duration::from_millis(100);

/// Time for which a keeper's strikes must differ from the daemon's before it is sent all of them.
/// Longer than reports are on their way.
const MISMATCH_DELAY: Duration = Duration::from_secs(1);

/// Since when the keepers' strikes have differed from the daemon's.
#[derive(Debug, Default)]
pub(crate) struct StrikeMismatch {
    since: Mutex<Option<Instant>>,
}

impl StrikeMismatch {
    /// Records whether the strikes differ now; returns whether it is time to send all of them.
    fn record(&self, differs: bool) -> bool {
        let now = Instant::now();
        let mut since = self.since.lock();
        if !differs {
            *since = None;
            return false;
        }
        let began = *since.get_or_insert(now);
        let is_due = now >= began + MISMATCH_DELAY;
        if is_due {
            *since = Some(now);
        }
        is_due
    }
}

/// Sends the queued reports, forever.
pub(crate) async fn send_reports(sync: FleetSync) {
    let queue = sync.shared.options.quarantine.transport().clone();
    loop {
        let reports = next_batch(&queue).await;
        while !send_to_any(&sync.shared.keepers.list(), &reports).await {
            tokio::time::sleep(POLL_RETRY_PAUSE).await;
        }
    }
}

/// Sends all strikes to `keeper` if its replies show that it lacks some.
pub(crate) fn send_missing(sync: &FleetSync, keeper: &KnownKeeper, reply: &SyncReply) {
    let quarantine = &sync.shared.options.quarantine;
    let differs = quarantine.digest() != reply.reports_digest;
    if sync.shared.strike_mismatch.record(differs) {
        tokio::spawn(send(keeper.link.clone(), quarantine.reports()));
    }
}

async fn next_batch(queue: &CrashReportQueue) -> Vec<CrashReport> {
    let mut batch = queue.take().await;
    let end = Instant::now() + CLEAR_DELAY;
    while batch.iter().all(|report| report.cleared) {
        match timeout_at(end, queue.take()).await {
            Ok(more) => batch.extend(more),
            Err(_) => break,
        }
    }
    batch
}

/// Sends `reports` to all of `keepers`; returns as soon as one has them, or whether any has.
///
/// Keepers that miss them get them from the others.
async fn send_to_any(keepers: &[KnownKeeper], reports: &[CrashReport]) -> bool {
    let send_to = |keeper: &KnownKeeper| tokio::spawn(send(keeper.link.clone(), reports.to_vec()));
    let mut sends: FuturesUnordered<JoinHandle<bool>> = keepers.iter().map(send_to).collect();
    while let Some(sent) = sends.next().await {
        if sent.is_ok_and(|is_sent| is_sent) {
            return true;
        }
    }
    false
}

/// Sends `reports` over `link`; returns whether the keeper has them.
async fn send(link: Arc<FleetLink>, reports: Vec<CrashReport>) -> bool {
    let sent = link.call(SEND_TIMEOUT, |client, ctx| async move {
        client.share_crash_reports(ctx, reports).await
    });
    sent.await.is_ok()
}
