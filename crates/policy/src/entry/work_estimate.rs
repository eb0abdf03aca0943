//! Learns how long requests take at a server, by service and route.
//!
//! Answers the load of services whose work does not fit the prior, which follows the
//! route's target latency, and of services that are shared by short and long work: the
//! wait in a queue depends on the work that is queued there. Only medians over several
//! servers are used, so that a slow or lying server does not move them far.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::names::ServiceName;
use super::placement::{
    KNOWN_OBJECT_WORK, MEAN_WORK, REGION_ROUND_TRIP, ServerView, UNKNOWN_OBJECT_WORK, WorkModel,
};
use super::quota::DemandMeter;

/// The number of samples of which the median is taken.
pub const WINDOW_SAMPLES: usize = 48;

/// The number of samples in a window below which the prior is used.
pub const MIN_SAMPLES: usize = 12;

/// The maximum number of samples of one server in a window: a quarter.
pub const MAX_SERVER_SAMPLES: usize = WINDOW_SAMPLES / 4;

/// An estimate within this factor of the prior leaves the prior in use, so that
/// deployments that fit the prior are not affected by the noise of the samples.
pub const PRIOR_TOLERANCE: f64 = 1.25;

/// The ratio of unknown to known work below which affinity gains nothing, and the one
/// from which on it does again.
pub const GAIN_RATIOS: (f64, f64) = (1.6, 2.0);

/// The maximum number of routes of a service and of services with estimates.
const MAX_ENTRIES: usize = 64;

/// Weight of a sample in the fraction of requests on known objects.
const FRACTION_WEIGHT: f64 = 1.0 / 32.0;

/// How the server of a request relates to its object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectRelation {
    /// This instance got a response on the object from it recently.
    Known,
    /// It is an owner, so that requests of other instances may have made the object
    /// known there.
    Owner,
    /// Neither.
    Other,
}

/// The time of one request at a server that was not queueing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkSample {
    /// Hash of the server's id.
    pub server: u64,
    /// How the server relates to the object.
    pub relation: ObjectRelation,
    /// The time from the request to the response, without the distance.
    pub time: Duration,
}

impl WorkSample {
    /// The sample of a response; `None` if it says nothing about the work, because the
    /// server was queueing or had started recently.
    #[must_use]
    pub fn new(
        view: &ServerView,
        relation: ObjectRelation,
        observed: Duration,
        region_round_trip: Duration,
    ) -> Option<Self> {
        let had_free_slot = view.load + 1.0 <= f64::from(view.slots);
        let distance = if view.in_own_region {
            Duration::ZERO
        } else {
            region_round_trip
        };
        (had_free_slot && !view.cold).then(|| Self {
            server: view.hash,
            relation,
            time: observed.saturating_sub(distance),
        })
    }
}

/// The most recent samples, of which no server gives more than a quarter.
#[derive(Debug, Default)]
struct SampleWindow {
    samples: VecDeque<(u64, Duration)>,
}

impl SampleWindow {
    fn record(&mut self, server: u64, time: Duration) {
        let of_server = |sample: &(u64, Duration)| sample.0 == server;
        if self
            .samples
            .iter()
            .filter(|sample| of_server(sample))
            .count()
            >= MAX_SERVER_SAMPLES
        {
            if let Some(oldest) = self.samples.iter().position(of_server) {
                self.samples.remove(oldest);
            }
        } else if self.samples.len() >= WINDOW_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((server, time));
    }

    /// The median; `None` with too few samples, or if more than half of them come from
    /// one server.
    fn median(&self) -> Option<Duration> {
        self.quantile(0.5)
    }

    fn is_full(&self) -> bool {
        self.samples.len() >= WINDOW_SAMPLES
    }

    fn quantile(&self, fraction: f64) -> Option<Duration> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut by_server: BTreeMap<u64, usize> = BTreeMap::new();
        for (server, _) in &self.samples {
            *by_server.entry(*server).or_insert(0) += 1;
        }
        if by_server
            .values()
            .any(|count| *count * 2 > self.samples.len())
        {
            return None;
        }
        let mut times: Vec<Duration> = self.samples.iter().map(|(_, time)| *time).collect();
        times.sort_unstable();
        let count = |index: usize| f64::from(u32::try_from(index).unwrap_or(u32::MAX));
        let end = count(times.len()) * fraction;
        let index = (0..times.len()).find(|index| count(*index) >= end);
        let index = index.unwrap_or(times.len() - 1);
        Some(times[index])
    }
}

/// The expected times of one route at one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteWork {
    /// Work on a known object.
    pub known: Duration,
    /// Work on an unknown object.
    pub unknown: Duration,
}

impl RouteWork {
    fn for_target(target: Duration) -> Self {
        Self {
            known: target.mul_f64(KNOWN_OBJECT_WORK),
            unknown: target.mul_f64(UNKNOWN_OBJECT_WORK),
        }
    }

    /// The time that separates work on known objects from work on unknown ones.
    #[must_use]
    pub fn boundary(&self) -> Duration {
        Duration::from_secs_f64((self.known.as_secs_f64() * self.unknown.as_secs_f64()).sqrt())
    }
}

#[derive(Debug)]
struct RouteEstimate {
    known: SampleWindow,
    unknown: SampleWindow,
    /// The medians of the windows.
    medians: (Option<Duration>, Option<Duration>),
    /// The fraction of requests that took as long as work on a known object.
    known_fraction: Option<f64>,
    target: Duration,
    has_gain: bool,
    demand: DemandMeter,
    requested_at: Instant,
}

impl RouteEstimate {
    fn new(target: Duration, now: Instant) -> Self {
        Self {
            known: SampleWindow::default(),
            unknown: SampleWindow::default(),
            medians: (None, None),
            known_fraction: None,
            target,
            has_gain: true,
            demand: DemandMeter::new(now),
            requested_at: now,
        }
    }

    /// The estimated times. What is not known yet follows from the other one by the ratio
    /// of the prior.
    fn work(&self) -> RouteWork {
        let prior = RouteWork::for_target(self.target);
        let ratio = UNKNOWN_OBJECT_WORK / KNOWN_OBJECT_WORK;
        let (known, unknown) = match self.medians {
            (Some(known), Some(unknown)) => (known, unknown.max(known)),
            (Some(known), None) => (known, known.mul_f64(ratio)),
            (None, Some(unknown)) => (unknown.div_f64(ratio), unknown),
            (None, None) => (prior.known, prior.unknown),
        };
        RouteWork {
            known: tolerant(known, prior.known),
            unknown: tolerant(unknown, prior.unknown),
        }
    }

    fn record(&mut self, sample: WorkSample) {
        let work = self.work();
        let is_fast = sample.time < work.boundary();
        match sample.relation {
            ObjectRelation::Known => {
                self.known.record(sample.server, sample.time);
                self.medians.0 = self.known.median();
            }
            ObjectRelation::Owner if is_fast => {}
            ObjectRelation::Owner | ObjectRelation::Other => {
                self.unknown.record(sample.server, sample.time);
                self.medians.1 = self.unknown.median();
            }
        }
        let value = f64::from(u8::from(is_fast));
        let fraction = self.known_fraction.get_or_insert(value);
        *fraction += FRACTION_WEIGHT * (value - *fraction);
        // Most objects that count as known may be forgotten, and most of those that count
        // as unknown may be known from requests of other instances.
        if let (Some(unknown), Some(fast)) = (self.unknown.quantile(0.8), self.known.quantile(0.05))
        {
            let ratio = unknown.as_secs_f64() / fast.as_secs_f64().max(0.001);
            let limit = if self.has_gain {
                GAIN_RATIOS.0
            } else {
                GAIN_RATIOS.1
            };
            self.has_gain = ratio >= limit || !self.known.is_full();
        }
    }

    /// The mean work of a request of the route.
    fn mean(&self) -> Duration {
        let (Some(fraction), true) = (self.known_fraction, self.medians != (None, None)) else {
            return self.target.mul_f64(MEAN_WORK);
        };
        let work = self.work();
        work.known.mul_f64(fraction) + work.unknown.mul_f64(1.0 - fraction)
    }
}

/// The estimate, or the prior if that is close to it.
fn tolerant(estimate: Duration, prior: Duration) -> Duration {
    let ratio = estimate.as_secs_f64() / prior.as_secs_f64().max(0.001);
    if (1.0 / PRIOR_TOLERANCE..=PRIOR_TOLERANCE).contains(&ratio) {
        prior
    } else {
        estimate
    }
}

/// The time in which connections open, as a measure of the distance.
#[derive(Debug, Default)]
struct RoundTrips {
    own_region: SampleWindow,
    other_regions: SampleWindow,
}

impl RoundTrips {
    fn estimate(&self) -> Duration {
        match (self.own_region.median(), self.other_regions.median()) {
            (Some(near), Some(far)) => tolerant(far.saturating_sub(near), REGION_ROUND_TRIP),
            _ => REGION_ROUND_TRIP,
        }
    }
}

/// What one instance has learned of the time that requests take.
#[derive(Debug, Default)]
pub struct WorkEstimates {
    services: BTreeMap<ServiceName, BTreeMap<String, RouteEstimate>>,
    round_trips: RoundTrips,
}

impl WorkEstimates {
    /// Records a request that is to be placed, for the mean of its service.
    pub fn record_request(
        &mut self,
        service: &ServiceName,
        route: &str,
        target: Duration,
        now: Instant,
    ) {
        if !self.services.contains_key(service) && self.services.len() >= MAX_ENTRIES {
            return;
        }
        let routes = self.services.entry(service.clone()).or_default();
        if !routes.contains_key(route) && routes.len() >= MAX_ENTRIES {
            let oldest = routes.iter().min_by_key(|(_, route)| route.requested_at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                routes.remove(&oldest);
            }
        }
        let estimate = routes
            .entry(route.to_owned())
            .or_insert_with(|| RouteEstimate::new(target, now));
        estimate.target = target;
        estimate.requested_at = now;
        estimate.demand.record(now);
    }

    /// Records the time of a response.
    pub fn record_sample(&mut self, service: &ServiceName, route: &str, sample: WorkSample) {
        let routes = self.services.get_mut(service);
        if let Some(estimate) = routes.and_then(|routes| routes.get_mut(route)) {
            estimate.record(sample);
        }
    }

    /// Records the time in which a connection to a server opened.
    pub fn record_connection(&mut self, server: u64, in_own_region: bool, time: Duration) {
        let window = if in_own_region {
            &mut self.round_trips.own_region
        } else {
            &mut self.round_trips.other_regions
        };
        window.record(server, time);
    }

    fn route(&self, service: &ServiceName, route: &str) -> Option<&RouteEstimate> {
        self.services.get(service)?.get(route)
    }

    /// The expected times of a request.
    #[must_use]
    pub fn model(
        &mut self,
        service: &ServiceName,
        route: &str,
        target: Duration,
        now: Instant,
    ) -> WorkModel {
        let prior = WorkModel::for_target(target);
        let work = self
            .route(service, route)
            .map_or(RouteWork::for_target(target), RouteEstimate::work);
        let mut total = 0.0;
        let mut weighted = 0.0;
        for estimate in self.services.get_mut(service).into_iter().flatten() {
            let rate = estimate.1.demand.rate(now);
            total += rate;
            weighted += rate * estimate.1.mean().as_secs_f64();
        }
        let queued = if total > 0.0 {
            tolerant(Duration::from_secs_f64(weighted / total), prior.queued)
        } else {
            prior.queued
        };
        WorkModel {
            known: work.known,
            unknown: work.unknown,
            queued,
            region_round_trip: self.round_trips.estimate(),
        }
    }

    /// Whether requests of the route are faster on known objects.
    #[must_use]
    pub fn has_gain(&self, service: &ServiceName, route: &str) -> bool {
        self.route(service, route)
            .is_none_or(|estimate| estimate.has_gain)
    }
}

impl From<WorkModel> for RouteWork {
    fn from(work: WorkModel) -> Self {
        Self {
            known: work.known,
            unknown: work.unknown,
        }
    }
}
