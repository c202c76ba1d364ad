//! When a connection counts as stalled.

use agatehill_decide::stall_detector::StallDetector;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::stalled(600, &[10, 10, 10, 10], true)]
#[case::too_early(400, &[10, 10, 10, 10], false)]
#[case::few_later_answers(600, &[10], true)]
#[case::few_later_answers_not_much_faster(600, &[100], false)]
#[case::one_not_much_faster(600, &[10, 10, 10, 10, 200], false)]
#[case::all_slow(2_000, &[700, 700, 700, 700], false)]
#[case::no_later_answer(600, &[], true)]
#[case::no_later_answer_too_early(300, &[], false)]
#[case::much_longer_than_slow_ones(4_000, &[700, 700, 700, 700], true)]
fn detects_stalled_connections(
    #[case] waited_ms: u64,
    #[case] later_ms: &[u64],
    #[case] is_stalled: bool,
) {
    let mut detector = StallDetector::default();
    // Calls that began earlier don't count as later answers.
    for _ in 0..8 {
        let earlier = detector.start_call();
        detector.record_answer(earlier, Duration::from_millis(1));
    }
    let call = detector.start_call();
    for millis in later_ms {
        let later = detector.start_call();
        detector.record_answer(later, Duration::from_millis(*millis));
    }
    assert_eq!(
        detector.is_stalled(call, Duration::from_millis(waited_ms)),
        is_stalled
    );
}
