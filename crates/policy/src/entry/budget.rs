//! The budget for sending a request to a second backend server.
//!
//! The bound holds for a service over all instances in a sliding window. An
//! instance spends at most a ratio of the requests that it received itself in
//! the last window, plus its part of the fixed allowance, so the sum over the
//! instances keeps the bound with no messages.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::names::ServiceName;

/// The part of the permitted ratio and allowance that is used. Instances count
/// in their own windows, and the last instances to join are not known at once.
pub const USABLE_FRACTION: f64 = 0.7;

/// The bound for one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBound {
    /// Repeats per request.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// Repeats permitted in addition, over the whole fleet.
    pub allowance: f64,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Repeats of all services at one instance.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    services: BTreeMap<ServiceName, ServiceWindow>,
}

fn expire(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times
        .front()
        .is_some_and(|time| now.saturating_duration_since(*time) > window)
    {
        times.pop_front();
    }
}

impl RetryBudget {
    /// Creates a budget with nothing spent.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        let window = self.bound.window;
        let window_counts = self.services.entry(service.clone()).or_default();
        window_counts.requests.push_back(now);
        expire(&mut window_counts.requests, window, now);
    }

    /// Takes one repeat, or says that none is left. `instances` is the number
    /// of instances that share the allowance.
    pub fn try_acquire(&mut self, service: &ServiceName, instances: usize, now: Instant) -> bool {
        let bound = self.bound;
        let window_counts = self.services.entry(service.clone()).or_default();
        expire(&mut window_counts.requests, bound.window, now);
        expire(&mut window_counts.retries, bound.window, now);
        let count =
            |times: &VecDeque<Instant>| f64::from(u32::try_from(times.len()).unwrap_or(u32::MAX));
        let share = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let limit = USABLE_FRACTION
            * (bound.ratio * count(&window_counts.requests) + bound.allowance / share);
        if count(&window_counts.retries) + 1.0 > limit {
            return false;
        }
        window_counts.retries.push_back(now);
        true
    }
}
