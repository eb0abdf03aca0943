//! Moves a service to a new version: trial, verdict, promotion.
//!
//! The chart is short and the same on all instances:
//!
//! - *trial*: the new version gets a small share of the requests, bounded over
//!   the whole fleet. Evidence of all instances is added up.
//! - *promoted*: the trial lasted and found no fault; all requests go to the new
//!   version while those at the old one end. The old servers stop at once when
//!   the completion is recorded, so it is recorded only after that.
//! - *completed* or *taken back*: recorded for the operator.
//!
//! A fault takes the version back from the trial and from the promotion. The
//! instance that finds it stops its own traffic to the version at once.

use std::time::{Duration, Instant};

/// Share of the requests that a version on trial gets.
pub const CANARY_SHARE: f64 = 0.07;

/// Requests over the whole fleet that the trial may use beyond its share, for
/// evidence soon after its start. Half of the slack of the sites.
pub const CANARY_INITIAL_REQUESTS: f64 = 20.0;

/// The part of the order's time after which a version on trial is promoted.
pub const PROMOTION_FRACTION: f64 = 0.6;

/// Time between the promotion and the record of completion, in which requests
/// at the old version end and every instance hears of the promotion.
pub const COMPLETION_DELAY: Duration = Duration::from_secs(3);

/// Time after a promotion decided by the clock until instances that saw the
/// order later are sure to have followed.
pub const FALLBACK_PROMOTION_FRACTION: f64 = 0.72;

/// Answers needed before a version is promoted.
pub const MIN_RESPONSES: u32 = 8;

/// Failures needed for a fault.
pub const MIN_FAILURES: u32 = 4;

/// By how much the share of failures must exceed that of the old version.
pub const MIN_FAILURE_EXCESS: f64 = 0.08;

/// By how many standard deviations of the difference it must exceed it. The
/// evidence is looked at many times, so two would find faults by chance.
pub const MIN_EXCESS_DEVIATIONS: f64 = 3.0;

/// Outcomes of requests at one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct VersionOutcomes {
    /// Complete answers.
    pub answers: u32,
    /// Answers that were failures, broken or far too late.
    pub failures: u32,
}

impl VersionOutcomes {
    /// Adds one outcome.
    pub fn record(&mut self, failed: bool) {
        self.answers += 1;
        self.failures += u32::from(failed);
    }

    /// The sum of two tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            failures: self.failures.saturating_add(other.failures),
        }
    }

    fn failure_ratio(self) -> f64 {
        f64::from(self.failures) / f64::from(self.answers.max(1))
    }
}

/// Evidence of one rollout: the new version, and the old one in the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct RolloutEvidence {
    /// Requests at the new version.
    pub new: VersionOutcomes,
    /// Requests at the old version.
    pub old: VersionOutcomes,
    /// Whether an instance has found a fault.
    pub fault: bool,
    /// Whether an instance has promoted the version.
    pub promoted: bool,
}

impl RolloutEvidence {
    /// The sum of two instances' evidence.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            new: self.new.plus(other.new),
            old: self.old.plus(other.old),
            fault: self.fault || other.fault,
            promoted: self.promoted || other.promoted,
        }
    }

    /// Whether the new version is faulty: its share of failures exceeds that of
    /// the old version in the same time by more than chance explains.
    #[must_use]
    pub fn is_faulty(self) -> bool {
        if self.fault {
            return true;
        }
        if self.new.failures < MIN_FAILURES {
            return false;
        }
        let (new, old) = (
            f64::from(self.new.answers),
            f64::from(self.old.answers.max(1)),
        );
        // One failure and one success more keep the deviation above zero.
        let failures = f64::from(self.new.failures + self.old.failures) + 1.0;
        let pooled = failures / (new + old + 2.0);
        let deviation = (pooled * (1.0 - pooled) * (1.0 / new + 1.0 / old)).sqrt();
        let excess = self.new.failure_ratio() - self.old.failure_ratio();
        excess > MIN_FAILURE_EXCESS.max(MIN_EXCESS_DEVIATIONS * deviation)
    }
}

/// Where a rollout stands at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutPhase {
    /// The new version gets its trial share.
    Trial,
    /// The new version gets everything; the instance may record the completion
    /// when the time has come.
    Promoted,
    /// The new version gets nothing; the instance may record that.
    TakenBack,
}

/// A rollout in progress at one instance.
#[derive(Debug, Clone)]
pub struct CanaryRollout {
    started: Instant,
    time_limit: Duration,
    promoted_at: Option<Instant>,
    rolled_back: bool,
    requests: f64,
    sent: f64,
    own: RolloutEvidence,
}

impl CanaryRollout {
    /// Starts a trial of an order that was seen at `started`.
    #[must_use]
    pub fn new(started: Instant, time_limit: Duration) -> Self {
        Self {
            started,
            time_limit,
            promoted_at: None,
            rolled_back: false,
            requests: 0.0,
            sent: 0.0,
            own: RolloutEvidence::default(),
        }
    }

    /// This instance's evidence, for the digest.
    #[must_use]
    pub fn evidence(&self) -> RolloutEvidence {
        RolloutEvidence {
            fault: self.rolled_back,
            promoted: self.promoted_at.is_some(),
            ..self.own
        }
    }

    /// Adds the outcome of a request at either version.
    pub fn record(&mut self, new: bool, failed: bool) {
        if new {
            self.own.new.record(failed);
        } else {
            self.own.old.record(failed);
        }
    }

    /// Whether the next request of the service goes to the new version; counts
    /// the request. `instances` share the head start.
    pub fn route_to_new(&mut self, instances: usize) -> bool {
        self.requests += 1.0;
        if self.rolled_back {
            return false;
        }
        if self.promoted_at.is_some() {
            return true;
        }
        let count = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let due = self.requests * CANARY_SHARE + CANARY_INITIAL_REQUESTS / count;
        // The head start is spread over the first requests, so that the other
        // version keeps its load.
        if self.sent + 1.0 > due || (self.sent + 1.0) * 4.0 > self.requests {
            return false;
        }
        self.sent += 1.0;
        true
    }

    /// Re-evaluates with the evidence of the other instances.
    pub fn evaluate(&mut self, others: RolloutEvidence, now: Instant) -> RolloutPhase {
        let all = self.evidence().plus(others);
        if self.rolled_back || all.is_faulty() {
            self.rolled_back = true;
            return RolloutPhase::TakenBack;
        }
        if self.promoted_at.is_none() {
            let passed = now.saturating_duration_since(self.started).as_secs_f64()
                / self.time_limit.as_secs_f64().max(0.001);
            let proved = passed >= PROMOTION_FRACTION && all.new.answers >= MIN_RESPONSES;
            let unproved =
                passed >= FALLBACK_PROMOTION_FRACTION && all.new.answers > all.new.failures;
            if proved || unproved || all.promoted {
                self.promoted_at = Some(now);
            }
        }
        if self.promoted_at.is_some() {
            RolloutPhase::Promoted
        } else {
            RolloutPhase::Trial
        }
    }

    /// Whether the completion may be recorded.
    #[must_use]
    pub fn may_complete(&self, now: Instant) -> bool {
        !self.rolled_back
            && self
                .promoted_at
                .is_some_and(|at| now.saturating_duration_since(at) >= COMPLETION_DELAY)
    }
}
