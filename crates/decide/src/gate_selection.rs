//! Choice of the gate for a request: the one from which its answer is expected first, with a
//! surcharge for distance, because links between regions are slow and billed.
//!
//! Answers the load pattern of servers that differ in speed, turn slow or fill up: each caller's
//! daemon measures every route at every gate it uses, prefers the quickest, and looks at the others
//! again as its measurements age. The waiting time is part of the measurement, so that a gate with
//! a queue loses requests before its queue is long.

use crate::time::MonoTime;
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Surcharge for a gate in another zone of the region.
const REGION_SURCHARGE: Duration = Duration::from_millis(60);
/// Surcharge for a gate in another region.
const REMOTE_SURCHARGE: Duration = Duration::from_millis(250);
/// Weight of a new sample of latency.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time in which half of a measurement is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Time for which a gate is avoided after a failure, doubled for each one in a row.
const AVOID_SPAN: Duration = Duration::from_millis(250);
/// Longest time for which a gate is avoided.
const AVOID_SPAN_MAX: Duration = Duration::from_secs(2);
/// Surcharge for a gate that is avoided; it is used when there is no other.
const AVOID_SURCHARGE: Duration = Duration::from_secs(60);

/// Where a gate is, seen from the daemon that chooses.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum GateDistance {
    /// In the same availability zone.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region.
    Remote,
}

/// A gate that a request may go to.
#[derive(Clone, Copy, Debug)]
pub struct GateCandidate {
    /// Its address.
    pub gate: SocketAddr,
    /// Where it is.
    pub distance: GateDistance,
    /// Requests that its backend server runs at once.
    pub slots: u32,
}

/// Identifies a route over all versions of the configuration.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RouteKey(pub u64);

#[derive(Clone, Copy, Debug)]
struct LatencyEstimate {
    millis: f64,
    at: MonoTime,
}

#[derive(Debug, Default)]
struct GateHistory {
    latencies: HashMap<RouteKey, LatencyEstimate>,
    /// Requests under way.
    pending: u32,
    failures: u32,
    avoid_until: MonoTime,
}

/// What a daemon has seen of the gates that it sends requests to.
#[derive(Debug, Default)]
pub struct GateSelector {
    gates: HashMap<SocketAddr, GateHistory>,
}

impl GateSelector {
    /// Returns the best of `choices` for a request of `route` that is not among `tried`.
    pub fn select(
        &self,
        choices: &[GateCandidate],
        tried: &[SocketAddr],
        route: RouteKey,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        let open = choices.iter().filter(|c| !tried.contains(&c.gate));
        let cost = |choice: &&GateCandidate| self.cost(choice, route, now);
        let best = open.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(best.gate)
    }

    /// Takes note of a request that is sent to `gate`.
    pub fn record_start(&mut self, gate: SocketAddr) {
        self.gates.entry(gate).or_default().pending += 1;
    }

    /// Takes note of a request's end without an answer that tells about the gate.
    pub fn record_end(&mut self, gate: SocketAddr) {
        let history = self.gates.entry(gate).or_default();
        history.pending = history.pending.saturating_sub(1);
    }

    /// Takes note of an answer of `gate`, or of a refusal that cost `latency` in vain.
    pub fn record_latency(
        &mut self,
        gate: SocketAddr,
        route: RouteKey,
        latency: Duration,
        now: MonoTime,
    ) {
        let history = self.gates.entry(gate).or_default();
        history.failures = 0;
        history.avoid_until = MonoTime::ZERO;
        let sample = latency.as_secs_f64() * 1e3;
        let old = history.latencies.get(&route);
        let millis = old.map_or(sample, |old| {
            let aged = old.aged(now);
            aged + (sample - aged) * SAMPLE_WEIGHT
        });
        let estimate = LatencyEstimate { millis, at: now };
        history.latencies.insert(route, estimate);
    }

    /// Takes note of a request that `gate` did not take or whose answer got lost.
    pub fn record_failure(&mut self, gate: SocketAddr, now: MonoTime) {
        let history = self.gates.entry(gate).or_default();
        let doublings = history.failures.min(8);
        history.failures += 1;
        history.avoid_until = now + (AVOID_SPAN * (1 << doublings)).min(AVOID_SPAN_MAX);
    }

    /// Returns the expected latency of `choice` with its surcharges, in milliseconds.
    fn cost(&self, choice: &GateCandidate, route: RouteKey, now: MonoTime) -> f64 {
        let surcharge = match choice.distance {
            GateDistance::Zone => Duration::ZERO,
            GateDistance::Region => REGION_SURCHARGE,
            GateDistance::Remote => REMOTE_SURCHARGE,
        };
        let mut cost = surcharge.as_secs_f64() * 1e3;
        let Some(history) = self.gates.get(&choice.gate) else {
            return cost;
        };
        if now < history.avoid_until {
            cost += AVOID_SURCHARGE.as_secs_f64() * 1e3;
        }
        let latency = history.latencies.get(&route).map_or(0.0, |l| l.aged(now));
        let crowding = f64::from(history.pending) / f64::from(choice.slots.max(1));
        cost + latency * (1.0 + crowding)
    }
}

impl LatencyEstimate {
    /// Returns the estimate as far as it still counts.
    fn aged(self, now: MonoTime) -> f64 {
        let halvings = now.since(self.at).div_duration_f64(HALF_LIFE);
        self.millis * 0.5_f64.powf(halvings)
    }
}
