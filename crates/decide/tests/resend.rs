//! Detection of resent child calls.

use agatehill_decide::resend::{ChildFingerprint, ResendDetector};
use rstest::rstest;

/// Steps of one child call: `(` starts it, `+` ends it with a response, `-` with a failure.
#[rstest]
#[case::first("(", &[false])]
#[case::after_a_response("(+(", &[false, false])]
#[case::after_a_failure("(-(", &[false, true])]
#[case::while_in_flight("((", &[false, true])]
#[case::after_a_resend_was_answered("(-(+(", &[false, true, false])]
#[case::after_two_failures("(-(-(", &[false, true, true])]
fn call_after_failed_or_running_equal_is_a_resend(#[case] steps: &str, #[case] expected: &[bool]) {
    let mut detector = ResendDetector::default();
    let mut resends = Vec::new();
    for step in steps.chars() {
        match step {
            '(' => resends.push(detector.begin(ChildFingerprint(7))),
            '+' => detector.end(ChildFingerprint(7), true),
            _ => detector.end(ChildFingerprint(7), false),
        }
    }
    assert_eq!(resends, expected);
}

#[test]
fn different_call_is_no_resend() {
    let mut detector = ResendDetector::default();
    detector.begin(ChildFingerprint(1));
    detector.end(ChildFingerprint(1), false);
    assert!(!detector.begin(ChildFingerprint(2)));
}
