//! Headers with what a backend server says about itself: the server's own, and those between daemons.

use crate::headers::HeaderNames;
use agatehill_decide::{
    server_notice::{RequestRate, ServerNotice},
    server_tracker::{ServerHeartbeat, ServerIdentity},
    time::MonoTime,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::{collections::HashMap, net::SocketAddr};

/// Carries a [`ServerNotice`] between daemons.
pub(crate) const NOTICE: HeaderName = HeaderName::from_static("agatehill-server-notice");
/// Stands for a server that has named no limit.
const NO_LIMIT: &str = "-";

/// Returns what the response of the server of `heartbeat` with the headers `headers` says; `None` if its
/// limit is no valid number, so that nothing is known.
pub(crate) fn read_response(
    headers: &HeaderMap,
    names: &HeaderNames,
    heartbeat: &ServerHeartbeat,
) -> Option<ServerNotice> {
    let limit = match headers.get(&names.server_limit) {
        Some(value) => Some(parse_limit(value, heartbeat)?),
        None => None,
    };
    let leaving = headers.get(&names.server_leaving);
    Some(ServerNotice {
        server: heartbeat.identity(),
        limit,
        is_leaving: leaving.is_some_and(|value| value == "1"),
    })
}

/// Writes `notice` into `headers`; an identity that is no valid header value is left out.
pub(crate) fn write(notice: &ServerNotice, headers: &mut HeaderMap) {
    let limit = notice.limit.map(|limit| limit.to_string());
    let text = format!(
        "{} {} {} {}",
        limit.as_deref().unwrap_or(NO_LIMIT),
        u8::from(notice.is_leaving),
        notice.server.started_ms,
        notice.server.id
    );
    if let Ok(value) = HeaderValue::try_from(text) {
        headers.insert(NOTICE, value);
    }
}

/// Removes the notice from `headers`; returns `None` if it is missing or malformed.
pub(crate) fn take(headers: &mut HeaderMap) -> Option<ServerNotice> {
    let value = headers.remove(NOTICE)?;
    let mut fields = value.to_str().ok()?.splitn(4, ' ');
    let limit = match fields.next()? {
        NO_LIMIT => None,
        text => Some(text.parse().ok()?),
    };
    let is_leaving = fields.next()? == "1";
    let started_ms = fields.next()?.parse().ok()?;
    let id = fields.next()?.to_owned();
    Some(ServerNotice {
        server: ServerIdentity { id, started_ms },
        limit,
        is_leaving,
    })
}

/// What an entry knows of the servers behind the gates that it uses.
#[derive(Debug, Default)]
pub(crate) struct KnownNotices {
    /// With the time at which each was learned.
    gates: HashMap<SocketAddr, (ServerNotice, MonoTime)>,
}

impl KnownNotices {
    /// Returns what is known of the server behind `gate`.
    pub(crate) fn get(&self, gate: SocketAddr) -> Option<&ServerNotice> {
        Some(&self.gates.get(&gate)?.0)
    }

    /// Records what `gate` said of its server with the result of a request that was sent at `sent_at`.
    pub(crate) fn record(
        &mut self,
        gate: SocketAddr,
        notice: &ServerNotice,
        sent_at: MonoTime,
        now: MonoTime,
    ) {
        if notice.is_restrictive() {
            self.gates.insert(gate, (notice.clone(), now));
            return;
        }
        // A result may be overtaken by one that names a limit.
        let is_overtaken = |(_, at): &(ServerNotice, MonoTime)| *at > sent_at;
        if !self.gates.get(&gate).is_some_and(is_overtaken) {
            self.gates.remove(&gate);
        }
    }
}

fn parse_limit(value: &HeaderValue, heartbeat: &ServerHeartbeat) -> Option<RequestRate> {
    let limit = value.to_str().ok().and_then(|text| text.parse().ok());
    if limit.is_none() {
        metrics::counter!("agatehill_relay_bad_server_limits").increment(1);
        spdlog::debug!("cannot parse the server's limit", kv: {
            server = heartbeat.id.as_str(),
            limit = format!("{value:?}")
        });
    }
    limit
}
