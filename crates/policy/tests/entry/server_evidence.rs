//! Evidence of servers' load and pace: reports, their age, rejections by full servers, and
//! a simulated load on uneven servers. Run with `--nocapture` for the figures.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::entry::health::{AttemptTicket, ServerHealth};
use tarragonpulley_policy::entry::placement::{
    PlacementRequest, RegionFractions, ServerView, WorkModel, choose_server, expected_latency, mix,
};
use tarragonpulley_policy::entry::server_evidence::{
    CAPACITY_TTL, MAX_FULL_PAUSE, ServerEvidence, ServerReport,
};
use yare::parameterized;

use crate::at;
use crate::placement::server;
use crate::simulation::{KnownObjects, credit_per_request};

const SLOTS: u32 = 3;
const WORK: Duration = Duration::from_millis(240);
const TARGET: Duration = Duration::from_millis(400);
const EXPECTED: Duration = Duration::from_millis(300);

fn report(text: &str) -> ServerReport {
    text.parse().expect("a valid report")
}

/// Guards against reports that cannot be true being used, and against usable ones being
/// lost because of a figure that is not needed.
#[parameterized(
    old_form = { "3,2,8", Some((3, 2, None)) },
    with_pace = { "3,2,8,250", Some((3, 2, Some("250"))) },
    spaces = { " 3 , 2 , 8 , 100 ", Some((3, 2, Some("100"))) },
    idle = { "0,0,8,100", Some((0, 0, Some("100"))) },
    slots_missing = { "3,2", Some((3, 2, None)) },
    slots_not_a_number = { "3,2,many,80", Some((3, 2, Some("80"))) },
    further_figures = { "3,2,8,100,7,x", Some((3, 2, Some("100"))) },
    fractional_pace = { "3,2,8,99.6", Some((3, 2, Some("100"))) },
    pace_empty = { "3,2,8,", Some((3, 2, None)) },
    pace_not_a_number = { "3,2,8,NaN", Some((3, 2, None)) },
    pace_infinite = { "3,2,8,inf", Some((3, 2, None)) },
    pace_zero = { "3,2,8,0", Some((3, 2, None)) },
    pace_negative = { "3,2,8,-100", Some((3, 2, None)) },
    pace_huge = { "3,2,8,1e300", Some((3, 2, Some("2000"))) },
    pace_tiny = { "3,2,8,0.001", Some((3, 2, Some("10"))) },
    empty = { "", None },
    waiting_missing = { "3", None },
    waiting_empty = { "3,,8,100", None },
    running_negative = { "-3,2,8,100", None },
    running_not_a_number = { "NaN,2,8,100", None },
    running_fractional = { "3.5,2,8,100", None },
    waiting_huge = { "3,4000000000,8,100", None },
    waiting_beyond_integers = { "3,99999999999999999999,8,100", None },
    text = { "busy", None },
)]
fn reports_are_read_or_ignored(text: &str, expected: Option<(u32, u32, Option<&str>)>) {
    let read = text.parse::<ServerReport>().ok().map(|report| {
        let pace = report.pace.map(|pace| pace.to_string());
        (report.running, report.waiting, pace)
    });
    let expected =
        expected.map(|(running, waiting, pace)| (running, waiting, pace.map(str::to_owned)));
    assert_eq!(read, expected, "{text:?}");
}

/// Guards against a change for services whose servers do not report a pace: the values
/// are those of the formulas that held before.
#[test]
fn without_a_pace_servers_are_judged_as_before() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    let _tickets = [health.record_sent(start), health.record_sent(start)];
    health.set_peer_load(3.0);
    health.record_report(&report("3,9,3"), start);
    assert!(!health.record_full(&report("3,9,3"), SLOTS, WORK, start));
    health.record_rejection(start);
    health.record_response(EXPECTED * 3, EXPECTED, false, start);
    for milli in [0_u64, 100, 400, 1200, 2400, 2600, 9000] {
        let now = at(start, milli);
        let age = now.duration_since(start).as_secs_f64();
        let reported = 10.0 * (1.0 - age / 2.5).max(0.0);
        let decay = 0.5_f64.powf(age / 5.0);
        let (slowness, failure_ratio) = health.averages(now);
        assert!((health.load(now) - (2.0 + reported.max(3.0))).abs() < 1e-9);
        assert!((slowness - (1.0 + 0.5 * decay)).abs() < 1e-9, "{slowness}");
        assert!((failure_ratio - 0.15 * 0.75 * decay).abs() < 1e-9);
        assert!(!health.is_full(now));
    }
}

/// Guards against an old report that outweighs what the other instances tell, and against
/// one that only ever raises the estimate.
#[parameterized(
    fuller = { "3,7,3,100", 2.0, [10.0, 6.0, 2.0] },
    emptier = { "5,0,8,100", 7.0, [5.0, 6.0, 7.0] },
    emptier_than_can_be = { "0,0,3,100", 8.0, [4.0, 6.0, 8.0] },
)]
fn the_reported_load_counts_by_its_age(text: &str, counted: f64, expected: [f64; 3]) {
    let start = Instant::now();
    let mut evidence = ServerEvidence::default();
    evidence.record_report(&report(text), 0.0, start);
    for (milli, expected) in [0, 500, 10_000].into_iter().zip(expected) {
        let others = evidence.others(counted, at(start, milli));
        assert!(
            (others - expected).abs() < 0.01,
            "after {milli} ms: {others}"
        );
    }
}

/// Guards against a machine that is slow for some tenths of a second being avoided for
/// seconds.
#[test]
fn a_short_slowdown_is_forgotten_and_a_lasting_one_is_not() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    health.record_report(&report("1,0,3,250"), start);
    health.record_response(EXPECTED.mul_f64(2.2), EXPECTED, false, start);
    assert!(health.averages(start).0 > 1.7);
    let later = health.averages(at(start, 1500)).0;
    assert!(later < 1.15, "{later}");
    // The same latencies without a report of a slow machine.
    let mut health = ServerHealth::new(start);
    for step in 0..10 {
        let now = at(start, step * 300);
        health.record_report(&report("1,0,3,100"), now);
        health.record_response(EXPECTED.mul_f64(2.5), EXPECTED, false, now);
    }
    let lasting = health.averages(at(start, 4200)).0;
    assert!(lasting > 2.0, "{lasting}");
}

/// Guards against lasting harm by false figures: a server is judged by its latencies.
#[parameterized(
    always_slow_but_quick = { "1,0,3,2000", 1.0, (0.8, 1.2) },
    always_quick_but_slow = { "1,0,3,10", 3.0, (2.5, 3.3) },
    usual_but_slow = { "1,0,3,100", 3.0, (2.5, 3.3) },
)]
fn false_paces_do_not_outweigh_latencies(text: &str, observed: f64, range: (f64, f64)) {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    for step in 0..40 {
        let now = at(start, step * 200);
        health.record_report(&report(text), now);
        health.record_response(EXPECTED.mul_f64(observed), EXPECTED, false, now);
    }
    let slowness = health.averages(at(start, 8000)).0;
    assert!((range.0..range.1).contains(&slowness), "{slowness}");
}

#[test]
fn a_server_that_stops_reporting_is_judged_by_the_counts_of_the_others() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    health.record_report(&report("3,9,3,400"), start);
    health.set_peer_load(2.0);
    let later = at(start, 8000);
    assert!((health.load(later) - 2.0).abs() < 0.01);
    assert!((health.averages(later).0 - 1.0).abs() < 0.01);
}

/// Guards against requests that go on into a queue that was just found full.
#[test]
fn a_full_server_gets_nothing_until_a_part_of_its_queue_is_worked_off() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    let full = report("3,9,3,100");
    let reject = |health: &mut ServerHealth, now| {
        let ticket = health.record_sent(now);
        health.record_report(&full, now);
        assert!(health.record_full(&full, SLOTS, WORK, now));
        health.record_ended(ticket);
    };
    reject(&mut health, start);
    assert!(health.is_full(at(start, 200)), "3 of 9 take 240 ms");
    assert!(!health.is_full(at(start, 300)));
    let again = at(start, 300);
    reject(&mut health, again);
    assert!(health.is_full(at(again, 400)), "twice as long");
    assert!(!health.is_full(at(again, 500)));
    let ticket = health.record_sent(at(again, 500));
    assert!(health.is_full(at(again, 600)), "one request at a time");
    health.record_response(EXPECTED, EXPECTED, false, at(again, 700));
    health.record_ended(ticket);
    let _next = health.record_sent(at(again, 700));
    assert!(!health.is_full(at(again, 1000)), "accepted");
    let (_, failure_ratio) = health.averages(at(again, 700));
    assert!(failure_ratio < 0.01, "a full queue is not a failure");
}

/// Guards against a server that is never tried again, because of a rejection that lies or
/// because it goes on rejecting.
#[test]
fn a_server_that_goes_on_rejecting_is_still_tried() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    let mut now = start;
    for _ in 0..20 {
        health.record_report(&report("3,1,3,100"), now);
        health.record_full(&report("3,1,3,100"), SLOTS, WORK, now);
        now += MAX_FULL_PAUSE;
        assert!(!health.is_full(now));
    }
    // The others have more requests there than it claimed to hold.
    health.set_peer_load(6.0);
    assert!(health.is_full(now + CAPACITY_TTL / 2));
    assert!(!health.is_full(now + CAPACITY_TTL));
}

#[parameterized(
    free_slots = { "1,0,3,100" },
    nothing_waits = { "3,0,3,100" },
)]
fn a_rejection_without_a_full_queue_is_a_failure_of_the_server(text: &str) {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    health.record_report(&report(text), start);
    assert!(!health.record_full(&report(text), SLOTS, WORK, start));
    assert!(!health.is_full(start));
}

const INSTANCES: usize = 24;
const SERVERS: usize = 40;
const MAX_QUEUE: usize = 9;
const MEAN_WORK_MS: f64 = 440.0;
const OBJECTS: f64 = 600.0;
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_DIGEST: usize = 100;
/// Between instances and servers, one way.
const DELAY: Duration = Duration::from_millis(20);
const WARM_UP: Duration = Duration::from_secs(4);
const DURATION: Duration = Duration::from_secs(16);
/// How long a machine keeps its pace, the fraction that is slow, and by how much.
const PACE_PERIOD: Duration = Duration::from_millis(600);
const SLOW_FRACTION: f64 = 0.15;
const SLOW_PACE: f64 = 2.5;

/// What the simulated servers report.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reports {
    WithoutPace,
    WithPace,
    /// Figures of two seconds ago.
    Stale,
    /// A tenth of the servers report that they are idle and quick, whatever they do.
    Lying,
    /// Half of the responses have no report.
    Missing,
}

#[derive(Debug)]
struct Job {
    object: u64,
    instance: usize,
    server: usize,
    ticket: AttemptTicket,
    received: Instant,
    sent: Instant,
    expected: Duration,
    left_ms: f64,
    attempts: u32,
}

#[derive(Debug)]
enum Message {
    Request(Job),
    Response(Job, Option<ServerReport>),
    Rejection(Job, Option<ServerReport>),
}

#[derive(Debug, Default)]
struct UnevenServer {
    running: Vec<Job>,
    queue: VecDeque<Job>,
    known: KnownObjects,
    slow_until: Option<(f64, Instant)>,
    past_reports: VecDeque<String>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    requests: u32,
    in_target: u32,
    late: u32,
    saturated: u32,
    rejections: u32,
    failed: u32,
}

impl Outcome {
    fn credit(self) -> f64 {
        credit_per_request(self.in_target, self.late, self.requests)
    }
}

struct UnevenFleet {
    random: StdRng,
    reports: Reports,
    servers: Vec<UnevenServer>,
    health: Vec<Vec<ServerHealth>>,
    known: BTreeMap<(usize, usize, u64), Instant>,
    counts: Vec<Vec<u32>>,
    in_transit: VecDeque<(Instant, Message)>,
    outcome: Outcome,
}

impl UnevenFleet {
    fn new(reports: Reports, start: Instant, seed: u64) -> Self {
        let health = || (0..SERVERS).map(|_| ServerHealth::new(start)).collect();
        Self {
            random: StdRng::seed_from_u64(seed),
            reports,
            servers: (0..SERVERS).map(|_| UnevenServer::default()).collect(),
            health: (0..INSTANCES).map(|_| health()).collect(),
            known: BTreeMap::new(),
            counts: vec![vec![0; SERVERS]; INSTANCES],
            in_transit: VecDeque::new(),
            outcome: Outcome::default(),
        }
    }

    fn pace(&mut self, index: usize, now: Instant) -> f64 {
        match self.servers[index].slow_until {
            Some((pace, until)) if now < until => pace,
            previous => {
                let first = previous.is_none();
                let is_slow = self.random.random_bool(SLOW_FRACTION);
                let pace = if is_slow { SLOW_PACE } else { 1.0 };
                let phase = if first {
                    self.random.random_range(0.1..1.0)
                } else {
                    1.0
                };
                let until = now + PACE_PERIOD.mul_f64(phase);
                self.servers[index].slow_until = Some((pace, until));
                pace
            }
        }
    }

    fn report(&mut self, index: usize) -> Option<ServerReport> {
        let server = &self.servers[index];
        let pace = server.slow_until.map_or(1.0, |(pace, _)| pace) * 100.0;
        let current = format!(
            "{},{},{SLOTS},{pace}",
            server.running.len(),
            server.queue.len()
        );
        let text = match self.reports {
            Reports::WithoutPace => {
                format!("{},{},{SLOTS}", server.running.len(), server.queue.len())
            }
            Reports::Stale => server.past_reports.front().cloned().unwrap_or(current),
            Reports::Lying if index.is_multiple_of(10) => format!("0,0,{SLOTS},20"),
            Reports::Missing if self.random.random_bool(0.5) => return None,
            _ => current,
        };
        Some(report(&text))
    }

    fn send(&mut self, message: Message, now: Instant) {
        self.in_transit.push_back((now + DELAY, message));
    }

    fn serve(&mut self, now: Instant) {
        for index in 0..SERVERS {
            let pace = self.pace(index, now);
            let server = &mut self.servers[index];
            let mut done = Vec::new();
            for mut job in std::mem::take(&mut server.running) {
                job.left_ms -= STEP.as_secs_f64() * 1000.0 / pace;
                if job.left_ms <= 0.0 {
                    done.push(job);
                } else {
                    server.running.push(job);
                }
            }
            while server.running.len() < usize::try_from(SLOTS).expect("small") {
                let Some(mut job) = server.queue.pop_front() else {
                    break;
                };
                job.left_ms = server
                    .known
                    .work_ms(job.object, MEAN_WORK_MS, &mut self.random);
                server.running.push(job);
            }
            let current = format!(
                "{},{},{SLOTS},{}",
                server.running.len(),
                server.queue.len(),
                pace * 100.0
            );
            server.past_reports.push_back(current);
            if server.past_reports.len() > 200 {
                server.past_reports.pop_front();
            }
            for job in done {
                let report = self.report(index);
                self.send(Message::Response(job, report), now);
            }
        }
    }

    fn deliver(&mut self, now: Instant, counted: bool) {
        while self.in_transit.front().is_some_and(|(at, _)| *at <= now) {
            let (_, message) = self.in_transit.pop_front().expect("not empty");
            match message {
                Message::Request(job) => {
                    let server = &mut self.servers[job.server];
                    if server.queue.len() < MAX_QUEUE {
                        server.queue.push_back(job);
                    } else {
                        let report = self.report(job.server);
                        self.send(Message::Rejection(job, report), now);
                    }
                }
                Message::Response(job, report) => {
                    let health = &mut self.health[job.instance][job.server];
                    if let Some(report) = report {
                        health.record_report(&report, now);
                    }
                    health.record_response(now - job.sent, job.expected, false, now);
                    health.record_ended(job.ticket);
                    self.known
                        .insert((job.instance, job.server, job.object), now);
                    if counted && now - job.received <= TARGET {
                        self.outcome.in_target += 1;
                    } else if counted {
                        self.outcome.late += 1;
                    }
                }
                Message::Rejection(job, report) => {
                    let health = &mut self.health[job.instance][job.server];
                    if let Some(report) = &report {
                        health.record_report(report, now);
                    }
                    let is_full = |report: &ServerReport| {
                        health.record_full(report, SLOTS, WorkModel::for_target(TARGET).queued, now)
                    };
                    if !report.as_ref().is_some_and(is_full) {
                        health.record_rejection(now);
                    }
                    health.record_ended(job.ticket);
                    self.outcome.rejections += u32::from(counted);
                    if job.attempts < 3 {
                        self.place(job.instance, job.object, job.received, job.attempts, now);
                    } else {
                        self.outcome.failed += u32::from(counted);
                    }
                }
            }
        }
    }

    fn exchange_digests(&mut self, step: usize) {
        for instance in 0..INSTANCES {
            if step % STEPS_PER_DIGEST == instance * STEPS_PER_DIGEST / INSTANCES {
                let count =
                    |health: &ServerHealth| u32::try_from(health.in_progress()).expect("small");
                self.counts[instance] = self.health[instance].iter().map(count).collect();
            }
        }
        if step.is_multiple_of(STEPS_PER_DIGEST / 2) {
            for server in 0..SERVERS {
                let sum: u32 = self.counts.iter().map(|counts| counts[server]).sum();
                for instance in 0..INSTANCES {
                    let others = sum - self.counts[instance][server];
                    self.health[instance][server].set_peer_load(f64::from(others));
                }
            }
        }
    }

    fn place(
        &mut self,
        instance: usize,
        object: u64,
        received: Instant,
        attempts: u32,
        now: Instant,
    ) {
        let view = |index: usize| {
            let health = &self.health[instance][index];
            let (slowness, failure_ratio) = health.averages(now);
            let known = self.known.get(&(instance, index, object));
            ServerView {
                slots: SLOTS,
                load: health.load(now),
                slowness,
                failure_ratio,
                full: health.is_full(now),
                known: known.is_some_and(|at| now - *at < Duration::from_secs(30)),
                suspended: health.is_suspended(TARGET, now),
                ..server(u64::try_from(index).expect("small"))
            }
        };
        let views: Vec<ServerView> = (0..SERVERS).map(view).collect();
        let request = PlacementRequest::new(Some(mix(object)), TARGET, 0);
        let placement = choose_server(&request, &views, &RegionFractions::new());
        let Some(placement) = placement.filter(|placement| !placement.saturated) else {
            self.outcome.saturated += 1;
            return;
        };
        let chosen = ServerView {
            slowness: 1.0,
            failure_ratio: 0.0,
            ..views[placement.index]
        };
        let ticket = self.health[instance][placement.index].record_sent(now);
        let job = Job {
            object,
            instance,
            server: placement.index,
            ticket,
            received,
            sent: now,
            expected: expected_latency(&chosen, chosen.known, &request.work) + DELAY * 2,
            left_ms: 0.0,
            attempts: attempts + 1,
        };
        self.send(Message::Request(job), now);
    }
}

fn simulate(reports: Reports, per_second: f64, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut fleet = UnevenFleet::new(reports, start, seed);
    let steps = usize::try_from(DURATION.as_millis() / STEP.as_millis()).expect("small");
    for step in 0..steps {
        let passed = STEP * u32::try_from(step).expect("small");
        let now = start + passed;
        let counted = passed >= WARM_UP;
        if passed <= WARM_UP {
            fleet.outcome = Outcome::default();
        }
        fleet.serve(now);
        fleet.deliver(now, counted);
        fleet.exchange_digests(step);
        let mean = per_second * STEP.as_secs_f64();
        let arrivals = (0..64)
            .filter(|_| fleet.random.random_bool(mean / 64.0))
            .count();
        for _ in 0..arrivals {
            // Popular objects are requested several times as often as others.
            let random = fleet.random.random_range(0.0..1.0_f64);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "small"
            )]
            let object = (random.powi(2) * OBJECTS) as u64;
            let instance = fleet.random.random_range(0..INSTANCES);
            fleet.outcome.requests += u32::from(counted);
            fleet.place(instance, object, now, 0, now);
        }
    }
    fleet.outcome
}

fn total(reports: Reports, per_second: f64) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 1..=3 {
        let outcome = simulate(reports, per_second, seed);
        sum.requests += outcome.requests;
        sum.in_target += outcome.in_target;
        sum.late += outcome.late;
        sum.saturated += outcome.saturated;
        sum.rejections += outcome.rejections;
        sum.failed += outcome.failed;
    }
    println!(
        "{reports:?}, {per_second}/s: credit {:.4}, in target {:.4}, {sum:?}",
        sum.credit(),
        f64::from(sum.in_target) / f64::from(sum.requests)
    );
    sum
}

/// The load that the module answers: servers that are slow for some tenths of a second,
/// and many instances that share them.
#[parameterized(moderate = { 333.0 }, high = { 467.0 }, overload = { 567.0 })]
fn callers_of_uneven_servers_get_more_with_fresh_evidence(per_second: f64) {
    let old = total(Reports::WithoutPace, per_second);
    let new = total(Reports::WithPace, per_second);
    assert!(new.credit() > old.credit(), "{new:?}, {old:?}");
    assert!(new.rejections <= old.rejections + old.requests / 200);
}

/// Guards against harm by figures that are stale, false or missing: callers get what they
/// got without the figures, but for a fiftieth.
#[test]
fn bad_reports_cost_callers_little() {
    let old = total(Reports::WithoutPace, 467.0);
    for reports in [Reports::Stale, Reports::Lying, Reports::Missing] {
        let new = total(reports, 467.0);
        assert!(new.credit() > old.credit() - 0.02, "{new:?}, {old:?}");
    }
}
