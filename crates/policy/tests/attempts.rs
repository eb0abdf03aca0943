//! Retries, quarantine, claims, probes and leases.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tarragonpulley_policy::claim::{
    ClaimIdentity, ClaimRow, ClaimState, ClaimVerdict, InsertAnswer, InsertStep, RecordedAnswer,
    after_insert, judge_row,
};
use tarragonpulley_policy::contract::RouteKind;
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::InstanceName;
use tarragonpulley_policy::lease::{LEASE_TIME, LeaseObserver, RENEW_INTERVAL};
use tarragonpulley_policy::probing::{ProbeOutcome, ProbeTally, is_prober};
use tarragonpulley_policy::quarantine::{
    BreakReport, CrashTally, QuarantineVerdict, RequestFingerprint, SuspectList, judge,
    total_crashes,
};
use tarragonpulley_policy::retry::{
    AttemptFailure, RequestDeadline, RetryBudget, RunOutcome, combined_outcome,
};
use yare::parameterized;

const FAILURES: [AttemptFailure; 7] = [
    AttemptFailure::NotConnected,
    AttemptFailure::Shed,
    AttemptFailure::ConnectionBroken,
    AttemptFailure::AnswerBroken,
    AttemptFailure::AnswerTooLarge,
    AttemptFailure::TimedOut,
    AttemptFailure::ServerError,
];

/// Guards against a request that may have run and is sent again on a route
/// that allows one run, or is reported as "not run".
#[test]
fn only_a_request_that_did_not_run_is_repeated_once() {
    for failure in FAILURES {
        let safe = matches!(failure, AttemptFailure::NotConnected | AttemptFailure::Shed);
        assert_eq!(failure.may_repeat(RouteKind::Once), safe, "{failure:?}");
        assert_eq!(failure.outcome() == RunOutcome::NotRun, safe, "{failure:?}");
    }
}

/// Guards against a later failure that hides an earlier run.
#[parameterized(
    none = { &[], RunOutcome::NotRun },
    not_run = { &[AttemptFailure::Shed, AttemptFailure::NotConnected], RunOutcome::NotRun },
    early = { &[AttemptFailure::TimedOut, AttemptFailure::Shed], RunOutcome::Unknown },
    late = { &[AttemptFailure::Shed, AttemptFailure::AnswerBroken], RunOutcome::Unknown },
    ran = { &[AttemptFailure::ServerError, AttemptFailure::TimedOut], RunOutcome::Ran },
)]
fn outcomes_add_up(failures: &[AttemptFailure], expected: RunOutcome) {
    assert_eq!(combined_outcome(failures.iter().copied()), expected);
}

/// Guards against a caller that lengthens a deadline, and against a deadline
/// that counts as open when it has just passed.
#[test]
fn a_caller_may_only_shorten_its_deadline() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let deadline = |asked| RequestDeadline::new(start, second, asked);
    assert_eq!(deadline(Some(second * 9)).remaining(start), Some(second));
    let short = deadline(Some(second / 2));
    assert_eq!(short.remaining(start), Some(second / 2));
    assert_eq!(short.remaining(start + second / 2), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(12), ..ProptestConfig::default() })]

    /// Guards against retry storms: attempts exceed 1.1 times the requests.
    #[test]
    fn retries_stay_within_a_tenth(asks in prop::collection::vec(0_u8..5, 0..500)) {
        let mut budget = RetryBudget::new();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for ask in asks {
            budget.deposit();
            requests += 1;
            for _ in 0..ask {
                retries += u64::from(budget.spend());
            }
            prop_assert!((requests + retries) * 10 <= requests * 11);
        }
    }
}

/// Guards against equal fingerprints of different requests.
#[test]
fn fingerprints_keep_parts_apart() {
    let service = "lunwan/desk".parse().unwrap();
    let of = |method, target, body: &[u8]| RequestFingerprint::new(&service, method, target, body);
    let all = [
        of("GET", "/a", b"b"),
        of("GET", "/ab", b""),
        of("GETx", "/a", b"b"),
    ];
    assert!(all[0] != all[1] && all[0] != all[2]);
    assert_eq!(all[0], of("GET", "/a", b"b"));
}

/// Guards against a third crash, and against crashes of other requests that
/// are counted.
#[test]
fn crashes_of_all_instances_add_up() {
    let fact = |print, instance: &str, count| {
        let key = FactKey::CrashCount(print, instance.parse().unwrap());
        (key, FactValue::Count(count))
    };
    let facts = [fact(1, "e1#1", 1), fact(1, "e2#1", 1), fact(2, "e1#1", 1)];
    let verdict = |print| judge(total_crashes(&facts, print));
    assert_eq!(verdict(1), QuarantineVerdict::Refused);
    assert_eq!(verdict(2), QuarantineVerdict::Suspect);
    assert_eq!(verdict(3), QuarantineVerdict::Clear);
}

/// Guards against a popular lookup that is quarantined because it ran beside
/// the request that crashes, and against a poison request that goes free.
#[parameterized(
    alone = { true, false, 1, 1 },
    beside = { true, true, 0, 1 },
    no_crash = { false, false, 0, 0 },
)]
fn a_shared_crash_is_dropped_after_success(
    crashed: bool,
    shared: bool,
    after_success: u64,
    after_failure: u64,
) {
    let mut tally = CrashTally::default();
    tally.note(BreakReport { crashed, shared });
    assert_eq!(tally.to_count(true), after_success);
    assert_eq!(tally.to_count(false), after_failure);
}

/// Guards against several runs at once of a request that crashed a server.
#[test]
fn a_suspect_runs_alone() {
    let mut list = SuspectList::default();
    assert!(list.begin(1, QuarantineVerdict::Clear));
    assert!(list.begin(1, QuarantineVerdict::Clear));
    assert!(!list.begin(1, QuarantineVerdict::Suspect));
    list.end(1);
    list.end(1);
    assert!(list.begin(1, QuarantineVerdict::Suspect));
}

fn row(state: ClaimState) -> ClaimRow {
    ClaimRow {
        nonce: "mine".to_owned(),
        fingerprint: "print".to_owned(),
        incarnation: "e1#1".parse().unwrap(),
        state,
    }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: None,
    }
}

/// Guards against a second run of a claimed request, and against an answer
/// that goes to another request under the same identity.
#[parameterized(
    own = { ClaimState::Running, "mine", "print", false, ClaimVerdict::Held },
    running = { ClaimState::Running, "other", "print", false, ClaimVerdict::StillRunning },
    holder_gone = { ClaimState::Running, "other", "print", true, ClaimVerdict::Unknown },
    unknown = { ClaimState::Unknown, "mine", "print", false, ClaimVerdict::Unknown },
    done = { ClaimState::Done(answer()), "other", "print", true, ClaimVerdict::Recorded(answer()) },
    reused = { ClaimState::Done(answer()), "mine", "else", false, ClaimVerdict::Reused },
)]
fn a_claim_row_is_judged(
    state: ClaimState,
    nonce: &str,
    fingerprint: &str,
    gone: bool,
    expected: ClaimVerdict,
) {
    assert_eq!(judge_row(&row(state), nonce, fingerprint, gone), expected);
}

/// Guards against a claim that is taken for held, or refused, when the table's
/// answer does not say so.
#[parameterized(
    applied = { InsertAnswer::Applied, InsertStep::Hold },
    conflict = { InsertAnswer::Conflict, InsertStep::ReadBack },
    lost = { InsertAnswer::Lost, InsertStep::ReadBack },
    not_applied = { InsertAnswer::NotApplied, InsertStep::Refuse },
)]
fn an_insert_answer_is_judged(answer: InsertAnswer, expected: InsertStep) {
    assert_eq!(after_insert(answer), expected);
}

/// Guards against an identity that reaches into another row key.
#[parameterized(
    plain = { "a-B_1.2:3", true },
    slash = { "a/b", false },
    space = { "a b", false },
    empty = { "", false },
)]
fn an_identity_is_checked(key: &str, valid: bool) {
    let team = "lunwan/counter".parse().unwrap();
    let identity = ClaimIdentity::new(team, "desk".parse().unwrap(), key);
    assert_eq!(identity.is_ok(), valid);
}

/// Guards against servers that nobody probes, or that everybody probes.
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

/// Guards against one lost probe that takes a server out, and against a change
/// that waits for the next heartbeat.
#[test]
fn a_probe_changes_health() {
    let answered = |leaving| ProbeOutcome::Answered {
        healthy: true,
        leaving,
        load: 2,
        uptime: None,
    };
    let mut tally = ProbeTally::default();
    let steps = [
        (answered(false), true, false),
        (ProbeOutcome::NoAnswer, true, false),
        (ProbeOutcome::NoAnswer, false, true),
        (answered(false), true, true),
        (answered(true), true, true),
        (ProbeOutcome::Refused, false, true),
    ];
    for (index, (outcome, healthy, urgent)) in steps.into_iter().enumerate() {
        let change = tally.note(outcome);
        assert_eq!(
            (change.report.healthy, change.urgent),
            (healthy, urgent),
            "step {index}"
        );
    }
}

/// Guards against a lease that is taken while its holder renews, or right
/// after an outage of the table in which nobody could renew.
#[test]
fn a_lease_lapses_after_a_quiet_time() {
    let start = Instant::now();
    let late = start + LEASE_TIME + RENEW_INTERVAL;
    let mut observer = LeaseObserver::new();
    assert!(!observer.note("row", 1, start));
    assert!(!observer.note("row", 1, start + LEASE_TIME));
    assert!(observer.note("row", 1, late));
    assert!(!observer.note("row", 2, late), "it was renewed");
    assert!(!observer.note("row", 2, late + LEASE_TIME));
    observer.restart();
    assert!(
        !observer.note("row", 2, late + LEASE_TIME * 2),
        "the table was down"
    );
}
