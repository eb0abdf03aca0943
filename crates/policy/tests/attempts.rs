//! Tests of retries, quarantine, claims, health probes and leases.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tarragonpulley_policy::claim::{
    ClaimDecision, ClaimIdentity, ClaimRow, ClaimState, InsertAction, InsertOutcome,
    RecordedResponse, after_insert, decide_claim,
};
use tarragonpulley_policy::contract::RouteKind;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::InstanceName;
use tarragonpulley_policy::lease::{LEASE_TTL, LeaseObserver, RENEW_INTERVAL};
use tarragonpulley_policy::probing::{ProbeOutcome, ProbeTracker, is_prober};
use tarragonpulley_policy::quarantine::{
    BrokenConnection, CrashCounter, QuarantineDecision, RequestFingerprint, RunningFingerprints,
    quarantine_decision, total_crashes,
};
use tarragonpulley_policy::retry::{
    AttemptFailure, RequestDeadline, RetryBudget, RunOutcome, combined_outcome,
};
use yare::parameterized;

const FAILURES: [AttemptFailure; 7] = [
    AttemptFailure::NotConnected,
    AttemptFailure::Shed,
    AttemptFailure::ConnectionBroken,
    AttemptFailure::InvalidResponse,
    AttemptFailure::ResponseTooLarge,
    AttemptFailure::TimedOut,
    AttemptFailure::ServerError,
];

/// Guards against retrying a request that may have run on an at-most-once route,
/// and against reporting such a request as "not run".
#[test]
fn only_requests_that_did_not_run_are_retried_on_once_routes() {
    for failure in FAILURES {
        let safe = matches!(failure, AttemptFailure::NotConnected | AttemptFailure::Shed);
        assert_eq!(failure.may_retry(RouteKind::Once), safe, "{failure:?}");
        assert_eq!(failure.outcome() == RunOutcome::NotRun, safe, "{failure:?}");
    }
}

/// Guards against a later failed attempt that hides that an earlier one ran or
/// may have run.
#[parameterized(
    none = { &[], RunOutcome::NotRun },
    not_run = { &[AttemptFailure::Shed, AttemptFailure::NotConnected], RunOutcome::NotRun },
    early = { &[AttemptFailure::TimedOut, AttemptFailure::Shed], RunOutcome::Unknown },
    late = { &[AttemptFailure::Shed, AttemptFailure::InvalidResponse], RunOutcome::Unknown },
    ran = { &[AttemptFailure::ServerError, AttemptFailure::TimedOut], RunOutcome::Ran },
)]
fn outcomes_of_attempts_are_combined(failures: &[AttemptFailure], expected: RunOutcome) {
    assert_eq!(combined_outcome(failures.iter().copied()), expected);
}

/// Guards against a caller that extends the deadline of the route, and against
/// time left at the deadline itself.
#[test]
fn a_caller_may_only_shorten_its_deadline() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let deadline = |caller| RequestDeadline::new(start, second, caller);
    assert_eq!(deadline(Some(second * 9)).remaining(start), Some(second));
    let short = deadline(Some(second / 2));
    assert_eq!(short.remaining(start), Some(second / 2));
    assert_eq!(short.remaining(start + second / 2), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(12), ..ProptestConfig::default() })]

    /// Guards against retry storms: attempts must not exceed 1.1 times the
    /// requests.
    #[test]
    fn retries_stay_within_ten_percent(wanted_retries in prop::collection::vec(0_u8..5, 0..500)) {
        let mut budget = RetryBudget::new();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for wanted in wanted_retries {
            budget.deposit();
            requests += 1;
            for _ in 0..wanted {
                retries += u64::from(budget.spend());
            }
            prop_assert!((requests + retries) * 10 <= requests * 11);
        }
    }
}

/// Guards against equal fingerprints of requests that differ only in where one
/// part ends and the next begins.
#[test]
fn fingerprints_separate_parts() {
    let service = "lunwan/desk".parse().unwrap();
    let fingerprint =
        |method, target, body: &[u8]| RequestFingerprint::new(&service, method, target, body);
    let all = [
        fingerprint("GET", "/a", b"b"),
        fingerprint("GET", "/ab", b""),
        fingerprint("GETx", "/a", b"b"),
    ];
    assert!(all[0] != all[1] && all[0] != all[2]);
    assert_eq!(all[0], fingerprint("GET", "/a", b"b"));
}

/// Guards against a third crash by one request, and against counting crashes of
/// other requests.
#[test]
fn crashes_of_all_instances_are_summed() {
    let fact = |fingerprint, instance: &str, count| {
        let key = FactKey::CrashCount(fingerprint, instance.parse().unwrap());
        (key, FactValue::Count(count))
    };
    let facts = [fact(1, "e1#1", 1), fact(1, "e2#1", 1), fact(2, "e1#1", 1)];
    let decision = |fingerprint| quarantine_decision(total_crashes(&facts, fingerprint));
    assert_eq!(decision(1), QuarantineDecision::Rejected);
    assert_eq!(decision(2), QuarantineDecision::Suspect);
    assert_eq!(decision(3), QuarantineDecision::Clear);
}

/// Guards against quarantine of a frequent request that ran at the same time as
/// one that crashes servers, and against a crashing request that is not counted.
#[parameterized(
    alone = { true, false, 1, 1 },
    concurrent = { true, true, 0, 1 },
    no_crash = { false, false, 0, 0 },
)]
fn a_shared_crash_is_dropped_after_success(
    crashed: bool,
    shared: bool,
    after_success: u64,
    after_failure: u64,
) {
    let mut counter = CrashCounter::default();
    counter.record_broken_connection(BrokenConnection { crashed, shared });
    assert_eq!(counter.counted_crashes(true), after_success);
    assert_eq!(counter.counted_crashes(false), after_failure);
}

/// Guards against concurrent runs of a request that has crashed a server.
#[test]
fn a_suspect_does_not_run_concurrently() {
    let mut running = RunningFingerprints::default();
    assert!(running.try_begin(1, QuarantineDecision::Clear));
    assert!(running.try_begin(1, QuarantineDecision::Clear));
    assert!(!running.try_begin(1, QuarantineDecision::Suspect));
    running.end(1);
    running.end(1);
    assert!(running.try_begin(1, QuarantineDecision::Suspect));
}

fn row(state: ClaimState) -> ClaimRow {
    ClaimRow {
        nonce: "mine".to_owned(),
        fingerprint: "print".to_owned(),
        incarnation: "e1#1".parse().unwrap(),
        state,
    }
}

fn response() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        headers: Vec::new(),
        body: None,
    }
}

/// Guards against a second run of a claimed request, and against returning a
/// recorded response to a different request with the same identity.
#[parameterized(
    own = { ClaimState::Running, "mine", "print", false, ClaimDecision::Held },
    running = { ClaimState::Running, "other", "print", false, ClaimDecision::StillRunning },
    holder_removed = { ClaimState::Running, "other", "print", true, ClaimDecision::Unknown },
    unknown = { ClaimState::Unknown, "mine", "print", false, ClaimDecision::Unknown },
    done = { ClaimState::Done(response()), "other", "print", true, ClaimDecision::Recorded(response()) },
    reused = { ClaimState::Done(response()), "mine", "else", false, ClaimDecision::Reused },
)]
fn a_claim_is_decided_by_its_row(
    state: ClaimState,
    nonce: &str,
    fingerprint: &str,
    holder_removed: bool,
    expected: ClaimDecision,
) {
    assert_eq!(
        decide_claim(&row(state), nonce, fingerprint, holder_removed),
        expected
    );
}

/// Guards against a claim that is treated as held, or rejected, although the
/// outcome of the insert does not show that.
#[parameterized(
    applied = { InsertOutcome::Applied, InsertAction::Hold },
    conflict = { InsertOutcome::Conflict, InsertAction::ReadBack },
    unknown = { InsertOutcome::Unknown, InsertAction::ReadBack },
    not_applied = { InsertOutcome::NotApplied, InsertAction::Reject },
)]
fn the_insert_outcome_selects_the_action(outcome: InsertOutcome, expected: InsertAction) {
    assert_eq!(after_insert(outcome), expected);
}

/// Guards against an idempotency key that produces the row key of another
/// identity.
#[parameterized(
    plain = { "a-B_1.2:3", true },
    slash = { "a/b", false },
    space = { "a b", false },
    empty = { "", false },
)]
fn an_identity_is_validated(key: &str, valid: bool) {
    let team = "lunwan/counter".parse().unwrap();
    let identity = ClaimIdentity::new(team, "desk".parse().unwrap(), key);
    assert_eq!(identity.is_ok(), valid);
}

/// Guards against servers that no instance or every instance probes.
#[test]
fn two_live_instances_probe_each_server() {
    let names: Vec<InstanceName> = (0..12).map(|n| format!("e{n}").parse().unwrap()).collect();
    let live: Vec<&InstanceName> = names.iter().collect();
    for number in 0..50 {
        let server = format!("lunwan/desk/s{number}").parse().unwrap();
        let probers = names.iter().filter(|own| is_prober(&server, own, &live));
        assert_eq!(probers.count(), 2);
        let alone = is_prober(&server, &names[0], &live[..1]);
        assert!(alone, "the last instance probes all servers");
    }
}

/// Guards against marking a server as unhealthy after one lost probe, and
/// against delaying a change of health until the next heartbeat.
#[test]
fn a_probe_changes_health() {
    let responded = |leaving| ProbeOutcome::Responded {
        healthy: true,
        leaving,
        load: 2,
        uptime: None,
    };
    let mut tracker = ProbeTracker::default();
    let steps = [
        (responded(false), true, false),
        (ProbeOutcome::NoResponse, true, false),
        (ProbeOutcome::NoResponse, false, true),
        (responded(false), true, true),
        (responded(true), true, true),
        (ProbeOutcome::ConnectionRefused, false, true),
    ];
    for (index, (outcome, healthy, urgent)) in steps.into_iter().enumerate() {
        let change = tracker.record_probe(outcome);
        assert_eq!(
            (change.report.healthy, change.urgent),
            (healthy, urgent),
            "step {index}"
        );
    }
}

/// Guards against expiry of a lease that its holder renews, and against expiry
/// right after an outage of the table in which no holder could renew.
#[test]
fn a_lease_expires_without_renewal() {
    let start = Instant::now();
    let expired = start + LEASE_TTL + RENEW_INTERVAL;
    let mut observer = LeaseObserver::new();
    assert!(!observer.record_revision("row", 1, start));
    assert!(!observer.record_revision("row", 1, start + LEASE_TTL));
    assert!(observer.record_revision("row", 1, expired));
    assert!(
        !observer.record_revision("row", 2, expired),
        "the lease was renewed"
    );
    assert!(!observer.record_revision("row", 2, expired + LEASE_TTL));
    observer.reset();
    assert!(
        !observer.record_revision("row", 2, expired + LEASE_TTL * 2),
        "the table was unreachable"
    );
}
