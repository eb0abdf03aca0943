//! Decides how many servers own an object.
//!
//! Answers the load of objects that keep a good part of a server's slots busy, which would
//! delay all others of their owner. All instances use the first ranks of the same
//! rendezvous order, so that different counts cost one more cold copy at most, and no
//! message is needed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::names::ServiceName;

/// The maximum number of owners of an object that leaves room for others at each of them.
pub const MAX_SHARED_OWNERS: u32 = 3;

/// The maximum number of owners of an object.
pub const MAX_OWNERS: u32 = 8;

/// The fraction of a server's slots that the requests on one object keep busy before it
/// gets another owner. The rest is left for the other objects of the server.
pub const OWNER_SLOT_FRACTION: f64 = 0.25;

/// The fraction of a server's slots that one object may keep busy when it has
/// [`MAX_SHARED_OWNERS`].
pub const MAX_OWNER_SLOT_FRACTION: f64 = 0.5;

/// The fraction of the limit below which an owner is removed again.
pub const SHRINK_FRACTION: f64 = 0.7;

/// The fraction of requests that must find their object known for further owners, each
/// of which gets fewer requests, to pay.
pub const MIN_REMEMBERED_FRACTION: f64 = 0.5;

/// The maximum number of objects of a service with a rate; the least requested are
/// dropped.
pub const MAX_OBJECTS: usize = 1024;

/// The time constant of the objects' rates. An instance gets few requests on one object.
pub const RATE_WINDOW: Duration = Duration::from_secs(20);

/// The number of requests at which an object's own rate and the mean rate of all objects
/// weigh alike, and the upper bound of that mean: above it, rates are known well enough.
const RATE_CONFIDENCE: f64 = 2.0;

/// The number of requests for the service below which the share of one object in them
/// says little.
const SHARE_CONFIDENCE: f64 = 20.0;

/// Objects are classed by rate; each class has twice the rate of the one before.
const RATE_CLASSES: usize = 8;

/// The rate in requests per second and owner below which an object is in the first class.
const MIN_CLASS_RATE: f64 = 1.0 / 16.0;

/// Weight of a response in the fraction of remembered objects.
const REMEMBERED_WEIGHT: f64 = 1.0 / 32.0;

/// A number of requests that decays with [`RATE_WINDOW`].
#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    count: f64,
    updated: Instant,
}

impl DecayingCount {
    fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            updated: now,
        }
    }

    fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.count * (-elapsed / RATE_WINDOW.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Instant) {
        self.count = self.at(now) + 1.0;
        self.updated = now;
    }
}

#[derive(Debug)]
struct ObjectUse {
    requests: DecayingCount,
    owners: u32,
}

fn rate_class(rate: f64) -> usize {
    let limits = (0..RATE_CLASSES - 1).scan(MIN_CLASS_RATE, |limit, _| {
        let current = *limit;
        *limit *= 2.0;
        Some(current)
    });
    limits.take_while(|limit| rate >= *limit).count()
}

/// The demand that decides on the owners of an object.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObjectDemand {
    /// Requests per second for the service from all instances of the region.
    pub service_rate: f64,
    /// Work on the object when it is known.
    pub known_work: Duration,
    /// Requests that a server of the service runs concurrently.
    pub slots: u32,
}

/// How the requests on an object are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectOwners {
    /// At one of so many first servers of the rendezvous order.
    Owners(usize),
    /// By load, because work on a known object takes no less.
    ByLoad,
}

/// The number of owners for an object that keeps `busy` slots of servers with `slots`
/// busy.
fn owner_count(busy: f64, slots: f64) -> u32 {
    let shared = 1.0 + (busy / (slots * OWNER_SLOT_FRACTION)).floor();
    let needed = (busy / (slots * MAX_OWNER_SLOT_FRACTION)).ceil();
    let count = shared
        .min(f64::from(MAX_SHARED_OWNERS))
        .max(needed)
        .min(f64::from(MAX_OWNERS));
    (1..=MAX_OWNERS)
        .find(|owners| f64::from(*owners) >= count)
        .unwrap_or(MAX_OWNERS)
}

#[derive(Debug)]
struct ServiceObjects {
    started: Instant,
    requests: DecayingCount,
    objects: BTreeMap<u64, ObjectUse>,
    /// The fraction of requests that find their object known at an owner, by the object's
    /// rate.
    remembered: [f64; RATE_CLASSES],
}

impl ServiceObjects {
    fn new(now: Instant) -> Self {
        Self {
            started: now,
            requests: DecayingCount::new(now),
            objects: BTreeMap::new(),
            remembered: [1.0; RATE_CLASSES],
        }
    }

    fn record(&mut self, object: u64, now: Instant) {
        if !self.objects.contains_key(&object) && self.objects.len() >= MAX_OBJECTS {
            let mut counts: Vec<(u64, f64)> = self
                .objects
                .iter()
                .map(|(object, used)| (*object, used.requests.at(now)))
                .collect();
            counts.sort_by(|a, b| a.1.total_cmp(&b.1));
            for (object, _) in counts.into_iter().take(MAX_OBJECTS / 8) {
                self.objects.remove(&object);
            }
        }
        self.requests.record(now);
        let used = self.objects.entry(object).or_insert_with(|| ObjectUse {
            requests: DecayingCount::new(now),
            owners: 1,
        });
        used.requests.record(now);
    }

    /// The rate of an object in the region. An object with few requests is taken to be
    /// nearer to the mean of all objects.
    fn rate(&self, object: u64, service_rate: f64, now: Instant) -> f64 {
        let total = self.requests.at(now);
        let count = self
            .objects
            .get(&object)
            .map_or(0.0, |used| used.requests.at(now));
        let objects = f64::from(u32::try_from(self.objects.len().max(1)).unwrap_or(u32::MAX));
        let confidence = count / (count + RATE_CONFIDENCE);
        let mean = (total / objects).min(RATE_CONFIDENCE);
        let expected = confidence * count + (1.0 - confidence) * mean;
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        let window = RATE_WINDOW.as_secs_f64();
        let covered = window * (1.0 - (-elapsed / window).exp());
        let own_rate = total / covered.max(1.0);
        expected / (total + SHARE_CONFIDENCE) * service_rate.max(own_rate)
    }

    fn owners(&mut self, object: u64, demand: &ObjectDemand, now: Instant) -> ObjectOwners {
        let rate = self.rate(object, demand.service_rate, now);
        let busy = rate * demand.known_work.as_secs_f64();
        let slots = f64::from(demand.slots.max(1));
        let remembered = |owners: u32| self.remembered[rate_class(rate / f64::from(owners))];
        let previous = self.objects.get(&object).map_or(1, |used| used.owners);
        let kept = previous.min(owner_count(busy / SHRINK_FRACTION, slots));
        let mut count = owner_count(busy, slots).max(kept);
        while count > 1 && remembered(count) < MIN_REMEMBERED_FRACTION {
            count -= 1;
        }
        if let Some(used) = self.objects.get_mut(&object) {
            used.owners = count;
        }
        ObjectOwners::Owners(count as usize)
    }

    fn record_owner_response(&mut self, rate: f64, was_known: bool) {
        let remembered = &mut self.remembered[rate_class(rate)];
        let value = f64::from(u8::from(was_known));
        *remembered += REMEMBERED_WEIGHT * (value - *remembered);
    }
}

/// The objects that one instance gets requests on, by service.
#[derive(Debug, Default)]
pub struct PopularObjects {
    services: BTreeMap<ServiceName, ServiceObjects>,
}

impl PopularObjects {
    /// Records a request on an object.
    pub fn record_request(&mut self, service: &ServiceName, object: u64, now: Instant) {
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceObjects::new(now))
            .record(object, now);
    }

    /// Decides how a request on an object is placed.
    pub fn owners(
        &mut self,
        service: &ServiceName,
        object: u64,
        demand: &ObjectDemand,
        now: Instant,
    ) -> ObjectOwners {
        self.services
            .get_mut(service)
            .map_or(ObjectOwners::Owners(1), |objects| {
                objects.owners(object, demand, now)
            })
    }

    /// Records whether an owner of an object turned out to know it.
    pub fn record_owner_response(
        &mut self,
        service: &ServiceName,
        object: u64,
        service_rate: f64,
        was_known: bool,
        now: Instant,
    ) {
        let Some(objects) = self.services.get_mut(service) else {
            return;
        };
        let owners = objects.objects.get(&object).map_or(1, |used| used.owners);
        let rate = objects.rate(object, service_rate, now) / f64::from(owners);
        objects.record_owner_response(rate, was_known);
    }
}
