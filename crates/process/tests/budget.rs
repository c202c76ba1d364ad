//! Which client gives way when a process runs short of memory or a listener of connections.

use agatehill_process::budget::{
    BudgetLimits, CONNECTION_BYTES, ClientBudget, ClientUsage, ListenerBudget,
};
use rstest::rstest;
use std::{thread::sleep, time::Duration};

/// Bytes of a body that the share of the bodies doesn't limit.
const SMALL_BODY_BYTES: usize = 32 * 1024;
/// A time after which usages differ in age.
const AGE: Duration = Duration::from_millis(30);
/// Time in which a connection that finds no room must not be admitted.
const WAITING_TIME: Duration = Duration::from_millis(100);

/// Returns a budget with memory for `connections`, and a listener that may have as many open.
fn budget(connections: usize) -> (ClientBudget, ListenerBudget) {
    let budget = ClientBudget::open(BudgetLimits {
        bytes_max: connections * CONNECTION_BYTES,
        shared_connections_max: 0,
    });
    let part = budget.listener("callers", connections);
    (budget, part)
}

/// Returns a further connection that waits for its client.
fn waiting(part: &ListenerBudget) -> ClientUsage {
    let usage = part.try_admit().expect("there is room");
    usage.set_waiting();
    usage
}

#[test]
fn what_is_held_is_freed_on_drop() {
    let (budget, part) = budget(4);
    let first = waiting(&part);
    assert!(first.try_hold(2 * CONNECTION_BYTES));
    assert_eq!(budget.used_bytes(), 2 * CONNECTION_BYTES);
    assert!(first.try_hold(CONNECTION_BYTES));
    assert_eq!(budget.used_bytes(), CONNECTION_BYTES);
    drop(first);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn at_a_full_listener_the_connection_gives_way_that_waits_longest() {
    let (_budget, part) = budget(3);
    let first = waiting(&part);
    sleep(AGE);
    let others = [waiting(&part), waiting(&part)];
    assert!(part.try_admit().is_none(), "its place is not free yet");
    assert!(first.has_given_way());
    assert!(!others.iter().any(ClientUsage::has_given_way));
    drop(first);
    assert!(part.try_admit().is_some());
}

#[test]
fn connections_in_use_never_give_way() {
    let (_budget, part) = budget(2);
    let both = [waiting(&part), waiting(&part)];
    assert!(both.iter().all(ClientUsage::set_busy));
    assert!(part.try_admit().is_none());
    assert!(!both.iter().any(ClientUsage::has_given_way));
}

#[test]
fn a_usage_that_has_given_way_is_not_taken_into_use() {
    let (_budget, part) = budget(1);
    let first = waiting(&part);
    assert!(part.try_admit().is_none());
    assert!(!first.set_busy(), "nothing of it runs");
    assert!(!first.try_hold(2 * CONNECTION_BYTES));
}

#[test]
fn a_listener_takes_no_connections_of_another() {
    let budget = ClientBudget::unlimited();
    let (crowded, other) = (budget.listener("callers", 1), budget.listener("ready", 1));
    let first = waiting(&crowded);
    let second = waiting(&other);
    assert!(crowded.try_admit().is_none());
    assert!(first.has_given_way());
    assert!(!second.has_given_way());
}

/// Returns a budget of two connections that two listeners share, which have one of their own each.
fn sharing() -> [ListenerBudget; 2] {
    let budget = ClientBudget::open(BudgetLimits {
        bytes_max: usize::MAX,
        shared_connections_max: 2,
    });
    ["callers", "daemons"].map(|name| budget.sharing_listener(name, 1))
}

#[test]
fn a_listener_uses_shared_connections_but_none_that_another_has_of_its_own() {
    let [callers, daemons] = sharing();
    let crowd: Vec<_> = (0..3).map(|_| callers.try_admit().unwrap()).collect();
    assert!(crowd.iter().all(ClientUsage::set_busy));
    assert!(callers.try_admit().is_none());
    let _own = daemons.try_admit().expect("one of its own");
    assert!(daemons.try_admit().is_none());
    drop(crowd);
    assert!(daemons.try_admit().is_some());
}

/// Otherwise a crowd at one listener would keep the shared connections from the others.
#[test]
fn shared_connections_give_way_to_those_of_another_listener() {
    let [callers, daemons] = sharing();
    let crowd: Vec<_> = (0..3).map(|_| waiting(&callers)).collect();
    let _own = daemons.try_admit().expect("one of its own");
    assert!(daemons.try_admit().is_none(), "its place is not free yet");
    let given_way = crowd.iter().filter(|usage| usage.has_given_way());
    assert_eq!(given_way.count(), 1);
}

/// The one that has held most for longest gives way, at whichever listener; a small newcomer doesn't.
#[test]
fn when_memory_is_short_the_largest_and_oldest_gives_way() {
    let (budget, part) = budget(64);
    let other = budget.listener("daemons", 64);
    let large = waiting(&other);
    assert!(large.try_hold(40 * CONNECTION_BYTES));
    let small: Vec<_> = (0..20).map(|_| waiting(&part)).collect();
    sleep(AGE);
    let newcomer = waiting(&part);
    assert!(newcomer.try_hold(8 * CONNECTION_BYTES));
    assert!(large.has_given_way());
    assert!(!small.iter().any(ClientUsage::has_given_way));
    assert!(!newcomer.has_given_way());
}

/// Otherwise one that asks for more and more would end all that hold less.
#[test]
fn one_that_asks_for_more_is_refused_if_it_holds_most() {
    let (_budget, part) = budget(64);
    let large = waiting(&part);
    assert!(large.try_hold(40 * CONNECTION_BYTES));
    let small: Vec<_> = (0..20).map(|_| waiting(&part)).collect();
    sleep(AGE);
    assert!(!large.try_hold(60 * CONNECTION_BYTES));
    assert!(!large.has_given_way(), "its owner ends it");
    assert!(!small.iter().any(ClientUsage::has_given_way));
}

#[test]
fn bodies_leave_memory_for_connections() {
    let (_budget, part) = budget(64);
    let body = part.body();
    assert!(body.try_hold(32 * CONNECTION_BYTES + SMALL_BODY_BYTES));
    assert!(body.set_busy());
    let next = part.body();
    assert!(!next.try_hold(SMALL_BODY_BYTES + 1), "half is the most");
    assert!(part.try_admit().is_some());
    drop(body);
    assert!(next.try_hold(SMALL_BODY_BYTES + 1));
}

/// Small requests are served beside large bodies that are in use.
#[test]
fn a_small_body_finds_room_beside_large_ones_in_use() {
    let (_budget, part) = budget(64);
    let large = part.body();
    assert!(large.try_hold(32 * CONNECTION_BYTES + SMALL_BODY_BYTES));
    assert!(large.set_busy());
    let small = part.body();
    assert!(small.try_hold(SMALL_BODY_BYTES));
    assert!(!small.try_hold(SMALL_BODY_BYTES + 1));
}

/// A small body that is being received would free nothing of what large ones share.
#[test]
fn a_small_body_does_not_give_way_to_a_large_one() {
    let (_budget, part) = budget(64);
    let large = part.body();
    assert!(large.try_hold(32 * CONNECTION_BYTES + SMALL_BODY_BYTES));
    assert!(large.set_busy());
    let small = part.body();
    assert!(small.try_hold(SMALL_BODY_BYTES));
    sleep(AGE);
    let next = part.body();
    assert!(!next.try_hold(SMALL_BODY_BYTES + 1));
    assert!(!small.has_given_way());
}

/// Heartbeats and readiness checks are answered though requests in use have taken up all memory.
#[rstest]
#[case::essential(true)]
#[case::other(false)]
fn an_essential_listener_admits_without_memory(#[case] is_essential: bool) {
    let (budget, part) = budget(4);
    let other = match is_essential {
        true => budget.essential_listener("server", 1),
        false => budget.listener("server", 1),
    };
    let large = part.try_admit().expect("there is room");
    assert!(large.try_hold(4 * CONNECTION_BYTES));
    let admitted = other.try_admit();
    assert_eq!(admitted.is_some(), is_essential);
    assert!(other.try_admit().is_none(), "its connections are limited");
}

/// What has given way holds its memory until its owner is polled: only so much is handed on before.
#[test]
fn memory_is_not_handed_on_faster_than_it_is_freed() {
    let (_budget, part) = budget(64);
    let old: Vec<_> = (0..64).map(|_| waiting(&part)).collect();
    sleep(AGE);
    let bodies: Vec<_> = (0..32).map(|_| part.body()).collect();
    let held = |body: &&ClientUsage| body.try_hold(CONNECTION_BYTES);
    let held = bodies.iter().filter(held).count();
    assert!((1..=64 / 8 + 1).contains(&held), "{held}");
    let given_way = old.iter().filter(|usage| usage.has_given_way()).count();
    assert_eq!(given_way, held);
    drop(old);
    assert!(bodies.iter().all(|body| body.try_hold(CONNECTION_BYTES)));
}

#[rstest]
#[case::closed(true)]
#[case::in_use(false)]
#[tokio::test]
async fn a_newcomer_is_admitted_once_another_has_closed(#[case] is_closed: bool) {
    let (_budget, part) = budget(1);
    let first = part.try_admit().expect("there is room");
    let admitted = tokio::spawn({
        let part = part.clone();
        async move { part.admit().await }
    });
    tokio::time::sleep(WAITING_TIME).await;
    assert!(!admitted.is_finished());
    if is_closed {
        drop(first);
        let admitted = tokio::time::timeout(WAITING_TIME, admitted).await;
        assert!(admitted.is_ok_and(|admitted| admitted.is_ok()));
    }
}
