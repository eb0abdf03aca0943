//! Division of traffic among regions, for requests that may run in any region.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::names::{RegionName, ServiceName};
use tarragonpulley_policy::entry::placement::{
    PlacementRequest, RegionFractions, ServerView, choose_server, mix, region_of_object,
};
use tarragonpulley_policy::entry::region_share::{
    DEAD_BAND, MAX_MOVED_PER_S, RegionLoad, RegionMeter, RegionShare, origin_fractions,
};
use yare::parameterized;

use crate::placement::server;

const TARGET: Duration = Duration::from_millis(600);

fn region(name: &str) -> RegionName {
    name.parse().expect("valid")
}

type Loads = BTreeMap<RegionName, RegionLoad>;

/// Loads from entries of region, slots, requests restricted to the region, and
/// unrestricted requests.
fn loads(entries: &[(&str, f64, f64, f64)]) -> Loads {
    entries
        .iter()
        .map(|&(name, slots, homed, free)| (region(name), RegionLoad { slots, homed, free }))
        .collect()
}

fn fraction(fractions: &BTreeMap<RegionName, f64>, name: &str) -> f64 {
    fractions.get(&region(name)).copied().unwrap_or(0.0)
}

#[parameterized(
    enough_capacity_here = { &[("a", 20.0, 0.0, 50.0), ("b", 20.0, 0.0, 50.0)], &[1.0, 0.0] },
    // 90 requests on 30 slots are 3 per slot, so region a takes 30 of its 45.
    few_servers_here = { &[("a", 10.0, 0.0, 45.0), ("b", 20.0, 0.0, 45.0)], &[2.0 / 3.0, 1.0 / 3.0] },
    // The same, but restricted requests take a third of the capacity of region a.
    restricted_requests_here = { &[("a", 10.0, 10.0, 40.0), ("b", 20.0, 0.0, 40.0)], &[0.5, 0.5] },
    restricted_requests_exceed_the_capacity = { &[("a", 10.0, 90.0, 40.0), ("b", 20.0, 0.0, 40.0)], &[0.0, 1.0] },
    no_servers_here = { &[("a", 0.0, 0.0, 40.0), ("b", 20.0, 0.0, 40.0)], &[0.0, 1.0] },
    remaining_requests_go_to_spare_capacity = {
        &[("a", 10.0, 0.0, 60.0), ("b", 30.0, 0.0, 30.0), ("c", 20.0, 0.0, 30.0)],
        &[1.0 / 3.0, 0.5, 1.0 / 6.0]
    },
    no_demand_yet = { &[("a", 10.0, 0.0, 0.0), ("b", 20.0, 0.0, 0.0)], &[2.0 / 3.0, 1.0 / 3.0] },
    no_demand_here = { &[("a", 10.0, 0.0, 0.0), ("b", 20.0, 0.0, 90.0)], &[1.0, 0.0] },
)]
fn requests_run_where_they_arrive_while_there_is_capacity(
    entries: &[(&str, f64, f64, f64)],
    expected: &[f64],
) {
    let fractions = origin_fractions(&region("a"), &loads(entries));
    for ((name, ..), expected) in entries.iter().zip(expected) {
        assert!(
            (fraction(&fractions, name) - expected).abs() < 1e-9,
            "{fractions:?}"
        );
    }
}

#[test]
fn all_servers_are_loaded_to_one_level() {
    let loads = loads(&[
        ("a", 14.0, 10.0, 120.0),
        ("b", 54.0, 0.0, 90.0),
        ("c", 66.0, 20.0, 160.0),
    ]);
    let mut rates: BTreeMap<RegionName, f64> = BTreeMap::new();
    for (origin, load) in &loads {
        for (target, fraction) in origin_fractions(origin, &loads) {
            *rates.entry(target).or_insert(0.0) += fraction * load.free;
        }
    }
    let level = 400.0 / 134.0;
    for (name, load) in &loads {
        let density = (rates[name] + load.homed) / load.slots;
        assert!(
            (density - level).abs() < 1e-9,
            "{name}: {density} of {level}"
        );
    }
}

/// A share of region a that has reached the target for the loads.
fn share_at_target(loads: &Loads, start: Instant) -> RegionShare {
    let mut share = RegionShare::default();
    share.update(&region("a"), loads, true, start);
    share
}

#[test]
fn a_change_of_traffic_moves_requests_slowly() {
    let start = Instant::now();
    let calm = loads(&[("a", 20.0, 0.0, 50.0), ("b", 20.0, 0.0, 50.0)]);
    let surge = loads(&[("a", 20.0, 0.0, 150.0), ("b", 20.0, 0.0, 50.0)]);
    let mut share = share_at_target(&calm, start);
    let (mut before, mut now) = (1.0, start);
    for _ in 0..40 {
        now += Duration::from_millis(500);
        share.update(&region("a"), &surge, false, now);
        let here = fraction(share.fractions(), "a");
        assert!(
            before - here <= MAX_MOVED_PER_S * 0.5 + 1e-9,
            "{before} to {here}"
        );
        before = here;
    }
    assert!((before - 2.0 / 3.0).abs() < 1e-6, "{before}");
}

#[test]
fn a_paused_instance_does_not_move_all_requests_at_once() {
    let start = Instant::now();
    let calm = loads(&[("a", 20.0, 0.0, 50.0), ("b", 20.0, 0.0, 50.0)]);
    let surge = loads(&[("a", 20.0, 0.0, 150.0), ("b", 20.0, 0.0, 50.0)]);
    let mut share = share_at_target(&calm, start);
    share.update(&region("a"), &surge, false, start + Duration::from_secs(30));
    assert!(fraction(share.fractions(), "a") >= 1.0 - MAX_MOVED_PER_S);
}

#[test]
fn small_changes_of_demand_move_nothing() {
    let start = Instant::now();
    let mut share = share_at_target(
        &loads(&[("a", 10.0, 0.0, 45.0), ("b", 20.0, 0.0, 45.0)]),
        start,
    );
    let before = share.fractions().clone();
    for (step, free) in [44.0, 46.0, 43.0, 47.0].into_iter().enumerate() {
        let now = start + Duration::from_secs(u64::try_from(step).expect("small") + 1);
        let loads = loads(&[("a", 10.0, 0.0, free), ("b", 20.0, 0.0, 45.0)]);
        share.update(&region("a"), &loads, false, now);
        assert_eq!(share.fractions(), &before, "free {free}, band {DEAD_BAND}");
    }
}

#[test]
fn requests_of_removed_servers_move_at_once_and_return_slowly() {
    let start = Instant::now();
    let whole = loads(&[("a", 20.0, 0.0, 50.0), ("b", 20.0, 0.0, 50.0)]);
    let half = loads(&[("a", 10.0, 0.0, 50.0), ("b", 20.0, 0.0, 50.0)]);
    let mut share = share_at_target(&whole, start);
    let mut now = start + Duration::from_millis(500);
    share.update(&region("a"), &half, false, now);
    // 100 requests on 30 slots: 33 of 50 fit into region a. Half of the requests
    // moved with the removed servers; two thirds of these go back to the ten slots
    // of region a.
    let here = fraction(share.fractions(), "a");
    assert!((0.6..0.9).contains(&here), "{here}");
    let sum: f64 = share.fractions().values().sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    let mut before = here;
    for _ in 0..60 {
        now += Duration::from_millis(500);
        share.update(&region("a"), &whole, false, now);
        let here = fraction(share.fractions(), "a");
        assert!(here - before <= MAX_MOVED_PER_S * 0.5 + 1e-9);
        before = here;
    }
    assert!((before - 1.0).abs() < 1e-6, "{before}");
}

#[test]
fn an_idle_instance_adopts_the_target_at_once() {
    // A restarted instance has the same division as the others before it serves.
    let start = Instant::now();
    let calm = loads(&[("a", 20.0, 0.0, 50.0), ("b", 20.0, 0.0, 50.0)]);
    let surge = loads(&[("a", 20.0, 0.0, 150.0), ("b", 20.0, 0.0, 50.0)]);
    let mut share = share_at_target(&calm, start);
    share.update(
        &region("a"),
        &surge,
        true,
        start + Duration::from_millis(500),
    );
    assert!((fraction(share.fractions(), "a") - 2.0 / 3.0).abs() < 1e-9);
}

#[test]
fn the_meter_separates_restricted_and_unrestricted_requests() {
    let now = Instant::now();
    let service: ServiceName = "lookup".parse().expect("valid");
    let mut meter = RegionMeter::default();
    for _ in 0..30 {
        meter.record(&service, &BTreeSet::new(), now);
        meter.record(&service, &BTreeSet::from([region("a")]), now);
        meter.record(&service, &BTreeSet::from([region("a"), region("b")]), now);
    }
    let report = meter.report(now);
    assert_eq!(report.len(), 1);
    let rates: Vec<(&str, String)> = report[0]
        .homed
        .iter()
        .map(|(region, rate)| (region.as_str(), format!("{rate:.0}")))
        .collect();
    assert!((report[0].free - 10.0).abs() < 0.01, "{report:?}");
    let expected = [("a", "15".to_owned()), ("b", "5".to_owned())];
    assert_eq!(rates, expected);
    assert_eq!(meter.report(now + Duration::from_mins(1)), Vec::new());
}

/// Four servers in region 1, six in region 2.
fn servers_of_two_regions() -> Vec<ServerView> {
    (0..10)
        .map(|index| ServerView {
            region: if index < 4 { 1 } else { 2 },
            ..server(index)
        })
        .collect()
}

#[parameterized(
    by_slots = { &[], 4000 },
    half = { &[(1, 0.5), (2, 0.5)], 5000 },
    few = { &[(1, 0.1), (2, 0.9)], 1000 },
    none = { &[(1, 0.0), (2, 1.0)], 0 },
    only_a_region_without_servers = { &[(3, 1.0)], 5000 },
)]
fn regions_own_objects_in_proportion_to_their_fractions(fractions: &[(u64, f64)], expected: usize) {
    let servers = servers_of_two_regions();
    let fractions: RegionFractions = fractions.iter().copied().collect();
    let first = (0..10_000)
        .filter(|object| region_of_object(mix(*object), &servers, &fractions) == Some(1))
        .count();
    assert!(first.abs_diff(expected) < 200, "{first}");
}

#[test]
fn a_change_of_fractions_moves_the_minimum_number_of_objects() {
    let servers = servers_of_two_regions();
    let before: RegionFractions = [(1, 0.5), (2, 0.5)].into();
    let after: RegionFractions = [(1, 0.4), (2, 0.6)].into();
    let mut moved = 0;
    for object in (0..10_000).map(mix) {
        let (old, new) = (
            region_of_object(object, &servers, &before),
            region_of_object(object, &servers, &after),
        );
        assert!(old == new || new == Some(2));
        moved += usize::from(old != new);
    }
    assert!(moved.abs_diff(1000) < 150, "{moved}");
}

#[test]
fn a_full_queue_moves_no_request_to_another_region() {
    // Guards against requests that move between regions as fast as queues change.
    let mut servers = servers_of_two_regions();
    for server in servers.iter_mut().filter(|server| server.region == 1) {
        server.load = 8.0;
    }
    let fractions: RegionFractions = [(1, 0.5), (2, 0.5)].into();
    let first = (0..2000)
        .filter(|object| {
            let placement = choose_server(
                &PlacementRequest::new(Some(mix(*object)), TARGET, 0),
                &servers,
                &fractions,
            );
            placement.is_some_and(|placement| placement.index < 4)
        })
        .count();
    assert!(first.abs_diff(1000) < 100, "{first}");
}
