//! Queue of updates to gossip, each sent a bounded number of times.

use crate::name::DaemonName;

/// Transmissions of an update per decimal digit of the number of members.
const RETRANSMIT_FACTOR: u32 = 4;

struct QueueItem {
    name: DaemonName,
    sent: u32,
}

/// Names of the members with pending updates, least transmitted first.
#[derive(Default)]
pub(super) struct UpdateQueue {
    items: Vec<QueueItem>,
}

impl UpdateQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Queues an update about `name`; replaces an older one.
    pub(super) fn push(&mut self, name: &DaemonName) {
        self.items.retain(|item| item.name != *name);
        let name = name.clone();
        self.items.insert(0, QueueItem { name, sent: 0 });
    }

    /// Passes the names in order to `take`, which returns whether it sent the update, and removes
    /// those that were sent often enough for a zone of `members`.
    pub(super) fn transmit(&mut self, members: usize, mut take: impl FnMut(&DaemonName) -> bool) {
        let limit = RETRANSMIT_FACTOR * (members.max(1).ilog10() + 1);
        for item in &mut self.items {
            if take(&item.name) {
                item.sent += 1;
            }
        }
        self.items.retain(|item| item.sent < limit);
        self.items.sort_by_key(|item| item.sent);
    }
}
