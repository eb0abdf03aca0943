//! Simulation of the placement decisions of a whole fleet. Each of many instances
//! has the exact number of its own requests in progress, that of the other instances
//! from digests up to a second old, and the load of a server from its responses.
//!
//! The simulated service has the size of the larger sites: many requests arrive in
//! a region with few servers, and some requests are restricted to that region. The
//! network, cold starts and lost digests are not simulated, so the results are
//! better than on the bench. Run with `--nocapture` for the figures.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::entry::admission::{AdmissionDecision, admit};
use tarragonpulley_policy::entry::health::{AttemptTicket, ServerHealth};
use tarragonpulley_policy::entry::names::RegionName;
use tarragonpulley_policy::entry::placement::{
    PlacementRequest, RegionFractions, ServerView, choose_server, mix,
};
use tarragonpulley_policy::entry::region_share::{RegionLoad, RegionShare};
use tarragonpulley_policy::entry::server_evidence::ServerReport;

use crate::placement::server;
use crate::simulation::{KnownObjects, credit_per_request};

const INSTANCES: usize = 79;
const SLOTS: usize = 4;
const MAX_QUEUE: usize = 12;
const TARGET: Duration = Duration::from_millis(600);
const TIMEOUT: Duration = Duration::from_millis(1200);
const WORK_MS: f64 = 880.0;
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_DIGEST: usize = 100;
/// The time before results are counted, in which objects become known.
const WARM_UP: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(25);

/// Servers outside the region with few servers.
const OTHER_SERVERS: usize = 120;

/// The fraction of the unrestricted requests that arrives in the region with few
/// servers.
const SMALL_REGION_FRACTION: f64 = 1.0 / 3.0;

/// Latency added to a response from another region.
const ROUND_TRIP: Duration = Duration::from_millis(70);

/// The number of objects of unrestricted requests.
const OBJECTS: u64 = 1000;

#[derive(Debug, Clone, Copy)]
struct SimulatedLoad {
    /// Requests per second that may run in any region.
    free: f64,
    /// Requests per second that must run in the region with few servers.
    homed: f64,
    /// The number of servers in that region.
    small_region_servers: usize,
    /// The number of objects of the requests that must run there.
    home_objects: u64,
}

#[derive(Debug)]
struct Job {
    object: u64,
    instance: usize,
    ticket: AttemptTicket,
    arrived: Instant,
    left_ms: f64,
    is_away: bool,
}

#[derive(Debug, Default)]
struct SimulatedServer {
    running: Vec<Job>,
    queue: VecDeque<Job>,
    known: KnownObjects,
}

impl SimulatedServer {
    fn report(&self) -> ServerReport {
        let count = |length| u32::try_from(length).expect("small");
        ServerReport {
            running: count(self.running.len()),
            waiting: count(self.queue.len()),
            pace: None,
        }
    }

    fn start_queued(&mut self, random: &mut StdRng) {
        while self.running.len() < SLOTS {
            let Some(mut job) = self.queue.pop_front() else {
                return;
            };
            job.left_ms = self.known.work_ms(job.object, WORK_MS, random);
            self.running.push(job);
        }
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct SimulationResult {
    requests: u32,
    in_target: u32,
    late: u32,
    rejected: u32,
    shed: u32,
    timed_out: u32,
    away: u32,
}

impl SimulationResult {
    fn credit(self) -> f64 {
        credit_per_request(self.in_target, self.late, self.requests)
    }
}

struct Fleet {
    random: StdRng,
    servers: Vec<SimulatedServer>,
    health: Vec<Vec<ServerHealth>>,
    known: BTreeMap<(usize, usize, u64), Instant>,
    counts: Vec<Vec<u8>>,
    load: SimulatedLoad,
    /// By region of arrival: the region with few servers, then the other one.
    shares: [RegionShare; 2],
    result: SimulationResult,
}

impl Fleet {
    fn new(start: Instant, load: SimulatedLoad, seed: u64) -> Self {
        let count = load.small_region_servers + OTHER_SERVERS;
        Self {
            random: StdRng::seed_from_u64(seed),
            servers: (0..count).map(|_| SimulatedServer::default()).collect(),
            health: (0..INSTANCES)
                .map(|_| (0..count).map(|_| ServerHealth::new(start)).collect())
                .collect(),
            known: BTreeMap::new(),
            load,
            shares: <[RegionShare; 2]>::default(),
            counts: vec![vec![0; count]; INSTANCES],
            result: SimulationResult::default(),
        }
    }

    /// Completes jobs that are finished or timed out, and starts queued ones.
    fn serve(&mut self, now: Instant, counted: bool) {
        for index in 0..self.servers.len() {
            let mut ended = Vec::new();
            let server = &mut self.servers[index];
            for mut job in std::mem::take(&mut server.running) {
                job.left_ms -= STEP.as_secs_f64() * 1000.0;
                if job.left_ms <= 0.0 {
                    ended.push((job, true));
                } else if now.duration_since(job.arrived) >= TIMEOUT {
                    ended.push((job, false));
                } else {
                    server.running.push(job);
                }
            }
            for job in std::mem::take(&mut server.queue) {
                if now.duration_since(job.arrived) >= TIMEOUT {
                    ended.push((job, false));
                } else {
                    server.queue.push_back(job);
                }
            }
            server.start_queued(&mut self.random);
            let report = server.report();
            for (job, done) in ended {
                let health = &mut self.health[job.instance][index];
                health.record_ended(job.ticket);
                if done {
                    health.record_report(&report, now);
                    self.known.insert((job.instance, index, job.object), now);
                }
                if !counted {
                    continue;
                }
                if !done {
                    self.result.timed_out += 1;
                    continue;
                }
                let travel = if job.is_away {
                    ROUND_TRIP
                } else {
                    Duration::ZERO
                };
                self.result.away += u32::from(job.is_away);
                if now.duration_since(job.arrived) + travel <= TARGET {
                    self.result.in_target += 1;
                } else {
                    self.result.late += 1;
                }
            }
        }
    }

    /// Updates the digests, each instance at its own step, and delivers them to all
    /// instances twice per digest interval.
    fn exchange_digests(&mut self, step: usize) {
        for instance in 0..INSTANCES {
            if step % STEPS_PER_DIGEST != instance * STEPS_PER_DIGEST / INSTANCES {
                continue;
            }
            for server in 0..self.servers.len() {
                let own = self.health[instance][server].in_progress();
                self.counts[instance][server] = u8::try_from(own).expect("small");
            }
        }
        if !step.is_multiple_of(STEPS_PER_DIGEST / 2) {
            return;
        }
        for server in 0..self.servers.len() {
            let sum: u32 = self
                .counts
                .iter()
                .map(|counts| u32::from(counts[server]))
                .sum();
            for instance in 0..INSTANCES {
                let others = sum - u32::from(self.counts[instance][server]);
                self.health[instance][server].set_peer_load(f64::from(others));
            }
        }
    }

    /// Adjusts the division of traffic among the regions to the demand.
    fn update_shares(&mut self, now: Instant) {
        let slots = |servers: usize| f64::from(u32::try_from(servers * SLOTS).expect("small"));
        let load = |servers, homed, fraction| RegionLoad {
            slots: slots(servers),
            homed,
            free: self.load.free * fraction,
        };
        let loads = BTreeMap::from([
            (
                region(true),
                load(
                    self.load.small_region_servers,
                    self.load.homed,
                    SMALL_REGION_FRACTION,
                ),
            ),
            (
                region(false),
                load(OTHER_SERVERS, 0.0, 1.0 - SMALL_REGION_FRACTION),
            ),
        ]);
        for (share, is_small_region) in self.shares.iter_mut().zip([true, false]) {
            share.update(&region(is_small_region), &loads, false, now);
        }
    }

    fn place(&mut self, homed: bool, object: u64, now: Instant, counted: bool) {
        let instance = self.random.random_range(0..INSTANCES);
        self.result.requests += u32::from(counted);
        // Each object is requested in one region only.
        let in_small_region = homed || mix(object ^ 1).is_multiple_of(3);
        let origin = usize::from(!in_small_region);
        let fractions: RegionFractions = if homed {
            RegionFractions::new()
        } else {
            let fractions = self.shares[origin].fractions().iter();
            fractions
                .map(|(name, fraction)| (u64::from(*name == region(true)), *fraction))
                .collect()
        };
        let mut attempted: Vec<usize> = Vec::new();
        for _attempt in 0..3 {
            let allowed: Vec<usize> = (0..self.load.small_region_servers
                + if homed { 0 } else { OTHER_SERVERS })
                .filter(|index| !attempted.contains(index))
                .collect();
            let views: Vec<ServerView> = allowed
                .iter()
                .map(|&index| {
                    let health = &self.health[instance][index];
                    let (slowness, failure_ratio) = health.averages(now);
                    let known = self.known.get(&(instance, index, object));
                    ServerView {
                        slots: u32::try_from(SLOTS).expect("small"),
                        load: health.load(now),
                        slowness,
                        failure_ratio,
                        known: known
                            .is_some_and(|at| now.duration_since(*at) < Duration::from_secs(30)),
                        suspended: health.is_suspended(TARGET, now),
                        region: u64::from(index < self.load.small_region_servers),
                        ..server(u64::try_from(index).expect("small"))
                    }
                })
                .collect();
            let placement = choose_server(
                &PlacementRequest::new(Some(mix(object)), TARGET, 0),
                &views,
                &fractions,
            )
            .filter(|placement| !placement.saturated)
            .filter(|placement| {
                admit(placement.expected_latency, TIMEOUT, 0.0) == AdmissionDecision::Admit
            });
            let Some(placement) = placement else {
                break;
            };
            let index = allowed[placement.index];
            let server = &mut self.servers[index];
            let health = &mut self.health[instance][index];
            if server.queue.len() >= MAX_QUEUE {
                health.record_rejection(now);
                health.record_report(&server.report(), now);
                self.result.shed += u32::from(counted);
                attempted.push(index);
                continue;
            }
            let ticket = health.record_sent(now);
            server.queue.push_back(Job {
                object,
                instance,
                ticket,
                arrived: now,
                left_ms: 0.0,
                is_away: in_small_region != (index < self.load.small_region_servers),
            });
            return;
        }
        self.result.rejected += u32::from(counted);
    }
}

fn simulate(load: SimulatedLoad, divided: bool, seed: u64) -> SimulationResult {
    let start = Instant::now();
    let mut fleet = Fleet::new(start, load, seed);
    let steps = usize::try_from(DURATION.as_millis() / STEP.as_millis()).expect("small");
    for step in 0..steps {
        let passed = STEP * u32::try_from(step).expect("small");
        let now = start + passed;
        let counted = passed >= WARM_UP;
        fleet.serve(now, counted);
        fleet.exchange_digests(step);
        if divided && step % (STEPS_PER_DIGEST / 2) == 0 {
            fleet.update_shares(now);
        }
        for (rate, homed) in [(load.free, false), (load.homed, true)] {
            let mean = rate * STEP.as_secs_f64();
            // The number of arrivals is binomial, which approximates a Poisson
            // distribution.
            let arrivals = (0..64)
                .filter(|_| fleet.random.random_bool(mean / 64.0))
                .count();
            for _ in 0..arrivals {
                let object = if homed {
                    OBJECTS + fleet.random.random_range(0..load.home_objects)
                } else {
                    fleet.random.random_range(0..OBJECTS)
                };
                fleet.place(homed, object, now, counted);
            }
        }
    }
    fleet.result
}

fn region(is_small_region: bool) -> RegionName {
    let name = if is_small_region { "north" } else { "south" };
    name.parse().expect("valid")
}

#[test]
fn requests_with_homes_are_served_in_a_region_with_few_servers() {
    let load = SimulatedLoad {
        free: 700.0,
        homed: 90.0,
        small_region_servers: 14,
        home_objects: 214,
    };
    for seed in [1, 2, 3] {
        for divided in [false, true] {
            let result = simulate(load, divided, seed);
            let fraction = |count: u32| f64::from(count) / f64::from(result.requests);
            let (failed, away) = (
                fraction(result.rejected + result.timed_out),
                fraction(result.away),
            );
            println!(
                "divided {divided}, seed {seed}: credit {:.3}, failed {failed:.4}, away {away:.3}, {result:?}",
                result.credit()
            );
            assert!(!divided || failed < 0.01, "seed {seed}: {failed}");
        }
    }
}

#[test]
fn most_requests_run_where_they_arrive() {
    // A third of the requests arrive in a region with a tenth of the servers, so a
    // quarter of all requests have to run in the other region.
    let load = SimulatedLoad {
        free: 700.0,
        homed: 0.0,
        small_region_servers: 14,
        home_objects: 1,
    };
    let (even, divided) = (simulate(load, false, 4), simulate(load, true, 4));
    println!("{even:?}, {divided:?}");
    assert!(divided.away * 10 < divided.requests * 3);
    assert!(divided.credit() >= even.credit() - 0.005);
}
