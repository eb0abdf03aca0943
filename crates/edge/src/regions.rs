//! Divides the requests that may run in any region over the regions.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use serde_json::json;
use tarragonpulley_policy::entry::names::{RegionName, ServiceName};
use tarragonpulley_policy::entry::region_share::{
    RegionLoad, RegionMeter, RegionShare, ServiceDemand,
};

use crate::instance::Instance;

/// What this instance measures and decides about regions.
#[derive(Debug, Default)]
pub(crate) struct RegionBook {
    meter: RefCell<RegionMeter>,
    shares: RefCell<BTreeMap<ServiceName, RegionShare>>,
}

impl RegionBook {
    /// Counts a request. It may run anywhere if `homes` is empty.
    pub(crate) fn note(&self, service: &ServiceName, homes: &BTreeSet<RegionName>, now: Instant) {
        self.meter.borrow_mut().note(service, homes, now);
    }

    /// The demand of this instance, for the digest.
    pub(crate) fn report(&self, now: Instant) -> Vec<ServiceDemand> {
        self.meter.borrow_mut().report(now)
    }

    /// The weight of a region for requests that may run anywhere.
    pub(crate) fn weight(&self, service: &ServiceName, region: &RegionName) -> f64 {
        self.shares
            .borrow()
            .get(service)
            .map_or(1.0, |share| share.weight(region))
    }
}

impl Instance {
    /// Moves the regions' weights towards those that fit the fleet's demand.
    pub(crate) fn refresh_regions(&self) {
        let now = self.now();
        let mut demands = self.peers.borrow().other_regions(now);
        for own in self.regions.report(now) {
            let (free, homed) = demands.entry(own.service).or_default();
            *free += f64::from(own.free);
            for (region, rate) in own.homed {
                *homed.entry(region).or_insert(0.0) += f64::from(rate);
            }
        }
        for (service, (free, homed)) in demands {
            let mut loads = self.region_slots(&service, now);
            for (region, rate) in homed {
                loads.entry(region).or_default().homed += rate;
            }
            let mut shares = self.regions.shares.borrow_mut();
            let share = shares
                .entry(service.clone())
                .or_insert_with(|| RegionShare::new(now));
            if share.follow(&loads, free, now) {
                let weights: BTreeMap<&str, f64> = share
                    .weights()
                    .map(|(region, weight)| (region.as_str(), weight))
                    .collect();
                self.log.event(
                    "regions_weighted",
                    json!({"service": service.as_str(), "weights": weights, "free_per_s": free}),
                );
            }
        }
    }

    /// The slots of the servers in use, by region.
    fn region_slots(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> BTreeMap<RegionName, RegionLoad> {
        let evacuated = self.evacuated.borrow();
        let mut loads: BTreeMap<RegionName, RegionLoad> = BTreeMap::new();
        for server in self.servers.borrow().of_service(service) {
            let entry = server.entry.borrow();
            if !server.is_open(now) || evacuated.contains(&entry.centre) {
                continue;
            }
            if let Some(region) = self.region_of(&entry.centre) {
                loads.entry(region).or_default().slots += f64::from(entry.slots);
            }
        }
        loads
    }
}
