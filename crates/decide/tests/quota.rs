//! Burst and rate of a ledger, and deadlines.

use agatehill_decide::{
    deadline::{CallDeadline, HOP_MARGIN},
    name::AccountName,
    quota::{LedgerOptions, QuotaLedger, QuotaReply, QuotaTolerance},
    service_config::RateLimit,
    time::MonoTime,
};
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::half_filled(50, 6)]
#[case::full(150, 10)]
#[case::after_idle_time(900, 10)]
fn ledger_limits_burst_and_rate(#[case] idle: u64, #[case] burst: usize) {
    let options = LedgerOptions {
        zones: 1,
        tolerance: QuotaTolerance::NONE,
    };
    let account = AccountName::try_from("a").unwrap();
    let limit = RateLimit {
        rate: 100.0,
        burst: 10.0,
    };
    let mut ledger = QuotaLedger::new(options, MonoTime::ZERO);
    let mut take = |at: u64| {
        let now = MonoTime::from_millis(at);
        ledger.take(&account, limit, now, now)
    };
    let granted = |millis| QuotaReply::Granted {
        wait: Duration::from_millis(millis),
    };
    // A bucket begins with one request.
    assert_eq!(take(0), granted(0));
    assert_eq!(take(0), granted(10));
    let start = 10 + idle;
    let at_once = (0..50).filter(|_| take(start) == granted(0)).count();
    assert_eq!(at_once, burst - usize::from(idle == 50));
    let wait_max = 40 + at_once as u64;
    assert!(
        matches!(take(start), QuotaReply::Denied { .. }),
        "{wait_max}"
    );
    let second = (1..=900).filter(|ms| matches!(take(start + ms), QuotaReply::Granted { .. }));
    assert_eq!(second.count(), 90);
}

#[rstest]
#[case::contract_default(None, 1_500)]
#[case::shorter(Some(300), 300)]
#[case::capped(Some(9_000), 1_500)]
fn root_deadline_is_limited_by_the_contract(#[case] requested: Option<u64>, #[case] millis: u64) {
    let now = MonoTime::from_millis(77);
    let requested = requested.map(Duration::from_millis);
    let deadline = CallDeadline::at_root(requested, Duration::from_millis(1_500), now);
    assert_eq!(deadline.remaining(now), Duration::from_millis(millis));
}

#[test]
fn deadline_shrinks_at_each_hop() {
    let now = MonoTime::from_millis(500);
    let root = CallDeadline::at_root(None, Duration::from_millis(100), now);
    let child = root.child(Some(Duration::from_secs(9)), now);
    assert!(child < root);
    // The next host's clock has another start; only remaining time is sent.
    let now_there = MonoTime::from_millis(9_000_000);
    let remaining_ms = child.to_wire(now).expect("time remains");
    let next = CallDeadline::from_wire(remaining_ms, now_there);
    assert!(next.remaining(now_there) <= child.remaining(now) - HOP_MARGIN);
    assert_eq!(child.to_wire(now + Duration::from_millis(97)), None);
    assert!(root.has_passed(now + Duration::from_millis(100)));
}
