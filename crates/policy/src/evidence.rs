//! Detects faults of a new version by comparing it with the old one under the
//! same load.
//!
//! Each request on the new version is one observation of two binary signals:
//! whether it failed, and whether it was slower than the slow requests of the
//! old version in the same seconds. For each route and signal, a cumulative sum
//! of log likelihood ratios (CUSUM, the repeated form of the sequential
//! probability ratio test) grows with evidence for "worse than the old version
//! by the stated amount". The sum is bounded below by zero, so that a fault that
//! begins late is detected as fast as one that is present from the start.
//! `detector` states the error rates. A recorded fault of a version is sticky.

mod detector;
mod window;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use detector::{ComparisonBaseline, SequentialTests};
use window::{LatencyBaseline, RouteWindow};

pub use detector::NonInferiorityMargin;

use crate::ids::{ServiceKey, VersionName};
use crate::movement::TargetAssessment;

/// The outcome of one attempt on a backend server.
#[derive(Debug, Clone, Copy)]
pub struct AttemptSample<'a> {
    /// The service that the server belongs to.
    pub service: &'a ServiceKey,
    /// The version that the server runs.
    pub version: &'a VersionName,
    /// The path prefix of the matched route.
    pub route: &'a str,
    /// Whether the attempt counts as a failure of the server.
    pub failed: bool,
    /// Time to the complete response.
    pub latency: Duration,
}

/// The source of the baseline that a version is compared with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BaselineSource {
    /// Another version in the same seconds, for a rollout.
    Version(VersionName),
    /// The version itself before the comparison began, for a shift between data
    /// centres, where source and target run the same version.
    BeforeShift,
}

type RouteWindows = BTreeMap<String, RouteWindow>;

impl ComparisonBaseline for RouteWindows {
    fn failures(&self, route: &str) -> (u64, u64) {
        self.get(route).map_or((0, 0), RouteWindow::failures)
    }

    fn latency(&self, route: &str, second: u64) -> Option<LatencyBaseline> {
        self.get(route)?.latency(second)
    }
}

/// The windows of a version at the time when a comparison began.
#[derive(Debug)]
struct RoutesBeforeShift(RouteWindows);

impl ComparisonBaseline for RoutesBeforeShift {
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
    comparison: Option<ActiveComparison>,
}

#[derive(Debug)]
struct ActiveComparison {
    version: VersionName,
    source: BaselineSource,
    before: RoutesBeforeShift,
    tests: SequentialTests,
}

/// The evidence of one instance: windows, active comparisons and the sticky
/// faults of versions.
#[derive(Debug, Default)]
pub struct EvidenceStore {
    services: BTreeMap<ServiceKey, ServiceEvidence>,
    faults: BTreeMap<(ServiceKey, VersionName), String>,
    /// The start of second 0, set by the first attempt.
    origin: Option<Instant>,
}

impl EvidenceStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to compare a version of a service with a baseline. The same
    /// comparison, if already active, continues; a different one is replaced.
    pub fn start_comparison(
        &mut self,
        service: &ServiceKey,
        version: &VersionName,
        source: &BaselineSource,
    ) {
        let evidence = self.services.entry(service.clone()).or_default();
        let under_way = evidence.comparison.as_ref();
        if under_way.is_some_and(|c| c.version == *version && c.source == *source) {
            return;
        }
        let routes = evidence.windows.get(version).cloned();
        evidence.comparison = Some(ActiveComparison {
            version: version.clone(),
            source: source.clone(),
            before: RoutesBeforeShift(routes.unwrap_or_default()),
            tests: SequentialTests::default(),
        });
    }

    /// Stops the comparison of a service and drops its scores.
    pub fn stop_comparison(&mut self, service: &ServiceKey) {
        if let Some(evidence) = self.services.get_mut(service) {
            evidence.comparison = None;
        }
    }

    /// Services with an active comparison.
    pub fn compared_services(&self) -> impl Iterator<Item = &ServiceKey> {
        let active = self.services.iter().filter(|(_, e)| e.comparison.is_some());
        active.map(|(service, _)| service)
    }

    /// Records an attempt that ended at `now`. Returns the reason if it completes
    /// the evidence for a fault of the version under comparison. In a rollout,
    /// the fault of the version is also recorded as sticky.
    pub fn record_attempt(&mut self, sample: &AttemptSample<'_>, now: Instant) -> Option<String> {
        let Self {
            services,
            faults,
            origin,
        } = self;
        if !services.contains_key(sample.service) {
            services.insert(sample.service.clone(), ServiceEvidence::default());
        }
        let evidence = services.get_mut(sample.service)?;
        let origin = *origin.get_or_insert(now);
        let second = now.saturating_duration_since(origin).as_secs();
        evidence.count(sample, second);
        let comparison = evidence.comparison.as_mut()?;
        if comparison.version != *sample.version {
            return None;
        }
        let baseline: &dyn ComparisonBaseline = match &comparison.source {
            BaselineSource::Version(old) => match evidence.windows.get(old) {
                Some(routes) => routes,
                None => &RouteWindows::new(),
            },
            BaselineSource::BeforeShift => &comparison.before,
        };
        let reason = comparison.tests.record(sample, baseline, second)?;
        if matches!(comparison.source, BaselineSource::Version(_)) {
            let key = (sample.service.clone(), sample.version.clone());
            faults.entry(key).or_insert_with(|| reason.clone());
        }
        Some(reason)
    }

    /// Records a fault that another instance detected. Returns whether the version
    /// had no fault before; the first reason is kept.
    pub fn record_fault(
        &mut self,
        service: &ServiceKey,
        version: &VersionName,
        reason: &str,
    ) -> bool {
        let key = (service.clone(), version.clone());
        let is_new = !self.faults.contains_key(&key);
        self.faults.entry(key).or_insert_with(|| reason.to_owned());
        is_new
    }

    /// The reason of the sticky fault of a version, if it has one.
    #[must_use]
    pub fn fault(&self, service: &ServiceKey, version: &VersionName) -> Option<&str> {
        let key = (service.clone(), version.clone());
        self.faults.get(&key).map(String::as_str)
    }

    /// The reason of a fault caused by the active shift of a service between data
    /// centres, if one was detected.
    #[must_use]
    pub fn shift_fault(&self, service: &ServiceKey) -> Option<&str> {
        let comparison = self.services.get(service)?.comparison.as_ref()?;
        let is_shift = comparison.source == BaselineSource::BeforeShift;
        comparison.tests.fault().filter(|_| is_shift)
    }

    /// Assesses the version under comparison of a service, with the margin that
    /// the next step requires.
    #[must_use]
    pub fn assess(&self, service: &ServiceKey, margin: NonInferiorityMargin) -> TargetAssessment {
        let evidence = self.services.get(service);
        let Some(comparison) = evidence.and_then(|e| e.comparison.as_ref()) else {
            return TargetAssessment::Undecided;
        };
        let fault = self.fault(service, &comparison.version);
        if let Some(reason) = comparison.tests.fault().or(fault) {
            TargetAssessment::Faulty(reason.to_owned())
        } else if comparison.tests.is_sound(margin) {
            TargetAssessment::Sound
        } else {
            TargetAssessment::Undecided
        }
    }

    /// Requests on the version under comparison since the comparison began.
    #[must_use]
    pub fn requests(&self, service: &ServiceKey) -> u64 {
        let evidence = self.services.get(service);
        let comparison = evidence.and_then(|e| e.comparison.as_ref());
        comparison.map_or(0, |c| c.tests.requests())
    }
}

impl ServiceEvidence {
    fn count(&mut self, sample: &AttemptSample<'_>, second: u64) {
        if !self.windows.contains_key(sample.version) {
            let routes = RouteWindows::new();
            self.windows.insert(sample.version.clone(), routes);
        }
        if let Some(routes) = self.windows.get_mut(sample.version) {
            if !routes.contains_key(sample.route) {
                routes.insert(sample.route.to_owned(), RouteWindow::default());
            }
            if let Some(window) = routes.get_mut(sample.route) {
                window.record(sample.failed, sample.latency, second);
            }
        }
    }
}
