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
pub const SAFETY: f64 = 0.7;

/// The bound for one service.
#[derive(Debug, Clone, Copy)]
pub struct BudgetBound {
    /// Repeats per request.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// Repeats permitted in addition, over the whole fleet.
    pub allowance: f64,
}

#[derive(Debug, Default)]
struct ServiceUse {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// Repeats of all services at one instance.
#[derive(Debug)]
pub struct RepeatBudget {
    bound: BudgetBound,
    uses: BTreeMap<ServiceName, ServiceUse>,
}

fn expire(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times
        .front()
        .is_some_and(|time| now.saturating_duration_since(*time) > window)
    {
        times.pop_front();
    }
}

impl RepeatBudget {
    /// Creates a budget with nothing spent.
    #[must_use]
    pub fn new(bound: BudgetBound) -> Self {
        Self {
            bound,
            uses: BTreeMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn note_request(&mut self, service: &ServiceName, now: Instant) {
        let window = self.bound.window;
        let usage = self.uses.entry(service.clone()).or_default();
        usage.requests.push_back(now);
        expire(&mut usage.requests, window, now);
    }

    /// Takes one repeat, or says that none is left. `instances` is the number
    /// of instances that share the allowance.
    pub fn take(&mut self, service: &ServiceName, instances: usize, now: Instant) -> bool {
        let bound = self.bound;
        let usage = self.uses.entry(service.clone()).or_default();
        expire(&mut usage.requests, bound.window, now);
        expire(&mut usage.repeats, bound.window, now);
        let count =
            |times: &VecDeque<Instant>| f64::from(u32::try_from(times.len()).unwrap_or(u32::MAX));
        let share = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let limit = SAFETY * (bound.ratio * count(&usage.requests) + bound.allowance / share);
        if count(&usage.repeats) + 1.0 > limit {
            return false;
        }
        usage.repeats.push_back(now);
        true
    }
}
