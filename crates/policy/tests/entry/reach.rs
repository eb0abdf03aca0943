//! Whether an instance is partitioned from all servers.

use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::reach::{
    CONFIRMING_PROBES, FIRST_PROBES, ReachChange, ReachTracker,
};
use yare::parameterized;

use crate::at;

#[derive(Debug, Clone, Copy)]
enum Observation {
    Reached,
    Responded,
    NotReached,
    Silent(usize),
    /// After so many milliseconds.
    TimedOut(u64),
    ProbesFailed,
    NoServers,
}

use Observation::{NoServers, NotReached, ProbesFailed, Reached, Responded, Silent, TimedOut};

/// Each observation comes a second after the one before.
#[parameterized(
    nothing = { &[], 0, false },
    one_failure_is_a_doubt = { &[Reached, NotReached], FIRST_PROBES, false },
    a_success_ends_the_doubt = { &[NotReached, Reached], 0, false },
    responses_on_open_connections_do_not = { &[NotReached, Responded], FIRST_PROBES, false },
    one_failed_round_is_confirmed = { &[NotReached, ProbesFailed], CONFIRMING_PROBES, false },
    two_failed_rounds = { &[NotReached, ProbesFailed, ProbesFailed], FIRST_PROBES, true },
    responses_do_not_end_a_partition = { &[NotReached, ProbesFailed, ProbesFailed, Responded], FIRST_PROBES, true },
    a_connection_does = { &[NotReached, ProbesFailed, ProbesFailed, Reached], 0, false },
    servers_that_left_do = { &[NotReached, ProbesFailed, ProbesFailed, NoServers], 0, false },
    a_round_between_successes = { &[NotReached, ProbesFailed, Reached, NotReached, ProbesFailed], CONFIRMING_PROBES, false },
    silence = { &[Responded, Silent(2)], FIRST_PROBES, false },
    silence_of_one = { &[Responded, Silent(1)], 0, false },
    timeout = { &[Responded, TimedOut(500)], FIRST_PROBES, false },
    timeout_beside_responses = { &[Responded, TimedOut(1500)], 0, false },
    timeout_beside_connections = { &[Reached, TimedOut(1500)], 0, false },
    timeout_of_the_first_request = { &[TimedOut(1500)], FIRST_PROBES, false },
)]
fn partitions_are_detected(observations: &[Observation], due: usize, is_partitioned: bool) {
    let (tracker, _) = play(observations);
    assert_eq!(
        (tracker.due_probes(), tracker.is_partitioned()),
        (due, is_partitioned)
    );
}

/// The tracker after the observations, and the time of the last one.
fn play(observations: &[Observation]) -> (ReachTracker, Instant) {
    let mut now = Instant::now();
    let mut tracker = ReachTracker::default();
    for observation in observations {
        now = at(now, 1000);
        match observation {
            Reached => drop(tracker.record_reached(now)),
            Responded => tracker.record_response(now),
            NotReached => tracker.record_failure(now),
            Silent(count) => tracker.record_silent_servers(*count, now),
            TimedOut(after) => {
                let started = now.checked_sub(Duration::from_millis(*after));
                tracker.record_timeout(started.expect("a recent time"), now);
            }
            ProbesFailed => drop(tracker.record_failed_round()),
            NoServers => drop(tracker.record_no_servers()),
        }
    }
    (tracker, now)
}

/// Guards against rejections of what open connections could serve, and against requests
/// on connections that no longer carry anything.
#[parameterized(
    not_partitioned = { &[NotReached, ProbesFailed], true },
    hangs = { &[Responded, NotReached, ProbesFailed, ProbesFailed], false },
    open_connections_work = { &[NotReached, ProbesFailed, ProbesFailed, Responded], true },
    open_connections_fell_silent = { &[NotReached, ProbesFailed, ProbesFailed, Responded, ProbesFailed, ProbesFailed], false },
)]
fn open_connections_are_used_while_they_respond(observations: &[Observation], can_send: bool) {
    let (tracker, now) = play(observations);
    assert_eq!(tracker.can_send(now), can_send);
}

#[test]
fn each_change_is_reported_once() {
    let start = Instant::now();
    let mut tracker = ReachTracker::default();
    tracker.record_failure(start);
    let rounds: Vec<Option<ReachChange>> = (0..4).map(|_| tracker.record_failed_round()).collect();
    assert_eq!(rounds, [None, Some(ReachChange::Partitioned), None, None]);
    assert_eq!(tracker.record_reached(start), Some(ReachChange::Restored));
    assert_eq!(tracker.record_reached(start), None);
}

#[test]
fn silence_right_after_a_response_or_a_connection_is_no_doubt() {
    let start = Instant::now();
    let mut tracker = ReachTracker::default();
    tracker.record_response(start);
    tracker.record_silent_servers(9, at(start, 500));
    assert_eq!(tracker.due_probes(), 0);
    tracker.record_reached(at(start, 700));
    tracker.record_silent_servers(9, at(start, 1600));
    assert_eq!(tracker.due_probes(), 0);
    tracker.record_silent_servers(9, at(start, 1800));
    assert_eq!(tracker.due_probes(), FIRST_PROBES);
}
