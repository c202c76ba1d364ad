//! The bound on log lines.

use agatehill_decide::{
    log_rate_limit::{LogDecision, LogRateLimiter},
    time::MonoTime,
};

#[test]
fn lines_are_bounded_and_what_is_left_out_is_counted() {
    let mut limiter = LogRateLimiter::new(10.0, 5.0);
    let mut written = 0;
    let mut told = 0;
    for millis in 0..10_000 {
        match limiter.check(MonoTime::from_millis(millis)) {
            LogDecision::Write { suppressed } => {
                written += 1;
                told += suppressed;
            }
            LogDecision::Suppress => {}
        }
    }
    assert!((100..=106).contains(&written), "{written}");
    assert!(told >= 10_000 - written - 100, "{told}");
}

#[test]
fn below_the_bound_every_line_is_written() {
    let mut limiter = LogRateLimiter::new(10.0, 5.0);
    for second in 0..50 {
        let verdict = limiter.check(MonoTime::from_millis(second * 1_000));
        assert_eq!(verdict, LogDecision::Write { suppressed: 0 });
    }
}
