//! The share of requests that go to the target of a move.

use std::collections::BTreeMap;

use crate::contract::ServerPlan;
use crate::ids::{CentreName, MoveName, ServiceKey, VersionName};
use crate::snapshot::{ConfigSnapshot, MoveKind, MoveRecord};
use crate::units::TrafficShare;

/// Whether a request goes to the target of the move under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareTurn {
    /// It stays with the old version or data centre.
    Stay,
    /// It goes to the new one.
    Move,
}

/// What moves ask of the requests of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SteeringPlan {
    /// The version of requests that stay.
    stay: VersionName,
    /// The version of requests that move.
    moved: VersionName,
    /// A shift between data centres under way, from and to.
    shift: Option<(CentreName, CentreName)>,
    /// Data centres that have handed over all their traffic, and to which.
    closed: BTreeMap<CentreName, CentreName>,
    step: Option<MoveStep>,
    share: TrafficShare,
}

/// A step of a move: its name and the epoch of its record.
pub type MoveStep = (MoveName, u64);

impl SteeringPlan {
    /// The step under way, if part of the traffic moves.
    #[must_use]
    pub const fn step(&self) -> Option<&MoveStep> {
        self.step.as_ref()
    }

    /// Whether a server may run the request.
    pub(super) fn allows(&self, turn: ShareTurn, home: &CentreName, server: &ServerPlan) -> bool {
        if self.closed.contains_key(&server.centre) {
            return false;
        }
        let version = match turn {
            ShareTurn::Stay => &self.stay,
            ShareTurn::Move => &self.moved,
        };
        // Only requests that start where the traffic leaves are shifted. The
        // others keep their order until the move is complete.
        let shift = self.shift.as_ref().filter(|(from, _)| from == home);
        let centre = match (shift, turn) {
            (Some((from, _)), ShareTurn::Move) => server.centre != *from,
            (Some((_, to)), ShareTurn::Stay) => server.centre != *to,
            (None, _) => true,
        };
        server.version == *version && centre
    }

    /// Whether a server comes first whatever its distance.
    pub(super) fn prefers(&self, turn: ShareTurn, home: &CentreName, server: &ServerPlan) -> bool {
        let shifted = |(from, to): &(CentreName, CentreName)| from == home && *to == server.centre;
        (turn == ShareTurn::Move && self.shift.as_ref().is_some_and(shifted))
            || self.closed.get(home) == Some(&server.centre)
    }
}

/// Reads the moves of a service. `base` is the version of the contract.
/// `has_fault` tells versions with a latched fault, which get no requests.
///
/// Moves of all the traffic hold for good and add up. Of the moves of a part,
/// the first in name order is followed and the others wait.
#[must_use]
pub fn steering_plan(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    base: &VersionName,
    has_fault: &dyn Fn(&VersionName) -> bool,
) -> SteeringPlan {
    let mut plan = SteeringPlan {
        stay: base.clone(),
        moved: base.clone(),
        shift: None,
        closed: BTreeMap::new(),
        step: None,
        share: TrafficShare::NONE,
    };
    let of_service = |record: &&MoveRecord| match &record.kind {
        MoveKind::Rollout { service: of, .. } | MoveKind::CentreShift { service: of, .. } => {
            of == service
        }
    };
    let moves = || {
        snapshot
            .moves
            .iter()
            .filter(|(_, record)| of_service(record))
    };
    let whole = moves().filter(|(_, record)| record.share == TrafficShare::ALL);
    for (_, record) in whole {
        match &record.kind {
            MoveKind::Rollout { from, to, .. } if *from == plan.stay && !has_fault(to) => {
                plan.stay = to.clone();
            }
            MoveKind::CentreShift { from, to, .. } if from != to => {
                plan.closed.insert(from.clone(), to.clone());
            }
            _ => {}
        }
    }
    plan.moved = plan.stay.clone();
    let part =
        |record: &MoveRecord| record.share > TrafficShare::NONE && record.share < TrafficShare::ALL;
    for (name, record) in moves().filter(|(_, record)| part(record)) {
        match &record.kind {
            MoveKind::Rollout { from, to, .. } if *from == plan.stay && !has_fault(to) => {
                plan.moved = to.clone();
            }
            MoveKind::CentreShift { from, to, .. } if from != to => {
                plan.shift = Some((from.clone(), to.clone()));
            }
            _ => continue,
        }
        plan.step = Some((name.clone(), record.epoch));
        plan.share = record.share;
        break;
    }
    plan
}

/// Keeps the requests that move under their share of all requests.
///
/// A turn is reserved when a server is chosen and counted when the request is
/// sent. `moved <= floor(share * total)` holds over the requests that were
/// sent in the current step, at every moment.
#[derive(Debug, Clone, Default)]
pub struct ShareCounter {
    step: Option<MoveStep>,
    total: u64,
    moved: u64,
    reserved: u64,
}

impl ShareCounter {
    /// A counter of no requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides the turn of the next request and reserves it.
    pub fn reserve(&mut self, plan: &SteeringPlan) -> ShareTurn {
        if self.step != plan.step {
            // Requests of an earlier step must not pay for a burst in this one.
            *self = Self {
                step: plan.step.clone(),
                ..Self::default()
            };
        }
        if plan.share == TrafficShare::NONE {
            return ShareTurn::Stay;
        }
        let allowed = plan.share.floor_of(self.total + 1);
        if self.moved + self.reserved < allowed {
            self.reserved += 1;
            ShareTurn::Move
        } else {
            ShareTurn::Stay
        }
    }

    /// Counts a request that is being sent under its turn and the step it was
    /// reserved in.
    pub fn sent(&mut self, turn: ShareTurn, step: Option<&MoveStep>) {
        if self.step.as_ref() != step {
            return;
        }
        self.total += 1;
        if turn == ShareTurn::Move {
            self.reserved = self.reserved.saturating_sub(1);
            self.moved += 1;
        }
    }

    /// Gives back the turn of a request that is not sent.
    pub fn release(&mut self, turn: ShareTurn, step: Option<&MoveStep>) {
        if self.step.as_ref() == step && turn == ShareTurn::Move {
            self.reserved = self.reserved.saturating_sub(1);
        }
    }

    /// Requests sent in this step, and those of them that moved.
    #[must_use]
    pub const fn counts(&self) -> (u64, u64) {
        (self.total, self.moved)
    }
}
