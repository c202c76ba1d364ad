//! Rate limit of log lines.

use agatehill_decide::{
    log_rate_limit::{LogDecision, LogRateLimiter},
    time::MonoTime,
};

#[test]
fn lines_are_limited_and_suppressed_ones_counted() {
    let mut limiter = LogRateLimiter::new(10.0, 5.0);
    let mut written = 0;
    let mut suppressed_total = 0;
    for millis in 0..10_000 {
        match limiter.check(MonoTime::from_millis(millis)) {
            LogDecision::Write { suppressed } => {
                written += 1;
                suppressed_total += suppressed;
            }
            LogDecision::Suppress => {}
        }
    }
    assert!((100..=106).contains(&written), "{written}");
    assert!(
        suppressed_total >= 10_000 - written - 100,
        "{suppressed_total}"
    );
}

#[test]
fn every_line_below_the_limit_is_written() {
    let mut limiter = LogRateLimiter::new(10.0, 5.0);
    for second in 0..50 {
        let decision = limiter.check(MonoTime::from_millis(second * 1_000));
        assert_eq!(decision, LogDecision::Write { suppressed: 0 });
    }
}
