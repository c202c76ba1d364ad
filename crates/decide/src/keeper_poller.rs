//! Which keeper a daemon asks for what is new: the nearest one, until it falls silent or loses touch
//! with the leader; then all at once, and the nearest of those that answered becomes the home.

use crate::name::KeeperName;
use std::time::Duration;

/// Time for which a keeper may hold a question back until there is something new.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(700);
/// Time limit of a question beyond the wait, connection included.
pub const LONG_POLL_GRACE: Duration = Duration::from_millis(300);
/// Time limit of the questions to all keepers at once.
pub const POLL_ALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after questions to all that brought no certain answer.
pub const POLL_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Questions after which the nearest keeper is tried again.
const HOME_QUESTIONS: u32 = 10;

/// What to ask next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeeperPoll {
    /// This keeper, which may hold its answer back for [`LONG_POLL_WAIT`].
    One(KeeperName),
    /// All, which answer at once.
    All,
    /// Nobody yet: wait for [`POLL_RETRY_PAUSE`].
    Pause,
}

/// The keeper that a daemon asks.
#[derive(Clone, Debug, Default)]
pub struct KeeperPoller {
    home: Option<KeeperName>,
    questions: u32,
    is_lost: bool,
    is_pausing: bool,
}

impl KeeperPoller {
    /// Returns what to ask next of the keepers `nearest`, the nearest first.
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

    /// Takes note of the answer of the one keeper asked.
    pub fn record_reply(&mut self, name: &KeeperName, is_current: bool) {
        self.home = is_current.then(|| name.clone());
        self.is_lost = !is_current;
    }

    /// Takes note of the answers of all: `current` is the nearest one in touch with the leader.
    pub fn record_all(&mut self, current: Option<KeeperName>) {
        self.is_lost = current.is_none();
        self.is_pausing = current.is_none();
        self.home = current;
    }
}
