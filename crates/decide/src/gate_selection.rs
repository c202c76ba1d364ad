//! Selects the gate for a request: the one with the lowest expected latency plus a surcharge for
//! distance, because links between regions are slow and billed.
//!
//! Designed for servers that differ in speed, become slow or fill up. Each caller's daemon measures
//! every route at every gate it uses and prefers the fastest gate. As measurements age, it tries the
//! others again. The time in the queue is part of the measured latency, so a gate loses requests
//! before its queue is long.

use crate::{quarantine::RequestFingerprint, time::MonoTime};
use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};

/// Latency surcharge for a gate in another zone of the region.
const REGION_SURCHARGE: Duration = Duration::from_millis(60);
/// Latency surcharge for a gate in another region.
const REMOTE_SURCHARGE: Duration = Duration::from_millis(250);
/// Weight of a new latency sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Age at which a latency estimate counts half.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Time for which a gate is avoided after a failure; doubles with each consecutive failure.
const BACKOFF_DELAY: Duration = Duration::from_millis(250);
/// Longest time for which a gate is avoided.
const BACKOFF_DELAY_MAX: Duration = Duration::from_secs(2);
/// Latency surcharge for an avoided gate, which is selected only if no other gate is left.
const BACKOFF_SURCHARGE: Duration = Duration::from_secs(60);

/// Latency surcharge for a gate whose server has reached the limit that it named: more than any distance.
const LIMITED_SURCHARGE: Duration = Duration::from_secs(5);

/// Distance of a gate from the daemon that selects.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum GateDistance {
    /// In the same availability zone.
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region.
    Remote,
}

/// A gate that can be selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct GateCandidate {
    /// Address of the gate.
    pub gate: SocketAddr,
    /// Distance of the gate.
    pub distance: GateDistance,
    /// Number of requests that its backend server runs at once.
    pub slots: u32,
}

/// Identifies a route in all versions of the configuration.
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
    /// Number of requests in flight.
    in_flight: u32,
    /// Number of consecutive failures.
    failures: u32,
    avoid_until: MonoTime,
    /// Time until which its server is not expected to accept more.
    limited_until: MonoTime,
}

/// Selects gates by what a daemon has measured of them.
#[derive(Debug, Default)]
pub struct GateSelector {
    gates: HashMap<SocketAddr, GateHistory>,
}

impl GateSelector {
    /// Returns the best of `candidates` for a request of `route`, except those in `tried`.
    pub fn select(
        &self,
        candidates: &[GateCandidate],
        tried: &[SocketAddr],
        route: RouteKey,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        let best = self.best(candidates, tried, route, now)?;
        Some(best.gate)
    }

    /// Returns how long a request of `route` takes at the best of `candidates`, as measured; zero if that
    /// has not been measured.
    pub fn expected_latency(
        &self,
        candidates: &[GateCandidate],
        route: RouteKey,
        now: MonoTime,
    ) -> Duration {
        let best = self.best(candidates, &[], route, now);
        let history = best.and_then(|best| self.gates.get(&best.gate));
        let latency = history.and_then(|history| history.latencies.get(&route));
        latency.map_or(Duration::ZERO, |latency| {
            Duration::from_secs_f64(latency.aged(now) * 1e-3)
        })
    }

    fn best<'a>(
        &self,
        candidates: &'a [GateCandidate],
        tried: &[SocketAddr],
        route: RouteKey,
        now: MonoTime,
    ) -> Option<&'a GateCandidate> {
        let untried = candidates.iter().filter(|c| !tried.contains(&c.gate));
        let cost = |candidate: &&GateCandidate| self.cost(candidate, route, now);
        untried.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns the gate for a request that is suspected of crashing servers, except those in `tried`.
    ///
    /// It depends on the request and the candidates alone, so that all daemons select the same gate,
    /// where suspects run one at a time. Only a gate that is avoided here is passed over while there
    /// is another.
    pub fn select_for_suspect(
        &self,
        candidates: &[GateCandidate],
        tried: &[SocketAddr],
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> Option<SocketAddr> {
        let untried = candidates.iter().filter(|c| !tried.contains(&c.gate));
        let preference = |candidate: &&GateCandidate| {
            let mut hasher = DefaultHasher::new();
            (fingerprint, candidate.gate).hash(&mut hasher);
            (!self.is_avoided(candidate.gate, now), hasher.finish())
        };
        Some(untried.max_by_key(preference)?.gate)
    }

    fn is_avoided(&self, gate: SocketAddr, now: MonoTime) -> bool {
        let history = self.gates.get(&gate);
        history.is_some_and(|history| now < history.avoid_until)
    }

    /// Records that a request is sent to `gate`.
    pub fn record_start(&mut self, gate: SocketAddr) {
        self.gates.entry(gate).or_default().in_flight += 1;
    }

    /// Records that a request sent to `gate` has ended, whatever its result.
    pub fn record_end(&mut self, gate: SocketAddr) {
        let history = self.gates.entry(gate).or_default();
        history.in_flight = history.in_flight.saturating_sub(1);
    }

    /// Records a response of `gate` that took `latency`, or a refusal that counts as `latency`.
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

    /// Records that the server behind `gate` has reached its limit and accepts no more until `until`.
    pub fn record_limited(&mut self, gate: SocketAddr, until: MonoTime) {
        self.gates.entry(gate).or_default().limited_until = until;
    }

    /// Records that `gate` did not accept a request or that a response was lost.
    pub fn record_failure(&mut self, gate: SocketAddr, now: MonoTime) {
        let history = self.gates.entry(gate).or_default();
        let doublings = history.failures.min(8);
        history.failures += 1;
        history.avoid_until = now + (BACKOFF_DELAY * (1 << doublings)).min(BACKOFF_DELAY_MAX);
    }

    /// Returns the expected latency at `candidate` plus its surcharges, in milliseconds.
    fn cost(&self, candidate: &GateCandidate, route: RouteKey, now: MonoTime) -> f64 {
        let surcharge = match candidate.distance {
            GateDistance::Zone => Duration::ZERO,
            GateDistance::Region => REGION_SURCHARGE,
            GateDistance::Remote => REMOTE_SURCHARGE,
        };
        let mut cost = surcharge.as_secs_f64() * 1e3;
        let Some(history) = self.gates.get(&candidate.gate) else {
            return cost;
        };
        if now < history.avoid_until {
            cost += BACKOFF_SURCHARGE.as_secs_f64() * 1e3;
        }
        if now < history.limited_until {
            cost += LIMITED_SURCHARGE.as_secs_f64() * 1e3;
        }
        let latency = history.latencies.get(&route).map_or(0.0, |l| l.aged(now));
        let occupancy = f64::from(history.in_flight) / f64::from(candidate.slots.max(1));
        cost + latency * (1.0 + occupancy)
    }
}

impl LatencyEstimate {
    /// Returns the estimate, halved for each [`ESTIMATE_HALF_LIFE`] of its age.
    fn aged(self, now: MonoTime) -> f64 {
        let halvings = now.since(self.at).div_duration_f64(ESTIMATE_HALF_LIFE);
        self.millis * 0.5_f64.powf(halvings)
    }
}
