//! Decides the next step of a move.

use std::time::{Duration, SystemTime};

use super::state_machine::{MoveStateMachine, MoveTransition};
use super::steps::{
    MIN_STEP_REQUESTS, SETTLE_TIME, completion_deadline, elapsed, min_step_time, next_share,
    step_time,
};
use super::{MoveAction, MoveEvent, MoveGuard, MoveState};
use crate::snapshot::MoveRecord;
use crate::units::TrafficShare;

/// Longest delay until a move is evaluated again.
const MAX_RECHECK_DELAY: Duration = Duration::from_millis(500);
/// Shortest such delay, so that a clock at the boundary of a step causes no
/// busy loop.
const MIN_RECHECK_DELAY: Duration = Duration::from_millis(20);

/// Result of comparing the target of a move with its source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetAssessment {
    /// There is not enough evidence yet.
    Undecided,
    /// The target is not worse than the source by the margin that was tested.
    Sound,
    /// The target has a fault, for this reason.
    Faulty(String),
}

/// The knowledge of one instance that decides the next step of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveEvidence {
    /// The assessment of the target with the margin that the step requires.
    pub assessment: TargetAssessment,
    /// Requests of this instance on the target since the step began.
    pub requests: u64,
    /// Why the move is to be cancelled, if it is.
    pub cancel_reason: Option<String>,
}

/// What the instance has to do for a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepDecision {
    /// Evaluate the move again after this delay at the latest.
    Wait(Duration),
    /// Write this record. Its epoch is that of the given record plus one.
    Write(Box<MoveRecord>),
    /// The move has ended.
    Ended,
    /// The record has a state that the state machine does not define.
    UnknownState(String),
}

struct StepContext<'a> {
    record: &'a MoveRecord,
    evidence: &'a MoveEvidence,
    now: SystemTime,
}

impl MoveStateMachine {
    /// Decides the next step of a move.
    #[must_use]
    pub fn next_step(
        &self,
        record: &MoveRecord,
        evidence: &MoveEvidence,
        now: SystemTime,
    ) -> StepDecision {
        let Ok(state) = record.state.parse::<MoveState>() else {
            return StepDecision::UnknownState(record.state.clone());
        };
        if state.is_final() {
            return StepDecision::Ended;
        }
        let context = StepContext {
            record,
            evidence,
            now,
        };
        let events = context.events().into_iter();
        for (event, reason) in events {
            if let Some(transition) = self.transition(state, event, &context) {
                return StepDecision::Write(Box::new(context.apply(transition, reason)));
            }
        }
        StepDecision::Wait(context.recheck_delay())
    }

    fn transition(
        &self,
        state: MoveState,
        event: MoveEvent,
        context: &StepContext<'_>,
    ) -> Option<&MoveTransition> {
        let mut candidates = self
            .transitions
            .iter()
            .filter(|t| t.from == state && t.event == event);
        candidates.find(|t| t.guards.iter().all(|guard| context.guard_holds(*guard)))
    }
}

impl StepContext<'_> {
    /// The events that apply now, in order of priority, each with the reason to
    /// store in the record.
    fn events(&self) -> Vec<(MoveEvent, String)> {
        let mut events = Vec::new();
        if let Some(reason) = &self.evidence.cancel_reason {
            events.push((MoveEvent::Cancel, format!("cancelled: {reason}")));
        }
        match &self.evidence.assessment {
            TargetAssessment::Faulty(reason) => {
                events.push((MoveEvent::Fault, format!("fault: {reason}")));
            }
            TargetAssessment::Sound => {
                events.push((MoveEvent::Sound, "the target is proved sound".to_owned()));
            }
            TargetAssessment::Undecided => {}
        }
        if self.now >= completion_deadline(self.record) {
            let share = self.record.share;
            let reason = format!("deadline: not proved sound at {share} in time");
            events.push((MoveEvent::Deadline, reason));
        }
        events.push((MoveEvent::Start, "started".to_owned()));
        events.push((MoveEvent::Step, self.record.reason.clone()));
        events
    }

    fn guard_holds(&self, guard: MoveGuard) -> bool {
        let elapsed = elapsed(self.record, self.now);
        let sound = self.evidence.assessment == TargetAssessment::Sound;
        match guard {
            MoveGuard::StepOver => {
                let enough = self.evidence.requests >= MIN_STEP_REQUESTS;
                elapsed >= step_time(self.record) || enough && elapsed >= min_step_time(self.record)
            }
            MoveGuard::NextShareAllowed => next_share(self.record.share, self.record.cap)
                .is_some_and(|next| sound || next <= self.record.cap),
            MoveGuard::AllSharesTaken => self.record.share == TrafficShare::ALL,
            MoveGuard::Settled => elapsed >= SETTLE_TIME,
        }
    }

    fn apply(&self, transition: &MoveTransition, reason: String) -> MoveRecord {
        let share = match transition.action {
            MoveAction::TakeNextShare => {
                next_share(self.record.share, self.record.cap).unwrap_or(self.record.share)
            }
            MoveAction::KeepShare => self.record.share,
            MoveAction::DropShare => TrafficShare::NONE,
        };
        let allowed = share <= self.record.cap
            || share <= self.record.share
            || self.evidence.assessment == TargetAssessment::Sound;
        assert!(allowed, "a share of {share} is above the cap");
        MoveRecord {
            kind: self.record.kind.clone(),
            state: transition.to.to_string(),
            share,
            cap: self.record.cap,
            deadline: self.record.deadline,
            step_started: self.now,
            epoch: self.record.epoch + 1,
            reason,
        }
    }

    fn recheck_delay(&self) -> Duration {
        let min_time = min_step_time(self.record);
        let elapsed = elapsed(self.record, self.now);
        let remaining = min_time.saturating_sub(elapsed);
        let remaining = if remaining.is_zero() {
            MAX_RECHECK_DELAY
        } else {
            remaining
        };
        remaining.clamp(MIN_RECHECK_DELAY, MAX_RECHECK_DELAY)
    }
}
