//! How work that may run in any region is divided over the regions.
//!
//! Load answered: requests with home regions concentrate on a region that has few
//! servers. If the other requests were spread evenly over all servers, this
//! region would be overloaded while the rest has room. The other requests get a
//! smaller part there, so that all servers of a service are loaded alike.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::names::{RegionName, ServiceName};
use super::quota::DemandMeter;

/// The part of a service's requests that may move to another region in a second.
/// Well below the sites' bound of 0.15 in two seconds, as the parts of a few
/// hundred requests vary by chance.
pub const MAX_MOVED_PER_S: f64 = 0.04;

/// Weights keep their goal until the computed one is farther away than this.
/// Small movements would give objects new owners without relief.
pub const DEAD_BAND: f64 = 0.1;

/// The demand in requests per second below which weights stay as they are. The
/// parts of a few requests are chance.
pub const MIN_DEMAND: f64 = 5.0;

/// Rates below this are left out of reports.
const MIN_REPORTED: f32 = 0.05;

/// The time after which the weights move as if no more had passed, so that an
/// instance that stood still does not move everything at once.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// What one region has and must do for a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionLoad {
    /// Slots of the usable servers there.
    pub slots: f64,
    /// Requests per second that may only run there.
    pub homed: f64,
}

/// Requests per second for one service, as one instance tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Requests that may run anywhere.
    pub free: f32,
    /// Requests that may only run in a region.
    pub homed: Vec<(RegionName, f32)>,
}

#[derive(Debug)]
struct ServiceMeter {
    free: DemandMeter,
    homed: BTreeMap<RegionName, DemandMeter>,
}

/// Measures at one instance where its requests may run.
#[derive(Debug, Default)]
pub struct RegionMeter {
    services: BTreeMap<ServiceName, ServiceMeter>,
}

impl RegionMeter {
    /// Counts one request. It may run anywhere if `homes` is empty; one with
    /// several homes counts in equal parts.
    pub fn note(&mut self, service: &ServiceName, homes: &BTreeSet<RegionName>, now: Instant) {
        let meter = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceMeter {
                free: DemandMeter::new(now),
                homed: BTreeMap::new(),
            });
        if homes.is_empty() {
            meter.free.note(now);
            return;
        }
        let part = 1.0 / f64::from(u32::try_from(homes.len()).unwrap_or(u32::MAX));
        for region in homes {
            meter
                .homed
                .entry(region.clone())
                .or_insert_with(|| DemandMeter::new(now))
                .note_part(part, now);
        }
    }

    /// The demand of this instance.
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
                    .filter(|(_, rate)| *rate > MIN_REPORTED)
                    .collect(),
            })
            .filter(|demand| demand.free > MIN_REPORTED || !demand.homed.is_empty())
            .collect()
    }
}

/// The weight of each region that has servers, for requests that may run
/// anywhere: between 0 and 1, and 1 for the least loaded region. `free` is the
/// rate of these requests per second.
///
/// The weights fill the regions up to one level of requests per slot; a region
/// whose own requests exceed this level gets nothing.
#[must_use]
pub fn fill_level(
    loads: &BTreeMap<RegionName, RegionLoad>,
    free: f64,
) -> BTreeMap<RegionName, f64> {
    let mut filled: Vec<&RegionLoad> = loads.values().filter(|load| load.slots > 0.0).collect();
    let density = |load: &RegionLoad| load.homed / load.slots;
    filled.sort_by(|a, b| density(a).total_cmp(&density(b)));
    // Takes regions in while their own requests stay below the level.
    let (mut slots, mut demand) = (0.0, free);
    for load in filled {
        if slots > 0.0 && density(load) >= demand / slots {
            break;
        }
        slots += load.slots;
        demand += load.homed;
    }
    let level = if slots > 0.0 { demand / slots } else { 0.0 };
    let room = |load: &RegionLoad| (level - density(load)).max(0.0);
    let usable = || loads.iter().filter(|(_, load)| load.slots > 0.0);
    let most = usable().map(|(_, load)| room(load)).fold(0.0, f64::max);
    usable()
        .map(|(region, load)| {
            let weight = if most > 0.0 { room(load) / most } else { 1.0 };
            (region.clone(), weight)
        })
        .collect()
}

#[derive(Debug, Clone, Copy)]
struct RegionWeight {
    value: f64,
    goal: f64,
}

/// The weights in force for one service. They follow the computed ones slowly.
#[derive(Debug)]
pub struct RegionShare {
    weights: BTreeMap<RegionName, RegionWeight>,
    updated: Instant,
}

impl RegionShare {
    /// Creates equal weights.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            weights: BTreeMap::new(),
            updated: now,
        }
    }

    /// The weight of a region.
    #[must_use]
    pub fn weight(&self, region: &RegionName) -> f64 {
        self.weights.get(region).map_or(1.0, |weight| weight.value)
    }

    /// The weights that were ever set.
    pub fn weights(&self) -> impl Iterator<Item = (&RegionName, f64)> {
        self.weights
            .iter()
            .map(|(region, weight)| (region, weight.value))
    }

    /// Moves the weights towards those that fit the load. Returns whether one
    /// moved.
    pub fn follow(
        &mut self,
        loads: &BTreeMap<RegionName, RegionLoad>,
        free: f64,
        now: Instant,
    ) -> bool {
        let passed = now.saturating_duration_since(self.updated);
        self.updated = now;
        let homed: f64 = loads.values().map(|load| load.homed).sum();
        if free + homed < MIN_DEMAND {
            return false;
        }
        let slots: f64 = loads.values().map(|load| load.slots).sum();
        let moved = MAX_MOVED_PER_S * passed.min(MAX_PAUSE).as_secs_f64();
        let mut has_moved = false;
        for (region, goal) in fill_level(loads, free) {
            let step = moved * slots / loads[&region].slots;
            let weight = self.weights.entry(region).or_insert(RegionWeight {
                value: 1.0,
                goal: 1.0,
            });
            // The ends of the range are always goals, or a region would never be
            // left or used in full again.
            let is_end = goal <= 0.0 || goal >= 1.0;
            if is_end || (goal - weight.goal).abs() > DEAD_BAND {
                weight.goal = goal;
            }
            let distance = weight.goal - weight.value;
            weight.value += distance.clamp(-step, step);
            has_moved |= distance != 0.0;
        }
        has_moved
    }
}
