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

fn remove_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
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
        let usage_window = self.services.entry(service.clone()).or_default();
        usage_window.requests.push_back(now);
        remove_expired(&mut usage_window.requests, window, now);
    }

    /// Reserves one retry and returns `true`, or returns `false` if the budget is
    /// exhausted. `instances` is the number of instances that share the allowance.
    pub fn try_acquire(&mut self, service: &ServiceName, instances: usize, now: Instant) -> bool {
        let bound = self.bound;
        let usage_window = self.services.entry(service.clone()).or_default();
        remove_expired(&mut usage_window.requests, bound.window, now);
        remove_expired(&mut usage_window.retries, bound.window, now);
        let count =
            |times: &VecDeque<Instant>| f64::from(u32::try_from(times.len()).unwrap_or(u32::MAX));
        let sharers = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let limit = USABLE_FRACTION
            * (bound.ratio * count(&usage_window.requests) + bound.allowance / sharers);
        if count(&usage_window.retries) + 1.0 > limit {
            return false;
        }
        usage_window.retries.push_back(now);
        true
    }
}
