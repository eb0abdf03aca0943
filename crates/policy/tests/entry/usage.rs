//! Counts of usage: what is counted, handed in and recorded, and when.

use std::time::Instant;

use tarragonpulley_policy::entry::digest::InstanceState;
use tarragonpulley_policy::entry::names::{InstanceName, TeamName};
use tarragonpulley_policy::entry::usage::{
    SteadyTime, UnixMillis, UsageCounter, WindowNumber, candidates,
};
use yare::parameterized;

use crate::at;

fn name(text: &str) -> InstanceName {
    text.parse().expect("a name")
}

/// Guards against counts of requests that did not run, and of other windows.
#[test]
fn rejected_requests_are_taken_back() {
    let team: TeamName = "team".parse().expect("a name");
    let mut counter = UsageCounter::default();
    for _ in 0..3 {
        counter.record_sent(WindowNumber(7), &team);
    }
    counter.record_not_run(WindowNumber(7), &team);
    counter.record_not_run(WindowNumber(8), &team);
    assert_eq!(counter.counts(WindowNumber(7)).get(&team), Some(&2));
    assert!(counter.counts(WindowNumber(8)).is_empty());
}

/// Guards against windows that follow a step of the time of day, and against a machine
/// whose time was wrong at the start.
#[parameterized(
    small_difference = { 400, None },
    ahead = { 2000, Some(2000) },
    behind = { -2000, Some(-2000) },
)]
fn time_is_corrected_by_the_fleet(difference: i64, correction: Option<i64>) {
    let start = Instant::now();
    let mut time = SteadyTime::new(start, UnixMillis(1_000_000));
    assert_eq!(time.at(at(start, 500)), UnixMillis(1_000_500));
    let fleet = UnixMillis(1_000_500 + difference);
    assert_eq!(time.correct(fleet, at(start, 500)), correction);
    let after = 1_000_600 + correction.into_iter().sum::<i64>();
    assert_eq!(time.at(at(start, 600)), UnixMillis(after));
}

/// Guards against a change of the holder without need, and a holder that keeps the duty
/// although it cannot deliver.
#[parameterized(
    nobody_holds_it = { None, &["e1", "e2", "e4"] },
    the_holder_goes_first = { Some(("e4", false)), &["e4", "e1", "e2"] },
    a_holder_that_yields_goes_last = { Some(("e1", true)), &["e2", "e4", "e3"] },
    a_holder_that_leaves_is_no_candidate = { Some(("e0", false)), &["e1", "e2", "e4"] },
)]
fn candidates_are_ranked(holder: Option<(&str, bool)>, expected: &[&str]) {
    let instances = [
        (name("e0"), InstanceState::Leaving),
        (name("e1"), InstanceState::Ready),
        (name("e2"), InstanceState::Ready),
        (name("e3"), InstanceState::Unready),
        (name("e4"), InstanceState::Ready),
    ];
    let holder = holder.map(|(holder, yields)| (name(holder), yields));
    let holder = holder.as_ref().map(|(holder, yields)| (holder, *yields));
    let instances = instances.iter().map(|(name, state)| (name, *state));
    let ranked = candidates(instances, holder);
    let expected: Vec<InstanceName> = expected.iter().map(|text| name(text)).collect();
    assert_eq!(ranked, expected);
}
