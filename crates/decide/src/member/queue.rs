//! News that is still to be told, each item a bounded number of times.

use crate::name::DaemonName;

/// Times that an item is told, for each decimal digit of the number of members.
const RETRANSMIT_FACTOR: u32 = 4;

struct QueueItem {
    name: DaemonName,
    sent: u32,
}

/// Names of the members of whom there is news, least told first.
#[derive(Default)]
pub(super) struct NewsQueue {
    items: Vec<QueueItem>,
}

impl NewsQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Puts in news of `name`; older news of it is replaced.
    pub(super) fn push(&mut self, name: &DaemonName) {
        self.items.retain(|item| item.name != *name);
        let name = name.clone();
        self.items.insert(0, QueueItem { name, sent: 0 });
    }

    /// Offers the names in order to `take`, which returns whether it told the news; takes off those
    /// that have been told often enough in a zone of `members`.
    pub(super) fn tell(&mut self, members: usize, mut take: impl FnMut(&DaemonName) -> bool) {
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
