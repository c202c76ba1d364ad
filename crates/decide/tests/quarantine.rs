//! Properties of the quarantine: one poison request against one availability zone.

use agatehill_decide::{
    claim::RequestDigest,
    name::{DaemonName, Incarnation},
    quarantine::{
        CrashId, CrashReport, QUARANTINE_DURATION, QuarantineState, RequestFingerprint,
        RunDecision, RunKey, ServerRuns,
    },
    time::MonoTime,
};
use proptest::{prelude::*, test_runner::RngSeed};

const GATES: usize = 5;
const REQUESTS: usize = 6;
/// The request that crashes every server that runs it.
const POISON: usize = 0;
const CANDIDATES: usize = 2;

struct ZoneGate {
    book: QuarantineState,
    runs: ServerRuns,
    in_flight: Vec<(RunKey, usize)>,
    crashes: u64,
    up: bool,
}

/// One zone: strikes reach all peers before they matter, clears arrive late, twice or out of order.
struct ZoneModel {
    gates: Vec<ZoneGate>,
    now: MonoTime,
    late: Vec<CrashReport>,
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
            book: QuarantineState::default(),
            runs: ServerRuns::new(crash_id(idx, 0)),
            in_flight: Vec::new(),
            crashes: 0,
            up: true,
        };
        ZoneModel {
            gates: (0..GATES).map(gate).collect(),
            now: MonoTime::from_millis(10_000_000),
            late: Vec::new(),
            answered: [0; REQUESTS],
        }
    }

    /// Sends a request to its `choice`-th candidate among the servers that are up.
    fn send(&mut self, request: usize, choice: usize) {
        let order = (0..GATES).map(|step| (request + step) % GATES);
        let up: Vec<_> = order
            .filter(|idx| self.gates[*idx].up)
            .take(CANDIDATES)
            .collect();
        let Some(&idx) = up.get(choice % CANDIDATES) else {
            return;
        };
        let print = fingerprint(request);
        let mut verdict = self.verdict(idx, print);
        if verdict == RunDecision::Serial && !self.gates[idx].runs.has_suspect() {
            self.write_ahead(idx, print);
            verdict = self.verdict(idx, print);
        }
        match self.gates[idx].runs.start(print, verdict) {
            Some(run) => self.gates[idx].in_flight.push((run, request)),
            None => self.ended(idx, print),
        }
    }

    fn verdict(&self, idx: usize, print: RequestFingerprint) -> RunDecision {
        let gate = &self.gates[idx];
        gate.book.verdict(self.now, print, gate.runs.next_crash())
    }

    fn write_ahead(&mut self, idx: usize, print: RequestFingerprint) {
        let gate = &mut self.gates[idx];
        let notes = gate
            .book
            .record_strikes(self.now, gate.runs.next_crash(), [print]);
        self.tell(notes);
    }

    /// Tells all gates at once; those that run a struck request write their own strike ahead.
    fn tell(&mut self, mut notes: Vec<CrashReport>) {
        while let Some(note) = notes.pop() {
            for gate in &mut self.gates {
                let news = gate.book.merge(self.now, note);
                if news && !note.cleared && gate.runs.contains_request(note.fingerprint) {
                    let crash = gate.runs.next_crash();
                    notes.extend(
                        gate.book
                            .record_strikes(self.now, crash, [note.fingerprint]),
                    );
                }
            }
        }
    }

    /// Ends a run without a crash and without an answer, unless a twin runs on at the same gate.
    fn ended(&mut self, idx: usize, print: RequestFingerprint) {
        let gate = &mut self.gates[idx];
        if !gate.runs.contains_request(print) {
            let notes = gate
                .book
                .withdraw_strike(self.now, print, gate.runs.next_crash());
            self.late.extend(notes);
        }
    }

    /// Goes on with the `pick`-th run of a gate: the poison request crashes, others end.
    fn step(&mut self, idx: usize, pick: usize, answers: bool) {
        let gate = &mut self.gates[idx];
        if gate.in_flight.is_empty() {
            gate.up = true;
            return;
        }
        let (run, request) = gate.in_flight.remove(pick % gate.in_flight.len());
        if request == POISON {
            return self.crash(idx);
        }
        gate.runs.end(run);
        if !answers {
            return self.ended(idx, fingerprint(request));
        }
        let notes = gate.book.clear(self.now, fingerprint(request));
        self.late.extend(notes);
        self.answered[request] += 1;
    }

    fn crash(&mut self, idx: usize) {
        let gate = &mut self.gates[idx];
        gate.crashes += 1;
        gate.up = false;
        gate.in_flight.clear();
        let (crash, struck) = gate.runs.record_crash(crash_id(idx, gate.crashes));
        let notes = gate.book.record_strikes(self.now, crash, struck);
        self.tell(notes);
    }

    fn deliver(&mut self, idx: usize, pick: usize, again: bool) {
        if self.late.is_empty() {
            return;
        }
        let pick = pick % self.late.len();
        self.gates[idx].book.merge(self.now, self.late[pick]);
        if !again {
            let note = self.late.swap_remove(pick);
            self.tell(vec![note]);
        }
    }

    fn crashes(&self) -> u64 {
        self.gates.iter().map(|gate| gate.crashes).sum()
    }

    /// Lets all runs end and all notes arrive.
    fn settle(&mut self) {
        for idx in 0..GATES {
            while !self.gates[idx].in_flight.is_empty() {
                self.step(idx, 0, true);
            }
            self.gates[idx].up = true;
        }
        let late = std::mem::take(&mut self.late);
        self.tell(late);
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
    fn two_servers_crash_at_most_and_bystanders_are_cleared(
        events in prop::collection::vec(event(), 1..200),
    ) {
        let mut zone = ZoneModel::new();
        for event in events {
            match event {
                ZoneEvent::Send(request, choice) => zone.send(request, choice),
                ZoneEvent::Step(idx, pick, answers) => zone.step(idx, pick, answers),
                ZoneEvent::Deliver(idx, pick, again) => zone.deliver(idx, pick, again),
                ZoneEvent::Wait(millis) => zone.now = zone.now + std::time::Duration::from_millis(millis),
            }
            prop_assert!(zone.crashes() <= 2, "{} servers crashed", zone.crashes());
        }
        zone.settle();
        prop_assert!(zone.crashes() <= 2, "{} servers crashed", zone.crashes());
        // A bystander that was in flight at both crashes waits for the hold to end; others don't.
        zone.now = zone.now + QUARANTINE_DURATION;
        for request in POISON + 1..REQUESTS {
            let before = zone.answered[request];
            zone.send(request, 0);
            zone.settle();
            prop_assert_eq!(zone.answered[request], before + 1, "request {} is not cleared", request);
            for idx in 0..GATES {
                prop_assert_eq!(zone.verdict(idx, fingerprint(request)), RunDecision::Unrestricted);
            }
        }
    }

    #[test]
    fn order_and_copies_of_notes_do_not_matter(
        notes in prop::collection::vec((0..4_usize, 0..4_u64, any::<bool>()), 1..40),
        copies in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let now = MonoTime::from_millis(10_000_000);
        let note = |(request, crash, cleared): &(usize, u64, bool)| CrashReport {
            fingerprint: fingerprint(*request),
            crash: crash_id(0, *crash),
            cleared: *cleared,
            age_seconds: 0,
        };
        let mut one = QuarantineState::default();
        let mut other = QuarantineState::default();
        notes.iter().for_each(|n| { one.merge(now, note(n)); });
        copies.iter().for_each(|idx| { other.merge(now, note(idx.get(&notes))); });
        notes.iter().rev().for_each(|n| { other.merge(now, note(n)); });
        let all = |book: &QuarantineState| book.reports(now).collect::<Vec<_>>();
        prop_assert_eq!(all(&one), all(&other));
    }
}

#[test]
fn a_quarantine_ends_in_the_lane_and_doubles_on_the_next_crash() {
    let mut book = QuarantineState::default();
    let print = fingerprint(POISON);
    let mut now = MonoTime::from_millis(1);
    for crash in 0..2 {
        book.record_strikes(now, crash_id(0, crash), [print]);
    }
    let own = crash_id(1, 0);
    assert_eq!(
        book.verdict(now, print, own),
        RunDecision::Quarantined(QUARANTINE_DURATION)
    );
    now = now + QUARANTINE_DURATION;
    book.remove_expired(now);
    assert_eq!(book.verdict(now, print, own), RunDecision::Serial);
    book.record_strikes(now, own, [print]);
    assert_eq!(
        book.verdict(now, print, crash_id(2, 0)),
        RunDecision::Quarantined(QUARANTINE_DURATION * 2)
    );
    book.remove_expired(now + QUARANTINE_DURATION * 4);
    assert!(book.is_empty());
}
