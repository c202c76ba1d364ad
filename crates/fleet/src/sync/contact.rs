//! Which keeper a daemon follows, and how recent its configuration is known to be.

use super::FleetSync;
use agatehill_decide::name::KeeperName;
use agatehill_peer::link::LinkReport;
use metrics::gauge;
use parking_lot::Mutex;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a confirmation after which that is logged.
const LONG_UNCONFIRMED: Duration = Duration::from_secs(2);

/// What the polls of the keepers have shown.
#[derive(Debug, Default)]
pub(super) struct KeeperContact {
    state: Mutex<ContactState>,
}

#[derive(Clone, Debug, Default)]
struct ContactState {
    preferred: Option<KeeperName>,
    confirmed: Option<Confirmation>,
    /// When the configuration that is held came.
    config_since: Option<Instant>,
}

/// A reply that no newer configuration is in force than the one that this daemon then had.
#[derive(Clone, Debug)]
struct Confirmation {
    keeper: KeeperName,
    at: Instant,
}

/// The contact with the keepers at one time, for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct ContactReport {
    /// The keeper that is polled for changes.
    pub preferred_keeper: Option<KeeperName>,
    /// The keeper that has confirmed the configuration last.
    pub confirmed_by: Option<KeeperName>,
    /// Time since then, in milliseconds.
    pub confirmed_ms: Option<u64>,
    /// Time for which the configuration has been held, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// The links to all known keepers.
    pub links: Vec<LinkReport>,
}

impl KeeperContact {
    /// Records which keeper is polled for changes from now on.
    pub(super) fn set_preferred(&self, keeper: Option<&KeeperName>) {
        self.state.lock().preferred = keeper.cloned();
    }

    /// Records a reply of `keeper`, which is in contact with the leader.
    pub(super) fn record_confirmation(&self, keeper: &KeeperName) {
        let confirmation = Confirmation {
            keeper: keeper.clone(),
            at: Instant::now(),
        };
        self.state.lock().confirmed = Some(confirmation);
    }

    /// Records that a newer configuration is held.
    pub(super) fn record_config(&self) {
        self.state.lock().config_since = Some(Instant::now());
    }

    fn confirmed_age(&self) -> Option<Duration> {
        let state = self.state.lock();
        Some(state.confirmed.as_ref()?.at.elapsed())
    }

    fn report(&self, links: Vec<LinkReport>) -> ContactReport {
        let state = self.state.lock().clone();
        let age_ms = |at: Instant| u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        ContactReport {
            preferred_keeper: state.preferred,
            confirmed_ms: state.confirmed.as_ref().map(|c| age_ms(c.at)),
            confirmed_by: state.confirmed.map(|c| c.keeper),
            config_age_ms: state.config_since.map(age_ms),
            links,
        }
    }
}

impl FleetSync {
    /// Returns which keeper is followed, and how recent the configuration is known to be.
    pub fn contact(&self) -> ContactReport {
        let links = self.shared.keepers.link_reports();
        self.shared.contact.report(links)
    }

    /// Reports the contact with the keepers at intervals, forever.
    pub(super) async fn report_contact(self) {
        let mut is_logged = false;
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let version = self.config_version();
            let age = self.shared.contact.confirmed_age();
            let seconds = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
            gauge!("agatehill_config_version").set(version as f64);
            gauge!("agatehill_config_confirmed_age_seconds").set(seconds);
            // Before the first confirmation only the gauge tells.
            let is_unconfirmed = age.is_some_and(|age| age >= LONG_UNCONFIRMED);
            if is_unconfirmed != is_logged {
                log_confirmed(!is_unconfirmed, version, &self.contact());
            }
            is_logged = is_unconfirmed;
        }
    }
}

fn log_confirmed(is_confirmed: bool, version: u64, report: &ContactReport) {
    let keeper = report.preferred_keeper.as_ref();
    let keeper = keeper.map_or("none", KeeperName::as_str);
    let confirmed_ms = report.confirmed_ms.unwrap_or(u64::MAX);
    let silent = report.links.iter().filter(|link| link.unanswered > 0);
    let silent = silent.count();
    match is_confirmed {
        true => spdlog::info!("a keeper confirms the configuration again", kv: { version, keeper }),
        false => {
            spdlog::warn!("no keeper confirms the configuration", kv: {
                version, keeper, confirmed_ms, silent
            });
        }
    }
}
