//! At-most-once runs under faults at each step, one at a time and in random schedules.

mod support;

use agatehill_backend::at_most_once::ClaimRefusal;
use agatehill_decide::{claim::ClaimCommand, outcome::CallOutcome};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::time::Duration;
use support::{AttemptOutcome, Delivery, FakeCluster, FakeGate, RunBehavior};
use tokio::{task::JoinSet, time::sleep};

const ANSWERED: AttemptOutcome = AttemptOutcome::Outcome(CallOutcome::Answered);
const REPLAYED: AttemptOutcome = AttemptOutcome::Outcome(CallOutcome::Replayed);
const NOT_RUN: AttemptOutcome = AttemptOutcome::Outcome(CallOutcome::NotRun);
const UNKNOWN: AttemptOutcome = AttemptOutcome::Outcome(CallOutcome::Unknown);
const STORE_UNAVAILABLE: AttemptOutcome = AttemptOutcome::Refused(ClaimRefusal::StoreUnavailable);
const RUNNING_PAST_DEADLINE: AttemptOutcome =
    AttemptOutcome::Refused(ClaimRefusal::RunningPastDeadline);
const OTHER_ATTEMPT_RUNNING: AttemptOutcome =
    AttemptOutcome::Refused(ClaimRefusal::OtherAttemptRunning);
const MAY_HAVE_RUN: AttemptOutcome = AttemptOutcome::Refused(ClaimRefusal::MayHaveRun);

/// Deliveries of the first commands, by which the two gates retire their earlier runs.
const RETIREMENTS: [Delivery; 2] = [Delivery::Arrives; 2];

/// Copies of a claim that a gate sends to a store that never replies.
const CLAIM_COPIES: usize = 29;

#[rstest]
// Faults of the claim.
#[case::claim_lost_once(&[Delivery::RequestLost], None, ANSWERED, REPLAYED, 1)]
#[case::claim_reply_lost_once(&[Delivery::ReplyLost], None, ANSWERED, REPLAYED, 1)]
#[case::claim_twice(&[Delivery::ArrivesTwice], None, ANSWERED, REPLAYED, 1)]
#[case::claim_late(&[Delivery::Late], None, ANSWERED, REPLAYED, 1)]
#[case::claim_connection_stalls(&[Delivery::Stalls], None, ANSWERED, REPLAYED, 1)]
#[case::claim_connection_stalls_three_times(&[Delivery::Stalls; 3], None, STORE_UNAVAILABLE, ANSWERED, 1)]
#[case::store_unavailable(&[Delivery::NotSent; CLAIM_COPIES], None, STORE_UNAVAILABLE, ANSWERED, 1)]
#[case::all_replies_lost(&[Delivery::ReplyLost; CLAIM_COPIES], None, STORE_UNAVAILABLE, ANSWERED, 1)]
#[case::all_claims_late(&[Delivery::Late; CLAIM_COPIES], None, STORE_UNAVAILABLE, ANSWERED, 1)]
#[case::crash_after_claim(&[Delivery::GateCrash], None, AttemptOutcome::NoResponse, MAY_HAVE_RUN, 0)]
// Faults of the run.
#[case::server_sheds(&[], Some(RunBehavior::Sheds), NOT_RUN, ANSWERED, 1)]
#[case::connection_lost(&[], Some(RunBehavior::ConnectionLost), UNKNOWN, MAY_HAVE_RUN, 1)]
#[case::late_answer(&[], Some(RunBehavior::AnswersLate), RUNNING_PAST_DEADLINE, REPLAYED, 1)]
#[case::no_answer(&[], Some(RunBehavior::NeverAnswers), RUNNING_PAST_DEADLINE, OTHER_ATTEMPT_RUNNING, 1)]
#[case::crash_before_run(&[], Some(RunBehavior::GateCrashBefore), AttemptOutcome::NoResponse, MAY_HAVE_RUN, 0)]
#[case::crash_after_run(&[], Some(RunBehavior::GateCrashAfter), AttemptOutcome::NoResponse, MAY_HAVE_RUN, 1)]
// Faults of the record.
#[case::record_lost(&[Delivery::Arrives, Delivery::RequestLost], None, ANSWERED, REPLAYED, 1)]
#[case::record_reply_lost(&[Delivery::Arrives, Delivery::ReplyLost], None, ANSWERED, REPLAYED, 1)]
#[case::record_twice(&[Delivery::Arrives, Delivery::ArrivesTwice], None, ANSWERED, REPLAYED, 1)]
#[case::record_not_sent_for_long(
    &[Delivery::Arrives, Delivery::NotSent, Delivery::NotSent, Delivery::NotSent, Delivery::NotSent],
    None, ANSWERED, REPLAYED, 1)]
#[case::crash_after_record(
    &[Delivery::Arrives, Delivery::GateCrash], None, AttemptOutcome::NoResponse, REPLAYED, 1)]
#[case::withdrawal_lost(
    &[Delivery::Arrives, Delivery::RequestLost], Some(RunBehavior::Sheds), NOT_RUN, ANSWERED, 1)]
#[tokio::test(start_paused = true)]
async fn resend_to_another_gate_after_a_fault(
    #[case] sends: &[Delivery],
    #[case] run: Option<RunBehavior>,
    #[case] first: AttemptOutcome,
    #[case] second: AttemptOutcome,
    #[case] runs: usize,
) {
    let cluster = FakeCluster::default();
    cluster.lock().sends.extend(RETIREMENTS);
    let mut gate = FakeGate::open("gate-1", &cluster);
    let other = FakeGate::open("gate-2", &cluster);
    sleep(Duration::from_millis(10)).await;
    cluster.lock().sends.extend(sends);
    cluster.lock().runs.extend(run);
    assert_eq!(gate.attempt("payment").await, first);
    gate.restart_if_crashed();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(other.attempt("payment").await, second);
    assert_eq!(cluster.run_count("payment"), runs);
    cluster.check_outcomes();
}

#[tokio::test(start_paused = true)]
async fn concurrent_resends_get_the_response_of_the_single_run() {
    let cluster = FakeCluster::default();
    let gates = ["gate-1", "gate-2", "gate-3"].map(|name| FakeGate::open(name, &cluster));
    let mut attempts = JoinSet::new();
    for gate in gates.iter().chain(&gates) {
        attempts.spawn(gate.attempt("payment"));
    }
    let mut outcomes = attempts.join_all().await;
    outcomes.sort_by_key(|outcome| *outcome != ANSWERED);
    assert_eq!(outcomes[0], ANSWERED);
    assert!(
        outcomes[1..].iter().all(|outcome| *outcome == REPLAYED),
        "{outcomes:?}"
    );
    assert_eq!(cluster.run_count("payment"), 1);
}

#[tokio::test(start_paused = true)]
async fn resend_gets_the_response_of_a_run_whose_caller_disconnected() {
    let cluster = FakeCluster::default();
    let gate = FakeGate::open("gate-1", &cluster);
    let attempt = tokio::spawn(gate.attempt("payment"));
    sleep(Duration::from_millis(20)).await;
    attempt.abort();
    assert_eq!(gate.attempt("payment").await, REPLAYED);
    assert_eq!(cluster.run_count("payment"), 1);
}

#[tokio::test(start_paused = true)]
async fn store_that_is_down_is_probed_by_one_claim_at_a_time() {
    let cluster = FakeCluster::default();
    let gate = FakeGate::open("gate-1", &cluster);
    sleep(Duration::from_millis(10)).await;
    cluster
        .lock()
        .sends
        .extend([Delivery::NotSent; CLAIM_COPIES * 3]);
    assert_eq!(gate.attempt("payment-0").await, STORE_UNAVAILABLE);
    let probe = tokio::spawn(gate.attempt("payment-1"));
    tokio::task::yield_now().await;
    let before = tokio::time::Instant::now();
    assert_eq!(gate.attempt("payment-2").await, STORE_UNAVAILABLE);
    assert_eq!(before.elapsed(), Duration::ZERO);
    assert_eq!(probe.await.unwrap(), STORE_UNAVAILABLE);
    cluster.lock().sends.clear();
    assert_eq!(gate.attempt("payment-1").await, ANSWERED);
    assert_eq!(gate.attempt("payment-2").await, ANSWERED);
}

const GATES: usize = 3;
const REQUESTS: usize = 3;

#[derive(Clone, Debug)]
enum ScheduleStep {
    Attempt { gate: usize, request: usize },
    Crash { gate: usize },
    Restart { gate: usize },
    Tick,
    Wait { millis: u64 },
}

fn schedule_step() -> impl Strategy<Value = ScheduleStep> {
    prop_oneof![
        8 => (0..GATES, 0..REQUESTS).prop_map(|(gate, request)| ScheduleStep::Attempt { gate, request }),
        1 => (0..GATES).prop_map(|gate| ScheduleStep::Crash { gate }),
        2 => (0..GATES).prop_map(|gate| ScheduleStep::Restart { gate }),
        1 => Just(ScheduleStep::Tick),
        6 => (0..400_u64).prop_map(|millis| ScheduleStep::Wait { millis }),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Arrives),
        1 => Just(Delivery::NotSent),
        1 => Just(Delivery::RequestLost),
        1 => Just(Delivery::ReplyLost),
        1 => Just(Delivery::Late),
        1 => Just(Delivery::ArrivesTwice),
        1 => Just(Delivery::Stalls),
        1 => Just(Delivery::GateCrash),
    ]
}

fn run_behavior() -> impl Strategy<Value = RunBehavior> {
    prop_oneof![
        4 => Just(RunBehavior::Answers),
        2 => Just(RunBehavior::Sheds),
        1 => Just(RunBehavior::ConnectionLost),
        1 => Just(RunBehavior::AnswersLate),
        1 => Just(RunBehavior::NeverAnswers),
        1 => Just(RunBehavior::GateCrashBefore),
        1 => Just(RunBehavior::GateCrashAfter),
    ]
}

/// Runs a schedule, then ends all faults and sends each request once more.
async fn run_schedule(steps: Vec<ScheduleStep>, sends: Vec<Delivery>, runs: Vec<RunBehavior>) {
    let cluster = FakeCluster::default();
    let mut gates: Vec<_> = (0..GATES)
        .map(|idx| FakeGate::open(&format!("gate-{idx}"), &cluster))
        .collect();
    sleep(Duration::from_millis(10)).await;
    cluster.lock().sends.extend(sends);
    cluster.lock().runs.extend(runs);
    let mut attempts = JoinSet::new();
    for step in steps {
        match step {
            ScheduleStep::Attempt { gate, request } => {
                attempts.spawn(gates[gate].attempt(&format!("payment-{request}")));
            }
            ScheduleStep::Crash { gate } => gates[gate].crash(),
            ScheduleStep::Restart { gate } => gates[gate].restart_if_crashed(),
            ScheduleStep::Tick => {
                cluster.apply(ClaimCommand::Tick {
                    elapsed_seconds: 30,
                });
            }
            ScheduleStep::Wait { millis } => sleep(Duration::from_millis(millis)).await,
        }
    }
    let _ = attempts.join_all().await;
    cluster.lock().sends.clear();
    cluster.lock().runs.clear();
    gates.iter_mut().for_each(FakeGate::restart_if_crashed);
    // Longer than a stalled connection, a late response and the longest delay together.
    sleep(Duration::from_secs(20)).await;
    for request in 0..REQUESTS {
        let id = format!("payment-{request}");
        let outcome = gates[request % GATES].attempt(&id).await;
        let is_settled = matches!(outcome, ANSWERED | REPLAYED | MAY_HAVE_RUN);
        assert!(is_settled, "{id} ends as {outcome:?} after all faults");
    }
    cluster.check_outcomes();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_schedule_runs_a_request_twice_or_reports_a_run_as_not_run(
        steps in prop::collection::vec(schedule_step(), 1..40),
        sends in prop::collection::vec(delivery(), 0..60),
        runs in prop::collection::vec(run_behavior(), 0..8),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run_schedule(steps, sends, runs));
    }
}
