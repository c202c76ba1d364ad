//! How long a daemon gets no changes when keepers stop replying.

use agatehill_decide::{
    keeper_poller::{
        KeeperPoll, KeeperPoller, LONG_POLL_GRACE, LONG_POLL_WAIT, POLL_ALL_TIMEOUT,
        POLL_RETRY_PAUSE,
    },
    name::KeeperName,
};
use rstest::rstest;
use std::time::Duration;

/// Longest time after its acknowledgement until a change must be in force everywhere.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);

fn keepers() -> Vec<KeeperName> {
    let name = |idx| KeeperName::try_from(format!("keeper-{idx}")).unwrap();
    (0..6).map(name).collect()
}

/// Polls until a keeper replies; those for which `replies` is `false` don't. Returns the time until
/// the reply.
fn time_to_reply(poller: &mut KeeperPoller, replies: &[bool]) -> Duration {
    let names = keepers();
    let mut time = Duration::ZERO;
    loop {
        match poller.next_poll(&names) {
            KeeperPoll::One(name) => {
                let idx = names.iter().position(|n| *n == name).unwrap();
                poller.record_reply(&name, replies[idx]);
                if replies[idx] {
                    return time;
                }
                time += LONG_POLL_WAIT + LONG_POLL_GRACE;
            }
            KeeperPoll::All => {
                let current = replies.iter().position(|replies| *replies);
                poller.record_all(current.map(|idx| names[idx].clone()));
                time += POLL_ALL_TIMEOUT;
                if current.is_some() {
                    return time;
                }
            }
            KeeperPoll::Pause => time += POLL_RETRY_PAUSE,
        }
    }
}

/// Two hosts with a disk lose power just as a change is acknowledged. The daemons in their region
/// have both as their nearest keepers and must still get the change in time.
#[rstest]
#[case::nearest([false, true, true, true, true, true])]
#[case::both_of_the_region([false, false, true, true, true, true])]
#[case::all_but_one([false, false, false, false, false, true])]
fn a_silent_keeper_delays_changes_less_than_their_limit(#[case] replies: [bool; 6]) {
    let mut poller = KeeperPoller::default();
    assert_eq!(time_to_reply(&mut poller, &[true; 6]), Duration::ZERO);
    let time = time_to_reply(&mut poller, &replies);
    assert!(time < APPLY_LIMIT - LONG_POLL_WAIT, "{time:?}");
    // From then on the keeper that replied is polled.
    assert_eq!(time_to_reply(&mut poller, &replies), Duration::ZERO);
}

#[test]
fn the_nearest_keeper_is_tried_again() {
    let names = keepers();
    let mut poller = KeeperPoller::default();
    time_to_reply(&mut poller, &[false, true, true, true, true, true]);
    let polls = (0..20).map(|_| {
        let poll = poller.next_poll(&names);
        if let KeeperPoll::One(name) = &poll {
            poller.record_reply(name, true);
        }
        poll
    });
    let nearest = KeeperPoll::One(names[0].clone());
    assert!(polls.into_iter().any(|poll| poll == nearest));
}

#[test]
fn without_known_keepers_the_poller_pauses() {
    assert_eq!(KeeperPoller::default().next_poll(&[]), KeeperPoll::Pause);
}
