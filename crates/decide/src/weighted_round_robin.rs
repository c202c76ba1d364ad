//! Spreads the requests of a route over its services in the proportions of their weights.

use crate::service_config::WeightedService;

/// Smooth weighted round robin over the parts of one route: over any run of requests the shares
/// are as close to the weights as whole requests allow.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the part that the next request goes to.
    pub fn next_index(&mut self, parts: &[WeightedService]) -> usize {
        if parts.len() < 2 {
            return 0;
        }
        self.credits.resize(parts.len(), 0);
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let best = (0..parts.len()).filter(|idx| parts[*idx].weight > 0);
        let best = best.max_by_key(|idx| self.credits[*idx]).unwrap_or(0);
        self.credits[best] -= total;
        best
    }
}
