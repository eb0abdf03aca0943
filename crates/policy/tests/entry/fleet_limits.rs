//! Fleet-wide limits that each instance enforces locally.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::entry::budget::{RetryBound, RetryBudget};
use tarragonpulley_policy::entry::cold::{ColdBound, ColdLimiter, instance_allowance};
use tarragonpulley_policy::entry::digest::{
    InstanceDigest, InstanceRecord, InstanceState, InstanceTable,
};
use tarragonpulley_policy::entry::names::{ServiceName, TeamName};
use tarragonpulley_policy::entry::placement::mix;
use tarragonpulley_policy::entry::quota::{QuotaBound, QuotaDecision, TeamQuota};
use yare::parameterized;

use crate::at;

const BOUND: QuotaBound = QuotaBound {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

/// Simulates demand, in requests per second, at each quota holder and returns the
/// admitted requests as time in milliseconds and holder. As in the fleet, reports
/// are exchanged every half second and are a second old when they arrive.
fn simulate_quota(
    rate: f64,
    burst: f64,
    seconds: u64,
    demand: impl Fn(u64, usize) -> f64,
    holders: usize,
) -> Vec<(u64, usize)> {
    let start = Instant::now();
    let team: TeamName = "team".parse().expect("a name");
    let mut quotas: Vec<TeamQuota> = (0..holders).map(|_| TeamQuota::new(BOUND)).collect();
    let mut due = vec![0.0; holders];
    let mut reports: Vec<Vec<f64>> = Vec::new();
    let mut admitted = Vec::new();
    for milli in 0..seconds * 1000 {
        let now = at(start, milli);
        if milli % 500 == 0 {
            let report = quotas.iter_mut().map(|quota| {
                quota.set_holders(holders);
                quota.report(now).first().map_or(0.0, |(_, rate)| *rate)
            });
            reports.push(report.collect());
            let old = reports
                .len()
                .checked_sub(3)
                .map_or_else(|| vec![0.0; holders], |index| reports[index].clone());
            for (index, quota) in quotas.iter_mut().enumerate() {
                quota.set_other_demand(&team, old.iter().sum::<f64>() - old[index]);
            }
        }
        for (index, quota) in quotas.iter_mut().enumerate() {
            due[index] += demand(milli, index) / 1000.0;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                if quota.try_acquire(&team, rate, burst, now) == QuotaDecision::Admit {
                    admitted.push((milli, index));
                }
            }
        }
    }
    admitted
}

fn max_count_in_window(admitted: &[(u64, usize)]) -> usize {
    (0..admitted.len())
        .map(|index| {
            admitted[index..].partition_point(|(milli, _)| *milli < admitted[index].0 + 5000)
        })
        .max()
        .unwrap_or(0)
}

/// The bound holds for every pattern of demand.
#[parameterized(
    steady_excess = { 100.0, 100.0, |_, _| 60.0 },
    sudden_excess = { 140.0, 140.0, |milli, _| if milli < 8000 { 14.0 } else { 105.0 } },
    moves_between_holders = { 100.0, 100.0, |milli, holder| if (milli / 7000) as usize % 6 == holder { 400.0 } else { 5.0 } },
    small_team = { 5.0, 5.0, |_, _| 6.0 },
)]
fn a_team_stays_within_its_bound(rate: f64, burst: f64, demand: fn(u64, usize) -> f64) {
    let admitted = simulate_quota(rate, burst, 30, demand, 6);
    let max_in_window = max_count_in_window(&admitted);
    let bound = (rate * 5.0 + burst) * 1.1 + 20.0;
    assert!(
        f64::from(u32::try_from(max_in_window).expect("a count")) <= bound,
        "{max_in_window} requests in 5 s, allowed {bound}"
    );
}

/// Two of three holders lose each other at 3 s, and a second later the team sends many
/// times its usual everywhere. From 6.5 s on their reports come through the third.
/// Guards against holders that both take the tokens which the other one needs.
#[parameterized(
    large_team = { 687.0, 687.0 },
    small_team = { 20.0, 20.0 },
)]
fn a_team_stays_within_its_bound_while_holders_do_not_hear_each_other(rate: f64, burst: f64) {
    const STEP_MS: u64 = 500;
    let start = Instant::now();
    let team: TeamName = "team".parse().expect("a name");
    let mut quotas: Vec<TeamQuota> = (0..3).map(|_| TeamQuota::new(BOUND)).collect();
    let mut due = [0.0; 3];
    let mut reports: Vec<[f64; 3]> = Vec::new();
    let mut admitted = Vec::new();
    for milli in 0..20_000 {
        let now = at(start, milli);
        if milli % STEP_MS == 0 {
            let mut report = [0.0; 3];
            for (rate, quota) in report.iter_mut().zip(&mut quotas) {
                quota.set_holders(3);
                *rate = quota.report(now).first().map_or(0.0, |(_, rate)| *rate);
            }
            reports.push(report);
            for (index, quota) in quotas.iter_mut().enumerate() {
                let (mut others, mut is_overdue) = (0.0, false);
                for other in (0..3).filter(|other| *other != index) {
                    let is_cut = index < 2 && other < 2 && milli >= 3000;
                    let sent_at = match milli {
                        _ if !is_cut => milli.saturating_sub(1000),
                        ..6500 => 2000,
                        _ => milli - 2000,
                    };
                    is_overdue |= is_cut && (3600..6500).contains(&milli);
                    others += reports[usize::try_from(sent_at / STEP_MS).expect("small")][other];
                }
                quota.set_other_demand(&team, others);
                quota.set_has_overdue_reports(is_overdue);
            }
        }
        let demand = if milli < 4000 { rate / 4.0 } else { rate * 2.0 };
        for (due, quota) in due.iter_mut().zip(&mut quotas) {
            *due += demand / 1000.0;
            while *due >= 1.0 {
                *due -= 1.0;
                if quota.try_acquire(&team, rate, burst, now) == QuotaDecision::Admit {
                    admitted.push((milli, 0));
                }
            }
        }
    }
    let max_in_window = max_count_in_window(&admitted);
    let bound = (rate * 5.0 + burst) * 1.1 + 20.0;
    println!("{max_in_window} in a window, allowed {bound}");
    assert!(
        f64::from(u32::try_from(max_in_window).expect("a count")) <= bound,
        "{max_in_window} requests in 5 s, allowed {bound}"
    );
}

#[parameterized(
    even = { |_, _| 10.0 },
    one_holder = { |_, holder| if holder == 2 { 60.0 } else { 0.0 } },
)]
fn demand_below_the_limit_is_admitted(demand: fn(u64, usize) -> f64) {
    // Demand is 60 of 100 requests per second. The first seconds are not counted,
    // because the holders have no reports yet.
    let admitted = simulate_quota(100.0, 100.0, 30, demand, 6);
    let late = admitted.iter().filter(|(milli, _)| *milli >= 5000).count();
    assert!(late >= 1470, "{late} of 1500 admitted");
}

#[test]
fn retries_stay_within_ratio_and_allowance() {
    let start = Instant::now();
    let bound = RetryBound {
        ratio: 0.2,
        window: Duration::from_secs(10),
        allowance: 50.0,
    };
    let service: ServiceName = "s".parse().expect("a name");
    let mut budgets: Vec<RetryBudget> = (0..4).map(|_| RetryBudget::new(bound)).collect();
    let mut retries = 0;
    for request in 0..1000_u64 {
        let now = at(start, request * 5);
        let budget = &mut budgets[usize::try_from(request % 4).expect("an index")];
        budget.record_request(&service, now);
        retries += usize::from(budget.try_acquire(&service, 4, now));
    }
    assert!(retries <= 250, "{retries} retries of 1000 requests");
    assert!(
        retries >= 100,
        "{retries} retries of 1000 requests: a substantial part of the budget should be usable"
    );
}

#[parameterized(
    fewer_instances_than_requests = { 4 },
    as_many = { 6 },
    more = { 12 },
    many = { 79 },
)]
fn cold_servers_get_no_more_than_their_rate_from_all_instances(count: u64) {
    let start = Instant::now();
    let bound = ColdBound {
        excess: 1.5,
        slack: 5.0,
    };
    let rate = 2.7;
    let names: Vec<u64> = (1..=count).map(mix).collect();
    let mut limiters: Vec<ColdLimiter> = names.iter().map(|_| ColdLimiter::default()).collect();
    let mut times = Vec::new();
    for milli in 0..5000 {
        for (limiter, own) in limiters.iter_mut().zip(&names) {
            let allowed = instance_allowance(bound, rate, 42, *own, &names);
            if limiter.try_acquire(allowed, at(start, milli)) {
                times.push(milli);
            }
        }
    }
    let max_in_window = max_in_second(&times);
    assert!(
        (3..=9).contains(&max_in_window),
        "{max_in_window} requests in a second"
    );
}

/// The most requests in any second; `times` are in milliseconds and in order.
fn max_in_second(times: &[u64]) -> usize {
    (0..times.len())
        .map(|i| times[i..].partition_point(|time| *time < times[i] + 1000))
        .max()
        .unwrap_or(0)
}

fn assert_within_rate(times: &[u64], allowed_per_s: f64) {
    let found = max_in_second(times);
    println!("{found} requests in a second, allowed {allowed_per_s}");
    assert!(
        f64::from(u32::try_from(found).expect("a count")) <= allowed_per_s,
        "{found} requests in a second, allowed {allowed_per_s}"
    );
}

/// How the instances of a fleet that starts at once learn of each other.
#[derive(Debug, Clone, Copy)]
enum FleetStart {
    /// All rows are in the table from before, and are read at different times.
    Registered,
    /// As before, and digests of the other half do not arrive.
    HalfCutOff,
    /// The table cannot be read; only digests arrive.
    DigestsOnly,
}

/// Guards against instances that take the rate of a cold server for their own after
/// a start, because they do not know the others yet.
#[parameterized(
    all_at_once = { FleetStart::Registered, 0 },
    over_a_second = { FleetStart::Registered, 1000 },
    slowly = { FleetStart::Registered, 6000 },
    half_cut_off = { FleetStart::HalfCutOff, 1000 },
    without_the_table = { FleetStart::DigestsOnly, 1000 },
)]
fn cold_servers_get_no_more_than_their_rate_while_all_instances_start(
    kind: FleetStart,
    spread_ms: u64,
) {
    const INSTANCES: u64 = 70;
    let bound = ColdBound {
        excess: 1.5,
        slack: 8.0,
    };
    let rate = 4.3;
    let allowed_per_s = rate * bound.excess + bound.slack;
    let begin = Instant::now();
    let started = |index: u64| index * spread_ms / INSTANCES / 5 * 5;
    let mut random = StdRng::seed_from_u64(5);
    let mut fleet: Vec<(InstanceTable, ColdLimiter)> = (0..INSTANCES)
        .map(|index| {
            let table = InstanceTable::new(record(index), at(begin, started(index)));
            (table, ColdLimiter::default())
        })
        .collect();
    let read_delay: Vec<u64> = (0..INSTANCES)
        .map(|_| random.random_range(50..600))
        .collect();
    let mut times = Vec::new();
    for milli in (0..9000).step_by(5) {
        let now = at(begin, milli);
        for own in 0..INSTANCES {
            let Some(since) = milli.checked_sub(started(own)) else {
                continue;
            };
            let index = usize::try_from(own).expect("small");
            let (table, limiter) = &mut fleet[index];
            if since == read_delay[index] / 5 * 5 && !matches!(kind, FleetStart::DigestsOnly) {
                (0..INSTANCES).for_each(|other| table.register(record(other)));
                table.record_registrations_read(now);
            }
            if since > 0 && since.is_multiple_of(1000) {
                let is_heard = |other: &u64| {
                    started(*other) + 500 < milli
                        && (!matches!(kind, FleetStart::HalfCutOff) || other % 2 == own % 2)
                };
                for other in (0..INSTANCES).filter(is_heard) {
                    table.receive(digest(other, milli), false, now);
                }
            }
            let Some(sharers) = table.sharer_hashes(now) else {
                continue;
            };
            let allowed = instance_allowance(bound, rate, 42, table.own_hash(), &sharers);
            if limiter.try_acquire(allowed, now) {
                times.push(milli);
            }
        }
    }
    assert_within_rate(&times, allowed_per_s);
    assert!(
        times.len() > 10,
        "the rate is used: {} requests",
        times.len()
    );
}

/// What happens to instances at 5 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    /// The processes are killed and start again half a second later.
    Killed,
    /// The processes stand still for so long.
    Paused(u64),
    /// They get no digests for so long, and their own are lost; table, callers and
    /// servers are reached.
    CutOff(u64),
}

impl Disturbance {
    const START_MS: u64 = 5000;

    fn end(self) -> u64 {
        Self::START_MS
            + match self {
                Self::Killed => 500,
                Self::Paused(duration) | Self::CutOff(duration) => duration,
            }
    }

    fn covers(self, milli: u64) -> bool {
        (Self::START_MS..self.end()).contains(&milli)
    }

    /// Whether the process of an instance runs.
    fn is_running(self, is_disturbed: bool) -> bool {
        !is_disturbed || matches!(self, Self::CutOff(_))
    }
}

/// Guards against restarted instances that do not know the others yet, or not what
/// their predecessors sent.
#[parameterized(
    all = { 1 },
    half = { 2 },
)]
fn cold_servers_get_no_more_than_their_rate_while_instances_are_killed(one_of: u64) {
    assert_cold_rate_holds(Disturbance::Killed, one_of);
}

/// Guards against instances that take the rate of a cold server for their own
/// because they have not heard of the others for a while.
#[parameterized(
    all_paused = { Disturbance::Paused(12_000), 1 },
    half_paused = { Disturbance::Paused(12_000), 2 },
    a_third_paused_briefly = { Disturbance::Paused(9_500), 3 },
    a_tenth_cut_off_each_by_itself = { Disturbance::CutOff(15_000), 10 },
    all_cut_off_each_by_itself = { Disturbance::CutOff(15_000), 1 },
)]
fn cold_servers_get_no_more_than_their_rate_while_instances_hear_nobody(
    kind: Disturbance,
    one_of: u64,
) {
    assert_cold_rate_holds(kind, one_of);
}

/// Plays a fleet in which one in `one_of` instances is disturbed.
fn assert_cold_rate_holds(kind: Disturbance, one_of: u64) {
    const INSTANCES: u64 = 70;
    let bound = ColdBound {
        excess: 1.5,
        slack: 8.0,
    };
    let rate = 4.3;
    let allowed_per_s = rate * bound.excess + bound.slack;
    let begin = Instant::now();
    let is_disturbed = |index: u64, milli| index.is_multiple_of(one_of) && kind.covers(milli);
    let mut random = StdRng::seed_from_u64(7);
    let start = |own: u64, now: Instant| {
        let mut table = InstanceTable::new(record(own), now);
        (0..INSTANCES).for_each(|other| table.register(record(other)));
        table.record_registrations_read(now);
        (table, ColdLimiter::default())
    };
    let mut fleet: Vec<(InstanceTable, ColdLimiter)> =
        (0..INSTANCES).map(|own| start(own, begin)).collect();
    let mut times = Vec::new();
    let end = kind.end() + 8000;
    for milli in (0..end).step_by(5) {
        let now = at(begin, milli);
        for own in 0..INSTANCES {
            let index = usize::try_from(own).expect("small");
            let is_affected = own.is_multiple_of(one_of);
            if is_affected && kind == Disturbance::Killed && milli == kind.end() {
                fleet[index] = start(own, now);
            }
            let is_running = kind.is_running(is_disturbed(own, milli));
            if !is_running {
                continue;
            }
            let (table, limiter) = &mut fleet[index];
            // Digests of all others arrive once a second; each instance hears them
            // at another time.
            if milli % 1000 == own * 10 {
                for other in (0..INSTANCES).filter(|other| *other != own) {
                    if !is_disturbed(own, milli) && !is_disturbed(other, milli) {
                        table.receive(digest(other, milli), false, now);
                    }
                }
            }
            let Some(sharers) = table.cold_sharer_hashes(now) else {
                continue;
            };
            let allowed = instance_allowance(bound, rate, 42, table.own_hash(), &sharers);
            // Requests come at random, about one in 50 ms at each instance.
            if random.random_bool(0.1) && limiter.try_acquire(allowed, now) {
                times.push(milli);
            }
        }
    }
    assert_within_rate(&times, allowed_per_s);
    let is_used = |from: u64, to: u64| times.iter().any(|time| (from..to).contains(time));
    assert!(
        is_used(2000, Disturbance::START_MS) && is_used(kind.end() + 4000, end),
        "the rate is used before and after"
    );
}

pub(crate) fn record(index: u64) -> InstanceRecord {
    let port = u16::try_from(1000 + index).expect("small");
    InstanceRecord {
        name: format!("i{index:03}").parse().expect("a name"),
        start: 1,
        centre: "north-a".parse().expect("a name"),
        region: "north".parse().expect("a name"),
        front: SocketAddr::from(([127, 0, 0, 1], port)),
        peer: SocketAddr::from(([127, 0, 0, 2], port)),
    }
}

pub(crate) fn digest(index: u64, sequence: u64) -> InstanceDigest {
    InstanceDigest {
        record: record(index),
        sequence,
        state: InstanceState::Ready,
        demands: Vec::new(),
        trials: Vec::new(),
        crashes: Vec::new(),
        loads: Vec::new(),
        regions: Vec::new(),
        suspects: Vec::new(),
        server_limits: Vec::new(),
        leaving_servers: Vec::new(),
        crash_reports: Vec::new(),
        served_reports: Vec::new(),
        sections: BTreeMap::new(),
    }
}

/// Counts the times in the window that ends at `end`, in milliseconds.
fn in_window(times: &[u64], end: u64, window: u64) -> usize {
    let before = |limit: u64| times.partition_point(|time| *time < limit);
    before(end) - before(end.saturating_sub(window))
}

fn steady_rate(_at: u64) -> f64 {
    900.0
}

fn ended_burst(at: u64) -> f64 {
    if (10_000..15_000).contains(&at) {
        2000.0
    } else {
        200.0
    }
}

fn sine_wave(at: u64) -> f64 {
    let phase = f64::from(u32::try_from(at).expect("small")) / 36_000.0 * std::f64::consts::TAU;
    900.0 * (1.0 + 0.55 * phase.sin())
}

fn never(_at: u64, _instance: usize) -> bool {
    false
}

fn a_third_is_killed(at: u64, instance: usize) -> bool {
    at == 14_000 && instance.is_multiple_of(3)
}

#[parameterized(
    steady_demand = { steady_rate, never },
    after_a_burst = { ended_burst, never },
    rise_and_fall = { sine_wave, never },
    killed = { steady_rate, a_third_is_killed },
    killed_in_a_burst = { ended_burst, a_third_is_killed },
)]
fn retries_of_a_failing_service_stay_within_the_fleet_wide_bound(
    demand: fn(u64) -> f64,
    is_restarted: fn(u64, usize) -> bool,
) {
    // All requests need a retry. As the bound is defined, the retries in any window
    // are compared with the requests in it, in the previous window, or in the window
    // that ended half a window earlier.
    const INSTANCES: usize = 79;
    let bound = RetryBound {
        ratio: 0.2,
        window: Duration::from_secs(10),
        allowance: 198.0,
    };
    let window = 10_000;
    let start = Instant::now();
    let service: ServiceName = "s".parse().expect("a name");
    let mut random = StdRng::seed_from_u64(3);
    let mut budgets: Vec<RetryBudget> = (0..INSTANCES).map(|_| RetryBudget::new(bound)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for milli in 0..40_000_u64 {
        for (index, budget) in budgets.iter_mut().enumerate() {
            if is_restarted(milli, index) {
                *budget = RetryBudget::new(bound);
            }
        }
        for _ in 0..4 {
            if !random.random_bool(demand(milli) / 4000.0) {
                continue;
            }
            let budget = &mut budgets[random.random_range(0..INSTANCES)];
            let now = at(start, milli);
            budget.record_request(&service, now);
            requests.push(milli);
            // Both attempts may be rejected immediately.
            for _ in 0..2 {
                if budget.try_acquire(&service, INSTANCES, now) {
                    retries.push(milli + random.random_range(1..100));
                }
            }
        }
    }
    retries.sort_unstable();
    let mut used: f64 = 0.0;
    for end in (0..45_000).step_by(50) {
        let count = |end: u64| in_window(&requests, end, window);
        let basis = count(end)
            .max(count(end.saturating_sub(window)))
            .max(count(end.saturating_sub(window / 2)));
        let float = |count: usize| f64::from(u32::try_from(count).expect("small"));
        let allowed = 0.2 * float(basis) + 198.0;
        let found = float(in_window(&retries, end, window));
        assert!(
            found <= allowed,
            "{found} retries of {allowed} allowed at {end} ms"
        );
        used = used.max(found / allowed);
    }
    println!("at most {used:.3} of the allowed retries");
}
