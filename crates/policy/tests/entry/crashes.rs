//! Requests that crash servers, and those that were only in progress when one crashed.

use std::time::Instant;

use tarragonpulley_policy::entry::crash::{CrashTracker, ReportedCrashes};
use tarragonpulley_policy::entry::digest::{InstanceTable, ServerIncarnation};
use yare::parameterized;

use crate::at;
use crate::fleet_limits::{digest, record};

const FINGERPRINT: u64 = 7;

/// What happens at a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// This instance sees a server of this number crash.
    Crash(u64, i64),
    /// Another instance reports the same, in a digest.
    Reported(u64, i64),
    /// An instance of an earlier version reports a number of crashes.
    Unnamed(u32),
    /// A server completes the request, at this instance.
    Served(u64),
    /// The same at another instance.
    ServedElsewhere(u64),
    /// The request is let through as a trial.
    Trial(u64),
}

fn server(number: i64) -> ServerIncarnation {
    ServerIncarnation::new("i-1", Some(number))
}

/// Guards against requests that are rejected for good after one crash of a server that
/// worked on several copies of them, and against those that go on crashing servers.
#[parameterized(
    unknown = { &[], 0, false },
    one_crash = { &[Event::Crash(0, 1)], 100, false },
    one_crash_with_two_copies = { &[Event::Crash(0, 1), Event::Crash(10, 1)], 100, false },
    one_crash_seen_by_two_instances = { &[Event::Crash(0, 1), Event::Reported(50, 1)], 100, false },
    two_servers = { &[Event::Crash(0, 1), Event::Crash(10, 2)], 100, true },
    one_server_twice = { &[Event::Crash(0, 1), Event::Crash(2000, 2)], 2100, true },
    two_servers_seen_by_two_instances = { &[Event::Crash(0, 1), Event::Reported(50, 2)], 100, true },
    two_servers_seen_by_others = { &[Event::Reported(0, 1), Event::Reported(50, 2)], 100, true },
    two_crashes_of_unnamed_servers = { &[Event::Unnamed(2)], 100, true },
    one_crash_also_of_an_unnamed_server = { &[Event::Crash(0, 1), Event::Unnamed(1)], 100, false },
    served_since = { &[Event::Crash(0, 1), Event::Crash(10, 2), Event::Served(500)], 600, false },
    served_since_elsewhere = { &[Event::Crash(0, 1), Event::Crash(10, 2), Event::ServedElsewhere(500)], 600, false },
    served_since_and_unnamed = { &[Event::Unnamed(2), Event::Served(500)], 600, false },
    served_before = { &[Event::Crash(0, 1), Event::Served(5), Event::Crash(10, 2)], 600, false },
    crashed_twice_after_it_was_served = { &[Event::Crash(0, 1), Event::Served(5), Event::Crash(10, 2), Event::Crash(20, 3)], 600, true },
    no_trial_yet = { &[Event::Crash(0, 1), Event::Crash(10, 2)], 4000, true },
    first_trial = { &[Event::Crash(0, 1), Event::Crash(10, 2)], 4010, false },
    one_trial_at_a_time = { &[Event::Crash(0, 1), Event::Crash(10, 2), Event::Trial(4010)], 4020, true },
    another_trial_without_an_outcome = { &[Event::Crash(0, 1), Event::Crash(10, 2), Event::Trial(4010)], 8010, false },
    longer_after_a_third_crash = { &[Event::Crash(0, 1), Event::Crash(10, 2), Event::Crash(4050, 3)], 19_000, true },
    second_trial = { &[Event::Crash(0, 1), Event::Crash(10, 2), Event::Crash(4050, 3)], 19_050, false },
    forgotten = { &[Event::Crash(0, 1), Event::Crash(10, 2)], 60_010, false },
)]
fn requests_are_rejected_after_crashes_of_two_servers(events: &[Event], now: u64, rejected: bool) {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut other = CrashTracker::default();
    let mut unnamed = 0;
    let reported_at = |other: &CrashTracker, unnamed: u32, now: Instant| {
        let mut reported = ReportedCrashes::default();
        for report in other.crash_reports(now) {
            reported.add_crash(&report, now);
        }
        for report in other.served_reports(now) {
            reported.add_served(&report, now);
        }
        reported.add_unnamed(unnamed);
        reported
    };
    for event in events {
        match *event {
            Event::Crash(time, number) => {
                tracker.record(FINGERPRINT, server(number), at(start, time));
            }
            Event::Reported(time, number) => {
                other.record(FINGERPRINT, server(number), at(start, time));
            }
            Event::Unnamed(count) => unnamed = count,
            Event::Served(time) => {
                let time = at(start, time);
                let reported = reported_at(&other, unnamed, time);
                tracker.record_served(FINGERPRINT, &reported, time);
            }
            Event::ServedElsewhere(time) => {
                let mut reported = ReportedCrashes::default();
                reported.add_unnamed(1);
                other.record_served(FINGERPRINT, &reported, at(start, time));
            }
            Event::Trial(time) => {
                let time = at(start, time);
                let reported = reported_at(&other, unnamed, time);
                assert!(!tracker.rejects(FINGERPRINT, &reported, true, time));
            }
        }
    }
    let now = at(start, now);
    let reported = reported_at(&other, unnamed, now);
    assert!(!tracker.rejects(FINGERPRINT + 1, &ReportedCrashes::default(), true, now));
    assert_eq!(tracker.rejects(FINGERPRINT, &reported, true, now), rejected);
}

/// Guards against trials at all instances at the same time.
#[test]
fn instances_that_make_no_trials_reject_until_the_crashes_are_forgotten() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let none = ReportedCrashes::default();
    tracker.record(FINGERPRINT, server(1), start);
    tracker.record(FINGERPRINT, server(2), start);
    for millis in [0, 5000, 20_000, 59_999] {
        assert!(tracker.rejects(FINGERPRINT, &none, false, at(start, millis)));
    }
    assert!(!tracker.rejects(FINGERPRINT, &none, false, at(start, 60_000)));
}

/// Guards against more than three requests that crash servers after the third crash, in
/// the time for which crashes are kept.
#[test]
fn a_request_that_crashes_all_servers_is_tried_rarely() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let none = ReportedCrashes::default();
    let mut crashes = Vec::new();
    for millis in (0..120_000).step_by(50) {
        let now = at(start, millis);
        if !tracker.rejects(FINGERPRINT, &none, true, now) {
            let number = i64::try_from(crashes.len()).expect("a small number");
            tracker.record(FINGERPRINT, server(number), now);
            crashes.push(millis);
        }
    }
    let third = crashes[2];
    let later = crashes.iter().filter(|at| **at > third + 4000).count();
    assert!(later <= 3, "crashes at {crashes:?}");
}

/// Guards against reports of instances that have ended, which nothing replaces any more.
#[test]
fn reports_of_instances_that_ended_expire() {
    let start = Instant::now();
    let mut table = InstanceTable::new(record(0), start);
    let mut sent = digest(1, 1);
    sent.crashes = vec![(FINGERPRINT, 2)];
    assert!(table.receive(sent, true, start));
    let mut tracker = CrashTracker::default();
    let mut is_rejected = |millis| {
        let now = at(start, millis);
        let reported = table.other_crashes(FINGERPRINT, now);
        tracker.rejects(FINGERPRINT, &reported, false, now)
    };
    assert!(is_rejected(1000));
    assert!(!is_rejected(10_000));
}
