//! What the backend server on this host says about itself in its responses.

use super::HostServer;
use agatehill_decide::{
    server_notice::{RequestUrgency, ServerNotice},
    server_tracker::ServerHeartbeat,
    time::MonoTime,
};
use std::time::Duration;

/// A request that the server's limit allows; given back on drop unless it is sent.
#[must_use]
pub struct ServerPermit {
    server: HostServer,
    is_sent: bool,
}

impl ServerPermit {
    /// Records that the request is sent.
    pub fn spend(&mut self) {
        self.is_sent = true;
    }
}

impl Drop for ServerPermit {
    fn drop(&mut self) {
        if !self.is_sent {
            self.server.lock().notices.give_back();
        }
    }
}

impl HostServer {
    /// Takes one request off what the server of `heartbeat` accepts.
    ///
    /// # Errors
    ///
    /// The limit that it has named is reached; holds the time after which a retry is likely to be
    /// accepted.
    pub fn take_permit(
        &self,
        heartbeat: &ServerHeartbeat,
        urgency: RequestUrgency,
    ) -> Result<ServerPermit, Duration> {
        let now = self.shared.clock.now();
        let server = heartbeat.identity();
        self.lock().notices.try_take(&server, urgency, now)?;
        Ok(ServerPermit {
            server: self.clone(),
            is_sent: false,
        })
    }

    /// Records a response to a request that was sent at `sent_at`.
    pub fn record_notice(&self, notice: &ServerNotice, sent_at: MonoTime) {
        let now = self.shared.clock.now();
        self.change_notice(notice, |state| {
            state.notices.record_response(notice, sent_at, now)
        });
    }

    /// Takes over what an entry knows of the server, unless that has responded here.
    pub fn adopt_notice(&self, notice: &ServerNotice) {
        let now = self.shared.clock.now();
        self.change_notice(notice, |state| state.notices.adopt(notice, now));
    }

    /// Returns what the present server has said; `None` without a server.
    pub fn notice(&self) -> Option<ServerNotice> {
        let state = self.lock();
        let server = state.tracker.current()?.identity();
        Some(state.notices.notice(server))
    }

    /// Applies `change` if `notice` is of the present server.
    fn change_notice(
        &self,
        notice: &ServerNotice,
        change: impl FnOnce(&mut super::HostState) -> bool,
    ) {
        let mut state = self.lock();
        if !notice.is_restrictive() && state.notices.is_settled(&notice.server) {
            return;
        }
        let current = state.tracker.current().map(ServerHeartbeat::identity);
        if current.as_ref() != Some(&notice.server) || !change(&mut state) {
            return;
        }
        let held = state.notices.notice(notice.server.clone());
        if held.is_leaving {
            state.tracker.record_leaving();
        }
        drop(state);
        report(&held);
        self.refresh();
    }
}

/// Writes a log line and sets the metrics when a statement changes.
fn report(notice: &ServerNotice) {
    let limit = notice.limit.map(|limit| limit.per_second());
    metrics::gauge!("agatehill_relay_server_limit").set(limit.unwrap_or(f64::INFINITY));
    let text = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
    spdlog::info!("server notice", kv: {
        server = notice.server.id,
        limit = text,
        leaving = notice.is_leaving
    });
}
