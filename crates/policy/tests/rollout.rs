//! Simulated rollouts: state machine, evidence and shares of twelve instances,
//! each of which assesses its own requests and shares only detected faults.
#![allow(
    clippy::cast_precision_loss,
    reason = "counts of the simulation are small"
)]

mod evidence_cases;

use std::time::{Duration, Instant, SystemTime};

use evidence_cases::{BAD_CASES, GOOD, GOOD_CASES, InstanceEvidence, RequestStream, VersionCase};
use tarragonpulley_policy::movement::{
    MoveEvidence, MoveStateMachine, StepDecision, required_margin,
};
use tarragonpulley_policy::snapshot::{MoveKind, MoveRecord};
use tarragonpulley_policy::units::TrafficShare;
use yare::parameterized;

const INSTANCES: u64 = 12;
const TICK: Duration = Duration::from_millis(200);
/// Time until a fault or a record is known to the other instances: about one
/// heartbeat interval.
const PROPAGATION_TICKS: usize = 3;
const DEADLINE: Duration = Duration::from_secs(30);

/// The outcome of a rollout.
#[derive(Debug)]
struct RolloutResult {
    state: String,
    reason: String,
    duration: Duration,
    requests: u32,
    /// Requests that were exposed to the fault of the version.
    exposed: u32,
    /// The largest share that the version had.
    max_share: TrafficShare,
}

struct SimulatedInstance {
    stream: RequestStream,
    evidence: InstanceEvidence,
    /// Requests on the version before the current epoch began.
    requests_before_epoch: u64,
    /// Ticks since this instance learned of a fault.
    ticks_since_fault: Option<usize>,
}

struct SimulatedFleet {
    state_machine: MoveStateMachine,
    instances: Vec<SimulatedInstance>,
    record: MoveRecord,
    /// The latest records, oldest first. The instances know only the oldest one.
    known_records: Vec<MoveRecord>,
    requests: u32,
}

impl SimulatedFleet {
    fn new(case: &VersionCase, seed: u64, rate: f64) -> Self {
        let state_machine = MoveStateMachine::built_in().expect("valid");
        let start = Instant::now();
        let instances = (0..INSTANCES).map(|index| SimulatedInstance {
            stream: RequestStream::new(case, seed * INSTANCES + index, rate, start),
            evidence: InstanceEvidence::new(),
            requests_before_epoch: 0,
            ticks_since_fault: None,
        });
        let instances: Vec<_> = instances.collect();
        let evidence = &instances[0].evidence;
        let [from, to] = evidence.versions.clone();
        let service = evidence.service.clone();
        let record = MoveRecord {
            kind: MoveKind::Rollout { service, from, to },
            state: state_machine.initial().to_string(),
            share: TrafficShare::NONE,
            cap: TrafficShare::from_percent(5),
            deadline: SystemTime::UNIX_EPOCH + DEADLINE,
            step_started: SystemTime::UNIX_EPOCH,
            epoch: 1,
            reason: String::new(),
        };
        let known_records = vec![record.clone(); PROPAGATION_TICKS];
        Self {
            state_machine,
            instances,
            record,
            known_records,
            requests: 0,
        }
    }

    /// Runs the requests up to `second`, then evaluates the move on one instance
    /// after the other until one of them writes a step.
    fn tick(&mut self, second: f64, now: SystemTime) {
        let known_share = f64::from(self.known_records[0].share.ppm()) / 1e6;
        for instance in &mut self.instances {
            while instance.stream.second < second {
                let share = if instance.ticks_since_fault.is_some() {
                    0.0
                } else {
                    known_share
                };
                let request = instance
                    .stream
                    .next(|second| if second < 0.0 { 0.0 } else { share });
                self.requests += u32::from(instance.stream.second >= 0.0);
                if instance.evidence.record(&request) {
                    instance.ticks_since_fault = Some(0);
                }
            }
        }
        self.propagate_fault();
        if second >= 0.0 {
            self.drive(now);
        }
        self.known_records.remove(0);
        self.known_records.push(self.record.clone());
    }

    fn propagate_fault(&mut self) {
        let fault = self
            .instances
            .iter()
            .find(|i| i.ticks_since_fault.is_some_and(|n| n >= PROPAGATION_TICKS));
        let reason = fault.and_then(|i| {
            i.evidence
                .store
                .fault(&i.evidence.service, &i.evidence.versions[1])
        });
        let reason = reason.map(str::to_owned);
        for instance in &mut self.instances {
            if let Some(reason) = &reason {
                let (service, version) = (
                    instance.evidence.service.clone(),
                    instance.evidence.versions[1].clone(),
                );
                instance
                    .evidence
                    .store
                    .record_fault(&service, &version, reason);
                instance.ticks_since_fault.get_or_insert(0);
            }
            instance.ticks_since_fault = instance.ticks_since_fault.map(|ticks| ticks + 1);
        }
    }

    fn drive(&mut self, now: SystemTime) {
        for instance in &self.instances {
            let evidence = &instance.evidence;
            let requests = evidence.store.requests(&evidence.service);
            let move_evidence = MoveEvidence {
                assessment: evidence
                    .store
                    .assess(&evidence.service, required_margin(&self.record)),
                requests: requests - instance.requests_before_epoch,
                cancel_reason: None,
            };
            let outcome = self
                .state_machine
                .next_step(&self.record, &move_evidence, now);
            if let StepDecision::Write(next) = outcome {
                self.record = *next;
                break;
            }
        }
        if self
            .known_records
            .last()
            .is_some_and(|known| known.epoch != self.record.epoch)
        {
            for instance in &mut self.instances {
                instance.requests_before_epoch =
                    instance.evidence.store.requests(&instance.evidence.service);
            }
        }
    }
}

fn run(case: &VersionCase, seed: u64, rate: f64) -> RolloutResult {
    let mut fleet = SimulatedFleet::new(case, seed, rate);
    let mut max_share = TrafficShare::NONE;
    fleet.tick(0.0, SystemTime::UNIX_EPOCH);
    for tick in 1..=300 {
        let elapsed = TICK * tick;
        fleet.tick(elapsed.as_secs_f64(), SystemTime::UNIX_EPOCH + elapsed);
        max_share = max_share.max(fleet.record.share);
        if matches!(fleet.record.state.as_str(), "completed" | "taken_back") {
            let exposed = fleet.instances.iter().map(|i| i.stream.exposed).sum();
            let (state, reason) = (fleet.record.state, fleet.record.reason);
            let (duration, requests) = (elapsed, fleet.requests);
            return RolloutResult {
                state,
                reason,
                duration,
                requests,
                exposed,
                max_share,
            };
        }
    }
    panic!("the rollout did not end: {:?}", fleet.record);
}

// Guards against good rollouts that are not completed before their deadline,
// with many requests and with few on each instance.
#[parameterized(
    equal = { 0, 150.0 },
    cold_caches = { 1, 150.0 },
    both_fail = { 3, 150.0 },
    lost_server = { 4, 150.0 },
    few_requests = { 0, 16.0 },
)]
fn a_good_version_is_completed(case: usize, rate: f64) {
    for seed in 0..3 {
        let result = run(&GOOD_CASES[case], seed, rate);
        assert_eq!(result.state, "completed", "seed {seed}: {result:?}");
        assert!(result.duration <= DEADLINE, "seed {seed}: {result:?}");
    }
}

// Guards against a bad version that is completed, or that gets more than a
// small share: the cap for an obvious fault, 25 % for one that begins late or
// affects only a tenth of the requests.
#[parameterized(
    all_fail = { 0, 5 }, a_third_fails = { 1, 5 }, three_times_as_slow = { 6, 5 },
    later = { 3, 25 }, under_load = { 4, 25 }, one_route = { 5, 25 },
)]
fn a_bad_version_is_taken_back(case: usize, percent: u32) {
    for seed in 0..3 {
        let result = run(&BAD_CASES[case], seed, 150.0);
        assert_eq!(result.state, "taken_back", "seed {seed}: {result:?}");
        assert!(result.duration <= DEADLINE, "seed {seed}: {result:?}");
        let max_share_allowed = TrafficShare::from_percent(percent);
        assert!(
            result.max_share <= max_share_allowed,
            "seed {seed}: {result:?}"
        );
    }
}

// Prints the outcomes of rollouts by case and rate. Run with
// `cargo test --release -p tarragonpulley-policy --test rollout -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement, not a check"]
fn measure_rollouts() {
    let seeds = 50;
    let cases = GOOD_CASES.iter().chain(&BAD_CASES);
    for (case, rate) in cases.flat_map(|case| [(case, 150.0), (case, 16.0)]) {
        let results: Vec<_> = (0..seeds).map(|seed| run(case, seed, rate)).collect();
        let completed = results.iter().filter(|r| r.state == "completed").count();
        let exposed: u32 = results.iter().map(|r| r.exposed).sum();
        let requests: u32 = results.iter().map(|r| r.requests).sum();
        let share = 100.0 * f64::from(exposed) / f64::from(requests);
        let max_share = results
            .iter()
            .map(|r| r.max_share)
            .max()
            .unwrap_or(TrafficShare::NONE);
        let kind = if case.failures > GOOD.failures || case.latency_factor > 1.0 {
            "bad "
        } else {
            "good"
        };
        let other = results
            .iter()
            .find(|r| (r.state == "completed") != (kind == "good"));
        let other = other.map_or_else(String::new, |r| format!("as in: {}", r.reason));
        println!(
            "{kind} {:20} {rate:3}/s completed {completed}/{seeds} exposed {share:.2} % greatest {max_share} {other}",
            case.name
        );
    }
}
