//! The simulated requests, and the interface of the candidates.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub(crate) const INSTANCES: usize = 12;
const REGIONS: usize = 3;

/// Rate and burst of a team, and its offered load in percent of the rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TeamLoad {
    pub(crate) rate: u32,
    pub(crate) burst: u32,
    pub(crate) offered: u32,
}

const fn team(rate: u32, burst: u32, offered: u32) -> TeamLoad {
    TeamLoad {
        rate,
        burst,
        offered,
    }
}

/// The teams. [`FLOODING_TEAM`] exceeds its rate from [`FLOOD_START`] on, and
/// [`SURGING_TEAM`] alternates between low and full load.
pub(crate) const TEAMS: [TeamLoad; 8] = [
    team(400, 200, 70),
    team(300, 150, 500),
    team(100, 50, 80),
    team(60, 30, 70),
    team(40, 20, 70),
    team(20, 10, 60),
    team(20, 10, 40),
    team(5, 2, 40),
];
pub(crate) const FLOODING_TEAM: usize = 1;
const SURGING_TEAM: usize = 2;
const SURGE_HALF_PERIOD: Duration = Duration::from_secs(20);
const FLOOD_START: Duration = Duration::from_secs(30);
/// Mean time after which a caller looks up its instance again.
const LOOKUP_TTL: Duration = Duration::from_secs(10);
const CALLERS: usize = 6;

/// A request that arrives at an instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TeamRequest {
    pub(crate) id: u64,
    pub(crate) after: Duration,
    pub(crate) team: usize,
    pub(crate) instance: usize,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Decision {
    pub(crate) id: u64,
    pub(crate) admitted: bool,
}

/// An algorithm for fleet-wide limits.
pub(crate) trait LimitCandidate {
    fn arrive(&mut self, now: Instant, request: &TeamRequest);
    fn next_event(&self) -> Option<Instant>;
    fn run_event(&mut self);
    fn kill(&mut self, now: Instant, instance: usize);
    fn set_table(&mut self, now: Instant, up: bool);
    fn take_decisions(&mut self) -> Vec<Decision>;
    fn messages(&self) -> u64;
}

pub(crate) type CandidateDyn = Box<dyn LimitCandidate>;

pub(crate) const fn region_of(instance: usize) -> usize {
    instance % REGIONS
}

/// The one-way delay between two instances.
pub(crate) const fn delay(from: usize, to: usize) -> Duration {
    if region_of(from) == region_of(to) {
        Duration::from_micros(500)
    } else {
        Duration::from_millis(35)
    }
}

/// Events ordered by time, and by insertion at the same time.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    events: BTreeMap<(Instant, u64), E>,
    count: u64,
}

impl<E> EventQueue<E> {
    pub(crate) const fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            count: 0,
        }
    }

    pub(crate) fn add(&mut self, at: Instant, event: E) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    pub(crate) fn next(&self) -> Option<Instant> {
        self.events.keys().next().map(|(at, _)| *at)
    }

    pub(crate) fn pop(&mut self) -> Option<(Instant, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}

/// Generates the requests of one seed.
pub(crate) struct RequestPlan {
    rng: StdRng,
    next: [Duration; TEAMS.len()],
    /// The instance of each caller, and the time of its next lookup.
    callers: [[(usize, Duration); CALLERS]; TEAMS.len()],
    crash: Option<(Duration, usize)>,
    count: u64,
}

impl RequestPlan {
    pub(crate) fn new(seed: u64, crash: Option<(Duration, usize)>) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            next: [Duration::ZERO; TEAMS.len()],
            callers: [[(0, Duration::ZERO); CALLERS]; TEAMS.len()],
            crash,
            count: 0,
        }
    }

    /// The next request before `end`.
    pub(crate) fn next(&mut self, end: Duration) -> Option<TeamRequest> {
        let (team, after) = self.next.iter().enumerate().min_by_key(|(_, at)| **at)?;
        let after = *after;
        if after >= end {
            return None;
        }
        let load = f64::from(TEAMS[team].rate * offered(team, after)) / 100.0;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / load;
        self.next[team] = after + Duration::from_secs_f64(gap);
        self.count += 1;
        Some(TeamRequest {
            id: self.count,
            after,
            team,
            instance: self.instance(team, after),
        })
    }

    /// The instance of the next request. The first caller of a team sends half
    /// of its requests, the second a quarter, and so on. Three of four lookups
    /// return an instance in the team's region.
    fn instance(&mut self, team: usize, after: Duration) -> usize {
        let draw = self.rng.random::<f64>();
        let caller = (0..CALLERS - 1)
            .find(|n| draw >= 0.5_f64.powi(i32::try_from(*n + 1).unwrap_or(0)))
            .unwrap_or(CALLERS - 1);
        let crashed = self.crash.filter(|(at, _)| *at <= after).map(|(_, n)| n);
        let (mut instance, until) = self.callers[team][caller];
        if until <= after || crashed == Some(instance) {
            loop {
                instance = self.rng.random_range(0..INSTANCES);
                let in_team_region = region_of(instance) == team % REGIONS;
                if crashed != Some(instance) && (in_team_region || self.rng.random::<f64>() < 0.17)
                {
                    break;
                }
            }
            let ttl = LOOKUP_TTL.mul_f64(0.5 + self.rng.random::<f64>());
            self.callers[team][caller] = (instance, after + ttl);
        }
        instance
    }
}

fn offered(team: usize, after: Duration) -> u32 {
    let half_period = after.as_secs() / SURGE_HALF_PERIOD.as_secs();
    match team {
        FLOODING_TEAM if after < FLOOD_START => 50,
        SURGING_TEAM if half_period.is_multiple_of(2) => 5,
        _ => TEAMS[team].offered,
    }
}
