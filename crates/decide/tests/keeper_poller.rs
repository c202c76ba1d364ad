//! How long a daemon goes without news when keepers fall silent.

use agatehill_decide::{
    keeper_poller::{
        KeeperPoll, KeeperPoller, LONG_POLL_GRACE, LONG_POLL_WAIT, POLL_ALL_TIMEOUT,
        POLL_RETRY_PAUSE,
    },
    name::KeeperName,
};
use rstest::rstest;
use std::time::Duration;

/// A change must be in force everywhere this long after it was acknowledged.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);

fn keepers() -> Vec<KeeperName> {
    let name = |idx| KeeperName::try_from(format!("keeper-{idx}")).unwrap();
    (0..6).map(name).collect()
}

/// Asks as long as the keepers of which `answers` is false say nothing; returns the time until one
/// has answered.
fn time_to_answer(home: &mut KeeperPoller, answers: &[bool]) -> Duration {
    let names = keepers();
    let mut time = Duration::ZERO;
    loop {
        match home.next_poll(&names) {
            KeeperPoll::One(name) => {
                let idx = names.iter().position(|n| *n == name).unwrap();
                home.record_reply(&name, answers[idx]);
                if answers[idx] {
                    return time;
                }
                time += LONG_POLL_WAIT + LONG_POLL_GRACE;
            }
            KeeperPoll::All => {
                let current = answers.iter().position(|answers| *answers);
                home.record_all(current.map(|idx| names[idx].clone()));
                time += POLL_ALL_TIMEOUT;
                if current.is_some() {
                    return time;
                }
            }
            KeeperPoll::Pause => time += POLL_RETRY_PAUSE,
        }
    }
}

/// Two hosts with a disk lose power just as a change is acknowledged: the daemons in their region
/// had both as their nearest keepers, and must have the change in time all the same.
#[rstest]
#[case::home([false, true, true, true, true, true])]
#[case::both_of_the_region([false, false, true, true, true, true])]
#[case::all_but_one([false, false, false, false, false, true])]
fn a_silent_home_costs_less_than_a_change_may_take(#[case] answers: [bool; 6]) {
    let mut home = KeeperPoller::default();
    assert_eq!(time_to_answer(&mut home, &[true; 6]), Duration::ZERO);
    let time = time_to_answer(&mut home, &answers);
    assert!(time < APPLY_LIMIT - LONG_POLL_WAIT, "{time:?}");
    // From then on the one that answered is asked.
    assert_eq!(time_to_answer(&mut home, &answers), Duration::ZERO);
}

#[test]
fn the_nearest_is_tried_again() {
    let names = keepers();
    let mut home = KeeperPoller::default();
    time_to_answer(&mut home, &[false, true, true, true, true, true]);
    let asked = (0..20).map(|_| {
        let question = home.next_poll(&names);
        if let KeeperPoll::One(name) = &question {
            home.record_reply(name, true);
        }
        question
    });
    let nearest = KeeperPoll::One(names[0].clone());
    assert!(asked.into_iter().any(|question| question == nearest));
}

#[test]
fn without_keepers_there_is_nobody_to_ask() {
    assert_eq!(KeeperPoller::default().next_poll(&[]), KeeperPoll::Pause);
}
