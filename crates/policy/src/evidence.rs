//! Faults of a new version, compared with the old one under the same load.
//!
//! Each request on the new version is one observation of two yes-no signals:
//! whether it failed, and whether it was slower than the old version's slow
//! requests of the same seconds. Per route and signal a cumulative sum of log
//! likelihood ratios (CUSUM, the repeated form of the sequential probability
//! ratio test) grows with evidence for "worse than the old version by the
//! stated amount" and restarts at zero, so that a fault that begins late is
//! found as soon as one that is there from the start. `detector` states the
//! error rates. A fault is latched for good.

mod detector;
mod window;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use detector::{ComparisonBaseline, VersionJudge};
use window::{LatencyBaseline, RouteWindow};

pub use detector::ProofLevel;

use crate::ids::{ServiceKey, VersionName};
use crate::movement::SoundVerdict;

/// How an attempt on a backend server ended.
#[derive(Debug, Clone, Copy)]
pub struct AttemptSample<'a> {
    /// The server's service.
    pub service: &'a ServiceKey,
    /// The server's version.
    pub version: &'a VersionName,
    /// The path of the route.
    pub route: &'a str,
    /// Whether the server failed.
    pub failed: bool,
    /// Time to the whole answer.
    pub latency: Duration,
}

/// What a judged version is compared with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ComparisonSource {
    /// Another version in the same seconds: a rollout.
    Version(VersionName),
    /// The version itself before the comparison began: a shift between data
    /// centres, whose requests are not told apart by version.
    Before,
}

type RouteWindows = BTreeMap<String, RouteWindow>;

impl ComparisonBaseline for RouteWindows {
    fn failures(&self, route: &str) -> (u64, u64) {
        self.get(route).map_or((0, 0), RouteWindow::failures)
    }

    fn latency(&self, route: &str, slot: u64) -> Option<LatencyBaseline> {
        self.get(route)?.latency(slot)
    }
}

/// The routes of a version as they were when a comparison began.
#[derive(Debug)]
struct BeforeRoutes(RouteWindows);

impl ComparisonBaseline for BeforeRoutes {
    fn failures(&self, route: &str) -> (u64, u64) {
        self.0.failures(route)
    }

    fn latency(&self, route: &str, _slot: u64) -> Option<LatencyBaseline> {
        self.0.get(route)?.latency_before()
    }
}

#[derive(Debug, Default)]
struct ServiceEvidence {
    windows: BTreeMap<VersionName, RouteWindows>,
    watch: Option<VersionWatch>,
}

#[derive(Debug)]
struct VersionWatch {
    version: VersionName,
    source: ComparisonSource,
    before: BeforeRoutes,
    judge: VersionJudge,
}

/// The evidence of one instance: counters, comparisons under way and latches.
#[derive(Debug, Default)]
pub struct EvidenceBook {
    services: BTreeMap<ServiceKey, ServiceEvidence>,
    latches: BTreeMap<(ServiceKey, VersionName), String>,
    /// When second 0 began.
    origin: Option<Instant>,
}

impl EvidenceBook {
    /// Creates an empty book.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins to judge a version of a service. A comparison that is already
    /// under way goes on; another one is replaced.
    pub fn watch(
        &mut self,
        service: &ServiceKey,
        version: &VersionName,
        source: &ComparisonSource,
    ) {
        let evidence = self.services.entry(service.clone()).or_default();
        let under_way = evidence.watch.as_ref();
        if under_way.is_some_and(|w| w.version == *version && w.source == *source) {
            return;
        }
        let routes = evidence.windows.get(version).cloned();
        evidence.watch = Some(VersionWatch {
            version: version.clone(),
            source: source.clone(),
            before: BeforeRoutes(routes.unwrap_or_default()),
            judge: VersionJudge::default(),
        });
    }

    /// Ends the comparison of a service.
    pub fn unwatch(&mut self, service: &ServiceKey) {
        if let Some(evidence) = self.services.get_mut(service) {
            evidence.watch = None;
        }
    }

    /// Services with a comparison under way.
    pub fn watched(&self) -> impl Iterator<Item = &ServiceKey> {
        let watched = self.services.iter().filter(|(_, e)| e.watch.is_some());
        watched.map(|(service, _)| service)
    }

    /// Notes an attempt at `now`. Gives the reason when it completes the
    /// evidence for a fault of the judged version; a rollout's fault is
    /// latched at once.
    pub fn note(&mut self, sample: &AttemptSample<'_>, now: Instant) -> Option<String> {
        let Self {
            services,
            latches,
            origin,
        } = self;
        if !services.contains_key(sample.service) {
            services.insert(sample.service.clone(), ServiceEvidence::default());
        }
        let evidence = services.get_mut(sample.service)?;
        let origin = *origin.get_or_insert(now);
        let slot = now.saturating_duration_since(origin).as_secs();
        evidence.count(sample, slot);
        let watch = evidence.watch.as_mut()?;
        if watch.version != *sample.version {
            return None;
        }
        let baseline: &dyn ComparisonBaseline = match &watch.source {
            ComparisonSource::Version(old) => match evidence.windows.get(old) {
                Some(routes) => routes,
                None => &RouteWindows::new(),
            },
            ComparisonSource::Before => &watch.before,
        };
        let reason = watch.judge.note(sample, baseline, slot)?;
        if matches!(watch.source, ComparisonSource::Version(_)) {
            let key = (sample.service.clone(), sample.version.clone());
            latches.entry(key).or_insert_with(|| reason.clone());
        }
        Some(reason)
    }

    /// Latches a fault that another instance found. Returns whether it is news.
    pub fn latch(&mut self, service: &ServiceKey, version: &VersionName, reason: &str) -> bool {
        let key = (service.clone(), version.clone());
        let news = !self.latches.contains_key(&key);
        self.latches.entry(key).or_insert_with(|| reason.to_owned());
        news
    }

    /// Why a version is latched as faulty, if it is.
    #[must_use]
    pub fn fault(&self, service: &ServiceKey, version: &VersionName) -> Option<&str> {
        let key = (service.clone(), version.clone());
        self.latches.get(&key).map(String::as_str)
    }

    /// Why a shift between data centres of a service does harm, if it does.
    #[must_use]
    pub fn shift_fault(&self, service: &ServiceKey) -> Option<&str> {
        let watch = self.services.get(service)?.watch.as_ref()?;
        let is_shift = watch.source == ComparisonSource::Before;
        watch.judge.fault().filter(|_| is_shift)
    }

    /// What is known about the judged version of a service, for a step that
    /// needs proof of this level.
    #[must_use]
    pub fn verdict(&self, service: &ServiceKey, level: ProofLevel) -> SoundVerdict {
        let evidence = self.services.get(service);
        let Some(watch) = evidence.and_then(|e| e.watch.as_ref()) else {
            return SoundVerdict::Unproved;
        };
        let fault = self.fault(service, &watch.version);
        if let Some(reason) = watch.judge.fault().or(fault) {
            SoundVerdict::Faulty(reason.to_owned())
        } else if watch.judge.is_sound(level) {
            SoundVerdict::Sound
        } else {
            SoundVerdict::Unproved
        }
    }

    /// Requests on the judged version of a service since its comparison began.
    #[must_use]
    pub fn requests(&self, service: &ServiceKey) -> u64 {
        let evidence = self.services.get(service);
        let watch = evidence.and_then(|e| e.watch.as_ref());
        watch.map_or(0, |w| w.judge.requests())
    }
}

impl ServiceEvidence {
    fn count(&mut self, sample: &AttemptSample<'_>, slot: u64) {
        if !self.windows.contains_key(sample.version) {
            let routes = RouteWindows::new();
            self.windows.insert(sample.version.clone(), routes);
        }
        if let Some(routes) = self.windows.get_mut(sample.version) {
            if !routes.contains_key(sample.route) {
                routes.insert(sample.route.to_owned(), RouteWindow::default());
            }
            if let Some(window) = routes.get_mut(sample.route) {
                window.note(sample.failed, sample.latency, slot);
            }
        }
    }
}
