//! Choice of the keeper that a daemon polls for changes, its preferred keeper. This is the nearest
//! one until it stops replying or loses contact with the leader. Then all keepers are polled at
//! once, and the nearest of those that are in contact with the leader becomes the preferred one.

use crate::name::KeeperName;
use std::time::Duration;

/// Time for which a keeper may delay its reply to a poll until there is a change.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(700);
/// Time that a long poll may take beyond its wait, including the connection setup.
pub const LONG_POLL_GRACE: Duration = Duration::from_millis(300);
/// Timeout of a poll of all keepers at once.
pub const POLL_ALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a poll of all keepers to which no keeper in contact with the leader replied.
pub const POLL_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of polls after which the nearest keeper is tried again.
const NEAREST_RETRY_POLLS: u32 = 10;

/// The next poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeeperPoll {
    /// Poll this keeper, which may delay its reply for up to [`LONG_POLL_WAIT`].
    One(KeeperName),
    /// Poll all keepers, which reply at once.
    All,
    /// Poll none and wait for [`POLL_RETRY_PAUSE`].
    Pause,
}

/// Decides which keeper a daemon polls next.
#[derive(Clone, Debug, Default)]
pub struct KeeperPoller {
    preferred: Option<KeeperName>,
    poll_count: u32,
    polls_all_next: bool,
    pauses_next: bool,
}

impl KeeperPoller {
    /// Returns the next poll, given the known keepers, the nearest first.
    pub fn next_poll(&mut self, nearest: &[KeeperName]) -> KeeperPoll {
        if nearest.is_empty() || std::mem::take(&mut self.pauses_next) {
            return KeeperPoll::Pause;
        }
        if std::mem::take(&mut self.polls_all_next) {
            return KeeperPoll::All;
        }
        self.poll_count += 1;
        if self.poll_count.is_multiple_of(NEAREST_RETRY_POLLS) {
            self.preferred = None;
        }
        let preferred = self
            .preferred
            .as_ref()
            .filter(|name| nearest.contains(name));
        KeeperPoll::One(preferred.unwrap_or(&nearest[0]).clone())
    }

    /// Returns the preferred keeper, if there is one.
    pub fn preferred(&self) -> Option<&KeeperName> {
        self.preferred.as_ref()
    }

    /// Records the result of a poll of one keeper: whether it replied and is in contact with the
    /// leader.
    pub fn record_reply(&mut self, name: &KeeperName, is_current: bool) {
        self.preferred = is_current.then(|| name.clone());
        self.polls_all_next = !is_current;
    }

    /// Records the result of a poll of all keepers: `current` is the nearest one in contact with
    /// the leader.
    pub fn record_all(&mut self, current: Option<KeeperName>) {
        self.polls_all_next = current.is_none();
        self.pauses_next = current.is_none();
        self.preferred = current;
    }
}
