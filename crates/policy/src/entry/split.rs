//! Divides the requests of a route over its services by weight.
//!
//! A request about an object keeps to one service, so that the object is known
//! there. Where the shares of the requests deviate, because some objects are
//! requested more than others, single requests go to the part that is short.

use super::config::RouteDestination;
use super::placement::{mix, text_hash};

/// How far a part may be from its share before requests are reassigned.
pub const SHARE_TOLERANCE: f64 = 0.04;

/// Requests counted before shares are compared; below it the hash decides.
pub const MIN_COUNTED_REQUESTS: f64 = 25.0;

/// The count at which older requests lose weight.
pub const MAX_COUNTED_REQUESTS: f64 = 400.0;

/// Requests sent to each part of one route.
#[derive(Debug, Clone, Default)]
pub struct RouteSplitter {
    counts: Vec<f64>,
}

impl RouteSplitter {
    /// Chooses the part of a request and counts it.
    pub fn choose(&mut self, destinations: &[RouteDestination], object: u64) -> usize {
        if destinations.len() < 2 {
            return 0;
        }
        self.counts.resize(destinations.len(), 0.0);
        let weights: f64 = destinations
            .iter()
            .map(|destination| destination.weight)
            .sum();
        let total: f64 = self.counts.iter().sum();
        let mut chosen = weighted_choice(destinations, object);
        if total >= MIN_COUNTED_REQUESTS {
            let deviation =
                |index: usize| self.counts[index] / total - destinations[index].weight / weights;
            if deviation(chosen) > SHARE_TOLERANCE {
                chosen = (0..destinations.len())
                    .min_by(|a, b| deviation(*a).total_cmp(&deviation(*b)))
                    .unwrap_or(chosen);
            }
        }
        self.counts[chosen] += 1.0;
        if total > MAX_COUNTED_REQUESTS {
            self.counts.iter_mut().for_each(|count| *count *= 0.5);
        }
        chosen
    }
}

/// Weighted rendezvous hashing.
#[expect(
    clippy::cast_precision_loss,
    reason = "the low bits of the hash do not matter"
)]
fn weighted_choice(destinations: &[RouteDestination], object: u64) -> usize {
    let score = |destination: &RouteDestination| {
        let unit = (mix(object ^ text_hash(destination.service.as_str())) as f64 + 1.0)
            / (u64::MAX as f64 + 2.0);
        -destination.weight / unit.ln()
    };
    (0..destinations.len())
        .max_by(|a, b| score(&destinations[*a]).total_cmp(&score(&destinations[*b])))
        .unwrap_or(0)
}
