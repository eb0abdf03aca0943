//! Fleet-wide rate limits of teams, enforced locally.
//!
//! Each quota holder, one instance per data centre, has a token bucket for each
//! team. Its rate and depth are the holder's share of the team's limit. The share
//! follows the ratio of the holder's own demand to the demand that the other
//! holders report, so that a team whose callers are in one place can use its whole
//! limit there. The shares of all holders add up to one as far as their reports
//! agree; the reports are about a second old. While a holder's report is overdue,
//! the shares of the others do not grow, as it may take the same tokens.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::names::TeamName;

/// Time constant of the exponential average of demand.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// Demand that every holder is assumed to have in addition to what is measured, as
/// a fraction of its equal share of the team's rate. Stabilises the shares of teams
/// with few requests.
pub const MIN_DEMAND_FRACTION: f64 = 0.5;

/// The fraction of its depth to which a new bucket is filled. Not full, because an
/// instance may have spent its tokens before a restart.
pub const INITIAL_FILL_FRACTION: f64 = 0.1;

/// The number of own reports that are kept. Shares are computed from the oldest.
pub const REPORT_LAG: usize = 3;

/// The fraction of the bound's slack that is used. Shares may add up to slightly
/// more than one while demand moves between holders.
pub const SLACK_FRACTION: f64 = 0.45;

/// The fraction of the bound's slack that holders use with shares that never add up to more
/// than one. Each request takes its token between the time it is sent and its arrival, so
/// that a window has no more requests than tokens.
pub const HOLDER_SLACK_FRACTION: f64 = 0.75;

/// The same for instances that have no holder. Both may be used in one window.
pub const MEMBER_SLACK_FRACTION: f64 = 0.2;

/// How far the admitted requests of a team may exceed its limit in a window.
#[derive(Debug, Clone, Copy)]
pub struct QuotaBound {
    /// The length of the sliding window.
    pub window: Duration,
    /// The permitted excess, as a fraction of what the limit allows in the window.
    pub excess: f64,
    /// Additional requests permitted in the window.
    pub slack: f64,
}

/// Measures demand as an exponential average over [`DEMAND_WINDOW`].
#[derive(Debug, Clone)]
pub struct DemandMeter {
    rate: f64,
    updated: Instant,
}

impl DemandMeter {
    /// Creates a meter with no demand.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            updated: now,
        }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.updated = now;
    }

    /// Records one request.
    pub fn record(&mut self, now: Instant) {
        self.record_fraction(1.0, now);
    }

    /// Records a fraction of a request.
    pub fn record_fraction(&mut self, fraction: f64, now: Instant) {
        self.decay(now);
        self.rate += fraction / DEMAND_WINDOW.as_secs_f64();
    }

    /// The demand in requests per second.
    pub fn rate(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.rate
    }
}

#[derive(Debug)]
struct TeamBucket {
    demand: DemandMeter,
    /// Own demand as reported, newest first. Shares are computed from the oldest
    /// report, which is about as old as those of the other holders. With the newest
    /// own demand, the shares would add up to more than one while demand grows at
    /// all holders.
    reported: [f64; REPORT_LAG],
    other_demand: f64,
    /// The share with the last reports that were current.
    last_share: Option<f64>,
    tokens: f64,
    updated: Instant,
    /// The limit and the share at the last update.
    last_limit: Option<BucketLimit>,
}

/// The limit of a bucket: a share of the team's rate, and its depth.
#[derive(Debug, Clone, Copy)]
struct BucketLimit {
    rate: f64,
    burst: f64,
    share: f64,
    depth: f64,
}

impl TeamBucket {
    fn new(now: Instant) -> Self {
        Self {
            demand: DemandMeter::new(now),
            reported: [0.0; REPORT_LAG],
            other_demand: 0.0,
            last_share: None,
            tokens: f64::NAN,
            updated: now,
            last_limit: None,
        }
    }

    /// Adds the tokens since the last update. A share that has grown counts from now on:
    /// before, another holder may have used what was added.
    fn refill(&mut self, limit: BucketLimit, now: Instant) {
        let BucketLimit {
            rate, share, depth, ..
        } = limit;
        if self.tokens.is_nan() {
            self.tokens = (depth * INITIAL_FILL_FRACTION).max(1.0);
            self.updated = now;
        }
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let last = self.last_limit.unwrap_or(limit);
        let added = elapsed * rate.min(last.rate) * share.min(last.share);
        self.tokens = (self.tokens + added).min(depth.min(last.depth));
        self.updated = now;
        self.last_limit = Some(limit);
    }

    fn take(&mut self, refill_rate: f64) -> QuotaDecision {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return QuotaDecision::Admit;
        }
        let wait = (1.0 - self.tokens) / refill_rate.max(0.01);
        QuotaDecision::Reject {
            retry_after: Duration::from_secs_f64(wait.min(60.0)),
        }
    }
}

/// Whether a request is within the limit of its team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaDecision {
    /// The request is within the limit.
    Admit,
    /// The request exceeds the limit.
    Reject {
        /// The expected time until the next token.
        retry_after: Duration,
    },
}

/// The token buckets of all teams at one quota holder.
#[derive(Debug)]
pub struct TeamQuota {
    bound: QuotaBound,
    buckets: BTreeMap<TeamName, TeamBucket>,
    holders: f64,
    has_overdue_reports: bool,
    /// The fraction of the slack for [`TeamQuota::try_acquire_share`].
    slack_fraction: f64,
}

impl TeamQuota {
    /// Creates a set without buckets. A bucket is created by the first request of
    /// its team.
    #[must_use]
    pub fn new(bound: QuotaBound) -> Self {
        Self {
            bound,
            buckets: BTreeMap::new(),
            holders: 1.0,
            has_overdue_reports: false,
            slack_fraction: HOLDER_SLACK_FRACTION,
        }
    }

    /// A set of buckets for an instance that may have no holder.
    #[must_use]
    pub fn for_member(bound: QuotaBound) -> Self {
        Self {
            slack_fraction: MEMBER_SLACK_FRACTION,
            ..Self::new(bound)
        }
    }

    /// Sets whether the report of another holder is overdue.
    pub fn set_has_overdue_reports(&mut self, overdue: bool) {
        self.has_overdue_reports = overdue;
    }

    /// Sets the number of holders that share the limits, this one included.
    pub fn set_holders(&mut self, holders: usize) {
        self.holders = f64::from(u32::try_from(holders.max(1)).unwrap_or(u32::MAX));
    }

    /// Sets the demand of a team at all other holders together, in requests per
    /// second.
    pub fn set_other_demand(&mut self, team: &TeamName, demand: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.other_demand = demand;
        }
    }

    /// The demand of each team at this holder, for the digest. Also stores it as the
    /// newest own report.
    pub fn report(&mut self, now: Instant) -> Vec<(TeamName, f64)> {
        self.buckets
            .iter_mut()
            .map(|(team, bucket)| {
                let rate = bucket.demand.rate(now);
                bucket.reported.rotate_right(1);
                bucket.reported[0] = rate;
                (team.clone(), rate)
            })
            .filter(|(_, rate)| *rate > 0.05)
            .collect()
    }

    /// Takes a token for one request of a team whose fleet-wide limit is `rate`
    /// requests per second with a `burst`.
    pub fn try_acquire(
        &mut self,
        team: &TeamName,
        rate: f64,
        burst: f64,
        now: Instant,
    ) -> QuotaDecision {
        let holders = self.holders;
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| TeamBucket::new(now));
        bucket.demand.record(now);
        let base = rate * MIN_DEMAND_FRACTION / holders;
        let own = bucket.reported[REPORT_LAG - 1] + base;
        let other_demand = bucket.other_demand + base * (holders - 1.0);
        let mut share = own / (own + other_demand);
        if self.has_overdue_reports {
            share = share.min(bucket.last_share.unwrap_or(1.0 / holders));
        } else {
            bucket.last_share = Some(share);
        }
        // With few tokens per second, requests of a small team would be rejected by
        // chance at one holder while others have tokens left. An equal share of the
        // slack as additional depth compensates for that.
        let window = self.bound.window.as_secs_f64();
        let slack = (rate * window + burst) * self.bound.excess + self.bound.slack;
        let depth = (burst * share + slack * SLACK_FRACTION / holders).max(1.0);
        if bucket.tokens.is_nan() {
            bucket.tokens = (depth * INITIAL_FILL_FRACTION).max(1.0);
        }
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        bucket.updated = now;
        bucket.tokens = (bucket.tokens + elapsed * rate * share).min(depth);
        bucket.take(rate * share)
    }

    /// Takes a token as [`TeamQuota::try_acquire`] does, with a share of the limit that is
    /// given. Small teams get an equal part of the slack as additional depth.
    pub fn try_acquire_share(
        &mut self,
        team: &TeamName,
        (rate, burst): (f64, f64),
        share: f64,
        now: Instant,
    ) -> QuotaDecision {
        let equal_share = 1.0 / self.holders;
        let limit = self.limit(rate, burst, share);
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| TeamBucket::new(now));
        bucket.demand.record(now);
        bucket.refill(limit, now);
        // Loans follow demand, so that a low share is not a reason for a long wait.
        bucket.take(rate * share.max(equal_share))
    }

    fn limit(&self, rate: f64, burst: f64, share: f64) -> BucketLimit {
        let window = self.bound.window.as_secs_f64();
        let slack = (rate * window + burst) * self.bound.excess + self.bound.slack;
        BucketLimit {
            rate,
            burst,
            share,
            depth: (burst * share + slack * self.slack_fraction / self.holders).max(1.0),
        }
    }

    /// Adds the tokens of all buckets up to now, with the shares that they have now. Called
    /// before shares change, so that an idle bucket has no tokens from a share that others
    /// used meanwhile.
    pub fn refill_all(&mut self, share: impl Fn(&TeamName) -> f64, now: Instant) {
        let names: Vec<TeamName> = self.buckets.keys().cloned().collect();
        for name in names {
            let last = self.buckets.get(&name).and_then(|bucket| bucket.last_limit);
            let Some(last) = last else { continue };
            let limit = self.limit(last.rate, last.burst, share(&name));
            if let Some(bucket) = self.buckets.get_mut(&name) {
                bucket.refill(limit, now);
            }
        }
    }

    /// Empties the buckets as far as new ones are: another holder may have spent their
    /// tokens. Demand is kept.
    pub fn reset_buckets(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.tokens = f64::NAN;
            bucket.last_limit = None;
        }
    }
}
