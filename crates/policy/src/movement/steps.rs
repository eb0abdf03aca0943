//! The share and the duration of each step of a move.

use std::time::{Duration, SystemTime};

use crate::evidence::NonInferiorityMargin;
use crate::snapshot::MoveRecord;
use crate::units::TrafficShare;

/// Minimum duration of a step: two heartbeat intervals, so that every instance
/// has run requests with the share of the step.
pub const MIN_STEP_TIME: Duration = Duration::from_secs(1);
/// Requests on the target, counted by the instance that writes the step, after
/// which a step may end before its full duration.
pub const MIN_STEP_REQUESTS: u64 = 50;
/// Time until a withdrawn share has taken effect on all instances: an instance
/// without a newer proof of its configuration stops serving after the lifetime
/// of a proof, 2.5 s.
pub const SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Time reserved before the deadline for a rollback: [`SETTLE_TIME`] and two
/// writes to the table.
pub const ROLLBACK_RESERVE: Duration = Duration::from_secs(4);

const STEP_PERCENTS: [u32; 5] = [1, 5, 25, 50, 100];

/// The share of the step after `share`. The cap is a step of its own, so that a
/// move never passes it without stopping there.
pub(super) fn next_share(share: TrafficShare, cap: TrafficShare) -> Option<TrafficShare> {
    let steps = STEP_PERCENTS.map(TrafficShare::from_percent);
    let above = steps.into_iter().chain([cap]).filter(|s| *s > share);
    above.min()
}

/// The margin within which the target must be proved sound before the next step
/// of a move, or before its completion.
#[must_use]
pub fn required_margin(record: &MoveRecord) -> NonInferiorityMargin {
    next_share(record.share, record.cap).map_or(
        NonInferiorityMargin::Within5Percent,
        NonInferiorityMargin::required_for,
    )
}

/// Number of steps from the one at `share` to the last one, inclusive.
fn steps_left(share: TrafficShare, cap: TrafficShare) -> u32 {
    let mut remaining = 1;
    let mut share = share;
    while let Some(next) = next_share(share, cap) {
        remaining += 1;
        share = next;
    }
    remaining
}

/// The deadline for completing a move without a rollback.
pub(super) fn completion_deadline(record: &MoveRecord) -> SystemTime {
    let deadline = record.deadline;
    deadline.checked_sub(ROLLBACK_RESERVE).unwrap_or(deadline)
}

/// Full duration of the current step: the time left when it began, divided
/// evenly among the remaining steps.
pub(super) fn step_time(record: &MoveRecord) -> Duration {
    let remaining = completion_deadline(record).duration_since(record.step_started);
    let duration = remaining.unwrap_or_default() / steps_left(record.share, record.cap);
    duration.max(MIN_STEP_TIME)
}

/// Minimum duration of the current step: half of its full duration, so that a
/// fault that begins late meets a small share.
pub(super) fn min_step_time(record: &MoveRecord) -> Duration {
    (step_time(record) / 2).max(MIN_STEP_TIME)
}

/// Time since the current step began, zero if the clock is behind.
pub(super) fn elapsed(record: &MoveRecord, now: SystemTime) -> Duration {
    now.duration_since(record.step_started).unwrap_or_default()
}
