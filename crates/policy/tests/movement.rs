//! The state machine of moves, their steps, and the resulting shares.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_policy::ids::{ServiceKey, VersionName};
use tarragonpulley_policy::movement::{
    MoveEvidence, MoveOrder, MoveStateMachine, SETTLE_TIME, StepDecision, TargetAssessment,
    centre_shifts, check_contract_change, check_order, stable_version, version_shares,
};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, DrainTarget, MoveKind, MoveRecord};
use tarragonpulley_policy::units::TrafficShare;
use yare::parameterized;

const STATE_MACHINE: &str = include_str!("../src/movement.toml");
const LUNWAN: &str = include_str!("../../../contracts/lunwan.toml");
const SERVICE: &str = "lunwan/fitdesk";
const OLD: &str = "fitdesk-41";
const NEW: &str = "fitdesk-42";
const TICK: Duration = Duration::from_millis(100);

fn start() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000)
}

fn service() -> ServiceKey {
    SERVICE.parse().expect("valid")
}

fn version(name: &str) -> VersionName {
    name.parse().expect("valid")
}

fn rollout(from: &str, to: &str) -> MoveKind {
    MoveKind::Rollout {
        service: service(),
        from: version(from),
        to: version(to),
    }
}

fn shift(from: &str, to: &str) -> MoveKind {
    MoveKind::CentreShift {
        service: service(),
        from: from.parse().expect("valid"),
        to: to.parse().expect("valid"),
    }
}

/// The sample contract with every second server on the new version.
fn contract() -> CustomerContract {
    let mut contract = CustomerContract::parse("lunwan.toml", LUNWAN).expect("valid");
    let plan = contract
        .services
        .get_mut(&service().service)
        .expect("known");
    for server in plan.servers.values_mut().step_by(2) {
        server.version = version(NEW);
    }
    contract
}

fn snapshot() -> ConfigSnapshot {
    let contract = contract();
    let mut snapshot = ConfigSnapshot::default();
    snapshot
        .contracts
        .insert(contract.customer.clone(), contract.into());
    snapshot
}

fn order(kind: MoveKind) -> MoveOrder {
    MoveOrder {
        name: "first".parse().expect("valid"),
        kind,
        cap: TrafficShare::from_percent(5),
        deadline: Duration::from_secs(30),
    }
}

fn planned() -> MoveRecord {
    check_order(&snapshot(), &order(rollout(OLD, NEW)), start()).expect("valid")
}

fn ended(kind: MoveKind, state: &str, second: u64) -> MoveRecord {
    let share = if state == "completed" {
        TrafficShare::ALL
    } else {
        TrafficShare::NONE
    };
    MoveRecord {
        kind,
        state: state.to_owned(),
        share,
        step_started: start() + Duration::from_secs(second),
        ..planned()
    }
}

fn evidence(assessment: TargetAssessment, requests: u64) -> MoveEvidence {
    MoveEvidence {
        assessment,
        requests,
        cancel_reason: None,
    }
}

/// Drives a move tick by tick. Returns each record with the time of its write.
fn drive(
    mut evidence: impl FnMut(&MoveRecord, Duration) -> MoveEvidence,
) -> Vec<(Duration, MoveRecord)> {
    let state_machine = MoveStateMachine::built_in().expect("valid");
    let mut record = planned();
    let mut written = vec![(Duration::ZERO, record.clone())];
    for tick in 0..600 {
        let elapsed = TICK * tick;
        let seen = evidence(&record, elapsed);
        match state_machine.next_step(&record, &seen, start() + elapsed) {
            StepDecision::Write(next) => {
                assert_eq!(next.epoch, record.epoch + 1);
                record = *next;
                written.push((elapsed, record.clone()));
            }
            StepDecision::Wait(wait) => assert!(!wait.is_zero(), "no busy loop"),
            StepDecision::Ended => return written,
            StepDecision::UnknownState(state) => panic!("unknown state {state}"),
        }
    }
    panic!("the move did not end: {written:?}");
}

fn last(written: &[(Duration, MoveRecord)]) -> (Duration, &str, TrafficShare) {
    let (elapsed, record) = written.last().expect("a record");
    (*elapsed, record.state.as_str(), record.share)
}

// Guards against a changed definition that loses events, has states that moves
// cannot leave, or uses unknown names.
#[parameterized(
    unknown_state = { "to = \"completed\"", "to = \"done\"", "\"done\" is not a valid move state" },
    unknown_event = { "on = \"cancel\"", "on = \"stop\"", "\"stop\" is not a valid move event" },
    unknown_guard = { "\"settled\"", "\"rested\"", "\"rested\" is not a valid move guard" },
    unknown_action = { "\"drop_share\"", "\"drop\"", "\"drop\" is not a valid move action" },
    unreachable = { "to = \"completed\"", "to = \"taking_back\"", "state[completed]: cannot be reached" },
    no_exit = { "to = \"taken_back\"\nguards", "to = \"taking_back\"\nguards", "state[taking_back]: leads to no final state" },
    missing = { "ignores = [\"step\", \"sound\"]", "ignores = [\"step\"]", "state[planned]: has no transition on sound" },
    both = { "ignores = [\"start\"]", "ignores = [\"start\", \"cancel\"]", "state[shifting]: both handles and ignores cancel" },
    left_out = { "name = \"planned\"", "name = \"shifting\"", "state[planned]: is missing" },
    not_final = { "final = true", "final = false", "state[completed]: final must be true" },
    leaves_end = { "from = \"taking_back\"", "from = \"taken_back\"", "a final state must have no transition on step" },
    syntax = { "[[state]]", "[[sate]]", "not well-formed" },
)]
fn an_invalid_definition_is_rejected(find: &str, replace: &str, message: &str) {
    assert!(STATE_MACHINE.contains(find));
    let error = MoveStateMachine::load(&STATE_MACHINE.replace(find, replace)).expect_err("broken");
    assert!(error.to_string().contains(message), "{error}");
}

// Guards against a good rollout that is not completed in time, or whose shares
// are out of order.
#[parameterized(
    many_requests = { 1000 },
    few_requests = { 0 },
)]
fn a_good_rollout_completes_before_its_deadline(requests: u64) {
    let written = drive(|_, _| evidence(TargetAssessment::Sound, requests));
    let (elapsed, state, share) = last(&written);
    assert_eq!((state, share), ("completed", TrafficShare::ALL));
    assert!(elapsed < Duration::from_secs(27), "{elapsed:?}");
    let shares: Vec<_> = written.iter().map(|(_, r)| r.share).collect();
    let percents = [0, 1, 5, 25, 50, 100, 100].map(TrafficShare::from_percent);
    assert_eq!(shares, percents);
}

// Guards against a version that is proved sound late and misses its deadline
// although there was enough time left.
#[test]
fn a_late_proof_still_completes() {
    let written = drive(|_, elapsed| {
        let sound = elapsed >= Duration::from_secs(21);
        evidence(
            if sound {
                TargetAssessment::Sound
            } else {
                TargetAssessment::Undecided
            },
            100,
        )
    });
    assert_eq!(last(&written).1, "completed");
}

// Guards against a share above the cap without proof, and against a move that
// neither completes nor is rolled back.
#[test]
fn an_unproved_version_stays_under_the_cap_and_is_taken_back() {
    let written = drive(|_, _| evidence(TargetAssessment::Undecided, 1_000_000));
    let cap = TrafficShare::from_percent(5);
    assert!(written.iter().all(|(_, r)| r.share <= cap));
    let (elapsed, state, share) = last(&written);
    assert_eq!((state, share), ("taken_back", TrafficShare::NONE));
    assert!(elapsed <= Duration::from_secs(30), "{elapsed:?}");
    assert!(
        written
            .last()
            .expect("a record")
            .1
            .reason
            .contains("deadline")
    );
}

// Guards against a fault that does not set the share to zero at the next
// evaluation, in any step of the move.
#[parameterized(
    at_start = { 0 }, first = { 1 }, capped = { 7 }, above = { 14 }, whole = { 22 },
)]
fn a_fault_takes_the_move_back_at_once(second: u64) {
    let fault = Duration::from_secs(second);
    let written = drive(|_, elapsed| {
        let bad = elapsed >= fault;
        let assessment = if bad {
            TargetAssessment::Faulty("5xx".to_owned())
        } else {
            TargetAssessment::Sound
        };
        evidence(assessment, 0)
    });
    let after: Vec<_> = written
        .iter()
        .filter(|(elapsed, _)| *elapsed >= fault)
        .collect();
    assert!(
        after
            .iter()
            .skip(usize::from(fault.is_zero()))
            .all(|(_, r)| r.share == TrafficShare::NONE)
    );
    assert!(after.iter().any(|(_, r)| r.reason.contains("fault: 5xx")));
    let (elapsed, state, _) = last(&written);
    assert_eq!(state, "taken_back");
    assert!(elapsed <= fault + SETTLE_TIME + TICK);
}

// Guards against a cancellation that waits for the end of a step, or is lost.
#[test]
fn a_cancel_takes_the_move_back() {
    let written = drive(|_, elapsed| MoveEvidence {
        cancel_reason: (elapsed >= Duration::from_secs(8)).then(|| "operator".to_owned()),
        ..evidence(TargetAssessment::Sound, 0)
    });
    assert_eq!(last(&written).1, "taken_back");
    assert!(
        written
            .iter()
            .any(|(_, r)| r.reason == "cancelled: operator")
    );
}

// Guards against sequences of evidence that lead to a share above the cap, a
// missed deadline, or a move that does not end. Runs 500 seeded sequences.
#[test]
fn every_sequence_of_evidence_keeps_the_invariants() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sound_seen = false;
        let written = drive(|_, _| {
            let assessment = match rng.random_range(0..400) {
                0 => TargetAssessment::Faulty("seeded".to_owned()),
                1..40 => TargetAssessment::Sound,
                _ => TargetAssessment::Undecided,
            };
            sound_seen |= assessment == TargetAssessment::Sound;
            evidence(assessment, rng.random_range(0..100))
        });
        let (elapsed, state, _) = last(&written);
        assert!(matches!(state, "completed" | "taken_back"), "seed {seed}");
        assert!(
            elapsed <= Duration::from_secs(30),
            "seed {seed}: {elapsed:?}"
        );
        let above = written.iter().any(|(_, r)| r.share > r.cap);
        assert!(!above || sound_seen, "seed {seed}");
    }
}

// Guards against writes to a record whose state only a newer program defines.
#[test]
fn an_unknown_state_is_reported() {
    let state_machine = MoveStateMachine::built_in().expect("valid");
    let record = MoveRecord {
        state: "paused".to_owned(),
        ..planned()
    };
    let outcome = state_machine.next_step(&record, &evidence(TargetAssessment::Sound, 0), start());
    assert_eq!(outcome, StepDecision::UnknownState("paused".to_owned()));
}

fn shares_at(snapshot: &ConfigSnapshot, faulty: &[&str], after: u64) -> BTreeMap<String, u32> {
    let is_faulty = |v: &VersionName| faulty.contains(&v.as_str());
    let now = start() + Duration::from_secs(after);
    let shares = version_shares(snapshot, &service(), &is_faulty, now);
    shares
        .into_iter()
        .map(|(v, s)| (v.to_string(), s.ppm() / 10_000))
        .collect()
}

fn with_moves(moves: Vec<MoveRecord>) -> ConfigSnapshot {
    let mut snapshot = snapshot();
    for (index, record) in moves.into_iter().enumerate() {
        snapshot
            .moves
            .insert(format!("m{index}").parse().expect("valid"), record);
    }
    snapshot
}

// Guards against traffic to a version after its fault is known or after the
// deadline, while the record in the table still has a share.
#[test]
fn a_fault_and_the_deadline_override_the_table() {
    let shifting = MoveRecord {
        state: "shifting".to_owned(),
        share: TrafficShare::from_percent(50),
        ..planned()
    };
    let snapshot = with_moves(vec![shifting]);
    let both = |old, new| BTreeMap::from([(OLD.to_owned(), old), (NEW.to_owned(), new)]);
    assert_eq!(shares_at(&snapshot, &[], 29), both(50, 50));
    assert_eq!(shares_at(&snapshot, &[], 30), both(100, 0));
    assert_eq!(
        shares_at(&snapshot, &[NEW], 1),
        BTreeMap::from([(OLD.to_owned(), 100)])
    );
}

// Guards against wrong shares after two instances have accepted a move of the
// same service at the same time.
#[test]
fn only_one_move_of_a_service_takes_effect() {
    let shifting = |percent| MoveRecord {
        state: "shifting".to_owned(),
        share: TrafficShare::from_percent(percent),
        ..planned()
    };
    let snapshot = with_moves(vec![shifting(5), shifting(25)]);
    let expected = BTreeMap::from([(OLD.to_owned(), 95), (NEW.to_owned(), 5)]);
    assert_eq!(shares_at(&snapshot, &[], 1), expected);
}

// Guards against a completed rollout that is ignored, applied twice, or kept in
// force after a fault of its version.
#[parameterized(
    none = { &[], &[], OLD },
    one = { &[(OLD, NEW, "completed")], &[], NEW },
    taken_back = { &[(OLD, NEW, "taken_back")], &[], OLD },
    chain = { &[(OLD, NEW, "completed"), (NEW, "v3", "completed")], &[], "v3" },
    returned = { &[(OLD, NEW, "completed"), (NEW, OLD, "completed")], &[], OLD },
    unrelated = { &[("v7", "v8", "completed")], &[], OLD },
    late_fault = { &[(OLD, NEW, "completed")], &[NEW], OLD },
    all_faulty = { &[(OLD, NEW, "completed")], &[NEW, OLD], NEW },
)]
fn completed_rollouts_decide_the_version(
    moves: &[(&str, &str, &str)],
    faulty: &[&str],
    expected: &str,
) {
    let records = moves.iter().zip(1..);
    let records =
        records.map(|((from, to, state), second)| ended(rollout(from, to), state, second));
    let snapshot = with_moves(records.collect());
    let expected = BTreeMap::from([(expected.to_owned(), 100)]);
    assert_eq!(shares_at(&snapshot, faulty, 60), expected);
}

// Guards against a return of traffic to a version without servers.
#[test]
fn traffic_returns_only_to_a_version_with_servers() {
    let mut snapshot = with_moves(vec![ended(rollout(OLD, NEW), "completed", 1)]);
    for contract in snapshot.contracts.values_mut() {
        let plan = Arc::make_mut(contract)
            .services
            .get_mut(&service().service)
            .expect("known");
        plan.version = version(NEW);
        plan.servers
            .retain(|_, server| server.version == version(NEW));
    }
    let expected = BTreeMap::from([(NEW.to_owned(), 100)]);
    assert_eq!(shares_at(&snapshot, &[NEW], 60), expected);
}

// Guards against a shift that stays in force after it was reversed.
#[test]
fn a_reverse_shift_cancels_a_shift() {
    let there = ended(shift("tainan-a", "taipei-a"), "completed", 1);
    let back = ended(shift("taipei-a", "tainan-a"), "completed", 2);
    let now = start() + Duration::from_mins(1);
    let shifts = centre_shifts(&with_moves(vec![there.clone()]), &service(), false, now);
    assert_eq!(shifts.len(), 1);
    assert_eq!(shifts[0].share, TrafficShare::ALL);
    let both = with_moves(vec![there, back]);
    assert!(centre_shifts(&both, &service(), false, now).is_empty());
}

// Guards against an accepted order with an invalid reference or value, which
// would fail only when the move is under way. One row for each rule.
#[parameterized(
    cap_low = { |o: &mut MoveOrder| o.cap = TrafficShare::from_ppm(999), "cap: 0.0999% must be from 0.1% to 25%" },
    cap_high = { |o: &mut MoveOrder| o.cap = TrafficShare::from_ppm(250_001), "cap: 25.0001% must be" },
    deadline_low = { |o: &mut MoveOrder| o.deadline = Duration::from_millis(9999), "deadline: 9999ms must be from 10s" },
    deadline_high = { |o: &mut MoveOrder| o.deadline = Duration::from_secs(86_401), "deadline: 86401s must be" },
    no_service = { |o: &mut MoveOrder| o.kind = MoveKind::Rollout { service: "lunwan/none".parse().expect("valid"), from: version(OLD), to: version(NEW) }, "no service lunwan/none" },
    from = { |o: &mut MoveOrder| o.kind = rollout("v1", NEW), "kind.from: v1 does not have the traffic; fitdesk-41 has" },
    to = { |o: &mut MoveOrder| o.kind = rollout(OLD, "v9"), "kind.to: no server of lunwan/fitdesk runs v9" },
    same = { |o: &mut MoveOrder| o.kind = rollout(OLD, OLD), "kind.to: fitdesk-41 is also the value of from" },
    centre = { |o: &mut MoveOrder| o.kind = shift("taipei-a", "tokyo"), "kind.to: lunwan/fitdesk has no server in tokyo" },
    centre_from = { |o: &mut MoveOrder| o.kind = shift("tokyo", "taipei-a"), "kind.from: lunwan/fitdesk has no server in tokyo" },
    centre_same = { |o: &mut MoveOrder| o.kind = shift("taipei-a", "taipei-a"), "kind.to: taipei-a is also" },
    drained = { |o: &mut MoveOrder| o.kind = shift("taipei-a", "tainan-a"), "data centre tainan-a is being drained" },
    name_used = { |o: &mut MoveOrder| o.name = "m0".parse().expect("valid"), "name: m0 was used before" },
)]
fn an_order_that_violates_a_rule_is_rejected(change: fn(&mut MoveOrder), message: &str) {
    let mut snapshot = with_moves(vec![ended(shift("taipei-a", "taoyuan-a"), "taken_back", 1)]);
    let drain = DrainTarget::Centre(service().customer, "tainan-a".parse().expect("valid"));
    snapshot.drains.insert(drain);
    let mut order = order(rollout(OLD, NEW));
    check_order(&snapshot, &order, start()).expect("valid before the change");
    change(&mut order);
    let violations = check_order(&snapshot, &order, start()).expect_err("rejected");
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert!(violations[0].contains(message), "{violations:?}");
}

// Guards against two moves whose shares add up to more than either cap.
#[test]
fn a_second_move_of_a_service_is_rejected() {
    let snapshot = with_moves(vec![planned()]);
    let violations = check_order(&snapshot, &order(rollout(OLD, NEW)), start());
    let violations = violations.expect_err("rejected");
    assert_eq!(violations, ["kind: move m0 of lunwan/fitdesk is under way"]);
}

// Guards against a contract that moves all traffic of a service at once, or
// that removes the servers of a move under way.
#[test]
fn a_contract_does_not_move_traffic() {
    let mut next = contract();
    assert!(check_contract_change(&snapshot(), &next).is_empty());
    let plan = next.services.get_mut(&service().service).expect("known");
    plan.version = version(NEW);
    let violations = check_contract_change(&snapshot(), &next);
    assert_eq!(violations.len(), 1);
    assert!(
        violations[0].contains("fitdesk-41 has the traffic"),
        "{violations:?}"
    );
    let completed = with_moves(vec![ended(rollout(OLD, NEW), "completed", 1)]);
    assert!(check_contract_change(&completed, &next).is_empty());
    assert_eq!(stable_version(&completed, &service()), Some(version(NEW)));
    let original = CustomerContract::parse("lunwan.toml", LUNWAN).expect("valid");
    let violations = check_contract_change(&completed, &original);
    assert!(
        violations[0].contains("no server that stays runs it"),
        "{violations:?}"
    );
    let violations = check_contract_change(&with_moves(vec![planned()]), &original);
    assert!(
        violations[0].contains("move m0 is under way"),
        "{violations:?}"
    );
}
