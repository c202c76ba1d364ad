//! Contract of the answer detector: when a connection counts as silent.

use agatehill_decide::stall_detector::StallDetector;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::silent(600, &[10, 10, 10, 10], true)]
#[case::too_early(400, &[10, 10, 10, 10], false)]
#[case::few_later_answers(600, &[10], true)]
#[case::few_later_answers_as_slow(600, &[100], false)]
#[case::one_was_as_slow(600, &[10, 10, 10, 10, 200], false)]
#[case::all_are_slow(2_000, &[700, 700, 700, 700], false)]
#[case::nothing_since(600, &[], true)]
#[case::nothing_since_yet(300, &[], false)]
#[case::much_later_than_slow_ones(4_000, &[700, 700, 700, 700], true)]
fn judges(#[case] waited_ms: u64, #[case] later_ms: &[u64], #[case] is_stalled: bool) {
    let mut detector = StallDetector::default();
    // Calls that began before say nothing of the connection.
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
