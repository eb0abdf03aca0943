//! Weighted traffic splitting among the services of a route.
//!
//! Requests on one object normally go to one service, whose servers then know the
//! object. Popular objects can make the traffic shares deviate from the weights;
//! single requests are then reassigned to the service that is furthest below its
//! share.

use super::config::RouteDestination;
use super::placement::{mix, text_hash};

/// How far the traffic of a service may exceed its share, as a fraction of all
/// requests, before requests are reassigned.
pub const SHARE_TOLERANCE: f64 = 0.04;

/// The count of requests below which only the hash decides.
pub const MIN_COUNTED_REQUESTS: f64 = 25.0;

/// The count of requests at which all counts are halved, so that older requests
/// lose weight.
pub const MAX_COUNTED_REQUESTS: f64 = 400.0;

/// The request counts of the destinations of one route.
#[derive(Debug, Clone, Default)]
pub struct RouteSplitter {
    counts: Vec<f64>,
}

impl RouteSplitter {
    /// Chooses the destination of a request and counts the request. `object` is the
    /// hash of the object, or a random value for requests without one.
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

/// Chooses a destination by weighted rendezvous hashing.
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
