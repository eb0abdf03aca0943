//! Whether a server may have started again.

use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::placement::mix;
use tarragonpulley_policy::entry::restart::{
    RestartTracker, ServerDistance, WatchCandidate, report_concerns, watches_server,
};
use yare::parameterized;

const COLD_PERIOD: Duration = Duration::from_secs(3);

/// What happens to a server, at times in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A sign that its process ended.
    End(u64),
    /// A connection opened at the first time works at the second.
    Running(u64, u64),
    /// It is checked whether the doubt has ended.
    Check(u64),
    /// A process that was asked at this time says that it is cold.
    Cold(u64),
    /// The same, that it is not.
    Warm(u64),
}

use Step::{Check, Cold, End, Running, Warm};

fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn tracker_after(steps: &[Step], start: Instant) -> RestartTracker {
    let mut tracker = RestartTracker::default();
    for step in steps {
        match *step {
            End(time) => {
                tracker.record_end(at(start, time));
            }
            Running(since, now) => tracker.record_running(at(start, since), at(start, now)),
            Check(now) => {
                tracker.settle(COLD_PERIOD, at(start, now));
            }
            Cold(asked) => {
                tracker.record_answer(at(start, asked), true);
            }
            Warm(asked) => {
                tracker.record_answer(at(start, asked), false);
            }
        }
    }
    tracker
}

/// Whether the server is in doubt after these steps.
#[parameterized(
    never_in_doubt = { &[Running(0, 100), Check(600)], false },
    ended = { &[End(1000)], true },
    ended_for_long = { &[End(1000), Check(9100)], true },
    still_cold = { &[End(1000), Running(2000, 2000), Check(4900)], true },
    cold_for_no_longer = { &[End(1000), Running(2000, 2000), Check(5000)], false },
    earliest_connection_counts = { &[End(1000), Running(2000, 2000), Running(3000, 3000), Check(5000)], false },
    connection_from_before_works = { &[End(4000), Running(400, 4300), Check(4400)], false },
    recent_connection_from_before_works = { &[End(1000), Running(400, 1300), Check(3300)], true },
    response_from_before_the_end = { &[End(1000), Running(400, 1100), Check(9000)], true },
    ended_again = { &[End(1000), Running(2000, 2000), End(2500), Check(9000)], true },
    late_report_of_the_same_end = { &[End(1000), Running(2000, 2000), Check(5000), End(1300)], false },
    new_end_after_the_doubt = { &[End(1000), Running(2000, 2000), Check(5000), End(5100)], true },
    says_that_it_is_warm = { &[End(1000), Warm(1100)], false },
    says_that_it_is_cold = { &[End(1000), Running(1100, 1100), Cold(1100), Check(1200)], true },
    was_asked_before_the_end = { &[End(1000), Warm(900)], true },
    earlier_process_answers_late = { &[End(1000), Cold(1100), Warm(900)], true },
    ended_again_before_it_answered = { &[End(1000), End(1200), Warm(1100)], true },
    late_report_of_the_same_end_after_an_answer = { &[End(1000), Warm(1100), End(1050)], false },
    new_end_after_an_answer = { &[End(1000), Warm(1100), End(1150)], true },
)]
fn servers_are_in_doubt_until_a_process_says_that_it_is_warm_or_must_be(
    steps: &[Step],
    expected: bool,
) {
    let tracker = tracker_after(steps, Instant::now());
    assert_eq!(tracker.is_in_doubt(), expected);
}

/// Guards against servers that are asked again and again, or never.
#[parameterized(
    never_in_doubt = { &[Running(0, 100)], false },
    ended = { &[End(1000)], true },
    only_accepts_connections = { &[End(1000), Running(1100, 1100)], true },
    has_answered = { &[End(1000), Cold(1100)], false },
    answered_before_the_end = { &[Cold(900), End(1000)], true },
    ended_again = { &[End(1000), Cold(1100), End(2000)], true },
)]
fn servers_in_doubt_are_asked_until_they_answer(steps: &[Step], expected: bool) {
    let tracker = tracker_after(steps, Instant::now());
    assert_eq!(tracker.needs_answer(), expected);
}

/// Guards against instances that report one end again and again.
#[parameterized(
    first = { &[], 1000, true },
    repeated = { &[End(1000)], 1000, false },
    refused_again = { &[End(1000)], 1500, false },
    repeated_report_after_it_ran = { &[End(1000), Running(2000, 2000)], 1100, false },
    ended_after_it_ran = { &[End(1000), Running(2000, 2000)], 2500, true },
    other_connection_ended_before = { &[End(1000), Running(1500, 1500), Running(2300, 2300), Check(4500)], 1900, true },
)]
fn only_new_ends_are_new(steps: &[Step], at_ms: u64, expected: bool) {
    let start = Instant::now();
    let mut tracker = tracker_after(steps, start);
    assert_eq!(tracker.record_end(at(start, at_ms)), expected);
}

/// Guards against instances that ignore the end of a start which they do not know yet, or
/// take the end of an earlier start for one of the start that they know.
#[parameterized(
    same_start = { true, 2000, 1000, true },
    later_start_not_read_here = { false, 1000, 2000, true },
    earlier_start = { false, 2000, 1000, false },
)]
fn reports_concern_the_known_start_or_a_later_one(
    is_same_start: bool,
    known_since: u64,
    ended_at: u64,
    expected: bool,
) {
    let start = Instant::now();
    let concerns = report_concerns(is_same_start, at(start, known_since), at(start, ended_at));
    assert_eq!(concerns, expected);
}

/// Guards against servers that nobody watches, or that the whole fleet does.
#[parameterized(
    same_centre = { &[3, 9, 9], 2 },
    one_in_the_centre = { &[1, 4, 9], 2 },
    only_in_the_region = { &[0, 5, 9], 2 },
    only_elsewhere = { &[0, 0, 9], 2 },
    single_instance = { &[1, 0, 0], 1 },
)]
fn few_of_the_nearest_instances_watch_a_server(by_distance: &[u64; 3], expected: usize) {
    let distances = [
        ServerDistance::SameCentre,
        ServerDistance::SameRegion,
        ServerDistance::OtherRegion,
    ];
    let mut fleet = Vec::new();
    for (distance, count) in distances.into_iter().zip(by_distance) {
        for _ in 0..*count {
            let instance = mix(u64::try_from(fleet.len()).expect("small") + 1);
            fleet.push(WatchCandidate { instance, distance });
        }
    }
    for server in (0..50).map(mix) {
        let is_watcher = |own: &&WatchCandidate| {
            let others = fleet.iter().filter(|other| other != own).copied();
            watches_server(server, **own, others)
        };
        let watchers: Vec<&WatchCandidate> = fleet.iter().filter(is_watcher).collect();
        assert_eq!(watchers.len(), expected);
        let nearest = fleet.iter().map(|one| one.distance).min();
        assert!(watchers.iter().any(|one| Some(one.distance) == nearest));
    }
}
