//! Route matching, server selection, and the shares of moves.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tarragonpulley_policy::facts::ServerReport;
use tarragonpulley_policy::ids::{ServerKey, ServerName};
use tarragonpulley_policy::routing::{
    MoveSide, PathError, RandomSource, RequestTarget, RouteMatch, SLOW_START_WINDOW,
    SelectionInput, ServerState, ServerStateTable, ShareCounter, TrafficPlan, match_route,
    rank_servers, traffic_plan, usable_slots,
};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, DrainTarget, MoveKind, MoveRecord};
use tarragonpulley_policy::units::TrafficShare;
use yare::parameterized;

#[derive(Debug)]
struct SeededRandom(SmallRng);

impl RandomSource for SeededRandom {
    fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }
}

fn random() -> SeededRandom {
    SeededRandom(SmallRng::seed_from_u64(7))
}

/// Guards against paths that a backend server would normalize to a path of
/// another route.
#[parameterized(
    plain = { "/lunwan/desk/a/b", Ok("/a/b") },
    no_rest = { "/lunwan/desk", Ok("/") },
    trailing = { "/lunwan/desk/a/", Ok("/a/") },
    short = { "/lunwan", Err(PathError::Malformed) },
    name = { "/Lunwan/desk/a", Err(PathError::Malformed) },
    dots = { "/lunwan/desk/a/../b", Err(PathError::Ambiguous) },
    dot = { "/lunwan/desk/./b", Err(PathError::Ambiguous) },
    encoded_dots = { "/lunwan/desk/%2E%2e/b", Err(PathError::Ambiguous) },
    encoded_slash = { "/lunwan/desk/a%2fb", Err(PathError::Ambiguous) },
    backslash = { "/lunwan/desk/a\\b", Err(PathError::Ambiguous) },
    empty_segment = { "/lunwan/desk//book", Err(PathError::Ambiguous) },
)]
fn a_path_is_parsed(path: &str, expected: Result<&str, PathError>) {
    let target = RequestTarget::parse(path).map(|target| target.path);
    assert_eq!(target, expected.map(str::to_owned));
}

/// Guards against a shorter route that serves a method that the longest one
/// rejects, and against prefixes that match only part of a segment.
#[parameterized(
    root = { "GET", "/x", Some("/") },
    longest = { "POST", "/book/1", Some("/book") },
    exact = { "GET", "/book/list", Some("/book/list") },
    method = { "GET", "/book", None },
    segment = { "GET", "/bookings", Some("/") },
    segment_method = { "POST", "/bookings", None },
)]
fn the_longest_route_decides(method: &str, path: &str, expected: Option<&str>) {
    let contract = common::contract();
    let service = &contract.services[&"desk".parse().unwrap()];
    let found = match match_route(service, method, path) {
        RouteMatch::Found(route) => Some(route.path.as_str()),
        RouteMatch::MethodNotAllowed => None,
        RouteMatch::NotFound => panic!("the root route matches every path"),
    };
    assert_eq!(found, expected);
}

fn plan_of(snapshot: &ConfigSnapshot, fault: bool) -> TrafficPlan {
    let service = "lunwan/desk".parse().unwrap();
    let base = "v1".parse().unwrap();
    traffic_plan(
        snapshot,
        &service,
        &base,
        &|_| fault,
        fault,
        SystemTime::UNIX_EPOCH,
    )
}

fn choose(
    snapshot: &ConfigSnapshot,
    local_centre: &str,
    states: &BTreeMap<ServerName, ServerState>,
    tried: &[&str],
    side: MoveSide,
    fault: bool,
) -> Vec<String> {
    let contract = &snapshot.contracts[&"lunwan".parse().unwrap()];
    let tried: Vec<ServerName> = tried.iter().map(|name| name.parse().unwrap()).collect();
    let input = SelectionInput {
        snapshot,
        contract,
        service: &contract.services[&"desk".parse().unwrap()],
        local_centre: &local_centre.parse().unwrap(),
        states,
        tried: &tried,
        plan: &plan_of(snapshot, fault),
        side,
    };
    let order = rank_servers(&input, &mut random());
    order.iter().map(ToString::to_string).collect()
}

fn centres(order: &[String]) -> String {
    order.iter().map(|name| &name[..1]).collect()
}

/// Guards against requests that leave their data centre or region without
/// need, and against retries on a server that has failed while others are left.
#[test]
fn nearby_servers_are_ranked_first() {
    let snapshot = common::snapshot();
    let states = BTreeMap::new();
    let order = choose(&snapshot, "b", &states, &[], MoveSide::Source, false);
    assert_eq!(&centres(&order)[..4], "bbaa");
    assert_eq!(order.len(), 8, "servers of another version are excluded");
    let order = choose(&snapshot, "b", &states, &["b1"], MoveSide::Source, false);
    assert_eq!((order[0].as_str(), order[7].as_str()), ("b2", "b1"));
}

/// Guards against requests to servers that are leaving, unhealthy, full or in
/// slow start, and against a stale load report that excludes a warm server.
#[parameterized(
    leaving = { ServerState { leaving: true, ..ServerState::default() }, false },
    unhealthy = { ServerState { healthy: false, ..ServerState::default() }, false },
    full = { ServerState { running: 4, ..ServerState::default() }, false },
    stale_load = { ServerState { reported_load: 9, ..ServerState::default() }, true },
    cold_free = { ServerState { uptime: Some(Duration::ZERO), ..ServerState::default() }, true },
    cold_busy = { ServerState { reported_load: 1, uptime: Some(Duration::ZERO), ..ServerState::default() }, false },
    half_cold = { ServerState { running: 1, uptime: Some(SLOW_START_WINDOW / 2), ..ServerState::default() }, true },
)]
fn server_state_decides_eligibility(state: ServerState, expected: bool) {
    let states = BTreeMap::from([("a1".parse().unwrap(), state)]);
    let order = choose(
        &common::snapshot(),
        "a",
        &states,
        &[],
        MoveSide::Source,
        false,
    );
    assert_eq!(order.contains(&"a1".to_owned()), expected);
}

/// Guards against requests to a drained data centre.
#[test]
fn a_drained_data_centre_gets_no_requests() {
    let mut snapshot = common::snapshot();
    let drain = DrainTarget::Centre("lunwan".parse().unwrap(), "a".parse().unwrap());
    snapshot.drains.insert(drain);
    let order = choose(
        &snapshot,
        "a",
        &BTreeMap::new(),
        &[],
        MoveSide::Source,
        false,
    );
    assert!(!centres(&order).contains('a'));
}

/// Guards against a ranking that ignores load or always takes the same server.
#[test]
fn the_less_loaded_of_two_is_ranked_first() {
    let state = |running, reported_load| ServerState {
        running,
        reported_load,
        ..ServerState::default()
    };
    let snapshot = common::snapshot();
    let states = BTreeMap::from([
        ("a1".parse().unwrap(), state(1, 0)),
        ("a2".parse().unwrap(), state(0, 3)),
    ]);
    let order = choose(&snapshot, "a", &states, &[], MoveSide::Source, false);
    assert_eq!(
        order[0], "a2",
        "own running requests take precedence over reports"
    );
}

/// Guards against a slow start that begins with no slots or exceeds the limit.
#[test]
fn slots_grow_with_uptime() {
    let usable = |tenths: u32| usable_slots(4, Some(SLOW_START_WINDOW * tenths / 10));
    assert_eq!([0, 3, 5, 8, 10].map(usable), [1, 1, 2, 3, 4]);
    assert_eq!(usable_slots(4, None), 4);
}

fn snapshot_with_move(kind: &str, percent: u32) -> ConfigSnapshot {
    let service = "lunwan/desk".parse().unwrap();
    let kind = if kind == "rollout" {
        MoveKind::Rollout {
            service,
            from: "v1".parse().unwrap(),
            to: "v2".parse().unwrap(),
        }
    } else {
        MoveKind::CentreShift {
            service,
            from: "a".parse().unwrap(),
            to: "c".parse().unwrap(),
        }
    };
    let record = MoveRecord {
        kind,
        state: "shifting".to_owned(),
        share: TrafficShare::from_percent(percent),
        cap: TrafficShare::ALL,
        deadline: SystemTime::UNIX_EPOCH + Duration::from_secs(1),
        step_started: SystemTime::UNIX_EPOCH,
        epoch: 1,
        reason: String::new(),
    };
    let mut snapshot = common::snapshot();
    snapshot.moves.insert("m".parse().unwrap(), record);
    snapshot
}

/// Guards against requests that reach the wrong side of a move, and against
/// requests to a version with a fault.
#[parameterized(
    rollout_stay = { "rollout", 5, MoveSide::Source, false, "ab", "n" },
    rollout_move = { "rollout", 5, MoveSide::Target, false, "n", "ab" },
    rollout_done = { "rollout", 100, MoveSide::Source, false, "n", "ab" },
    rollout_fault = { "rollout", 5, MoveSide::Target, true, "ab", "n" },
    rollout_done_fault = { "rollout", 100, MoveSide::Source, true, "ab", "n" },
    shift_stay = { "shift", 5, MoveSide::Source, false, "abd", "c" },
    shift_move = { "shift", 5, MoveSide::Target, false, "cbd", "a" },
    shift_done = { "shift", 100, MoveSide::Source, false, "cbd", "a" },
)]
fn a_move_restricts_the_servers(
    kind: &str,
    percent: u32,
    side: MoveSide,
    fault: bool,
    included: &str,
    excluded: &str,
) {
    let snapshot = snapshot_with_move(kind, percent);
    let order = choose(&snapshot, "a", &BTreeMap::new(), &[], side, fault);
    let found = centres(&order);
    assert_eq!(&found[..1], &included[..1], "{found}");
    assert!(included.chars().all(|c| found.contains(c)), "{found}");
    assert!(!excluded.chars().any(|c| found.contains(c)), "{found}");
}

/// Guards against a route that never reaches the new version because callers
/// alternate between routes with the same period as the assignments.
#[parameterized(one = { 1 }, five = { 5 }, quarter = { 25 }, half = { 50 })]
fn alternating_routes_all_reach_the_target(percent: u32) {
    let plan = plan_of(&snapshot_with_move("rollout", percent), false);
    let mut counter = ShareCounter::new();
    let mut moved = [0_u32; 2];
    for number in 0..20_000 {
        let side = counter.reserve(&plan);
        counter.record_sent(side, plan.step());
        moved[number % 2] += u32::from(side == MoveSide::Target);
    }
    let all = 20_000 * percent / 100;
    assert!(moved[0] + moved[1] >= all - 1, "{moved:?} of {all}");
    assert!(
        moved.iter().all(|count| *count > all / 4),
        "{moved:?} of {all}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against a target share above the share of the move at any moment,
    /// with requests that overlap, are rejected before they are sent, or span a
    /// change of the step.
    #[test]
    fn the_target_share_is_never_exceeded(
        ops in prop::collection::vec((0_u8..10, any::<prop::sample::Index>()), 1..400),
        percent in 1_u32..60,
    ) {
        let mut plan = plan_of(&snapshot_with_move("rollout", percent), false);
        let mut counter = ShareCounter::new();
        let mut open = Vec::new();
        for (op, index) in ops {
            match op {
                0 if !open.is_empty() => {
                    let (side, step) = open.swap_remove(index.index(open.len()));
                    counter.release(side, Option::as_ref(&step));
                }
                1 => {
                    let mut next = snapshot_with_move("rollout", percent + 1);
                    next.moves.values_mut().for_each(|record| record.epoch = 2);
                    plan = plan_of(&next, false);
                }
                2..=5 if !open.is_empty() => {
                    let (side, step) = open.swap_remove(index.index(open.len()));
                    counter.record_sent(side, Option::as_ref(&step));
                }
                _ => open.push((counter.reserve(&plan), plan.step().cloned())),
            }
            let (total, moved) = counter.counts();
            prop_assert!(moved <= TrafficShare::from_percent(percent + 1).floor_of(total));
        }
    }
}

/// Guards against a rollout that gets much less than its share.
#[parameterized(one = { 1 }, five = { 5 }, half = { 50 })]
fn a_steady_stream_uses_the_full_share(percent: u32) {
    let plan = plan_of(&snapshot_with_move("rollout", percent), false);
    let mut counter = ShareCounter::new();
    for _ in 0..1000 {
        let side = counter.reserve(&plan);
        counter.record_sent(side, plan.step());
    }
    let (total, moved) = counter.counts();
    let whole = u64::from(percent) * 10;
    assert_eq!(total, 1000);
    // One assignment to the target may still be due.
    assert!((whole - 1..=whole).contains(&moved), "{moved} of {whole}");
}

fn report(sequence: u64, healthy: bool, leaving: bool, uptime: u64) -> ServerReport {
    ServerReport {
        sequence,
        healthy,
        leaving,
        load: 0,
        uptime: Duration::from_secs(uptime),
    }
}

/// Guards against health check responses that override observed failures,
/// against a single partitioned reporter that decides alone, and against reports
/// that never expire.
#[test]
fn own_failures_override_reports() {
    let server: ServerKey = "lunwan/desk/a1".parse().unwrap();
    let (one, two) = ("e1#1".parse().unwrap(), "e2#1".parse().unwrap());
    let start = Instant::now();
    let mut table = ServerStateTable::new();
    table.record_report(&server, &one, &report(1, false, false, 90), start);
    assert!(!table.state(&server, start).healthy);
    table.record_report(&server, &two, &report(1, true, false, 90), start);
    assert!(
        table.state(&server, start).healthy,
        "the other reporter reaches it"
    );
    for _ in 0..3 {
        table.record_failure(&server, Some(1), start);
    }
    assert!(
        table.state(&server, start).healthy,
        "failures of one request count once"
    );
    for suspect in [Some(2), None] {
        table.record_failure(&server, suspect, start);
    }
    assert!(
        !table.state(&server, start).healthy,
        "own failures override reports"
    );
    table.record_success(&server);
    assert!(table.state(&server, start).healthy);
    table.record_report(&server, &two, &report(2, false, false, 91), start);
    assert!(!table.state(&server, start).healthy);
    let later = start + Duration::from_secs(6);
    assert!(
        table.state(&server, later).healthy,
        "expired reports are ignored"
    );
}

/// Guards against requests to a server that reported that it is leaving while
/// its health check responses are stale, and against a restarted server that
/// stays excluded.
#[test]
fn a_leaving_report_overrides_health_checks() {
    let server: ServerKey = "lunwan/desk/a1".parse().unwrap();
    let prober = "e1#1".parse().unwrap();
    let start = Instant::now();
    let mut table = ServerStateTable::new();
    table.record_leaving(&server, start);
    let later = start + Duration::from_secs(4);
    table.record_report(&server, &prober, &report(1, true, false, 300), later);
    assert!(table.state(&server, later).leaving);
    table.record_report(&server, &prober, &report(2, true, false, 1), later);
    assert!(
        !table.state(&server, later).leaving,
        "the server has restarted"
    );
}
