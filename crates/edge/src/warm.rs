//! Learns from requests and responses what placement needs to know of objects and of the
//! time that work takes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::names::ServiceName;
use tarragonpulley_policy::entry::placement::ServerView;
use tarragonpulley_policy::entry::popular_objects::PopularObjects;
use tarragonpulley_policy::entry::work_estimate::WorkEstimates;

use crate::instance::Instance;

/// The age at which the demand of a service in the region is summed up again: the
/// interval of digests.
const DEMAND_MAX_AGE: Duration = Duration::from_millis(500);

/// What this instance has learned.
#[derive(Debug, Default)]
pub(crate) struct WarmServers {
    pub(crate) estimates: RefCell<WorkEstimates>,
    pub(crate) objects: RefCell<PopularObjects>,
    region_rates: RefCell<BTreeMap<ServiceName, (Instant, f64)>>,
}

impl WarmServers {
    /// Records the time in which a connection to a server opened.
    pub(crate) fn record_connection(&self, view: &ServerView, time: Duration) {
        self.estimates
            .borrow_mut()
            .record_connection(view.hash, view.in_own_region, time);
    }
}

impl Instance {
    /// The requests per second for a service from all instances of this region, according
    /// to their digests.
    pub(crate) fn region_rate(&self, service: &ServiceName, now: Instant) -> f64 {
        let mut rates = self.warm.region_rates.borrow_mut();
        if let Some((updated, rate)) = rates.get(service)
            && now.saturating_duration_since(*updated) < DEMAND_MAX_AGE
        {
            return *rate;
        }
        let peers = self.peers.borrow();
        let others: f64 = peers
            .other_regions(now)
            .filter(|(region, demand)| **region == peers.own().region && demand.service == *service)
            .map(|(_, demand)| demand.rate())
            .sum();
        let rate = others + self.regions.rate(service, now);
        rates.insert(service.clone(), (now, rate));
        rate
    }
}
