//! The statistical tests on one judged version.
//!
//! Fault: a CUSUM per route and signal against a stated alternative. Its
//! score is bounded below by zero; a fault is reported at [`FAULT_SCORE`]. The
//! chance that a run of scores of a version that is exactly as bad as the
//! null hypothesis reaches it is at most `exp(-FAULT_SCORE)`.
//!
//! Sound: sequential probability ratio tests over all routes. A version is
//! sound at a [`ProofLevel`] when "worse than the old version by that level"
//! is rejected with an error of at most `SOUND_ERROR`, and no route is under
//! suspicion.

use std::collections::BTreeMap;
use std::time::Duration;

use super::AttemptSample;
use super::window::{LatencyBaseline, ratio};
use crate::ids::VersionName;
use crate::units::TrafficShare;

/// Twelve instances judge about three routes by two signals; exp(-12) is 6e-6.
const FAULT_SCORE: f64 = 12.0;
/// A route above this score keeps the version from being called sound.
const SUSPICION_SCORE: f64 = FAULT_SCORE / 4.0;
/// The chance to call a version sound that is worse by exactly the level.
const SOUND_ERROR: f64 = 0.05;
/// A version is faulty when this much more of its requests fail ...
const FAILURE_INCREASE: f64 = 0.04;
/// ... or when this much more of them are slow.
const SLOW_INCREASE: f64 = 0.20;
/// Least share of failures and of slow requests assumed for the old version;
/// a baseline of zero would make one failure decisive.
const MIN_FAILURE_SHARE: f64 = 0.0075;
const MIN_SLOW_SHARE: f64 = 0.05;
/// Failures and requests added to a baseline, so that a short one stays near 1 %.
const PRIOR_FAILURES: u64 = 1;
const PRIOR_REQUESTS: u64 = 200;
/// Standard deviations by which the estimate of the baseline is raised.
const BASE_DEVIATIONS: f64 = 1.5;
const MAX_SHARE: f64 = 0.95;
/// Servers that have just started are slow with empty caches; latency counts
/// after these seconds.
const WARM_UP_SLOTS: u64 = 2;
/// Latencies kept of a second and route; more do not change the finding.
const MAX_PENDING: usize = 1024;

/// How much is to be proved about a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProofLevel {
    /// Not 20 % worse: about 14 requests without fault.
    Within20Percent,
    /// Not 10 % worse: about 28 requests.
    Within10Percent,
    /// Not 5 % worse: about 60 requests.
    Within5Percent,
}

impl ProofLevel {
    const LEVELS: [(Self, f64); 3] = [
        (Self::Within20Percent, 0.20),
        (Self::Within10Percent, 0.10),
        (Self::Within5Percent, 0.05),
    ];

    /// What must be proved before a version may get this share. A greater
    /// share needs more proof, so that a service with few requests can move
    /// at all while the harm of an error stays about the same.
    #[must_use]
    pub fn to_reach(share: TrafficShare) -> Self {
        match share.ppm() {
            0..=250_000 => Self::Within20Percent,
            250_001..=500_000 => Self::Within10Percent,
            _ => Self::Within5Percent,
        }
    }
}

/// The log likelihood ratio of one observation: `share` against `base`.
fn log_ratio(observed: bool, base: f64, share: f64) -> f64 {
    if observed {
        (share / base).ln()
    } else {
        ((1.0 - share) / (1.0 - base)).ln()
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

    /// The score after one more observation.
    fn next(self, score: f64, observed: bool, base: f64) -> f64 {
        let share = (base + self.increase()).min(MAX_SHARE);
        (score + log_ratio(observed, base, share)).max(0.0)
    }

    fn describe(self, version: &VersionName, route: &str) -> String {
        let finding = match self {
            Self::Failure => "requests fail more often",
            Self::Slow => "requests are slower",
        };
        format!("{version} on route {route}: {finding} than the baseline")
    }
}

/// What the judged version is compared with.
pub(super) trait ComparisonBaseline {
    /// Failures and requests of a route in the window.
    fn failures(&self, route: &str) -> (u64, u64);

    /// Latencies of a route in a second.
    fn latency(&self, route: &str, slot: u64) -> Option<LatencyBaseline>;
}

/// Scores of one signal over all routes, one for each proof level.
#[derive(Debug, Default)]
struct SoundScores([f64; ProofLevel::LEVELS.len()]);

impl SoundScores {
    fn note(&mut self, observed: bool, base: f64) {
        for (score, (_, increase)) in self.0.iter_mut().zip(ProofLevel::LEVELS) {
            let share = (base + increase).min(MAX_SHARE);
            *score += log_ratio(observed, base, share);
        }
    }

    fn rejects(&self, level: ProofLevel) -> bool {
        let mut levels = self.0.iter().zip(ProofLevel::LEVELS);
        levels.any(|(score, (l, _))| l == level && *score <= SOUND_ERROR.ln())
    }
}

#[derive(Debug, Default)]
struct RouteScores {
    failure: f64,
    slow: f64,
    /// Latencies of the current second, judged when it is over.
    pending: Vec<Duration>,
}

/// The tests on one version.
#[derive(Debug, Default)]
pub(super) struct VersionJudge {
    routes: BTreeMap<String, RouteScores>,
    failure: SoundScores,
    slow: SoundScores,
    first_slot: Option<u64>,
    pending_slot: u64,
    requests: u64,
    fault: Option<String>,
}

impl VersionJudge {
    /// Notes a request in second `slot`. Gives the reason when it completes
    /// the evidence for a fault, once.
    pub(super) fn note(
        &mut self,
        sample: &AttemptSample<'_>,
        baseline: &dyn ComparisonBaseline,
        slot: u64,
    ) -> Option<String> {
        self.requests += 1;
        let first_slot = *self.first_slot.get_or_insert(slot);
        let late = self.judge_latencies(sample.version, baseline, slot);
        let base = failure_base(baseline.failures(sample.route));
        self.failure.note(sample.failed, base);
        let scores = self.scores(sample.route);
        scores.failure = FaultSignal::Failure.next(scores.failure, sample.failed, base);
        let failing = (scores.failure >= FAULT_SCORE)
            .then(|| FaultSignal::Failure.describe(sample.version, sample.route));
        let warm = slot >= first_slot + WARM_UP_SLOTS;
        if warm && !sample.failed && scores.pending.len() < MAX_PENDING {
            scores.pending.push(sample.latency);
        }
        if self.fault.is_some() {
            return None;
        }
        self.fault = failing.or(late);
        self.fault.clone()
    }

    /// Judges the latencies of the seconds before `slot`, when the requests of
    /// the old version in the same second are known.
    fn judge_latencies(
        &mut self,
        version: &VersionName,
        baseline: &dyn ComparisonBaseline,
        slot: u64,
    ) -> Option<String> {
        let of_slot = std::mem::replace(&mut self.pending_slot, slot);
        if of_slot == slot {
            return None;
        }
        let mut found = None;
        for (route, scores) in &mut self.routes {
            let pending = std::mem::take(&mut scores.pending);
            let Some(baseline) = baseline.latency(route, of_slot) else {
                continue;
            };
            let base = baseline.slow_share.clamp(MIN_SLOW_SHARE, MAX_SHARE / 2.0);
            for latency in pending {
                let observed = baseline.is_slow(latency);
                self.slow.note(observed, base);
                scores.slow = FaultSignal::Slow.next(scores.slow, observed, base);
                if scores.slow >= FAULT_SCORE && found.is_none() {
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

    pub(super) fn is_sound(&self, level: ProofLevel) -> bool {
        let calm = |s: &RouteScores| s.failure < SUSPICION_SCORE && s.slow < SUSPICION_SCORE;
        self.fault.is_none()
            && self.failure.rejects(level)
            && self.slow.rejects(level)
            && self.routes.values().all(calm)
    }

    pub(super) fn requests(&self) -> u64 {
        self.requests
    }
}

/// The share of failures to expect from a version as good as the old one: the
/// upper end of the estimate, since a low one would make chance look like a
/// fault.
fn failure_base((failures, requests): (u64, u64)) -> f64 {
    let counted = ratio(failures + PRIOR_FAILURES, 1);
    let upper = counted + BASE_DEVIATIONS * counted.sqrt();
    let share = upper / ratio(requests + PRIOR_REQUESTS, 1);
    share.clamp(MIN_FAILURE_SHARE, MAX_SHARE / 2.0)
}
