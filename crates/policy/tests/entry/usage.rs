//! Counts of usage: what is counted, handed in and recorded, and when.

use std::time::Instant;

use tarragonpulley_policy::entry::digest::InstanceState;
use tarragonpulley_policy::entry::duty::DutyWriter;
use tarragonpulley_policy::entry::names::{InstanceName, TeamName};
use tarragonpulley_policy::entry::usage::{
    SteadyTime, UnixMillis, UsageCollector, UsageCounter, WindowNumber, candidates,
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
    let asked_at = at(start, 400);
    assert_eq!(time.correct(fleet, asked_at, at(start, 500)), correction);
    let after = 1_000_600 + correction.into_iter().sum::<i64>();
    assert_eq!(time.at(at(start, 600)), UnixMillis(after));
}

/// Guards against an instance that takes the time of a response from before it stood
/// still.
#[test]
fn late_responses_do_not_correct_the_time() {
    let start = Instant::now();
    let mut time = SteadyTime::new(start, UnixMillis(1_000_000));
    let fleet = UnixMillis(1_000_010);
    assert_eq!(time.correct(fleet, start, at(start, 4000)), None);
    assert_eq!(time.at(at(start, 4000)), UnixMillis(1_004_000));
}

/// Messages of one sender: when they were sent by its time, and when they arrived.
type SentMessages = &'static [(i64, i64)];

/// Guards against an instance that stood still and takes the time of the messages that
/// waited for it for the time of their senders, and against senders whose wrong time is
/// not found.
#[parameterized(
    nothing_known = { &[], None },
    one_message_may_have_waited = { &[(0, 0)], None },
    same_time = { &[(0, 5), (5000, 5003)], Some(-3) },
    ahead = { &[(2000, 5), (7000, 5003)], Some(1997) },
    behind = { &[(0, 2005), (5000, 7003)], Some(-2003) },
    messages_waited = { &[(0, 5), (5000, 9000), (5700, 9000), (10_000, 10_010)], Some(-5) },
    only_messages_that_waited = { &[(5000, 9000), (5700, 9000), (6400, 9001)], None },
    message_after_those_that_waited = { &[(5000, 9000), (5700, 9000), (10_000, 10_010)], Some(-10) },
    corrected_sender = { &[(3000, 5), (5000, 5003), (10_000, 10_010), (15_000, 15_005)], Some(-3) },
)]
fn time_of_the_fleet_is_that_of_messages_that_did_not_wait(
    messages: SentMessages,
    difference: Option<i64>,
) {
    let mut collector = UsageCollector::default();
    for (sent_at, arrived_at) in messages {
        for sender in ["e2", "e3", "e4"] {
            let sender = DutyWriter {
                name: name(sender),
                start: 1,
            };
            collector.record_clock(&sender, UnixMillis(*sent_at), UnixMillis(*arrived_at));
        }
    }
    let now = 20_000;
    let expected = difference.map(|difference| UnixMillis(now + difference));
    assert_eq!(collector.fleet_time(UnixMillis(now)), expected);
}

/// Guards against a process that is taken to have the time of the one before it.
#[test]
fn restarted_senders_are_measured_again() {
    let mut collector = UsageCollector::default();
    let mut record = |start: i64, sent_at: i64, arrived_at: i64| {
        for sender in ["e2", "e3", "e4"] {
            let sender = DutyWriter {
                name: name(sender),
                start,
            };
            collector.record_clock(&sender, UnixMillis(sent_at), UnixMillis(arrived_at));
        }
        collector.fleet_time(UnixMillis(arrived_at))
    };
    assert_eq!(record(1, 2000, 0), None);
    assert_eq!(record(1, 7000, 5000), Some(UnixMillis(7000)));
    assert_eq!(record(2, 10_000, 10_000), None);
    assert_eq!(record(2, 15_000, 15_000), Some(UnixMillis(15_000)));
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
