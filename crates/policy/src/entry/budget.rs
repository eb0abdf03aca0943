//! Retry budgets per service.
//!
//! Retries of a service are bounded over all instances in a sliding window. Each
//! instance retries at most a ratio of the requests that it received itself in
//! the window, plus an equal share of the fixed allowance. The sum over the
//! instances then keeps the bound without any messages.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::names::ServiceName;

/// The fraction of the permitted ratio and allowance that is used. The margin
/// covers windows that differ between instances and instances that joined too
/// recently to be known.
pub const USABLE_FRACTION: f64 = 0.7;

/// The fleet-wide bound on the retries of one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBound {
    /// Retries per request.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// Additional retries per window, over the whole fleet.
    pub allowance: f64,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// The retry budgets of all services at one instance.
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
    /// Creates budgets with no requests or retries recorded.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            services: BTreeMap::new(),
        }
    }

    /// Records a request received from a caller.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        let window = self.bound.window;
        let window_counts = self.services.entry(service.clone()).or_default();
        window_counts.requests.push_back(now);
        expire(&mut window_counts.requests, window, now);
    }

    /// Reserves one retry and returns `true`, or returns `false` if the budget is
    /// exhausted. `instances` is the number of instances that share the allowance.
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
