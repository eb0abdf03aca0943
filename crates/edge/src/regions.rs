//! Balances requests without home regions over the regions.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use serde_json::json;
use tarragonpulley_policy::entry::names::{RegionName, ServiceName};
use tarragonpulley_policy::entry::placement::{RegionFractions, text_hash};
use tarragonpulley_policy::entry::region_share::{
    RegionLoad, RegionMeter, RegionShare, ServiceDemand,
};

use crate::instance::Instance;

/// The measured demand and the resulting region shares of each service.
#[derive(Debug, Default)]
pub(crate) struct RegionBalancer {
    meter: RefCell<RegionMeter>,
    shares: RefCell<BTreeMap<ServiceName, RegionShare>>,
}

impl RegionBalancer {
    /// Counts a request. Without `home_regions` it may run in any region.
    pub(crate) fn record(
        &self,
        service: &ServiceName,
        home_regions: Option<&BTreeSet<RegionName>>,
        now: Instant,
    ) {
        let anywhere = BTreeSet::new();
        let home_regions = home_regions.unwrap_or(&anywhere);
        self.meter.borrow_mut().record(service, home_regions, now);
    }

    /// The demand at this instance, for the digest.
    pub(crate) fn report(&self, now: Instant) -> Vec<ServiceDemand> {
        self.meter.borrow_mut().report(now)
    }

    /// The demand for one service at this instance, in requests per second.
    pub(crate) fn rate(&self, service: &ServiceName, now: Instant) -> f64 {
        let reports = self.report(now);
        let report = reports.iter().find(|demand| demand.service == *service);
        report.map_or(0.0, ServiceDemand::rate)
    }

    /// The fraction of the requests without home regions that each region gets.
    pub(crate) fn fractions(&self, service: &ServiceName) -> RegionFractions {
        let shares = self.shares.borrow();
        let fractions = shares.get(service).map(RegionShare::fractions);
        fractions
            .into_iter()
            .flatten()
            .map(|(region, fraction)| (text_hash(region.as_str()), *fraction))
            .collect()
    }
}

impl Instance {
    /// Moves the region shares of each service towards those that fit the
    /// demand and capacity of the whole fleet.
    pub(crate) fn update_region_shares(&self) {
        let now = self.now();
        let mut loads = self.region_slots(now);
        let own = self.regions.report(now);
        let peers = self.peers.borrow();
        let origin = &peers.own().region;
        let reports = peers
            .other_regions(now)
            .chain(own.iter().map(|demand| (origin, demand)));
        for (region, demand) in reports {
            let service = loads.entry(demand.service.clone()).or_default();
            service.entry(region.clone()).or_default().free += f64::from(demand.free);
            for (home, rate) in &demand.homed {
                service.entry(home.clone()).or_default().homed += f64::from(*rate);
            }
        }
        for (service, loads) in loads {
            let is_idle = !own.iter().any(|demand| demand.service == service);
            let mut shares = self.regions.shares.borrow_mut();
            let share = shares.entry(service.clone()).or_default();
            if share.update(origin, &loads, is_idle, now) {
                let fractions: BTreeMap<&str, f64> = share
                    .fractions()
                    .iter()
                    .map(|(region, fraction)| (region.as_str(), *fraction))
                    .collect();
                self.log.event(
                    "regions_divided",
                    json!({"service": service.as_str(), "parts": fractions}),
                );
            }
        }
    }

    /// The total slots of the available servers by service and region.
    fn region_slots(
        &self,
        now: Instant,
    ) -> BTreeMap<ServiceName, BTreeMap<RegionName, RegionLoad>> {
        let evacuated_centres = self.evacuated_centres.borrow();
        let mut slots: BTreeMap<ServiceName, BTreeMap<RegionName, RegionLoad>> = BTreeMap::new();
        for server in self.servers.borrow().all() {
            let entry = server.entry.borrow();
            if !server.is_available(now) || evacuated_centres.contains(&entry.centre) {
                continue;
            }
            if let Some(region) = server.region.borrow().as_ref() {
                let loads = slots.entry(entry.service.clone()).or_default();
                loads.entry(region.name.clone()).or_default().slots += f64::from(entry.slots);
            }
        }
        slots
    }
}
