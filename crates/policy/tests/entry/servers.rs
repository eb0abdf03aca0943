//! Passive health checks: the health of a server as concluded from its responses.

use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::digest::SuspectReason;
use tarragonpulley_policy::entry::health::ServerHealth;
use tarragonpulley_policy::entry::reach::ReachTracker;
use tarragonpulley_policy::entry::server_evidence::ServerReport;
use yare::parameterized;

use crate::at;

const TARGET: Duration = Duration::from_millis(600);
const EXPECTED: Duration = Duration::from_millis(300);

#[test]
fn slowness_is_detected_and_decays() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    for step in 0..8 {
        health.record_response(EXPECTED * 4, EXPECTED, false, at(start, step * 100));
    }
    let (slowness, _) = health.averages(at(start, 800));
    assert!(slowness > 3.0, "{slowness}");
    let (slowness, _) = health.averages(at(start, 30_800));
    assert!(slowness < 1.1, "{slowness}");
}

#[test]
fn failures_count_and_do_not_make_a_server_look_fast() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    for step in 0..6 {
        health.record_response(
            Duration::from_millis(1),
            EXPECTED,
            true,
            at(start, step * 50),
        );
    }
    let (slowness, failure_ratio) = health.averages(at(start, 300));
    assert!(
        failure_ratio > 0.7 && slowness >= 0.99,
        "failing {failure_ratio}, slowness {slowness}"
    );
}

#[test]
fn an_unresponsive_server_is_suspended_until_it_responds() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    let ticket = health.record_sent(start);
    assert!(!health.is_suspended(TARGET, at(start, 1400)));
    assert!(health.is_suspended(TARGET, at(start, 1600)));
    health.record_activity(at(start, 1700));
    assert!(!health.is_suspended(TARGET, at(start, 1800)));
    health.record_ended(ticket);
    assert!(!health.is_suspended(TARGET, at(start, 9000)));
}

#[test]
fn suspensions_grow_and_end_with_a_response() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    health.suspend(start);
    assert!(health.is_suspended(TARGET, at(start, 400)));
    assert!(!health.is_suspended(TARGET, at(start, 600)));
    health.suspend(at(start, 600));
    assert!(health.is_suspended(TARGET, at(start, 1500)));
    health.record_activity(at(start, 1500));
    assert!(!health.is_suspended(TARGET, at(start, 1500)));
}

#[test]
fn load_is_own_requests_plus_the_larger_report_of_other_requests() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    let _ticket = health.record_sent(start);
    health.record_report(
        &ServerReport {
            running: 3,
            waiting: 1,
            pace: None,
        },
        start,
    );
    assert!((health.load(start) - 4.0).abs() < 0.01);
    health.set_peer_load(9.0);
    assert!((health.load(start) - 10.0).abs() < 0.01);
    health.set_peer_load(0.0);
    assert!(
        (health.load(at(start, 10_000)) - 1.0).abs() < 0.01,
        "an old report does not count"
    );
}

#[test]
fn a_server_that_was_replaced_is_not_used_again_and_reported() {
    let start = Instant::now();
    let reach = ReachTracker::default();
    let mut health = ServerHealth::new(start);
    assert_eq!(health.suspect_reason(&reach, start), None);
    health.mark_replaced();
    let much_later = at(start, 60_000);
    assert!(health.is_suspended(TARGET, much_later));
    assert_eq!(
        health.suspect_reason(&reach, much_later),
        Some(SuspectReason::Replaced)
    );
}

#[test]
fn an_unreachable_server_is_reported_for_a_while_or_until_it_responds() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    health.suspend(start);
    let mut reach = ReachTracker::default();
    reach.record_reached(at(start, 3_010));
    let reported = |health: &ServerHealth, milli| health.suspect_reason(&reach, at(start, milli));
    assert_eq!(reported(&health, 1_900), Some(SuspectReason::Unreachable));
    assert_eq!(reported(&health, 2_100), None);
    health.suspend(at(start, 3_000));
    health.record_activity(at(start, 3_100));
    assert_eq!(reported(&health, 3_200), None);
}

/// Guards against instances that report their own broken links as failures of servers.
#[parameterized(
    not_reached_since = { 0, false, None },
    reached_since = { 200, false, Some(SuspectReason::Unreachable) },
    partitioned = { 200, true, None },
)]
fn an_unreachable_server_is_reported_only_if_others_are_reached(
    reached_ms: u64,
    is_partitioned: bool,
    reason: Option<SuspectReason>,
) {
    let start = Instant::now();
    let mut reach = ReachTracker::default();
    reach.record_reached(at(start, reached_ms));
    if is_partitioned {
        reach.record_failed_round();
        reach.record_failed_round();
    }
    let mut health = ServerHealth::new(start);
    health.suspend(at(start, 100));
    assert_eq!(health.suspect_reason(&reach, at(start, 300)), reason);
}

#[test]
fn a_server_excluded_by_other_instances_is_avoided_while_they_report_it() {
    let start = Instant::now();
    let mut health = ServerHealth::new(start);
    health.set_excluded(true);
    assert!(health.is_suspended(TARGET, start));
    // Reports of other instances are not forwarded as an own observation.
    let reach = ReachTracker::default();
    assert_eq!(health.suspect_reason(&reach, start), None);
    health.set_excluded(false);
    assert!(!health.is_suspended(TARGET, start));
}
