//! Immediate rejection of requests that cannot be served in time.

use std::time::Duration;

use tarragonpulley_policy::entry::admission::{
    AdmissionDecision, MAX_RETRY_AFTER, MIN_RETRY_AFTER, RejectionLoad, admit,
};
use yare::parameterized;

#[parameterized(
    in_time = { 500, 1000, true },
    within_the_tolerance = { 1200, 1000, true },
    too_late = { 1300, 1000, false },
    no_time_left = { 100, 0, false },
)]
fn admits_what_is_expected_in_time(expected_latency: u64, left: u64, admitted: bool) {
    let decision = admit(
        Duration::from_millis(expected_latency),
        Duration::from_millis(left),
        0.5,
    );
    assert_eq!(
        decision == AdmissionDecision::Admit,
        admitted,
        "{decision:?}"
    );
}

#[test]
fn jitter_spreads_the_retries_of_rejected_callers() {
    let retry = |jitter| match admit(Duration::from_secs(3), Duration::from_secs(2), jitter) {
        AdmissionDecision::Reject { retry_after } => retry_after,
        AdmissionDecision::Admit => panic!("admitted"),
    };
    assert_eq!(retry(0.0), Duration::from_secs(1));
    assert_eq!(retry(1.0), Duration::from_secs(2));
    assert!(retry(0.3) >= MIN_RETRY_AFTER && retry(1.0) <= MAX_RETRY_AFTER);
}

#[parameterized(
    idle = { Some(0.0), RejectionLoad::HasFreeSlots },
    one_slot_left = { Some(2.0), RejectionLoad::HasFreeSlots },
    no_slot_left = { Some(3.0), RejectionLoad::Full },
    queue = { Some(9.0), RejectionLoad::Full },
    no_report = { None, RejectionLoad::Full },
)]
fn a_rejection_is_classified_by_the_reported_load(reported: Option<f64>, expected: RejectionLoad) {
    assert_eq!(RejectionLoad::new(reported, 3), expected);
}

#[test]
fn retry_delays_are_shorter_when_servers_with_free_slots_rejected() {
    for jitter in [0.0, 0.5, 1.0] {
        let soon = RejectionLoad::HasFreeSlots.retry_after(jitter);
        let later = RejectionLoad::Full.retry_after(jitter);
        assert!(soon <= Duration::from_millis(100), "{soon:?}");
        assert!(later >= MIN_RETRY_AFTER, "{later:?}");
    }
    let (first, last) = (
        RejectionLoad::HasFreeSlots.retry_after(0.0),
        RejectionLoad::HasFreeSlots.retry_after(1.0),
    );
    assert!(last.saturating_sub(first) >= Duration::from_millis(40));
}
