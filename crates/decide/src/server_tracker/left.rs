//! Incarnations that have said that they leave.

use super::{HEARTBEAT_DELAY_MAX, ServerIdentity};
use crate::time::MonoTime;

/// Most incarnations that are remembered; the earliest is forgotten first.
const LEFT_MAX: usize = 16;

#[derive(Clone, Debug)]
struct LeftServer {
    identity: ServerIdentity,
    at: MonoTime,
}

/// Incarnations that never accept work again.
#[derive(Clone, Debug, Default)]
pub(super) struct LeftServers {
    servers: Vec<LeftServer>,
}

impl LeftServers {
    /// Records that `identity` has left, as was learned at `now`.
    pub(super) fn insert(&mut self, identity: ServerIdentity, now: MonoTime) {
        if self.contains(&identity) {
            return;
        }
        if self.servers.len() == LEFT_MAX {
            self.servers.remove(0);
        }
        self.servers.push(LeftServer { identity, at: now });
    }

    /// Returns whether heartbeats of `identity` are ignored: it has left, or one that started later has and
    /// heartbeats that were sent before may still be on their way.
    pub(super) fn excludes(&self, identity: &ServerIdentity, now: MonoTime) -> bool {
        let has_later_left = |left: &LeftServer| {
            identity.started_ms < left.identity.started_ms
                && now.since(left.at) < HEARTBEAT_DELAY_MAX
        };
        self.contains(identity) || self.servers.iter().any(has_later_left)
    }

    /// Returns the incarnation that started last.
    pub(super) fn latest(&self) -> Option<&ServerIdentity> {
        let identities = self.servers.iter().map(|left| &left.identity);
        identities.max_by_key(|identity| identity.started_ms)
    }

    fn contains(&self, identity: &ServerIdentity) -> bool {
        self.servers.iter().any(|left| left.identity == *identity)
    }
}
