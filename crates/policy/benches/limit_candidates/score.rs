//! Scores of one run of a candidate.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::workload::{Decision, FLOODING_TEAM, TeamLoad, TeamRequest};

const NANOS: u128 = 1_000_000_000;
/// Decisions before this time aren't scored, because shares are distributed and
/// buckets fill first.
const WARM_UP: Duration = Duration::from_secs(10);

/// One token bucket for the whole fleet, without distribution.
#[derive(Debug, Clone)]
pub(crate) struct CentralBucket {
    rate: u128,
    burst: u128,
    level: u128,
    updated: Instant,
}

impl CentralBucket {
    pub(crate) fn new(rate: u32, burst: u32, full: bool, now: Instant) -> Self {
        let burst = u128::from(burst) * NANOS;
        Self {
            rate: u128::from(rate),
            burst,
            level: if full { burst } else { 0 },
            updated: now,
        }
    }

    pub(crate) fn spend(&mut self, now: Instant) -> bool {
        self.spend_many(now, 1)
    }

    /// Spends `count` tokens. If there are fewer, spends none and returns false.
    pub(crate) fn spend_many(&mut self, now: Instant, count: u32) -> bool {
        let cost = u128::from(count) * NANOS;
        let elapsed = now.saturating_duration_since(self.updated).as_nanos();
        self.updated = self.updated.max(now);
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        let granted = self.level >= cost;
        if granted {
            self.level -= cost;
        }
        granted
    }
}

#[derive(Debug, Clone, Default)]
struct TeamScore {
    conforming: u64,
    false_rejections: u64,
    admitted: u64,
    over: u64,
    wait: Duration,
}

#[derive(Debug)]
pub(crate) struct RunScore {
    start: Instant,
    ideal: Vec<CentralBucket>,
    fleet: Vec<CentralBucket>,
    teams: Vec<TeamScore>,
    waiting: BTreeMap<u64, (usize, Instant, bool)>,
    messages: f64,
}

impl RunScore {
    pub(crate) fn new(start: Instant, teams: &[TeamLoad]) -> Self {
        let bucket = |t: &TeamLoad| CentralBucket::new(t.rate, t.burst, true, start);
        let buckets: Vec<_> = teams.iter().map(bucket).collect();
        Self {
            start,
            ideal: buckets.clone(),
            fleet: buckets,
            teams: vec![TeamScore::default(); teams.len()],
            waiting: BTreeMap::new(),
            messages: 0.0,
        }
    }

    pub(crate) fn record_arrival(&mut self, now: Instant, request: &TeamRequest) {
        let conforming = self.ideal[request.team].spend(now);
        self.waiting
            .insert(request.id, (request.team, now, conforming));
    }

    pub(crate) fn record_decisions(&mut self, now: Instant, decisions: Vec<Decision>) {
        for decision in decisions {
            let Some((team, arrived, conforming)) = self.waiting.remove(&decision.id) else {
                continue;
            };
            let over = decision.admitted && !self.fleet[team].spend(now);
            if now < self.start + WARM_UP {
                continue;
            }
            let score = &mut self.teams[team];
            score.conforming += u64::from(conforming);
            score.false_rejections += u64::from(conforming && !decision.admitted);
            score.admitted += u64::from(decision.admitted);
            score.over += u64::from(over);
            if decision.admitted {
                score.wait += now - arrived;
            }
        }
    }

    pub(crate) fn finish(&mut self, messages: u64, time: Duration) {
        self.messages = as_float(messages) / time.as_secs_f64();
    }

    /// The row of the table: admissions over the limit, false rejections in
    /// percent of the conforming requests, the lowest success ratio of a team in
    /// percent, mean wait in ms, and messages per second. False rejections and
    /// wait leave out the flooding team.
    pub(crate) fn row(&self) -> String {
        let within_rate = self.teams.iter().enumerate();
        let within_rate: Vec<_> = within_rate.filter(|(t, _)| *t != FLOODING_TEAM).collect();
        let sum =
            |count: fn(&TeamScore) -> u64| within_rate.iter().map(|(_, t)| count(t)).sum::<u64>();
        let over: u64 = self.teams.iter().map(|t| t.over).sum();
        let worst = self.teams.iter().map(TeamScore::success);
        let worst = worst.fold(f64::INFINITY, f64::min);
        let wait: Duration = within_rate.iter().map(|(_, t)| t.wait).sum();
        format!(
            "{over:>9} {:>9.3} {:>9.2} {:>8.2} {:>8.0}",
            100.0 * as_float(sum(|t| t.false_rejections)) / as_float(sum(|t| t.conforming)),
            100.0 * worst,
            1000.0 * wait.as_secs_f64() / as_float(sum(|t| t.admitted)),
            self.messages
        )
    }

    /// Success ratio, false rejections and conforming requests of each team.
    pub(crate) fn by_team(&self) -> String {
        let teams = self.teams.iter().map(|t| {
            format!(
                "{:.1}%({}/{})",
                100.0 * t.success(),
                t.false_rejections,
                t.conforming
            )
        });
        teams.collect::<Vec<_>>().join(" ")
    }
}

impl TeamScore {
    /// Number of admitted requests relative to that of a central bucket.
    fn success(&self) -> f64 {
        as_float(self.admitted) / as_float(self.conforming.max(1))
    }
}

fn as_float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
