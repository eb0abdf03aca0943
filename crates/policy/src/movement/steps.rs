//! The shares of a move and the time of each step.

use std::time::{Duration, SystemTime};

use crate::evidence::ProofLevel;
use crate::snapshot::MoveRecord;
use crate::units::TrafficShare;

/// The least time of a step: two heartbeats, so that every instance has run
/// requests at the step's share.
pub const MIN_STEP_TIME: Duration = Duration::from_secs(1);
/// Requests on the target, seen by the driving instance, that end a step
/// before its time.
pub const MIN_STEP_REQUESTS: u64 = 50;
/// Time until a withdrawn share holds everywhere: instances without a newer
/// proof stop serving after the lifetime of a proof, 2.5 s.
pub const SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Time kept free before the deadline for taking a move back: its settling
/// and two writes to the table.
pub const TAKE_BACK_TIME: Duration = Duration::from_secs(4);

const STEP_PERCENTS: [u32; 5] = [1, 5, 25, 50, 100];

/// The share after `share`: the next step, but not past the cap in one go.
pub(super) fn next_share(share: TrafficShare, cap: TrafficShare) -> Option<TrafficShare> {
    let steps = STEP_PERCENTS.map(TrafficShare::from_percent);
    let above = steps.into_iter().chain([cap]).filter(|s| *s > share);
    above.min()
}

/// What must be proved about the target before the next step of a move, or
/// before its completion.
#[must_use]
pub fn required_proof(record: &MoveRecord) -> ProofLevel {
    next_share(record.share, record.cap).map_or(ProofLevel::Within5Percent, ProofLevel::to_reach)
}

/// Steps from the one at `share` to the last, both counted.
fn steps_left(share: TrafficShare, cap: TrafficShare) -> u32 {
    let mut left = 1;
    let mut share = share;
    while let Some(next) = next_share(share, cap) {
        left += 1;
        share = next;
    }
    left
}

/// The time by which a move without a fault must be completed.
pub(super) fn last_moment(record: &MoveRecord) -> SystemTime {
    let deadline = record.deadline;
    deadline.checked_sub(TAKE_BACK_TIME).unwrap_or(deadline)
}

/// The time of the current step: what is left, divided over the steps left.
pub(super) fn step_time(record: &MoveRecord) -> Duration {
    let left = last_moment(record).duration_since(record.step_started);
    let slot = left.unwrap_or_default() / steps_left(record.share, record.cap);
    slot.max(MIN_STEP_TIME)
}

/// The least time of the current step. Half of its time, so that faults that
/// come later meet a small share.
pub(super) fn least_step_time(record: &MoveRecord) -> Duration {
    (step_time(record) / 2).max(MIN_STEP_TIME)
}

/// How long the current step has lasted.
pub(super) fn elapsed(record: &MoveRecord, now: SystemTime) -> Duration {
    now.duration_since(record.step_started).unwrap_or_default()
}
