//! Distribution of a route's requests over its services, in proportion to their weights.

use crate::service_config::WeightedService;

/// Smooth weighted round robin over the services of one route: over any sequence of requests, each
/// service's share is as close to its weight as whole requests allow.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    /// Credit of each service; the one with the most credit is next.
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index in `services` of the service that the next request goes to.
    pub fn next_index(&mut self, services: &[WeightedService]) -> usize {
        if services.len() < 2 {
            return 0;
        }
        self.credits.resize(services.len(), 0);
        let total: i64 = services
            .iter()
            .map(|service| i64::from(service.weight))
            .sum();
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += i64::from(service.weight);
        }
        let best = (0..services.len()).filter(|idx| services[*idx].weight > 0);
        let best = best.max_by_key(|idx| self.credits[*idx]).unwrap_or(0);
        self.credits[best] -= total;
        best
    }
}
