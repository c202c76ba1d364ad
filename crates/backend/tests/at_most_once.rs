//! At most once: faults at each step of a run, alone and in random schedules.

mod support;

use agatehill_backend::at_most_once::ClaimRefusal;
use agatehill_decide::{claim::ClaimCommand, outcome::CallOutcome};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::time::Duration;
use support::{AttemptEnd, FakeGate, FakeWorld, RunFate, SendFate};
use tokio::{task::JoinSet, time::sleep};

const ANSWERED: AttemptEnd = AttemptEnd::Outcome(CallOutcome::Answered);
const REPLAYED: AttemptEnd = AttemptEnd::Outcome(CallOutcome::Replayed);
const NOT_RUN: AttemptEnd = AttemptEnd::Outcome(CallOutcome::NotRun);
const UNKNOWN: AttemptEnd = AttemptEnd::Outcome(CallOutcome::Unknown);
const STORE_ABSENT: AttemptEnd = AttemptEnd::Refused(ClaimRefusal::StoreUnavailable);
const STILL_RUNNING: AttemptEnd = AttemptEnd::Refused(ClaimRefusal::RunningPastDeadline);
const TWIN_RUNNING: AttemptEnd = AttemptEnd::Refused(ClaimRefusal::OtherAttemptRunning);
const MAY_HAVE_RUN: AttemptEnd = AttemptEnd::Refused(ClaimRefusal::MayHaveRun);

/// A run's own commands follow the retirements of the two gates' earlier runs.
const OPENING: [SendFate; 2] = [SendFate::Arrives; 2];

/// Copies of a claim that a gate sends to a store that doesn't answer.
const CLAIM_TRIES: usize = 29;

#[rstest]
// Step: claim.
#[case::claim_lost_once(&[SendFate::RequestLost], None, ANSWERED, REPLAYED, 1)]
#[case::claim_reply_lost_once(&[SendFate::ReplyLost], None, ANSWERED, REPLAYED, 1)]
#[case::claim_twice(&[SendFate::ArrivesTwice], None, ANSWERED, REPLAYED, 1)]
#[case::claim_late(&[SendFate::Late], None, ANSWERED, REPLAYED, 1)]
#[case::claim_silent(&[SendFate::Silent], None, ANSWERED, REPLAYED, 1)]
#[case::claim_stays_silent(&[SendFate::Silent; 3], None, STORE_ABSENT, ANSWERED, 1)]
#[case::store_absent(&[SendFate::NotSent; CLAIM_TRIES], None, STORE_ABSENT, ANSWERED, 1)]
#[case::all_replies_lost(&[SendFate::ReplyLost; CLAIM_TRIES], None, STORE_ABSENT, ANSWERED, 1)]
#[case::all_claims_late(&[SendFate::Late; CLAIM_TRIES], None, STORE_ABSENT, ANSWERED, 1)]
#[case::crash_after_claim(&[SendFate::GateCrash], None, AttemptEnd::NoAnswer, MAY_HAVE_RUN, 0)]
// Step: run.
#[case::sheds(&[], Some(RunFate::Sheds), NOT_RUN, ANSWERED, 1)]
#[case::connection_lost(&[], Some(RunFate::RunsAndLost), UNKNOWN, MAY_HAVE_RUN, 1)]
#[case::late_answer(&[], Some(RunFate::AnswersLate), STILL_RUNNING, REPLAYED, 1)]
#[case::no_answer(&[], Some(RunFate::NeverAnswers), STILL_RUNNING, TWIN_RUNNING, 1)]
#[case::crash_before_run(&[], Some(RunFate::GateCrashBefore), AttemptEnd::NoAnswer, MAY_HAVE_RUN, 0)]
#[case::crash_after_run(&[], Some(RunFate::GateCrashAfter), AttemptEnd::NoAnswer, MAY_HAVE_RUN, 1)]
// Step: record.
#[case::record_lost(&[SendFate::Arrives, SendFate::RequestLost], None, ANSWERED, REPLAYED, 1)]
#[case::record_reply_lost(&[SendFate::Arrives, SendFate::ReplyLost], None, ANSWERED, REPLAYED, 1)]
#[case::record_twice(&[SendFate::Arrives, SendFate::ArrivesTwice], None, ANSWERED, REPLAYED, 1)]
#[case::record_not_sent_for_long(
    &[SendFate::Arrives, SendFate::NotSent, SendFate::NotSent, SendFate::NotSent, SendFate::NotSent],
    None, ANSWERED, REPLAYED, 1)]
#[case::crash_after_record(
    &[SendFate::Arrives, SendFate::GateCrash], None, AttemptEnd::NoAnswer, REPLAYED, 1)]
#[case::withdrawal_lost(
    &[SendFate::Arrives, SendFate::RequestLost], Some(RunFate::Sheds), NOT_RUN, ANSWERED, 1)]
#[tokio::test(start_paused = true)]
async fn fault_then_resend_elsewhere(
    #[case] sends: &[SendFate],
    #[case] run: Option<RunFate>,
    #[case] first: AttemptEnd,
    #[case] second: AttemptEnd,
    #[case] runs: usize,
) {
    let world = FakeWorld::default();
    world.lock().sends.extend(OPENING);
    let mut gate = FakeGate::open("gate-1", &world);
    let other = FakeGate::open("gate-2", &world);
    sleep(Duration::from_millis(10)).await;
    world.lock().sends.extend(sends);
    world.lock().runs.extend(run);
    assert_eq!(gate.attempt("payment").await, first);
    gate.restart_if_dead();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(other.attempt("payment").await, second);
    assert_eq!(world.count("payment"), runs);
    world.check();
}

#[tokio::test(start_paused = true)]
async fn resends_while_the_first_runs_wait_for_its_answer() {
    let world = FakeWorld::default();
    let gates = ["gate-1", "gate-2", "gate-3"].map(|name| FakeGate::open(name, &world));
    let mut attempts = JoinSet::new();
    for gate in gates.iter().chain(&gates) {
        attempts.spawn(gate.attempt("payment"));
    }
    let mut ends = attempts.join_all().await;
    ends.sort_by_key(|end| *end != ANSWERED);
    assert_eq!(ends[0], ANSWERED);
    assert!(ends[1..].iter().all(|end| *end == REPLAYED), "{ends:?}");
    assert_eq!(world.count("payment"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_goes_away_is_told_the_answer_when_it_comes_back() {
    let world = FakeWorld::default();
    let gate = FakeGate::open("gate-1", &world);
    let attempt = tokio::spawn(gate.attempt("payment"));
    sleep(Duration::from_millis(20)).await;
    attempt.abort();
    assert_eq!(gate.attempt("payment").await, REPLAYED);
    assert_eq!(world.count("payment"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_down_is_tried_by_one_claim_at_a_time() {
    let world = FakeWorld::default();
    let gate = FakeGate::open("gate-1", &world);
    sleep(Duration::from_millis(10)).await;
    world
        .lock()
        .sends
        .extend([SendFate::NotSent; CLAIM_TRIES * 3]);
    assert_eq!(gate.attempt("payment-0").await, STORE_ABSENT);
    let trial = tokio::spawn(gate.attempt("payment-1"));
    tokio::task::yield_now().await;
    let before = tokio::time::Instant::now();
    assert_eq!(gate.attempt("payment-2").await, STORE_ABSENT);
    assert_eq!(before.elapsed(), Duration::ZERO);
    assert_eq!(trial.await.unwrap(), STORE_ABSENT);
    world.lock().sends.clear();
    assert_eq!(gate.attempt("payment-1").await, ANSWERED);
    assert_eq!(gate.attempt("payment-2").await, ANSWERED);
}

const GATES: usize = 3;
const REQUESTS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Attempt { gate: usize, request: usize },
    Crash { gate: usize },
    Restart { gate: usize },
    Tick,
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..GATES, 0..REQUESTS).prop_map(|(gate, request)| Step::Attempt { gate, request }),
        1 => (0..GATES).prop_map(|gate| Step::Crash { gate }),
        2 => (0..GATES).prop_map(|gate| Step::Restart { gate }),
        1 => Just(Step::Tick),
        6 => (0..400_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

fn send_fate() -> impl Strategy<Value = SendFate> {
    prop_oneof![
        6 => Just(SendFate::Arrives),
        1 => Just(SendFate::NotSent),
        1 => Just(SendFate::RequestLost),
        1 => Just(SendFate::ReplyLost),
        1 => Just(SendFate::Late),
        1 => Just(SendFate::ArrivesTwice),
        1 => Just(SendFate::Silent),
        1 => Just(SendFate::GateCrash),
    ]
}

fn run_fate() -> impl Strategy<Value = RunFate> {
    prop_oneof![
        4 => Just(RunFate::Answers),
        2 => Just(RunFate::Sheds),
        1 => Just(RunFate::RunsAndLost),
        1 => Just(RunFate::AnswersLate),
        1 => Just(RunFate::NeverAnswers),
        1 => Just(RunFate::GateCrashBefore),
        1 => Just(RunFate::GateCrashAfter),
    ]
}

/// Runs a schedule, then ends all faults and asks once more for each request.
async fn play(steps: Vec<Step>, sends: Vec<SendFate>, runs: Vec<RunFate>) {
    let world = FakeWorld::default();
    let mut gates: Vec<_> = (0..GATES)
        .map(|idx| FakeGate::open(&format!("gate-{idx}"), &world))
        .collect();
    sleep(Duration::from_millis(10)).await;
    world.lock().sends.extend(sends);
    world.lock().runs.extend(runs);
    let mut attempts = JoinSet::new();
    for step in steps {
        match step {
            Step::Attempt { gate, request } => {
                attempts.spawn(gates[gate].attempt(&format!("payment-{request}")));
            }
            Step::Crash { gate } => gates[gate].crash(),
            Step::Restart { gate } => gates[gate].restart_if_dead(),
            Step::Tick => {
                world.apply(ClaimCommand::Tick {
                    elapsed_seconds: 30,
                });
            }
            Step::Wait { millis } => sleep(Duration::from_millis(millis)).await,
        }
    }
    let _ = attempts.join_all().await;
    world.lock().sends.clear();
    world.lock().runs.clear();
    gates.iter_mut().for_each(FakeGate::restart_if_dead);
    // Longer than a silent connection, a late answer and the longest pause together.
    sleep(Duration::from_secs(20)).await;
    for request in 0..REQUESTS {
        let id = format!("payment-{request}");
        let end = gates[request % GATES].attempt(&id).await;
        let is_settled = matches!(end, ANSWERED | REPLAYED | MAY_HAVE_RUN);
        assert!(is_settled, "{id} is left as {end:?}");
    }
    world.check();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_schedule_runs_a_request_twice_or_denies_a_run(
        steps in prop::collection::vec(step(), 1..40),
        sends in prop::collection::vec(send_fate(), 0..60),
        runs in prop::collection::vec(run_fate(), 0..8),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(play(steps, sends, runs));
    }
}
