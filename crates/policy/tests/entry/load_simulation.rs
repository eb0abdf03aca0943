//! Simulation of placement and admission in simulated time: arrivals, and servers
//! with slots, queues and known objects. Compares placement strategies on the same
//! seeds.
//!
//! A server is a queue with slots; work on a recently handled object takes three
//! tenths of the time. Instances see the true load with a delay. The network, cold
//! starts and disagreement between instances are not simulated, so the results are
//! better than on the bench. Run with `--nocapture` for the table.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::entry::admission::{AdmissionDecision, admit};
use tarragonpulley_policy::entry::placement::{
    PlacementRequest, RegionFractions, ServerView, choose_server, mix, rendezvous_order,
};

use crate::placement::server;
use crate::simulation::{KnownObjects, credit_per_request};

/// One service of the smaller site: 16 servers, 72 objects.
const SERVERS: u64 = 16;
const SLOTS: usize = 3;
const OBJECTS: u64 = 72;
const TARGET: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(1);
const WORK_MS: f64 = 640.0;
const STEP_MS: u64 = 5;
/// The age, in steps, of the load that instances see.
const LOAD_LAG_STEPS: usize = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// The server with the least load, without object affinity.
    LeastLoad,
    /// Always the owner.
    OwnerOnly,
    /// The server that `choose_server` returns, without admission control.
    ChooseServer,
    /// The same with rejection of requests that would be late.
    WithAdmission,
}

#[derive(Debug)]
struct Job {
    object: u64,
    arrived: u64,
    left_ms: f64,
}

#[derive(Debug, Default)]
struct SimulatedServer {
    running: Vec<Job>,
    queue: VecDeque<Job>,
    known: KnownObjects,
    lagged: VecDeque<usize>,
}

impl SimulatedServer {
    fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Advances by one step and returns the latencies of the completed jobs.
    fn step(&mut self, now: u64, random: &mut StdRng) -> Vec<u64> {
        let mut finished = Vec::new();
        let mut still = Vec::new();
        for mut job in self.running.drain(..) {
            job.left_ms -= f64::from(u32::try_from(STEP_MS).expect("small"));
            if job.left_ms <= 0.0 {
                finished.push(now - job.arrived);
            } else {
                still.push(job);
            }
        }
        self.running = still;
        while self.running.len() < SLOTS {
            let Some(mut job) = self.queue.pop_front() else {
                break;
            };
            if now - job.arrived > u64::try_from(TIMEOUT.as_millis()).expect("small") {
                continue;
            }
            job.left_ms = self.known.work_ms(job.object, WORK_MS, random);
            self.running.push(job);
        }
        self.lagged.push_back(self.load());
        if self.lagged.len() > LOAD_LAG_STEPS {
            self.lagged.pop_front();
        }
        finished
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct SimulationResult {
    requests: u32,
    in_target: u32,
    late: u32,
    rejected: u32,
}

impl SimulationResult {
    fn credit(self) -> f64 {
        credit_per_request(self.in_target, self.late, self.requests)
    }
}

fn simulate(strategy: Strategy, per_second: f64, seed: u64) -> SimulationResult {
    let mut random = StdRng::seed_from_u64(seed);
    let mut servers: Vec<SimulatedServer> =
        (0..SERVERS).map(|_| SimulatedServer::default()).collect();
    let mut sent: BTreeMap<(usize, u64), u64> = BTreeMap::new();
    let mut result = SimulationResult::default();
    for now in (0..40_000).step_by(usize::try_from(STEP_MS).expect("small")) {
        for server in &mut servers {
            for latency in server.step(now, &mut random) {
                if latency <= 500 {
                    result.in_target += 1;
                } else if latency <= 1000 {
                    result.late += 1;
                }
            }
        }
        if !random.random_bool(per_second * 0.001 * 5.0) {
            continue;
        }
        result.requests += 1;
        let object = random.random_range(0..OBJECTS);
        let views: Vec<ServerView> = servers
            .iter()
            .enumerate()
            .map(|(index, simulated)| ServerView {
                load: f64::from(
                    u32::try_from(simulated.lagged.front().copied().unwrap_or(0)).expect("small"),
                ),
                known: sent.contains_key(&(index, object)),
                ..server(u64::try_from(index).expect("small"))
            })
            .collect();
        let chosen = match strategy {
            Strategy::LeastLoad => views
                .iter()
                .enumerate()
                .min_by(|a, b| a.1.load.total_cmp(&b.1.load))
                .map(|(index, _)| index),
            Strategy::OwnerOnly => rendezvous_order(mix(object), &views, 1).first().copied(),
            Strategy::ChooseServer => choose_server(
                &PlacementRequest::new(Some(mix(object)), TARGET, 0),
                &views,
                &RegionFractions::new(),
            )
            .map(|placement| placement.index),
            Strategy::WithAdmission => choose_server(
                &PlacementRequest::new(Some(mix(object)), TARGET, 0),
                &views,
                &RegionFractions::new(),
            )
            .filter(|placement| {
                !placement.saturated
                    && admit(placement.expected_latency, TIMEOUT, 0.0) == AdmissionDecision::Admit
            })
            .map(|placement| placement.index),
        };
        let Some(index) = chosen else {
            result.rejected += 1;
            continue;
        };
        sent.insert((index, object), now);
        servers[index].queue.push_back(Job {
            object,
            arrived: now,
            left_ms: 0.0,
        });
    }
    result
}

fn credit(strategy: Strategy, per_second: f64) -> f64 {
    let runs = [1, 2, 3].map(|seed| simulate(strategy, per_second, seed));
    for run in runs {
        println!(
            "{strategy:?} at {per_second}/s: {run:?} credit {:.3}",
            run.credit()
        );
    }
    runs.iter().map(|run| run.credit()).sum::<f64>() / 3.0
}

#[test]
fn owners_beat_least_load_where_known_objects_are_cheap() {
    for per_second in [60.0, 100.0] {
        let (owner, least) = (
            credit(Strategy::ChooseServer, per_second),
            credit(Strategy::LeastLoad, per_second),
        );
        assert!(
            owner > least,
            "{owner} against {least} at {per_second} requests per second"
        );
    }
}

#[test]
fn leaving_a_busy_owner_beats_staying_with_it() {
    for per_second in [100.0, 140.0] {
        let (choice, owner) = (
            credit(Strategy::ChooseServer, per_second),
            credit(Strategy::OwnerOnly, per_second),
        );
        assert!(
            choice > owner,
            "{choice} against {owner} at {per_second} requests per second"
        );
    }
}

#[test]
fn rejecting_early_pays_when_the_load_exceeds_the_servers() {
    // 16 servers with 3 slots can run 250 requests per second on known objects.
    let (admission, choice) = (
        credit(Strategy::WithAdmission, 190.0),
        credit(Strategy::ChooseServer, 190.0),
    );
    assert!(admission >= choice - 0.02, "{admission} against {choice}");
}
