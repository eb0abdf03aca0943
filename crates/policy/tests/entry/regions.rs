//! How requests that may run anywhere are divided over the regions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::names::{RegionName, ServiceName};
use tarragonpulley_policy::entry::placement::{ServerView, mix, rendezvous};
use tarragonpulley_policy::entry::region_share::{
    MAX_MOVED_PER_S, RegionLoad, RegionMeter, RegionShare, fill_level,
};
use yare::parameterized;

use crate::placement::server;

fn region(name: &str) -> RegionName {
    name.parse().expect("valid")
}

fn loads(entries: &[(&str, f64, f64)]) -> BTreeMap<RegionName, RegionLoad> {
    entries
        .iter()
        .map(|&(name, slots, homed)| (region(name), RegionLoad { slots, homed }))
        .collect()
}

#[parameterized(
    nothing_homed = { &[("a", 10.0, 0.0), ("b", 30.0, 0.0)], 80.0, &[1.0, 1.0] },
    // The level is (60 + 20) / 40 = 2 a slot; half of it is left in a.
    one_region_partly_taken = { &[("a", 20.0, 20.0), ("b", 20.0, 0.0)], 60.0, &[0.5, 1.0] },
    one_region_beyond_the_level = { &[("a", 10.0, 90.0), ("b", 30.0, 0.0)], 60.0, &[0.0, 1.0] },
    all_homed_alike = { &[("a", 10.0, 10.0), ("b", 30.0, 30.0)], 40.0, &[1.0, 1.0] },
    nothing_to_divide = { &[("a", 10.0, 10.0), ("b", 10.0, 0.0)], 0.0, &[1.0, 1.0] },
)]
fn free_requests_fill_the_regions_to_one_level(
    entries: &[(&str, f64, f64)],
    free: f64,
    expected: &[f64],
) {
    let weights: Vec<f64> = fill_level(&loads(entries), free).into_values().collect();
    assert_eq!(weights.len(), expected.len());
    for (weight, expected) in weights.iter().zip(expected) {
        assert!((weight - expected).abs() < 1e-9, "{weights:?}");
    }
}

#[test]
fn a_region_without_servers_keeps_its_weight() {
    let start = Instant::now();
    let mut share = RegionShare::new(start);
    let without = loads(&[("a", 0.0, 50.0), ("b", 30.0, 0.0)]);
    for second in 1..20 {
        share.follow(&without, 100.0, start + Duration::from_secs(second));
    }
    assert!((share.weight(&region("a")) - 1.0).abs() < 1e-9);
}

#[test]
fn weights_move_no_more_requests_than_allowed() {
    // `a` has a quarter of the slots and is filled by its own requests.
    let start = Instant::now();
    let mut share = RegionShare::new(start);
    let load = loads(&[("a", 10.0, 100.0), ("b", 30.0, 0.0)]);
    let mut before = 1.0;
    let mut elapsed = 0;
    while share.follow(&load, 100.0, start + Duration::from_millis(500 * elapsed)) || elapsed == 0 {
        let weight = share.weight(&region("a"));
        assert!((before - weight) * 0.25 <= MAX_MOVED_PER_S * 0.5 + 1e-9);
        before = weight;
        elapsed += 1;
    }
    assert!(before.abs() < 1e-9, "{before}");
}

#[test]
fn small_changes_of_demand_move_nothing() {
    let start = Instant::now();
    let mut share = RegionShare::new(start);
    let mut now = start;
    for _ in 0..40 {
        now += Duration::from_millis(500);
        share.follow(&loads(&[("a", 20.0, 20.0), ("b", 20.0, 0.0)]), 60.0, now);
    }
    for homed in [18.0, 22.0, 19.0, 21.0] {
        now += Duration::from_millis(500);
        let load = loads(&[("a", 20.0, homed), ("b", 20.0, 0.0)]);
        assert!(!share.follow(&load, 60.0, now), "homed {homed}");
    }
}

#[test]
fn a_pause_of_the_instance_does_not_move_everything_at_once() {
    let start = Instant::now();
    let mut share = RegionShare::new(start);
    let load = loads(&[("a", 20.0, 100.0), ("b", 20.0, 0.0)]);
    share.follow(&load, 50.0, start + Duration::from_secs(30));
    assert!(share.weight(&region("a")) > 0.9);
}

#[test]
fn the_meter_tells_homed_requests_from_free_ones() {
    let now = Instant::now();
    let service: ServiceName = "lookup".parse().expect("valid");
    let mut meter = RegionMeter::default();
    for _ in 0..30 {
        meter.note(&service, &BTreeSet::new(), now);
        meter.note(&service, &BTreeSet::from([region("a")]), now);
        meter.note(&service, &BTreeSet::from([region("a"), region("b")]), now);
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

#[test]
fn servers_own_objects_in_proportion_to_their_weight() {
    let servers: Vec<ServerView> = (0..10)
        .map(|index| ServerView {
            weight: if index < 5 { 0.25 } else { 1.0 },
            ..server(index)
        })
        .collect();
    let low = (0..10_000)
        .filter(|object| rendezvous(mix(*object), &servers, 1)[0] < 5)
        .count();
    // A fifth: 5 x 0.25 of 5 x 0.25 + 5.
    assert!((1850..2150).contains(&low), "{low}");
}

#[test]
fn a_lower_weight_moves_only_objects_of_that_server() {
    let before: Vec<ServerView> = (0..10).map(server).collect();
    let mut after = before.clone();
    after[3].weight = 0.5;
    for object in (0..2000).map(mix) {
        let (old, new) = (
            rendezvous(object, &before, 1)[0],
            rendezvous(object, &after, 1)[0],
        );
        assert!(old == new || old == 3, "object {object} moved from {old}");
    }
}

#[test]
fn a_service_whose_servers_all_have_no_weight_is_still_used() {
    let servers: Vec<ServerView> = (0..4)
        .map(|index| ServerView {
            weight: 0.0,
            ..server(index)
        })
        .collect();
    assert_eq!(rendezvous(mix(7), &servers, 3).len(), 3);
}
