//! In which regions requests run that may run in any.
//!
//! Load answered: objects that are asked for in one region only. Their owners
//! are best in that region, as long as it has room: the answer comes sooner, and
//! no bytes cross between regions. Regions have unequal parts of the servers and
//! of the callers, and some requests have home regions. So all servers of a
//! service are filled to one level: each region first with the requests that
//! must run there, then with the others that arrive there; what is left runs
//! where there is room.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::names::{RegionName, ServiceName};
use super::quota::DemandMeter;

/// The part of a region's requests that may move to other regions in a second.
/// Leaves a margin to the sites' bound of 0.15 in two seconds, as the parts of a
/// few hundred requests vary by chance.
pub const MAX_MOVED_PER_S: f64 = 0.05;

/// The part of a region's requests that must be misplaced before any moves.
/// Small movements would give objects new owners without relief.
pub const DEAD_BAND: f64 = 0.05;

/// The demand in requests per second below which all regions are assumed to ask
/// alike. The parts of a few requests are chance.
pub const MIN_DEMAND: f64 = 5.0;

/// Rates below this are left out of reports.
const MIN_REPORTED_RATE: f32 = 0.05;

/// The longest time for which requests move at once, so that an instance that
/// stood still does not move everything.
const MAX_ELAPSED: Duration = Duration::from_secs(1);

/// What one region has and must do for a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionLoad {
    /// Slots of the usable servers there.
    pub slots: f64,
    /// Requests per second that may only run there.
    pub homed: f64,
    /// Requests per second that arrive there and may run anywhere.
    pub free: f64,
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
        let part = 1.0 / f64::from(u32::try_from(homes.len()).unwrap_or(u32::MAX));
        for region in homes {
            meter
                .homed
                .entry(region.clone())
                .or_insert_with(|| DemandMeter::new(now))
                .record_fraction(part, now);
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
                    .filter(|(_, rate)| *rate > MIN_REPORTED_RATE)
                    .collect(),
            })
            .filter(|demand| demand.free > MIN_REPORTED_RATE || !demand.homed.is_empty())
            .collect()
    }
}

/// The requests per second without homes that each region takes when all servers
/// are filled to one level. A region whose own requests exceed it takes none.
fn capacities(loads: &BTreeMap<RegionName, RegionLoad>) -> BTreeMap<&RegionName, f64> {
    let mut usable: Vec<(&RegionName, &RegionLoad)> =
        loads.iter().filter(|(_, load)| load.slots > 0.0).collect();
    let density = |load: &RegionLoad| load.homed / load.slots;
    usable.sort_by(|a, b| density(a.1).total_cmp(&density(b.1)));
    let mut demand: f64 = loads.values().map(|load| load.free).sum();
    let mut slots = 0.0;
    // Takes regions in while their own requests stay below the level.
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

/// The part of the requests arriving at `origin` without homes that runs in each
/// region with servers. The parts add up to 1 if there is any.
#[must_use]
pub fn origin_fractions(
    origin: &RegionName,
    loads: &BTreeMap<RegionName, RegionLoad>,
) -> BTreeMap<RegionName, f64> {
    let total_demand: f64 = loads.values().map(|load| load.free + load.homed).sum();
    let assumed;
    let loads = if total_demand < MIN_DEMAND {
        let alike = |load: &RegionLoad| RegionLoad {
            free: 1.0,
            homed: 0.0,
            ..*load
        };
        assumed = loads
            .iter()
            .map(|(region, load)| (region.clone(), alike(load)))
            .collect();
        &assumed
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
            // Without room anywhere all servers are used alike.
            let away = if total_spare > 0.0 {
                spare(region) / total_spare
            } else {
                loads[region].slots / slots
            };
            let stays = if region == origin { here } else { 0.0 };
            (region.clone(), stays + (1.0 - here) * away)
        })
        .collect()
}

/// Half of the sum of differences: the part that has to move from one division
/// to reach the other.
fn moved_fraction(a: &BTreeMap<RegionName, f64>, b: &BTreeMap<RegionName, f64>) -> f64 {
    let part = |fractions: &BTreeMap<RegionName, f64>, region| {
        fractions.get(region).copied().unwrap_or(0.0)
    };
    let regions: BTreeSet<&RegionName> = a.keys().chain(b.keys()).collect();
    regions
        .into_iter()
        .map(|region| (part(a, region) - part(b, region)).abs() / 2.0)
        .sum()
}

/// The division in force at one instance for one service. It follows the computed
/// one slowly, so that a change of traffic does not move many requests at once.
#[derive(Debug, Default)]
pub struct RegionShare {
    fractions: BTreeMap<RegionName, f64>,
    target: BTreeMap<RegionName, f64>,
    slots: BTreeMap<RegionName, f64>,
    updated: Option<Instant>,
}

impl RegionShare {
    /// The part of the requests that runs in each region.
    #[must_use]
    pub fn fractions(&self) -> &BTreeMap<RegionName, f64> {
        &self.fractions
    }

    /// Moves the division towards the one that fits the load; at once if
    /// `is_idle`, when no requests are there that would move. Returns whether it
    /// moved.
    pub fn update(
        &mut self,
        origin: &RegionName,
        loads: &BTreeMap<RegionName, RegionLoad>,
        is_idle: bool,
        now: Instant,
    ) -> bool {
        let passed = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated = Some(now);
        let fitting = origin_fractions(origin, loads);
        if moved_fraction(&self.target, &fitting) > DEAD_BAND {
            self.target = fitting;
        }
        let before = std::mem::replace(
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
        let lost = self.redistribute_lost(&before);
        let step = MAX_MOVED_PER_S * passed.min(MAX_ELAPSED).as_secs_f64();
        let far = moved_fraction(&self.fractions, &self.target);
        if far <= 0.0 {
            return lost;
        }
        let ratio = (step / far).min(1.0);
        self.move_towards_target(ratio);
        true
    }

    /// What ran on servers that are gone moves at once.
    fn redistribute_lost(&mut self, before: &BTreeMap<RegionName, f64>) -> bool {
        let mut lost = 0.0;
        for (region, part) in &mut self.fractions {
            let (old, new) = (
                before.get(region).copied().unwrap_or(0.0),
                self.slots.get(region).copied().unwrap_or(0.0),
            );
            if new < old {
                let leaving = *part * (1.0 - new / old);
                *part -= leaving;
                lost += leaving;
            }
        }
        for (region, part) in &self.target {
            *self.fractions.entry(region.clone()).or_insert(0.0) += lost * part;
        }
        lost > 0.0
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
            let part = self.fractions.entry(region).or_insert(0.0);
            *part += (target - *part) * ratio;
        }
    }
}
