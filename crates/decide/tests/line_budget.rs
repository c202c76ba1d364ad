//! The bound on log lines.

use agatehill_decide::{
    line_budget::{LineBudget, LineVerdict},
    time::MonoTime,
};

#[test]
fn lines_are_bounded_and_what_is_left_out_is_counted() {
    let mut budget = LineBudget::new(10.0, 5.0);
    let mut written = 0;
    let mut told = 0;
    for millis in 0..10_000 {
        match budget.ask(MonoTime::from_millis(millis)) {
            LineVerdict::Write { left_out } => {
                written += 1;
                told += left_out;
            }
            LineVerdict::LeaveOut => {}
        }
    }
    assert!((100..=106).contains(&written), "{written}");
    assert!(told >= 10_000 - written - 100, "{told}");
}

#[test]
fn below_the_bound_every_line_is_written() {
    let mut budget = LineBudget::new(10.0, 5.0);
    for second in 0..50 {
        let verdict = budget.ask(MonoTime::from_millis(second * 1_000));
        assert_eq!(verdict, LineVerdict::Write { left_out: 0 });
    }
}
