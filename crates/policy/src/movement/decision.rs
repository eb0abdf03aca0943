//! The next step of a move.

use std::time::{Duration, SystemTime};

use super::chart::{MoveTransition, MovementChart};
use super::steps::{
    MIN_STEP_REQUESTS, SETTLE_TIME, elapsed, last_moment, least_step_time, next_share, step_time,
};
use super::{MoveAction, MoveEvent, MoveGuard, MoveState};
use crate::snapshot::MoveRecord;
use crate::units::TrafficShare;

/// Longest wait between two looks at a move.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Shortest wait, so that a clock at the edge of a step causes no busy loop.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// What is known about the target of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoundVerdict {
    /// Too little is known.
    Unproved,
    /// It does as well as the source.
    Sound,
    /// It showed a fault, for this reason.
    Faulty(String),
}

/// What an instance knows about a move when it decides the next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveEvidence {
    /// What is known about the target.
    pub verdict: SoundVerdict,
    /// Requests of this instance on the target since the step began.
    pub requests: u64,
    /// Why an operator cancels the move, if one does.
    pub cancelled: Option<String>,
}

/// What to do with a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepOutcome {
    /// Look again after this time at the latest.
    Wait(Duration),
    /// Write this record; its epoch is one above the given record's.
    Write(Box<MoveRecord>),
    /// The move is over.
    Ended,
    /// The record has a state that the chart does not know.
    UnknownState(String),
}

struct Situation<'a> {
    record: &'a MoveRecord,
    evidence: &'a MoveEvidence,
    now: SystemTime,
}

impl MovementChart {
    /// Decides the next step of a move.
    #[must_use]
    pub fn next_step(
        &self,
        record: &MoveRecord,
        evidence: &MoveEvidence,
        now: SystemTime,
    ) -> StepOutcome {
        let Ok(state) = record.state.parse::<MoveState>() else {
            return StepOutcome::UnknownState(record.state.clone());
        };
        if state.is_final() {
            return StepOutcome::Ended;
        }
        let situation = Situation {
            record,
            evidence,
            now,
        };
        let events = situation.events().into_iter();
        for (event, reason) in events {
            if let Some(transition) = self.transition(state, event, &situation) {
                return StepOutcome::Write(Box::new(situation.apply(transition, reason)));
            }
        }
        StepOutcome::Wait(situation.wait())
    }

    fn transition(
        &self,
        state: MoveState,
        event: MoveEvent,
        situation: &Situation<'_>,
    ) -> Option<&MoveTransition> {
        let mut of_pair = self
            .transitions
            .iter()
            .filter(|t| t.from == state && t.event == event);
        of_pair.find(|t| t.guards.iter().all(|guard| situation.holds(*guard)))
    }
}

impl Situation<'_> {
    /// The events that apply, the most important first, each with its reason.
    fn events(&self) -> Vec<(MoveEvent, String)> {
        let mut events = Vec::new();
        if let Some(reason) = &self.evidence.cancelled {
            events.push((MoveEvent::Cancel, format!("cancelled: {reason}")));
        }
        match &self.evidence.verdict {
            SoundVerdict::Faulty(reason) => {
                events.push((MoveEvent::Fault, format!("fault: {reason}")));
            }
            SoundVerdict::Sound => {
                events.push((MoveEvent::Sound, "the target is proved sound".to_owned()));
            }
            SoundVerdict::Unproved => {}
        }
        if self.now >= last_moment(self.record) {
            let share = self.record.share;
            let reason = format!("deadline: not proved sound at {share} in time");
            events.push((MoveEvent::Deadline, reason));
        }
        events.push((MoveEvent::Start, "started".to_owned()));
        events.push((MoveEvent::Step, self.record.reason.clone()));
        events
    }

    fn holds(&self, guard: MoveGuard) -> bool {
        let elapsed = elapsed(self.record, self.now);
        let sound = self.evidence.verdict == SoundVerdict::Sound;
        match guard {
            MoveGuard::StepOver => {
                let enough = self.evidence.requests >= MIN_STEP_REQUESTS;
                elapsed >= step_time(self.record)
                    || enough && elapsed >= least_step_time(self.record)
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
            || self.evidence.verdict == SoundVerdict::Sound;
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

    fn wait(&self) -> Duration {
        let least = least_step_time(self.record);
        let elapsed = elapsed(self.record, self.now);
        let until = least.saturating_sub(elapsed);
        let until = if until.is_zero() { MAX_WAIT } else { until };
        until.clamp(MIN_WAIT, MAX_WAIT)
    }
}
