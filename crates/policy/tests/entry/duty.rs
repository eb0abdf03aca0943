//! The lease of a duty: who may write the row, and who may act, after single events.

use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::duty::{
    ClaimStep, DutyLease, DutyWriter, Fence, LeaseTerms, RowPosition, WriteOutcome,
};
use yare::parameterized;

use crate::at;

const TERMS: LeaseTerms = LeaseTerms {
    length: Duration::from_secs(3),
    margin: Duration::from_secs(1),
};

/// The time in seconds, which fences are not below.
const FLOOR: Fence = Fence(1000);

fn writer(name: &str, start: i64) -> DutyWriter {
    let name = name.parse().expect("a name");
    DutyWriter { name, start }
}

fn position(era: u64, version: u64) -> RowPosition {
    RowPosition {
        era: Some(era),
        version,
    }
}

fn lease() -> DutyLease {
    DutyLease::new(writer("e1", 1), TERMS)
}

/// Reads the row of another instance at the start, and writes it at 4.1 s.
fn holder(start: Instant) -> DutyLease {
    let mut lease = lease();
    lease.record_read(position(1, 7), Some((&writer("e2", 1), Fence(20))), start);
    let step = lease.begin_claim(FLOOR, at(start, 4100));
    assert_eq!(
        step,
        ClaimStep::Write {
            fence: FLOOR,
            expected: 7
        }
    );
    lease
}

fn may_act(lease: &DutyLease, start: Instant, millis: u64) -> bool {
    lease.grant(at(start, millis)).is_some()
}

/// Guards against a write before the lease of the last writer has ended.
#[parameterized(
    missing_row = { None },
    other_instance = { Some(("e2", 1, 20)) },
    earlier_process_of_this_instance = { Some(("e1", 0, 20)) },
    row_of_this_process_with_an_unknown_fence = { Some(("e1", 1, 20)) },
)]
fn rows_of_others_are_written_after_the_takeover_delay(row: Option<(&str, i64, u64)>) {
    let start = Instant::now();
    let mut lease = lease();
    assert_eq!(lease.begin_claim(FLOOR, start), ClaimStep::Read);
    let version = if row.is_some() { 7 } else { 0 };
    let row = row.map(|(name, process, fence)| (writer(name, process), Fence(fence)));
    let row = row.as_ref().map(|(writer, fence)| (writer, *fence));
    lease.record_read(position(1, version), row, start);
    let early = lease.begin_claim(FLOOR, at(start, 4000));
    assert!(matches!(early, ClaimStep::Wait(_)), "{early:?}");
    let late = lease.begin_claim(FLOOR, at(start, 4001));
    let expected = version;
    assert_eq!(
        late,
        ClaimStep::Write {
            fence: FLOOR,
            expected
        }
    );
}

/// Guards against a lease that counts from the response, and one that does not end.
#[test]
fn the_lease_counts_from_the_start_of_the_write() {
    let start = Instant::now();
    let mut lease = holder(start);
    assert!(!may_act(&lease, start, 4500), "not acknowledged");
    let outcome = WriteOutcome::Written(position(1, 8));
    lease.record_write(FLOOR, outcome, at(start, 5000));
    assert!(may_act(&lease, start, 5000));
    assert!(may_act(&lease, start, 7099));
    assert!(!may_act(&lease, start, 7100));
}

/// Guards against a lease from a write that failed, and one that is lost although the
/// write was applied.
#[parameterized(
    conflict = { WriteOutcome::Conflict, ("e2", 1, 1001), false },
    response_lost_but_applied = { WriteOutcome::Unknown, ("e1", 1, 1000), true },
    response_lost_and_not_applied = { WriteOutcome::Unknown, ("e2", 1, 20), false },
    applied_by_an_earlier_process = { WriteOutcome::Unknown, ("e1", 0, 1000), false },
)]
fn failed_writes_are_followed_by_a_read(
    outcome: WriteOutcome,
    found: (&str, i64, u64),
    holds: bool,
) {
    let start = Instant::now();
    let mut lease = holder(start);
    lease.record_write(FLOOR, outcome, at(start, 4200));
    assert_eq!(lease.begin_claim(FLOOR, at(start, 4200)), ClaimStep::Read);
    let (name, process, fence) = found;
    let found = writer(name, process);
    let row = Some((&found, Fence(fence)));
    lease.record_read(position(1, 8), row, at(start, 4300));
    assert_eq!(may_act(&lease, start, 4300), holds);
    assert!(!may_act(&lease, start, 7100), "from the start of the write");
}

/// Guards against a holder that cannot go on, and against a fence that does not rise.
#[test]
fn the_holder_writes_again_at_any_time() {
    let start = Instant::now();
    let mut lease = holder(start);
    let outcome = WriteOutcome::Written(position(1, 8));
    lease.record_write(FLOOR, outcome, at(start, 4200));
    let step = lease.begin_claim(FLOOR, at(start, 9000));
    assert_eq!(
        step,
        ClaimStep::Write {
            fence: Fence(1001),
            expected: 8
        }
    );
}

/// Guards against a holder that acts after another one took over.
#[test]
fn a_higher_fence_ends_the_lease() {
    let start = Instant::now();
    let mut lease = holder(start);
    let outcome = WriteOutcome::Written(position(1, 8));
    lease.record_write(FLOOR, outcome, at(start, 4200));
    lease.record_heard(position(1, 9), Fence(1001), at(start, 4300));
    assert!(!may_act(&lease, start, 4300));
    let step = lease.begin_claim(FLOOR, at(start, 4400));
    assert!(matches!(step, ClaimStep::Wait(_)), "{step:?}");
    lease.record_heard(position(1, 9), Fence(1001), at(start, 8000));
    assert_eq!(lease.begin_claim(FLOOR, at(start, 8400)), ClaimStep::Read);
}

/// Guards against a fence that was used before the store was restored, and against the
/// lease of a row that the restore removed.
#[parameterized(
    restored_before_the_read = { true },
    restored_before_the_write = { false },
)]
fn a_restore_counts_as_a_change(before_the_read: bool) {
    let start = Instant::now();
    let mut lease = lease();
    lease.record_heard(position(1, 7), Fence(2000), start);
    let era = if before_the_read { 2 } else { 1 };
    let row = writer("e2", 1);
    let read_at = at(start, 4100);
    lease.record_read(position(era, 7), Some((&row, Fence(20))), read_at);
    let step = lease.begin_claim(FLOOR, at(start, 4200));
    if before_the_read {
        assert!(matches!(step, ClaimStep::Wait(_)), "{step:?}");
        return;
    }
    let fence = Fence(2001);
    assert_eq!(step, ClaimStep::Write { fence, expected: 7 });
    let outcome = WriteOutcome::Written(position(2, 8));
    lease.record_write(fence, outcome, at(start, 4300));
    assert!(
        !may_act(&lease, start, 4400),
        "another lease may have been lost"
    );
    let step = lease.begin_claim(FLOOR, at(start, 8299));
    assert!(matches!(step, ClaimStep::Wait(_)), "{step:?}");
    let step = lease.begin_claim(FLOOR, at(start, 8300));
    let fence = Fence(2002);
    assert_eq!(step, ClaimStep::Write { fence, expected: 8 });
    let outcome = WriteOutcome::Written(position(2, 9));
    lease.record_write(fence, outcome, at(start, 8400));
    assert!(may_act(&lease, start, 8400));
}
