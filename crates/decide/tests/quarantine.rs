//! Properties of the quarantine in an availability zone with one poison request.

use agatehill_decide::{
    claim::RequestDigest,
    name::{DaemonName, Incarnation},
    quarantine::{
        CrashId, CrashReport, QUARANTINE_DURATION, QuarantineState, RequestContent,
        RequestFingerprint, RunDecision, RunKey, ServerRuns,
    },
    time::MonoTime,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use std::time::Duration;

const GATES: usize = 5;
const REQUESTS: usize = 6;
/// The request that crashes every server that runs it.
const POISON: usize = 0;
/// Duration of the first quarantine where it is short.
const FIRST_QUARANTINE: Duration = Duration::from_secs(5);
/// Servers among which a request can choose.
const CANDIDATES: usize = 2;

struct ZoneGate {
    state: QuarantineState,
    runs: ServerRuns,
    in_flight: Vec<(RunKey, usize)>,
    crashes: u64,
    is_up: bool,
}

/// A zone in which strikes reach all peers at once, but clearing reports arrive late, twice or out of
/// order.
struct ZoneModel {
    gates: Vec<ZoneGate>,
    now: MonoTime,
    /// Clearing reports that have not arrived everywhere yet.
    delayed: Vec<CrashReport>,
    answered: [u32; REQUESTS],
}

fn crash_id(gate: usize, sequence: u64) -> CrashId {
    let daemon: DaemonName = format!("gate-{gate}").as_str().try_into().unwrap();
    CrashId::of(&daemon, Incarnation(1), sequence)
}

fn fingerprint(request: usize) -> RequestFingerprint {
    let digest = RequestDigest::of("GET", "techreg", &format!("/certificates/{request}"), b"");
    RequestFingerprint::of(&"dansk".try_into().unwrap(), digest)
}

impl ZoneModel {
    fn new() -> ZoneModel {
        let gate = |idx| ZoneGate {
            state: QuarantineState::default(),
            runs: ServerRuns::new(crash_id(idx, 0)),
            in_flight: Vec::new(),
            crashes: 0,
            is_up: true,
        };
        ZoneModel {
            gates: (0..GATES).map(gate).collect(),
            now: MonoTime::from_millis(10_000_000),
            delayed: Vec::new(),
            answered: [0; REQUESTS],
        }
    }

    /// Sends a request to its `choice`-th candidate among the servers that are up.
    fn send(&mut self, request: usize, choice: usize) {
        let order = (0..GATES).map(|step| (request + step) % GATES);
        let up: Vec<_> = order
            .filter(|idx| self.gates[*idx].is_up)
            .take(CANDIDATES)
            .collect();
        let Some(&idx) = up.get(choice % CANDIDATES) else {
            return;
        };
        let fingerprint = fingerprint(request);
        let mut decision = self.decision(idx, fingerprint);
        if decision == RunDecision::Serial && !self.gates[idx].runs.has_suspect() {
            self.write_ahead(idx, fingerprint);
            decision = self.decision(idx, fingerprint);
        }
        match self.gates[idx].runs.start(fingerprint.into(), decision) {
            Some(run) => self.gates[idx].in_flight.push((run, request)),
            None => self.end_unanswered(idx, fingerprint),
        }
    }

    fn decision(&self, idx: usize, fingerprint: RequestFingerprint) -> RunDecision {
        let gate = &self.gates[idx];
        gate.state
            .decide(self.now, fingerprint, gate.runs.next_crash())
    }

    fn write_ahead(&mut self, idx: usize, fingerprint: RequestFingerprint) {
        let gate = &mut self.gates[idx];
        let reports = gate
            .state
            .record_strikes(self.now, gate.runs.next_crash(), [fingerprint]);
        self.broadcast(reports);
    }

    /// Merges reports at all gates at once; a gate that runs a struck request writes its own strike
    /// ahead.
    fn broadcast(&mut self, mut reports: Vec<CrashReport>) {
        while let Some(report) = reports.pop() {
            for gate in &mut self.gates {
                let is_new = gate.state.merge(self.now, report);
                if is_new && !report.cleared && gate.runs.contains_request(report.fingerprint) {
                    let crash = gate.runs.next_crash();
                    reports.extend(gate.state.record_strikes(
                        self.now,
                        crash,
                        [report.fingerprint],
                    ));
                }
            }
        }
    }

    /// Withdraws the strike of a request that ended without a crash or a response, unless another run
    /// of it is in flight at the same gate.
    fn end_unanswered(&mut self, idx: usize, fingerprint: RequestFingerprint) {
        let gate = &mut self.gates[idx];
        if !gate.runs.contains_request(fingerprint) {
            let reports = gate
                .state
                .withdraw_strike(self.now, fingerprint, gate.runs.next_crash());
            self.delayed.extend(reports);
        }
    }

    /// Ends the `pick`-th run of a gate: a poison request crashes the server, any other ends with or
    /// without a response. A server without runs is up again.
    fn step(&mut self, idx: usize, pick: usize, is_answered: bool) {
        let gate = &mut self.gates[idx];
        if gate.in_flight.is_empty() {
            gate.is_up = true;
            return;
        }
        let (run, request) = gate.in_flight.remove(pick % gate.in_flight.len());
        if request == POISON {
            return self.crash(idx);
        }
        gate.runs.end(run);
        if !is_answered {
            return self.end_unanswered(idx, fingerprint(request));
        }
        let reports = gate.state.clear(self.now, fingerprint(request));
        self.delayed.extend(reports);
        self.answered[request] += 1;
    }

    fn crash(&mut self, idx: usize) {
        let gate = &mut self.gates[idx];
        gate.crashes += 1;
        gate.is_up = false;
        gate.in_flight.clear();
        let (crash, struck) = gate.runs.record_crash(crash_id(idx, gate.crashes));
        let reports = gate.state.record_strikes(self.now, crash, struck);
        self.broadcast(reports);
    }

    fn deliver(&mut self, idx: usize, pick: usize, again: bool) {
        if self.delayed.is_empty() {
            return;
        }
        let pick = pick % self.delayed.len();
        self.gates[idx].state.merge(self.now, self.delayed[pick]);
        if !again {
            let report = self.delayed.swap_remove(pick);
            self.broadcast(vec![report]);
        }
    }

    fn crashes(&self) -> u64 {
        self.gates.iter().map(|gate| gate.crashes).sum()
    }

    /// Ends all runs and delivers all reports.
    fn settle(&mut self) {
        for idx in 0..GATES {
            while !self.gates[idx].in_flight.is_empty() {
                self.step(idx, 0, true);
            }
            self.gates[idx].is_up = true;
        }
        let delayed = std::mem::take(&mut self.delayed);
        self.broadcast(delayed);
    }
}

#[derive(Clone, Debug)]
enum ZoneEvent {
    Send(usize, usize),
    Step(usize, usize, bool),
    Deliver(usize, usize, bool),
    Wait(u64),
}

fn event() -> impl Strategy<Value = ZoneEvent> {
    let request = prop_oneof![Just(POISON), 0..REQUESTS];
    prop_oneof![
        5 => (request, 0..CANDIDATES).prop_map(|(r, c)| ZoneEvent::Send(r, c)),
        4 => (0..GATES, 0..8_usize, any::<bool>()).prop_map(|(g, p, a)| ZoneEvent::Step(g, p, a)),
        2 => (0..GATES, 0..8_usize, any::<bool>()).prop_map(|(g, p, a)| ZoneEvent::Deliver(g, p, a)),
        1 => (0..2_000_u64).prop_map(ZoneEvent::Wait),
    ]
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(5))]

    #[test]
    fn at_most_two_servers_crash_and_other_requests_are_cleared(
        events in prop::collection::vec(event(), 1..200),
    ) {
        let mut zone = ZoneModel::new();
        for event in events {
            match event {
                ZoneEvent::Send(request, choice) => zone.send(request, choice),
                ZoneEvent::Step(idx, pick, is_answered) => zone.step(idx, pick, is_answered),
                ZoneEvent::Deliver(idx, pick, again) => zone.deliver(idx, pick, again),
                ZoneEvent::Wait(millis) => zone.now = zone.now + Duration::from_millis(millis),
            }
            prop_assert!(zone.crashes() <= 2, "{} servers crashed", zone.crashes());
        }
        zone.settle();
        prop_assert!(zone.crashes() <= 2, "{} servers crashed", zone.crashes());
        // A request that was in flight at both crashes waits until its quarantine ends; others don't.
        zone.now = zone.now + QUARANTINE_DURATION;
        for request in POISON + 1..REQUESTS {
            let before = zone.answered[request];
            zone.send(request, 0);
            zone.settle();
            prop_assert_eq!(zone.answered[request], before + 1, "request {} is not cleared", request);
            for idx in 0..GATES {
                prop_assert_eq!(zone.decision(idx, fingerprint(request)), RunDecision::Unrestricted);
            }
        }
    }

    #[test]
    fn order_and_duplicates_of_reports_do_not_matter(
        strikes in prop::collection::vec((0..4_usize, 0..4_u64, any::<bool>()), 1..40),
        duplicates in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let now = MonoTime::from_millis(10_000_000);
        let report = |(request, crash, cleared): &(usize, u64, bool)| CrashReport {
            fingerprint: fingerprint(*request),
            crash: crash_id(0, *crash),
            cleared: *cleared,
            age_seconds: 0,
        };
        let mut one = QuarantineState::default();
        let mut other = QuarantineState::default();
        strikes.iter().for_each(|strike| { one.merge(now, report(strike)); });
        duplicates.iter().for_each(|idx| { other.merge(now, report(idx.get(&strikes))); });
        strikes.iter().rev().for_each(|strike| { other.merge(now, report(strike)); });
        let all = |state: &QuarantineState| state.reports(now).collect::<Vec<_>>();
        prop_assert_eq!(all(&one), all(&other));
    }
}

/// With a short first quarantine a request in flight at two crashes runs again soon, and one that
/// crashes a third server does not.
#[test]
fn first_quarantine_may_be_short() {
    let first = Duration::from_secs(5);
    let mut state = QuarantineState::new(first);
    let fingerprint = fingerprint(POISON);
    let mut now = MonoTime::from_millis(1);
    let own = crash_id(3, 0);
    for gate in 0..2 {
        state.record_strikes(now, crash_id(gate, 0), [fingerprint]);
    }
    assert_eq!(
        state.decide(now, fingerprint, own),
        RunDecision::Quarantined(first)
    );
    now = now + first * 3;
    state.remove_expired(now);
    assert_eq!(state.decide(now, fingerprint, own), RunDecision::Serial);
    state.record_strikes(now, crash_id(2, 0), [fingerprint]);
    assert_eq!(
        state.decide(now, fingerprint, own),
        RunDecision::Quarantined(QUARANTINE_DURATION * 2)
    );
}

/// A state that gets the changes of another reaches the same digest.
#[test]
fn changes_bring_another_state_up_to_date() {
    let now = MonoTime::from_millis(1);
    let (mut state, mut copy) = (QuarantineState::default(), QuarantineState::default());
    state.record_strikes(now, crash_id(0, 0), (0..REQUESTS).map(fingerprint));
    for report in state.changed_after(now, 0) {
        copy.merge(now, report);
    }
    assert_eq!(copy.digest(), state.digest());
    let seen = state.change_count();
    assert_eq!(state.changed_after(now, seen), []);
    state.clear(now, fingerprint(1));
    assert_ne!(copy.digest(), state.digest());
    let changed = state.changed_after(now, seen);
    assert_eq!(changed.len(), 1);
    assert!(copy.merge(now, changed[0]));
    assert_eq!(copy.digest(), state.digest());
}

/// A request that ended without a response before the crash was noticed is struck, unless the server
/// has responded since.
#[rstest]
#[case::no_response_since(false, vec![fingerprint(2), fingerprint(1)])]
#[case::response_since(true, vec![fingerprint(2)])]
fn unanswered_request_is_struck_by_a_later_crash(
    #[case] has_response: bool,
    #[case] struck: Vec<RequestFingerprint>,
) {
    let mut runs = ServerRuns::new(crash_id(0, 0));
    let given_up = runs
        .start(fingerprint(1).into(), RunDecision::Unrestricted)
        .unwrap();
    runs.start(fingerprint(2).into(), RunDecision::Unrestricted)
        .unwrap();
    runs.end_unanswered(given_up);
    if has_response {
        runs.record_response(MonoTime::ZERO);
    }
    assert_eq!(
        runs.record_crash(crash_id(0, 1)),
        (crash_id(0, 0), struck.clone())
    );
    assert!(!runs.has_candidates());
}

#[test]
fn quarantine_ends_in_serial_runs_and_doubles_at_the_next_crash() {
    let mut state = QuarantineState::default();
    let fingerprint = fingerprint(POISON);
    let mut now = MonoTime::from_millis(1);
    for crash in 0..2 {
        state.record_strikes(now, crash_id(0, crash), [fingerprint]);
    }
    let own = crash_id(1, 0);
    assert_eq!(
        state.decide(now, fingerprint, own),
        RunDecision::Quarantined(QUARANTINE_DURATION)
    );
    now = now + QUARANTINE_DURATION;
    state.remove_expired(now);
    assert_eq!(state.decide(now, fingerprint, own), RunDecision::Serial);
    state.record_strikes(now, own, [fingerprint]);
    assert_eq!(
        state.decide(now, fingerprint, crash_id(2, 0)),
        RunDecision::Quarantined(QUARANTINE_DURATION * 2)
    );
    state.remove_expired(now + QUARANTINE_DURATION * 4);
    assert!(state.is_empty());
}

/// A server that neither responds nor sends heartbeats has crashed under what it was sent, unless it
/// shows later that it runs.
#[test]
fn requests_at_a_silent_server_are_struck_until_it_shows_that_it_runs() {
    const SILENCE: Duration = Duration::from_secs(1);
    let at = |millis| MonoTime::ZERO + Duration::from_millis(millis);
    let mut runs = ServerRuns::new(crash_id(0, 0));
    let send = |runs: &mut ServerRuns, request, millis| {
        let run = runs.start(fingerprint(request).into(), RunDecision::Unrestricted);
        runs.record_sent(run.unwrap(), at(millis));
        run.unwrap()
    };
    let given_up = send(&mut runs, 1, 0);
    send(&mut runs, 2, 500);
    runs.end_unanswered(given_up);
    assert_eq!(runs.strike_ahead(at(900), SILENCE), []);
    assert_eq!(runs.strike_ahead(at(1_000), SILENCE), [fingerprint(1)]);
    assert_eq!(runs.strike_ahead(at(1_500), SILENCE), [fingerprint(2)]);
    assert_eq!(runs.strike_ahead(at(1_600), SILENCE), []);
    assert!(runs.is_struck_ahead(fingerprint(1)));

    runs.record_alive(at(1_700));
    let (crash, mut struck) = runs.end_silence(crash_id(0, 1));
    struck.sort();
    let mut expected = vec![fingerprint(1), fingerprint(2)];
    expected.sort();
    assert_eq!((crash, struck), (crash_id(0, 0), expected));
    assert_eq!(runs.next_crash(), crash_id(0, 1));
    assert_eq!(runs.strike_ahead(at(2_600), SILENCE), []);
    assert_eq!(runs.strike_ahead(at(2_700), SILENCE).len(), 2);
}

/// Requests that differ in their query are refused together once they have crashed servers without a
/// response in between; servers that crash at the same moment count once.
#[rstest]
#[case::two_strikes(&[0, 0], 0, RunDecision::Unrestricted)]
#[case::three_strikes(&[0, 100, 200], 200, RunDecision::Quarantined(FIRST_QUARANTINE))]
#[case::servers_of_a_rack_crash(&[0, 0, 0, 0, 0, 0], 0, RunDecision::Quarantined(FIRST_QUARANTINE))]
#[case::a_trial_is_due(&[0, 100, 200], 5_200, RunDecision::Serial)]
#[case::first_trial_crashed(&[0, 0, 0, 5_100], 5_100, RunDecision::Quarantined(FIRST_QUARANTINE))]
#[case::second_trial_crashed(
    &[0, 0, 0, 5_100, 10_200],
    10_200,
    RunDecision::Quarantined(QUARANTINE_DURATION)
)]
fn requests_with_another_query_each_time_are_quarantined_together(
    #[case] crashes: &[u64],
    #[case] now: u64,
    #[case] expected: RunDecision,
) {
    let at = |millis| MonoTime::ZERO + Duration::from_millis(millis);
    let mut state = QuarantineState::new(FIRST_QUARANTINE);
    let content = |request| RequestContent::in_group(fingerprint(request), fingerprint(0));
    for (idx, crash) in crashes.iter().enumerate() {
        let struck = content(idx + 1).fingerprints();
        state.record_strikes(at(*crash), crash_id(idx, 0), struck);
    }
    let next = content(crashes.len() + 1);
    assert_eq!(state.decide_content(at(now), next), expected);
    let serial = match expected {
        RunDecision::Unrestricted => next.fingerprint,
        _ => fingerprint(0),
    };
    assert_eq!(state.serial_fingerprint(at(now), next), serial);
    state.clear(at(now), fingerprint(0));
    assert_eq!(
        state.decide_content(at(now), next),
        RunDecision::Unrestricted
    );
}

/// Crashes of which another request is the likely cause don't count against a group; a request of the
/// group that was sent twice is no other cause.
#[rstest]
#[case::one_request_was_in_flight_at_each(&[Some(9), Some(9), Some(9)], true)]
#[case::one_request_was_in_flight_at_one(&[Some(9), None, None], false)]
#[case::another_was_in_flight_at_each(&[Some(7), Some(8), Some(9)], false)]
fn crashes_that_another_request_explains_do_not_count_against_a_group(
    #[case] others: &[Option<usize>],
    #[case] is_explained: bool,
    #[values(false, true)] comes_twice: bool,
) {
    let now = MonoTime::ZERO;
    let mut state = QuarantineState::new(FIRST_QUARANTINE);
    let content = |request| RequestContent::in_group(fingerprint(request), fingerprint(0));
    for (idx, other) in others.iter().enumerate() {
        let member = if comes_twice { 1 } else { idx + 1 };
        let struck = content(member).fingerprints().chain(other.map(fingerprint));
        state.record_strikes(now, crash_id(idx, 0), struck);
    }
    let expected = match is_explained {
        true => RunDecision::Unrestricted,
        false => RunDecision::Quarantined(FIRST_QUARANTINE),
    };
    assert_eq!(state.decide_content(now, content(20)), expected);
}
