//! How the crash reports of a daemon reach the others.

use agatehill_decide::quarantine::CrashReport;
use agatehill_peer::crash_report::CrashReportClient;
use arc_swap::ArcSwap;
use parking_lot::{Mutex, MutexGuard};
use std::{future::Future, mem, net::SocketAddr, sync::Arc};
use tokio::sync::Notify;

/// Sends the crash reports of a daemon to the others.
pub trait CrashReportTransport: Clone + Send + Sync + 'static {
    /// Sends `reports` and returns the reports that come back in reply.
    fn exchange(&self, reports: Vec<CrashReport>) -> impl Future<Output = Vec<CrashReport>> + Send;
}

/// Sends reports to the daemons of the zone and waits for their replies.
#[derive(Clone, Debug)]
pub struct ZoneTransport {
    client: CrashReportClient,
    /// Forward addresses of the other daemons of the zone.
    peers: Arc<ArcSwap<Vec<SocketAddr>>>,
}

impl ZoneTransport {
    /// Opens a transport without peers.
    pub fn open() -> ZoneTransport {
        ZoneTransport {
            client: CrashReportClient::open(),
            peers: Arc::default(),
        }
    }

    /// Sets the forward addresses of the zone's other daemons; returns those that are new.
    pub(super) fn set_peers(&self, peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let old = self.peers.swap(Arc::new(peers.clone()));
        peers
            .into_iter()
            .filter(|peer| !old.contains(peer))
            .collect()
    }

    /// Sends `reports` to `peers` alone.
    pub(super) async fn send_to(&self, peers: &[SocketAddr], reports: &[CrashReport]) {
        self.client.exchange(peers, reports).await;
    }
}

impl CrashReportTransport for ZoneTransport {
    async fn exchange(&self, reports: Vec<CrashReport>) -> Vec<CrashReport> {
        self.client.exchange(&self.peers.load(), &reports).await
    }
}

/// Reports that wait to be sent by another task; clones share them.
#[derive(Clone, Debug, Default)]
pub struct CrashReportQueue {
    shared: Arc<QueueShared>,
}

#[derive(Debug, Default)]
struct QueueShared {
    reports: Mutex<Vec<CrashReport>>,
    added: Notify,
}

impl CrashReportQueue {
    /// Adds `reports`.
    pub fn push(&self, reports: impl IntoIterator<Item = CrashReport>) {
        self.lock().extend(reports);
        self.shared.added.notify_one();
    }

    /// Waits for reports and takes all of them.
    pub async fn take(&self) -> Vec<CrashReport> {
        loop {
            let reports = mem::take(&mut *self.lock());
            if !reports.is_empty() {
                return reports;
            }
            self.shared.added.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<CrashReport>> {
        self.shared.reports.lock()
    }
}

impl CrashReportTransport for CrashReportQueue {
    async fn exchange(&self, reports: Vec<CrashReport>) -> Vec<CrashReport> {
        self.push(reports);
        Vec::new()
    }
}
