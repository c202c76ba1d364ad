//! Choice of a gate under the loads that it is meant for.

use agatehill_decide::{
    gate_selection::{GateCandidate, GateDistance, GateSelector, RouteKey},
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

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Sends one request after the other for `seconds`; returns how many each gate got. `latency` is
/// that of a gate at a moment.
fn replay(
    placement: &mut GateSelector,
    choices: &[GateCandidate],
    seconds: u64,
    latency: impl Fn(SocketAddr, MonoTime) -> Duration,
) -> Vec<u32> {
    let mut counts = vec![0; choices.len()];
    let mut now = MonoTime::ZERO;
    let end = now + Duration::from_secs(seconds);
    while now < end {
        let chosen = placement.select(choices, &[], ROUTE, now).unwrap();
        let idx = choices.iter().position(|c| c.gate == chosen).unwrap();
        counts[idx] += 1;
        let took = latency(chosen, now);
        now = now + took.max(millis(10));
        placement.record_latency(chosen, ROUTE, took, now);
    }
    counts
}

#[test]
fn the_zone_comes_first_then_the_region() {
    let choices = [
        gate(1, GateDistance::Remote),
        gate(2, GateDistance::Region),
        gate(3, GateDistance::Zone),
    ];
    let placement = GateSelector::default();
    let now = MonoTime::ZERO;
    let mut tried = Vec::new();
    let mut order = Vec::new();
    while let Some(chosen) = placement.select(&choices, &tried, ROUTE, now) {
        tried.push(chosen);
        order.push(choices.iter().find(|c| c.gate == chosen).unwrap().distance);
    }
    let nearest_first = [
        GateDistance::Zone,
        GateDistance::Region,
        GateDistance::Remote,
    ];
    assert_eq!(order, nearest_first);
}

#[test]
fn equal_servers_keep_requests_in_the_zone() {
    let choices = [gate(1, GateDistance::Zone), gate(2, GateDistance::Remote)];
    let counts = replay(&mut GateSelector::default(), &choices, 60, |_, _| {
        millis(100)
    });
    assert_eq!(counts[1], 0);
}

#[test]
fn a_slow_server_in_the_zone_loses_most_requests_to_the_region() {
    let choices = [gate(1, GateDistance::Zone), gate(2, GateDistance::Region)];
    let slow = choices[0].gate;
    let latency = |gate, _| {
        if gate == slow {
            millis(900)
        } else {
            millis(100)
        }
    };
    let counts = replay(&mut GateSelector::default(), &choices, 60, latency);
    assert!(counts[1] > 5 * counts[0], "{counts:?}");
    // It is looked at again, else its recovery would go unnoticed.
    assert!(counts[0] >= 2, "{counts:?}");
}

#[test]
fn a_server_that_recovers_gets_its_requests_back() {
    let choices = [gate(1, GateDistance::Zone), gate(2, GateDistance::Region)];
    let slow = choices[0].gate;
    let recovery = MonoTime::ZERO + Duration::from_secs(20);
    let latency = |gate, now| match gate == slow && now < recovery {
        true => millis(900),
        false => millis(100),
    };
    let mut placement = GateSelector::default();
    replay(&mut placement, &choices, 20, latency);
    let counts = replay(&mut placement, &choices, 60, |_, _| millis(100));
    assert!(counts[0] > counts[1], "{counts:?}");
}

#[test]
fn a_gate_that_fails_is_avoided_and_tried_again() {
    let choices = [gate(1, GateDistance::Zone), gate(2, GateDistance::Remote)];
    let mut placement = GateSelector::default();
    placement.record_failure(choices[0].gate, MonoTime::ZERO);
    let choose = |placement: &GateSelector, at| placement.select(&choices, &[], ROUTE, at);
    assert_eq!(choose(&placement, MonoTime::ZERO), Some(choices[1].gate));
    let later = MonoTime::ZERO + Duration::from_secs(3);
    assert_eq!(choose(&placement, later), Some(choices[0].gate));
    // Alone, it is used all the same.
    let alone = placement.select(&choices[..1], &[], ROUTE, MonoTime::ZERO);
    assert_eq!(alone, Some(choices[0].gate));
}

#[test]
fn requests_under_way_count() {
    let choices = [gate(1, GateDistance::Zone), gate(2, GateDistance::Zone)];
    let mut placement = GateSelector::default();
    for choice in &choices {
        placement.record_latency(choice.gate, ROUTE, millis(100), MonoTime::ZERO);
    }
    let first = placement
        .select(&choices, &[], ROUTE, MonoTime::ZERO)
        .unwrap();
    placement.record_start(first);
    let second = placement
        .select(&choices, &[], ROUTE, MonoTime::ZERO)
        .unwrap();
    assert_ne!(first, second);
    placement.record_start(second);
    placement.record_end(first);
    let third = placement
        .select(&choices, &[], ROUTE, MonoTime::ZERO)
        .unwrap();
    assert_eq!(third, first);
}
