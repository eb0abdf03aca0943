//! Rollout of a new version of a service: canary, promotion, rollback.
//!
//! All instances run the same state machine:
//!
//! - *canary* ([`RolloutPhase::Trial`]): the new version gets a small share of the
//!   requests, bounded over the whole fleet. The evidence of all instances is added
//!   up.
//! - *promoted*: the canary found no fault in its time; the share of the new version
//!   rises to all requests while those at the old version complete. Some faults show
//!   only under load, and a gradual rise limits the requests that meet them. The old
//!   servers stop as soon as completion is recorded, so it is recorded only after the
//!   last of their requests.
//! - *completed* or *rolled back*: recorded for the operator.
//!
//! A fault causes a rollback, also after the promotion. The instance that detects
//! the fault stops its own traffic to the new version immediately.

use std::time::{Duration, Instant};

/// The share of the requests that the canary gets.
pub const CANARY_SHARE: f64 = 0.07;

/// Requests over the whole fleet that the canary may get beyond its share, so that
/// there is evidence soon after its start. Half of the slack that the sites permit.
pub const CANARY_INITIAL_REQUESTS: f64 = 20.0;

/// The fraction of the rollout's time after which a canary with enough evidence is
/// promoted.
pub const PROMOTION_FRACTION: f64 = 0.6;

/// The time in which the share rises from [`CANARY_SHARE`] to all requests, as a
/// fraction of the rollout's time.
pub const RAMP_FRACTION: f64 = 0.08;

/// Time between the end of the rise and the record of completion, in which requests
/// at the old version complete and the promotion reaches every instance.
pub const COMPLETION_DELAY: Duration = Duration::from_secs(3);

/// The fraction of the rollout's time after which a canary is promoted even with
/// fewer than [`MIN_RESPONSES`] responses, if one of them succeeded. The time that
/// remains lets instances that saw the order later follow.
pub const FALLBACK_PROMOTION_FRACTION: f64 = 0.72;

/// The minimum number of responses for a promotion at [`PROMOTION_FRACTION`].
pub const MIN_RESPONSES: u32 = 8;

/// The minimum number of failures at the new version for a fault.
pub const MIN_FAILURES: u32 = 4;

/// The minimum excess of the failure ratio over that of the old version for a
/// fault.
pub const MIN_FAILURE_EXCESS: f64 = 0.08;

/// The minimum excess in standard deviations of the difference. The evidence is
/// evaluated many times, so two deviations would detect faults by chance.
pub const MIN_EXCESS_DEVIATIONS: f64 = 3.0;

/// The outcomes of requests at one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct VersionOutcomes {
    /// Recorded outcomes, failures included.
    pub answers: u32,
    /// Outcomes that were an error, a broken connection or a timeout.
    pub failures: u32,
}

impl VersionOutcomes {
    /// Records one outcome.
    pub fn record(&mut self, failed: bool) {
        self.answers += 1;
        self.failures += u32::from(failed);
    }

    /// The sum of two sets of outcomes.
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

/// The evidence on one rollout: the outcomes at the new version, and those at the
/// old version in the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct RolloutEvidence {
    /// Outcomes at the new version.
    pub new: VersionOutcomes,
    /// Outcomes at the old version.
    pub old: VersionOutcomes,
    /// Whether an instance has detected a fault. Sticky.
    pub fault: bool,
    /// Whether an instance has promoted the new version.
    pub promoted: bool,
}

impl RolloutEvidence {
    /// The combined evidence of two instances.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            new: self.new.plus(other.new),
            old: self.old.plus(other.old),
            fault: self.fault || other.fault,
            promoted: self.promoted || other.promoted,
        }
    }

    /// Whether the new version is faulty: its failure ratio exceeds that of the old
    /// version by a margin and by a statistically significant amount.
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
        // An additional failure and success keep the deviation above zero.
        let failures = f64::from(self.new.failures + self.old.failures) + 1.0;
        let pooled = failures / (new + old + 2.0);
        let deviation = (pooled * (1.0 - pooled) * (1.0 / new + 1.0 / old)).sqrt();
        let excess = self.new.failure_ratio() - self.old.failure_ratio();
        excess > MIN_FAILURE_EXCESS.max(MIN_EXCESS_DEVIATIONS * deviation)
    }
}

/// The phase of a rollout at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutPhase {
    /// Canary: the new version gets [`CANARY_SHARE`] of the requests.
    Trial,
    /// The share of the new version rises to all requests. Completion may be recorded
    /// [`COMPLETION_DELAY`] after that.
    Promoted,
    /// Rolled back: the new version gets no requests. The rollback may be recorded.
    TakenBack,
}

/// The rise of the new version's share after the promotion.
#[derive(Debug, Clone, Copy)]
struct PromotionRamp {
    started: Instant,
    duration: Duration,
}

impl PromotionRamp {
    /// The share of the requests that go to the new version.
    fn share(self, now: Instant) -> f64 {
        if self.duration.is_zero() {
            return 1.0;
        }
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        let progress = (elapsed / self.duration.as_secs_f64()).min(1.0);
        CANARY_SHARE + (1.0 - CANARY_SHARE) * progress
    }
}

/// A rollout in progress at one instance.
#[derive(Debug, Clone)]
pub struct CanaryRollout {
    started: Instant,
    time_limit: Duration,
    promotion: Option<PromotionRamp>,
    /// The fraction of a request that is due at the new version during the rise.
    due: f64,
    needs_rollback: bool,
    requests: f64,
    sent: f64,
    own: RolloutEvidence,
}

impl CanaryRollout {
    /// Starts the canary of an order that was seen at `started` and is to be
    /// completed within `time_limit`.
    #[must_use]
    pub fn new(started: Instant, time_limit: Duration) -> Self {
        Self {
            started,
            time_limit,
            promotion: None,
            due: 0.0,
            needs_rollback: false,
            requests: 0.0,
            sent: 0.0,
            own: RolloutEvidence::default(),
        }
    }

    /// This instance's evidence, for the digest.
    #[must_use]
    pub fn evidence(&self) -> RolloutEvidence {
        RolloutEvidence {
            fault: self.needs_rollback,
            promoted: self.promotion.is_some(),
            ..self.own
        }
    }

    /// Records the outcome of a request. `new` says that it ran at the new version.
    pub fn record(&mut self, new: bool, failed: bool) {
        if new {
            self.own.new.record(failed);
        } else {
            self.own.old.record(failed);
        }
    }

    /// Whether the next request of the service goes to the new version. Counts the
    /// request. `instances` is the number of instances that share
    /// [`CANARY_INITIAL_REQUESTS`].
    pub fn route_to_new(&mut self, instances: usize, now: Instant) -> bool {
        self.requests += 1.0;
        if self.needs_rollback {
            return false;
        }
        if let Some(ramp) = self.promotion {
            self.due += ramp.share(now);
            let is_due = self.due >= 1.0;
            if is_due {
                self.due -= 1.0;
            }
            return is_due;
        }
        let count = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let permitted = self.requests * CANARY_SHARE + CANARY_INITIAL_REQUESTS / count;
        // At most every fourth request goes to the canary, so that the additional
        // requests are spread and the old version keeps its load.
        if self.sent + 1.0 > permitted || (self.sent + 1.0) * 4.0 > self.requests {
            return false;
        }
        self.sent += 1.0;
        true
    }

    /// Re-evaluates the phase with the evidence of the other instances.
    pub fn evaluate(&mut self, others: RolloutEvidence, now: Instant) -> RolloutPhase {
        let all = self.evidence().plus(others);
        if self.needs_rollback || all.is_faulty() {
            self.needs_rollback = true;
            return RolloutPhase::TakenBack;
        }
        if self.promotion.is_none() {
            let elapsed = now.saturating_duration_since(self.started).as_secs_f64()
                / self.time_limit.as_secs_f64().max(0.001);
            let has_enough_evidence =
                elapsed >= PROMOTION_FRACTION && all.new.answers >= MIN_RESPONSES;
            let is_fallback_due =
                elapsed >= FALLBACK_PROMOTION_FRACTION && all.new.answers > all.new.failures;
            // After a late promotion too little time is left for a rise.
            let duration = if has_enough_evidence || all.promoted {
                Some(self.time_limit.mul_f64(RAMP_FRACTION))
            } else {
                is_fallback_due.then_some(Duration::ZERO)
            };
            let started = now;
            self.promotion = duration.map(|duration| PromotionRamp { started, duration });
        }
        if self.promotion.is_some() {
            RolloutPhase::Promoted
        } else {
            RolloutPhase::Trial
        }
    }

    /// Whether the completion may be recorded.
    #[must_use]
    pub fn may_complete(&self, now: Instant) -> bool {
        !self.needs_rollback
            && self.promotion.is_some_and(|ramp| {
                now.saturating_duration_since(ramp.started) >= ramp.duration + COMPLETION_DELAY
            })
    }
}
