//! Division of traffic among regions, for requests that may run in any region.
//!
//! Most objects are requested in one region only. Their owners are best placed in
//! that region as long as it has capacity: latency is lower and no traffic crosses
//! between regions. Regions differ in their numbers of servers and callers, and
//! some requests are restricted to home regions. All servers of a service are
//! therefore loaded to one level. Each region gets the requests that must run there
//! first, then the unrestricted requests that arrive there; the remaining requests
//! go to regions with spare capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::names::{RegionName, ServiceName};
use super::quota::DemandMeter;

/// The maximum fraction of a region's requests that moves between regions per
/// second. Leaves a margin to the sites' bound of 0.15 in two seconds, because the
/// fractions observed over a few hundred requests vary by chance.
pub const MAX_MOVED_PER_S: f64 = 0.05;

/// The fraction of a region's requests that must be misplaced before any of them
/// move. Smaller moves would give objects new owners with little benefit.
pub const DEAD_BAND: f64 = 0.05;

/// The demand in requests per second below which all regions are assumed to have
/// equal demand, because the distribution of few requests is random.
pub const MIN_DEMAND: f64 = 5.0;

/// Rates in requests per second up to this are left out of reports.
const MIN_REPORTED_RATE: f32 = 0.05;

/// Upper bound of the elapsed time that one update accounts for, so that an
/// instance that was paused does not move all its requests at once.
const MAX_ELAPSED: Duration = Duration::from_secs(1);

/// Capacity and demand of one region for a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionLoad {
    /// Slots of the usable servers in the region.
    pub slots: f64,
    /// Requests per second that are restricted to the region.
    pub homed: f64,
    /// Requests per second that arrive in the region and may run in any region.
    pub free: f64,
}

/// The demand for one service at one instance, in requests per second, as reported
/// to the other instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Requests that may run in any region.
    pub free: f32,
    /// Requests that are restricted to a region, by region.
    pub homed: Vec<(RegionName, f32)>,
}

impl ServiceDemand {
    /// All requests per second, wherever they may run.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let homed = self.homed.iter().map(|(_, rate)| f64::from(*rate));
        f64::from(self.free) + homed.sum::<f64>()
    }
}

#[derive(Debug)]
struct ServiceMeter {
    free: DemandMeter,
    homed: BTreeMap<RegionName, DemandMeter>,
}

/// Measures the demand of one instance by service and permitted region.
#[derive(Debug, Default)]
pub struct RegionMeter {
    services: BTreeMap<ServiceName, ServiceMeter>,
}

impl RegionMeter {
    /// Records one request. It may run in any region if `homes` is empty; with
    /// several home regions, it counts for each of them in equal parts.
    pub fn record(&mut self, service: &ServiceName, homes: &BTreeSet<RegionName>, now: Instant) {
        let meter = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceMeter {
                free: DemandMeter::new(now),
                homed: BTreeMap::new(),
            });
        if homes.is_empty() {
            meter.free.record(now);
            return;
        }
        let fraction = 1.0 / f64::from(u32::try_from(homes.len()).unwrap_or(u32::MAX));
        for region in homes {
            meter
                .homed
                .entry(region.clone())
                .or_insert_with(|| DemandMeter::new(now))
                .record_fraction(fraction, now);
        }
    }

    /// The demand of this instance, for the digest.
    pub fn report(&mut self, now: Instant) -> Vec<ServiceDemand> {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "rates of a few thousand at most"
        )]
        let rate = |meter: &mut DemandMeter| meter.rate(now) as f32;
        self.services
            .iter_mut()
            .map(|(service, meter)| ServiceDemand {
                service: service.clone(),
                free: rate(&mut meter.free),
                homed: meter
                    .homed
                    .iter_mut()
                    .map(|(region, meter)| (region.clone(), rate(meter)))
                    .filter(|(_, rate)| *rate > MIN_REPORTED_RATE)
                    .collect(),
            })
            .filter(|demand| demand.free > MIN_REPORTED_RATE || !demand.homed.is_empty())
            .collect()
    }
}

/// The unrestricted requests per second that each region takes when all servers
/// are loaded to one level. A region whose restricted requests exceed the level
/// takes none.
fn capacities(loads: &BTreeMap<RegionName, RegionLoad>) -> BTreeMap<&RegionName, f64> {
    let mut usable: Vec<(&RegionName, &RegionLoad)> =
        loads.iter().filter(|(_, load)| load.slots > 0.0).collect();
    let density = |load: &RegionLoad| load.homed / load.slots;
    usable.sort_by(|a, b| density(a.1).total_cmp(&density(b.1)));
    let mut demand: f64 = loads.values().map(|load| load.free).sum();
    let mut slots = 0.0;
    // Include regions, in order of restricted load per slot, as long as their
    // restricted requests alone stay below the level.
    for (_, load) in &usable {
        if slots > 0.0 && density(load) >= demand / slots {
            break;
        }
        slots += load.slots;
        demand += load.homed;
    }
    let level = if slots > 0.0 { demand / slots } else { 0.0 };
    usable
        .into_iter()
        .map(|(region, load)| (region, (level * load.slots - load.homed).max(0.0)))
        .collect()
}

/// The fraction of the unrestricted requests arriving in `origin` that should run
/// in each region with servers. The fractions add up to 1 if there is such a region.
#[must_use]
pub fn origin_fractions(
    origin: &RegionName,
    loads: &BTreeMap<RegionName, RegionLoad>,
) -> BTreeMap<RegionName, f64> {
    let total_demand: f64 = loads.values().map(|load| load.free + load.homed).sum();
    let equal_loads;
    let loads = if total_demand < MIN_DEMAND {
        let equal_demand = |load: &RegionLoad| RegionLoad {
            free: 1.0,
            homed: 0.0,
            ..*load
        };
        equal_loads = loads
            .iter()
            .map(|(region, load)| (region.clone(), equal_demand(load)))
            .collect();
        &equal_loads
    } else {
        loads
    };
    let capacities = capacities(loads);
    let local = |region: &RegionName| -> f64 {
        let capacity = capacities.get(region).copied().unwrap_or(0.0);
        loads
            .get(region)
            .map_or(0.0, |load| load.free.min(capacity))
    };
    let free = loads.get(origin).map_or(0.0, |load| load.free);
    let here = if free > 0.0 {
        local(origin) / free
    } else {
        f64::from(u8::from(capacities.contains_key(origin)))
    };
    let spare = |region: &RegionName| capacities[region] - local(region);
    let total_spare: f64 = capacities.keys().map(|region| spare(region)).sum();
    let slots: f64 = loads.values().map(|load| load.slots).sum();
    capacities
        .keys()
        .map(|&region| {
            // Without spare capacity, all servers get equal load.
            let away = if total_spare > 0.0 {
                spare(region) / total_spare
            } else {
                loads[region].slots / slots
            };
            let local_fraction = if region == origin { here } else { 0.0 };
            (region.clone(), local_fraction + (1.0 - here) * away)
        })
        .collect()
}

/// The fraction of requests that has to move to get from one division to the
/// other: half of the sum of absolute differences.
fn moved_fraction(a: &BTreeMap<RegionName, f64>, b: &BTreeMap<RegionName, f64>) -> f64 {
    let fraction = |fractions: &BTreeMap<RegionName, f64>, region| {
        fractions.get(region).copied().unwrap_or(0.0)
    };
    let regions: BTreeSet<&RegionName> = a.keys().chain(b.keys()).collect();
    regions
        .into_iter()
        .map(|region| (fraction(a, region) - fraction(b, region)).abs() / 2.0)
        .sum()
}

/// The current division of one service's requests at one instance. It approaches
/// the target division slowly, so that a change of traffic does not move many
/// requests at once.
#[derive(Debug, Default)]
pub struct RegionShare {
    fractions: BTreeMap<RegionName, f64>,
    target: BTreeMap<RegionName, f64>,
    slots: BTreeMap<RegionName, f64>,
    updated: Option<Instant>,
}

impl RegionShare {
    /// The fraction of the requests that runs in each region.
    #[must_use]
    pub fn fractions(&self) -> &BTreeMap<RegionName, f64> {
        &self.fractions
    }

    /// Moves the division towards the target for the given loads and returns whether
    /// it changed. Moves to the target at once if `is_idle`, that is, if there are no
    /// requests that would move.
    pub fn update(
        &mut self,
        origin: &RegionName,
        loads: &BTreeMap<RegionName, RegionLoad>,
        is_idle: bool,
        now: Instant,
    ) -> bool {
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated = Some(now);
        let new_target = origin_fractions(origin, loads);
        if moved_fraction(&self.target, &new_target) > DEAD_BAND {
            self.target = new_target;
        }
        let previous_slots = std::mem::replace(
            &mut self.slots,
            loads
                .iter()
                .map(|(region, load)| (region.clone(), load.slots))
                .collect(),
        );
        if is_idle || self.fractions.is_empty() {
            let moved = self.fractions != self.target;
            self.fractions.clone_from(&self.target);
            return moved;
        }
        let redistributed = self.redistribute_removed(&previous_slots);
        let step = MAX_MOVED_PER_S * elapsed.min(MAX_ELAPSED).as_secs_f64();
        let remaining = moved_fraction(&self.fractions, &self.target);
        if remaining <= 0.0 {
            return redistributed;
        }
        let ratio = (step / remaining).min(1.0);
        self.move_towards_target(ratio);
        true
    }

    /// Redistributes the requests that ran on removed servers, at once and in
    /// proportion to the target. Returns whether there were any.
    fn redistribute_removed(&mut self, previous_slots: &BTreeMap<RegionName, f64>) -> bool {
        let mut redistributed = 0.0;
        for (region, fraction) in &mut self.fractions {
            let (old, new) = (
                previous_slots.get(region).copied().unwrap_or(0.0),
                self.slots.get(region).copied().unwrap_or(0.0),
            );
            if new < old {
                let moved = *fraction * (1.0 - new / old);
                *fraction -= moved;
                redistributed += moved;
            }
        }
        for (region, fraction) in &self.target {
            *self.fractions.entry(region.clone()).or_insert(0.0) += redistributed * fraction;
        }
        redistributed > 0.0
    }

    fn move_towards_target(&mut self, ratio: f64) {
        let regions: BTreeSet<RegionName> = self
            .fractions
            .keys()
            .chain(self.target.keys())
            .cloned()
            .collect();
        for region in regions {
            let target = self.target.get(&region).copied().unwrap_or(0.0);
            let fraction = self.fractions.entry(region).or_insert(0.0);
            *fraction += (target - *fraction) * ratio;
        }
    }
}
