//! Choice of the keeper that a daemon polls for changes. It is the nearest one until that keeper
//! stops answering or loses contact with the leader. Then all keepers are polled at once, and the
//! nearest up-to-date one of them is polled from then on.

use crate::name::KeeperName;
use std::time::Duration;

/// Time for which a keeper may hold back its reply to a poll until there is a change.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(700);
/// Time that a long poll may take beyond its wait, including the connection setup.
pub const LONG_POLL_GRACE: Duration = Duration::from_millis(300);
/// Timeout of a poll of all keepers at once.
pub const POLL_ALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a poll of all keepers to which no up-to-date keeper replied.
pub const POLL_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of polls after which the nearest keeper is tried again.
const HOME_QUESTIONS: u32 = 10;

/// The next poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeeperPoll {
    /// Poll this keeper, which may hold back its reply for [`LONG_POLL_WAIT`].
    One(KeeperName),
    /// Poll all keepers, which reply at once.
    All,
    /// Poll none and wait for [`POLL_RETRY_PAUSE`].
    Pause,
}

/// Decides which keeper a daemon polls next.
#[derive(Clone, Debug, Default)]
pub struct KeeperPoller {
    home: Option<KeeperName>,
    questions: u32,
    is_lost: bool,
    is_pausing: bool,
}

impl KeeperPoller {
    /// Returns the next poll, given the known keepers, the nearest first.
    pub fn next_poll(&mut self, nearest: &[KeeperName]) -> KeeperPoll {
        if nearest.is_empty() || std::mem::take(&mut self.is_pausing) {
            return KeeperPoll::Pause;
        }
        if std::mem::take(&mut self.is_lost) {
            return KeeperPoll::All;
        }
        self.questions += 1;
        if self.questions.is_multiple_of(HOME_QUESTIONS) {
            self.home = None;
        }
        let home = self.home.as_ref().filter(|home| nearest.contains(home));
        KeeperPoll::One(home.unwrap_or(&nearest[0]).clone())
    }

    /// Records the result of a poll of one keeper: whether it replied and is up to date.
    pub fn record_reply(&mut self, name: &KeeperName, is_current: bool) {
        self.home = is_current.then(|| name.clone());
        self.is_lost = !is_current;
    }

    /// Records the result of a poll of all keepers: `current` is the nearest one that is up to
    /// date.
    pub fn record_all(&mut self, current: Option<KeeperName>) {
        self.is_lost = current.is_none();
        self.is_pausing = current.is_none();
        self.home = current;
    }
}
