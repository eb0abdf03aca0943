//! Team limits over the whole fleet, kept locally.
//!
//! Each holder, one instance of a data centre, has a token bucket per team whose
//! rate and depth are its share of the team's limit. The share follows the
//! demand that the holder sees compared with the demand that the others report,
//! so that a team whose callers are in one place can use its whole limit there.
//! Shares of all holders add up to one as far as their reports agree; the
//! reports lag by about a second.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::names::TeamName;

/// The time over which demand is averaged.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// Demand that each holder is assumed to have at least, as a part of an equal
/// division of the team's rate. Steadies the shares of teams with few requests.
pub const MIN_DEMAND_FRACTION: f64 = 0.5;

/// The part of its depth that a bucket holds when it is created. A restarted
/// instance may have spent its tokens before, so it does not start full.
pub const INITIAL_FILL_FRACTION: f64 = 0.1;

/// The age of the own report that shares are computed from, in reports.
pub const REPORT_LAG: usize = 3;

/// The part of the bound's slack that is used, as shares may add up to slightly
/// more than one while demand moves.
pub const SLACK_FRACTION: f64 = 0.45;

/// How far the requests of a team may exceed its limit in a window.
#[derive(Debug, Clone, Copy)]
pub struct QuotaBound {
    /// The length of the sliding window.
    pub window: Duration,
    /// The permitted excess, as a part of what the limit allows in the window.
    pub excess: f64,
    /// Requests permitted in addition.
    pub slack: f64,
}

/// Demand averaged over [`DEMAND_WINDOW`].
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
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate *= (-passed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.updated = now;
    }

    /// Counts one request.
    pub fn record(&mut self, now: Instant) {
        self.record_fraction(1.0, now);
    }

    /// Counts a part of a request.
    pub fn record_fraction(&mut self, part: f64, now: Instant) {
        self.decay(now);
        self.rate += part / DEMAND_WINDOW.as_secs_f64();
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
    /// Demand as reported, newest first. Shares are computed from the last
    /// one, which is about as old as the others' reports: if each instance took
    /// its own newest demand, the shares would add up to more than one while
    /// demand grows everywhere.
    reported: [f64; REPORT_LAG],
    others: f64,
    level: f64,
    updated: Instant,
}

/// The result of asking for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaDecision {
    /// Within the limit.
    Admit,
    /// Beyond it; a token is expected after this time.
    Reject {
        /// The time until the next token.
        retry_after: Duration,
    },
}

/// The limits of all teams at one holder.
#[derive(Debug)]
pub struct TeamQuota {
    bound: QuotaBound,
    buckets: BTreeMap<TeamName, TeamBucket>,
    holders: f64,
}

impl TeamQuota {
    /// Creates an empty set of limits.
    #[must_use]
    pub fn new(bound: QuotaBound) -> Self {
        Self {
            bound,
            buckets: BTreeMap::new(),
            holders: 1.0,
        }
    }

    /// Sets how many holders share the limits, this one included.
    pub fn set_holders(&mut self, holders: usize) {
        self.holders = f64::from(u32::try_from(holders.max(1)).unwrap_or(u32::MAX));
    }

    /// Sets the demand of a team at all other holders.
    pub fn set_other_demand(&mut self, team: &TeamName, demand: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.others = demand;
        }
    }

    /// The demand of each team at this holder, to be reported to the others.
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

    /// Takes a token for one request of a team with this rate and burst.
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
            .or_insert_with(|| TeamBucket {
                demand: DemandMeter::new(now),
                reported: [0.0; REPORT_LAG],
                others: 0.0,
                level: f64::NAN,
                updated: now,
            });
        bucket.demand.record(now);
        let base = rate * MIN_DEMAND_FRACTION / holders;
        let own = bucket.reported[REPORT_LAG - 1] + base;
        let others = bucket.others + base * (holders - 1.0);
        let share = own / (own + others);
        // Few tokens a second make a small team's requests fail by chance at one
        // holder while others have tokens left; an equal part of the slack as
        // depth evens that out.
        let window = self.bound.window.as_secs_f64();
        let slack = (rate * window + burst) * self.bound.excess + self.bound.slack;
        let depth = (burst * share + slack * SLACK_FRACTION / holders).max(1.0);
        if bucket.level.is_nan() {
            bucket.level = (depth * INITIAL_FILL_FRACTION).max(1.0);
        }
        let passed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        bucket.updated = now;
        bucket.level = (bucket.level + passed * rate * share).min(depth);
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return QuotaDecision::Admit;
        }
        let wait = (1.0 - bucket.level) / (rate * share).max(0.01);
        QuotaDecision::Reject {
            retry_after: Duration::from_secs_f64(wait.min(60.0)),
        }
    }
}
