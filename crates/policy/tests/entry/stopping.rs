//! Requests that arrive while an instance stops.

use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::stopping::{StopSchedule, StoppingRequest};
use yare::parameterized;

use crate::at;

const DRAIN_PERIOD: Duration = Duration::from_millis(2700);
const STOP_TIMEOUT: Duration = Duration::from_millis(5850);

/// Guards against a request that is sent because of a wrong estimate and is cut when the
/// process ends. One that must not be repeated, or that may wait in a queue, needs to be
/// certain in both parts of a stop.
#[parameterized(
    early_and_short = { 100, 100, 500, 8000, true, false },
    early_and_certain = { 100, 100, 500, 4000, true, true },
    early_and_longer_than_the_stop = { 100, 100, 6000, 8000, false, false },
    early_and_sent_again_late = { 100, 5000, 500, 8000, true, false },
    early_and_sent_again_late_though_certain = { 1000, 5000, 500, 4500, true, true },
    early_and_sent_again_too_late = { 100, 5500, 500, 8000, false, false },
    early_with_a_deadline_after_the_end = { 2600, 2600, 500, 4000, true, false },
    late_and_certain = { 3000, 3000, 500, 2500, true, true },
    late_and_only_expected_to_complete = { 3000, 3000, 500, 8000, false, false },
    late_and_after_the_end = { 4500, 4500, 500, 1500, false, false },
)]
fn requests_are_sent_if_they_complete_before_the_end(
    received: u64,
    now: u64,
    expected_ms: u64,
    timeout_ms: u64,
    accepted_if_repeatable: bool,
    accepted_otherwise: bool,
) {
    let start = Instant::now();
    let schedule = StopSchedule::new(start, DRAIN_PERIOD, STOP_TIMEOUT);
    let cases = [
        (true, false, accepted_if_repeatable),
        (true, true, accepted_otherwise),
        (false, false, accepted_otherwise),
        (false, true, accepted_otherwise),
    ];
    for (repeatable, may_queue, accepted) in cases {
        let request = StoppingRequest {
            received: at(start, received),
            repeatable,
            may_queue,
            expected_latency: Duration::from_millis(expected_ms),
            deadline: at(start, received + timeout_ms),
        };
        let found = schedule.accepts(&request, at(start, now));
        assert_eq!(
            found, accepted,
            "repeatable: {repeatable}, may queue: {may_queue}"
        );
    }
}

#[test]
fn connections_are_closed_halfway_through_a_short_stop() {
    let start = Instant::now();
    let schedule = StopSchedule::new(start, DRAIN_PERIOD, Duration::from_secs(2));
    assert_eq!(schedule.closes_at(), at(start, 1000));
    assert_eq!(schedule.ends_at(), at(start, 2000));
}
