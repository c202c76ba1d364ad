//! Selection of gates with servers that differ in speed, change or fail.

use agatehill_decide::{
    claim::RequestDigest,
    gate_selection::{GateCandidate, GateDistance, GateSelector, RouteKey},
    quarantine::RequestFingerprint,
    time::MonoTime,
};
use std::{net::SocketAddr, time::Duration};

const ROUTE: RouteKey = RouteKey(1);

fn gate(host: u8, distance: GateDistance) -> GateCandidate {
    GateCandidate {
        gate: SocketAddr::from(([10, 0, 0, host], 80)),
        distance,
        slots: 10,
    }
}

fn fingerprint(request: u32) -> RequestFingerprint {
    RequestDigest::of("GET", "a", &format!("/{request}"), b"").into()
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Sends requests one after another for `seconds` and returns the number of requests per gate.
/// `latency` returns the latency of a gate at a time.
fn send_requests(
    selector: &mut GateSelector,
    candidates: &[GateCandidate],
    seconds: u64,
    latency: impl Fn(SocketAddr, MonoTime) -> Duration,
) -> Vec<u32> {
    let mut counts = vec![0; candidates.len()];
    let mut now = MonoTime::ZERO;
    let end = now + Duration::from_secs(seconds);
    while now < end {
        let chosen = selector.select(candidates, &[], ROUTE, now).unwrap();
        let idx = candidates.iter().position(|c| c.gate == chosen).unwrap();
        counts[idx] += 1;
        let took = latency(chosen, now);
        now = now + took.max(millis(10));
        selector.record_latency(chosen, ROUTE, took, now);
    }
    counts
}

/// Daemons in different places send a suspect to the same gates in the same order, and different
/// suspects to different gates.
#[test]
fn suspects_have_the_same_gates_at_every_daemon() {
    let here = [1, 2, 3, 4].map(|host| gate(host, GateDistance::Zone));
    let there = [4, 2, 1, 3].map(|host| gate(host, GateDistance::Remote));
    let selector = GateSelector::default();
    let mut first_gates = Vec::new();
    for request in 0..50 {
        let fingerprint = fingerprint(request);
        let select = |candidates, tried: &[SocketAddr]| {
            selector.select_for_suspect(candidates, tried, fingerprint, MonoTime::ZERO)
        };
        let mut tried = Vec::new();
        while let Some(selected) = select(&here, &tried) {
            assert_eq!(select(&there, &tried), Some(selected));
            tried.push(selected);
        }
        assert_eq!(tried.len(), here.len());
        first_gates.push(tried[0]);
    }
    first_gates.sort();
    first_gates.dedup();
    assert_eq!(first_gates.len(), here.len());
}

/// A suspect goes to another gate than the common one while that fails, and back when it recovers.
#[test]
fn failing_gate_gets_no_suspects() {
    let candidates = [1, 2, 3].map(|host| gate(host, GateDistance::Zone));
    let mut selector = GateSelector::default();
    let select = |selector: &GateSelector, now| {
        selector.select_for_suspect(&candidates, &[], fingerprint(1), now)
    };
    let now = MonoTime::ZERO;
    let common = select(&selector, now).unwrap();
    selector.record_failure(common, now);
    let other = select(&selector, now).unwrap();
    assert_ne!(other, common);
    for candidate in candidates {
        selector.record_failure(candidate.gate, now);
    }
    assert_eq!(select(&selector, now), Some(common), "all of them fail");
    assert_eq!(select(&selector, now + millis(10_000)), Some(common));
}

#[test]
fn prefers_own_zone_then_own_region() {
    let candidates = [
        gate(1, GateDistance::Remote),
        gate(2, GateDistance::Region),
        gate(3, GateDistance::Zone),
    ];
    let selector = GateSelector::default();
    let now = MonoTime::ZERO;
    let mut tried = Vec::new();
    let mut order = Vec::new();
    while let Some(chosen) = selector.select(&candidates, &tried, ROUTE, now) {
        tried.push(chosen);
        order.push(
            candidates
                .iter()
                .find(|c| c.gate == chosen)
                .unwrap()
                .distance,
        );
    }
    let nearest_first = [
        GateDistance::Zone,
        GateDistance::Region,
        GateDistance::Remote,
    ];
    assert_eq!(order, nearest_first);
}

#[test]
fn equally_fast_gates_keep_requests_in_the_zone() {
    let candidates = [gate(1, GateDistance::Zone), gate(2, GateDistance::Remote)];
    let counts = send_requests(&mut GateSelector::default(), &candidates, 60, |_, _| {
        millis(100)
    });
    assert_eq!(counts[1], 0);
}

#[test]
fn slow_gate_in_the_zone_loses_most_requests_to_the_region() {
    let candidates = [gate(1, GateDistance::Zone), gate(2, GateDistance::Region)];
    let slow = candidates[0].gate;
    let latency = |gate, _| {
        if gate == slow {
            millis(900)
        } else {
            millis(100)
        }
    };
    let counts = send_requests(&mut GateSelector::default(), &candidates, 60, latency);
    assert!(counts[1] > 5 * counts[0], "{counts:?}");
    // The slow gate must be tried again, or its recovery would not be noticed.
    assert!(counts[0] >= 2, "{counts:?}");
}

#[test]
fn recovered_gate_gets_its_requests_back() {
    let candidates = [gate(1, GateDistance::Zone), gate(2, GateDistance::Region)];
    let slow = candidates[0].gate;
    let recovery = MonoTime::ZERO + Duration::from_secs(20);
    let latency = |gate, now| match gate == slow && now < recovery {
        true => millis(900),
        false => millis(100),
    };
    let mut selector = GateSelector::default();
    send_requests(&mut selector, &candidates, 20, latency);
    let counts = send_requests(&mut selector, &candidates, 60, |_, _| millis(100));
    assert!(counts[0] > counts[1], "{counts:?}");
}

#[test]
fn failed_gate_is_avoided_for_a_while() {
    let candidates = [gate(1, GateDistance::Zone), gate(2, GateDistance::Remote)];
    let mut selector = GateSelector::default();
    selector.record_failure(candidates[0].gate, MonoTime::ZERO);
    let select = |selector: &GateSelector, at| selector.select(&candidates, &[], ROUTE, at);
    assert_eq!(select(&selector, MonoTime::ZERO), Some(candidates[1].gate));
    let later = MonoTime::ZERO + Duration::from_secs(3);
    assert_eq!(select(&selector, later), Some(candidates[0].gate));
    // An avoided gate is selected if it is the only one.
    let alone = selector.select(&candidates[..1], &[], ROUTE, MonoTime::ZERO);
    assert_eq!(alone, Some(candidates[0].gate));
}

#[test]
fn requests_in_flight_raise_the_cost() {
    let candidates = [gate(1, GateDistance::Zone), gate(2, GateDistance::Zone)];
    let mut selector = GateSelector::default();
    for candidate in &candidates {
        selector.record_latency(candidate.gate, ROUTE, millis(100), MonoTime::ZERO);
    }
    let first = selector
        .select(&candidates, &[], ROUTE, MonoTime::ZERO)
        .unwrap();
    selector.record_start(first);
    let second = selector
        .select(&candidates, &[], ROUTE, MonoTime::ZERO)
        .unwrap();
    assert_ne!(first, second);
    selector.record_start(second);
    selector.record_end(first);
    let third = selector
        .select(&candidates, &[], ROUTE, MonoTime::ZERO)
        .unwrap();
    assert_eq!(third, first);
}

#[test]
fn expected_latency_is_that_of_the_gate_that_would_be_selected() {
    let candidates = [gate(1, GateDistance::Zone), gate(2, GateDistance::Remote)];
    let mut selector = GateSelector::default();
    let expected =
        |selector: &GateSelector| selector.expected_latency(&candidates, ROUTE, MonoTime::ZERO);
    assert_eq!(expected(&selector), Duration::ZERO);
    selector.record_latency(candidates[0].gate, ROUTE, millis(200), MonoTime::ZERO);
    selector.record_latency(candidates[1].gate, ROUTE, millis(100), MonoTime::ZERO);
    assert_eq!(expected(&selector), millis(200));
    assert_eq!(
        selector.expected_latency(&[], ROUTE, MonoTime::ZERO),
        Duration::ZERO
    );
}
