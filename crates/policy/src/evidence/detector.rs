//! The sequential statistical tests on the version under comparison.
//!
//! Faults are detected by a CUSUM per route and signal against a stated
//! alternative. Its score is bounded below by zero, and a fault is reported at
//! [`FAULT_THRESHOLD`]. The probability that a run of scores reaches the
//! threshold for a version that is exactly as bad as the null hypothesis is at
//! most `exp(-FAULT_THRESHOLD)`.
//!
//! Soundness is proved by sequential probability ratio tests over all routes. A
//! version is sound within a [`NonInferiorityMargin`] when "worse than the old
//! version by that margin" is rejected with an error rate of at most
//! `SOUND_ERROR_RATE`, and no route has a score of [`SUSPICION_THRESHOLD`] or
//! more.

use std::collections::BTreeMap;
use std::time::Duration;

use super::AttemptSample;
use super::window::{LatencyBaseline, ratio};
use crate::ids::VersionName;
use crate::units::TrafficShare;

/// CUSUM score at which a fault is reported. Twelve instances each test about
/// three routes by two signals; exp(-12) is 6e-6.
const FAULT_THRESHOLD: f64 = 12.0;
/// CUSUM score of a route from which the version is not considered sound.
const SUSPICION_THRESHOLD: f64 = FAULT_THRESHOLD / 4.0;
/// Probability of considering a version sound that is worse by exactly the
/// margin.
const SOUND_ERROR_RATE: f64 = 0.05;
/// A version is faulty if the fraction of failed requests is higher by this ...
const FAILURE_INCREASE: f64 = 0.04;
/// ... or if the fraction of slow requests is higher by this.
const SLOW_INCREASE: f64 = 0.20;
/// Minimum fractions of failed and of slow requests assumed for the old version,
/// because with a baseline of zero a single failure would be decisive.
const MIN_FAILURE_FRACTION: f64 = 0.0075;
const MIN_SLOW_FRACTION: f64 = 0.05;
/// Failures and requests added to the observed ones, so that the baseline stays
/// near 1 % while there are few observations.
const PRIOR_FAILURES: u64 = 1;
const PRIOR_REQUESTS: u64 = 200;
/// Standard deviations by which the estimated failures of the baseline are
/// raised.
const BASELINE_DEVIATIONS: f64 = 1.5;
const MAX_FRACTION: f64 = 0.95;
/// Seconds of a comparison whose latencies are ignored, because servers that
/// have just started are slow with empty caches.
const WARM_UP_SECONDS: u64 = 2;
/// Maximum latencies kept per second and route. More would not change the result.
const MAX_PENDING_LATENCIES: usize = 1024;

/// The increase in failed or slow requests that must be ruled out before a
/// version counts as sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NonInferiorityMargin {
    /// Not worse by 20 percentage points. Takes about 14 requests without a
    /// failure.
    Within20Percent,
    /// Not worse by 10 percentage points. Takes about 28 requests.
    Within10Percent,
    /// Not worse by 5 percentage points. Takes about 60 requests.
    Within5Percent,
}

impl NonInferiorityMargin {
    const MARGINS: [(Self, f64); 3] = [
        (Self::Within20Percent, 0.20),
        (Self::Within10Percent, 0.10),
        (Self::Within5Percent, 0.05),
    ];

    /// The margin required before a version may get this share. A larger share
    /// requires a narrower margin. Thus a service with few requests can make
    /// progress at all, while the harm of a wrong decision stays about the same.
    #[must_use]
    pub fn required_for(share: TrafficShare) -> Self {
        match share.ppm() {
            0..=250_000 => Self::Within20Percent,
            250_001..=500_000 => Self::Within10Percent,
            _ => Self::Within5Percent,
        }
    }
}

/// The log likelihood ratio of one observation under the alternative and the null
/// hypothesis, each given as the probability of the signal.
fn log_ratio(observed: bool, null_rate: f64, alternative_rate: f64) -> f64 {
    if observed {
        (alternative_rate / null_rate).ln()
    } else {
        ((1.0 - alternative_rate) / (1.0 - null_rate)).ln()
    }
}

#[derive(Debug, Clone, Copy)]
enum FaultSignal {
    Failure,
    Slow,
}

impl FaultSignal {
    fn increase(self) -> f64 {
        match self {
            Self::Failure => FAILURE_INCREASE,
            Self::Slow => SLOW_INCREASE,
        }
    }

    /// The CUSUM score after one more observation.
    fn updated_score(self, score: f64, observed: bool, null_rate: f64) -> f64 {
        let alternative_rate = (null_rate + self.increase()).min(MAX_FRACTION);
        (score + log_ratio(observed, null_rate, alternative_rate)).max(0.0)
    }

    fn describe(self, version: &VersionName, route: &str) -> String {
        let finding = match self {
            Self::Failure => "requests fail more often",
            Self::Slow => "requests are slower",
        };
        format!("{version} on route {route}: {finding} than the baseline")
    }
}

/// The baseline that a version is compared with.
pub(super) trait ComparisonBaseline {
    /// Failures and requests of a route in the window.
    fn failures(&self, route: &str) -> (u64, u64);

    /// Latency baseline of a route for requests of one second.
    fn latency(&self, route: &str, second: u64) -> Option<LatencyBaseline>;
}

/// Scores of one signal over all routes, one for each margin.
#[derive(Debug, Default)]
struct SoundnessScores([f64; NonInferiorityMargin::MARGINS.len()]);

impl SoundnessScores {
    fn record(&mut self, observed: bool, null_rate: f64) {
        for (score, (_, increase)) in self.0.iter_mut().zip(NonInferiorityMargin::MARGINS) {
            let alternative_rate = (null_rate + increase).min(MAX_FRACTION);
            *score += log_ratio(observed, null_rate, alternative_rate);
        }
    }

    fn rejects(&self, margin: NonInferiorityMargin) -> bool {
        let mut scores = self.0.iter().zip(NonInferiorityMargin::MARGINS);
        scores.any(|(score, (l, _))| l == margin && *score <= SOUND_ERROR_RATE.ln())
    }
}

#[derive(Debug, Default)]
struct RouteScores {
    failure: f64,
    slow: f64,
    /// Latencies of the current second, tested after it has ended.
    pending: Vec<Duration>,
}

/// The tests on one version, for faults and for soundness.
#[derive(Debug, Default)]
pub(super) struct SequentialTests {
    routes: BTreeMap<String, RouteScores>,
    failure: SoundnessScores,
    slow: SoundnessScores,
    first_second: Option<u64>,
    pending_second: u64,
    requests: u64,
    fault: Option<String>,
}

impl SequentialTests {
    /// Records a request of `second`. Returns the reason once, when the request
    /// completes the evidence for a fault.
    pub(super) fn record(
        &mut self,
        sample: &AttemptSample<'_>,
        baseline: &dyn ComparisonBaseline,
        second: u64,
    ) -> Option<String> {
        self.requests += 1;
        let first_second = *self.first_second.get_or_insert(second);
        let slow_fault = self.test_latencies(sample.version, baseline, second);
        let null_rate = baseline_failure_fraction(baseline.failures(sample.route));
        self.failure.record(sample.failed, null_rate);
        let scores = self.scores(sample.route);
        scores.failure =
            FaultSignal::Failure.updated_score(scores.failure, sample.failed, null_rate);
        let failure_fault = (scores.failure >= FAULT_THRESHOLD)
            .then(|| FaultSignal::Failure.describe(sample.version, sample.route));
        let warm = second >= first_second + WARM_UP_SECONDS;
        if warm && !sample.failed && scores.pending.len() < MAX_PENDING_LATENCIES {
            scores.pending.push(sample.latency);
        }
        if self.fault.is_some() {
            return None;
        }
        self.fault = failure_fault.or(slow_fault);
        self.fault.clone()
    }

    /// Tests the pending latencies once their second has ended, when all requests
    /// of the old version in that second are known.
    fn test_latencies(
        &mut self,
        version: &VersionName,
        baseline: &dyn ComparisonBaseline,
        second: u64,
    ) -> Option<String> {
        let tested_second = std::mem::replace(&mut self.pending_second, second);
        if tested_second == second {
            return None;
        }
        let mut found = None;
        for (route, scores) in &mut self.routes {
            let pending = std::mem::take(&mut scores.pending);
            let Some(baseline) = baseline.latency(route, tested_second) else {
                continue;
            };
            let null_rate = baseline
                .slow_fraction
                .clamp(MIN_SLOW_FRACTION, MAX_FRACTION / 2.0);
            for latency in pending {
                let observed = baseline.is_slow(latency);
                self.slow.record(observed, null_rate);
                scores.slow = FaultSignal::Slow.updated_score(scores.slow, observed, null_rate);
                if scores.slow >= FAULT_THRESHOLD && found.is_none() {
                    found = Some(FaultSignal::Slow.describe(version, route));
                }
            }
        }
        found
    }

    fn scores(&mut self, route: &str) -> &mut RouteScores {
        self.routes.entry(route.to_owned()).or_default()
    }

    pub(super) fn fault(&self) -> Option<&str> {
        self.fault.as_deref()
    }

    pub(super) fn is_sound(&self, margin: NonInferiorityMargin) -> bool {
        let unsuspicious =
            |s: &RouteScores| s.failure < SUSPICION_THRESHOLD && s.slow < SUSPICION_THRESHOLD;
        self.fault.is_none()
            && self.failure.rejects(margin)
            && self.slow.rejects(margin)
            && self.routes.values().all(unsuspicious)
    }

    pub(super) fn requests(&self) -> u64 {
        self.requests
    }
}

/// The fraction of failures to expect from a version that is as good as the old
/// one. This is the upper end of the estimate, because a low estimate would make
/// random failures look like a fault.
fn baseline_failure_fraction((failures, requests): (u64, u64)) -> f64 {
    let counted = ratio(failures + PRIOR_FAILURES, 1);
    let upper = counted + BASELINE_DEVIATIONS * counted.sqrt();
    let fraction = upper / ratio(requests + PRIOR_REQUESTS, 1);
    fraction.clamp(MIN_FAILURE_FRACTION, MAX_FRACTION / 2.0)
}
