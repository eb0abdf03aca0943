//! The share of requests that go to the target of a move.

use std::collections::BTreeMap;
use std::time::SystemTime;

use crate::contract::ServerPlan;
use crate::ids::{CentreName, MoveName, ServiceKey, VersionName};
use crate::movement::{VersionSplit, centre_shifts, leading_move, version_split};
use crate::snapshot::ConfigSnapshot;
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
    /// Applies a move with a share. A share of the whole traffic needs no turns.
    fn follow(&mut self, share: TrafficShare, apply: &mut dyn FnMut(&mut Self, bool)) {
        if share == TrafficShare::NONE {
            return;
        }
        let whole = share == TrafficShare::ALL;
        apply(self, whole);
        if !whole {
            self.share = share;
        }
    }

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

/// Reads the moves of a service at `now`. `base` is the version of the
/// contract. `has_fault` tells versions with a latched fault, which get no
/// requests; with `shift_fault`, a shift under way gets none.
///
/// Completed moves hold for good and add up. Of the moves under way, the
/// leading one is followed.
#[must_use]
pub fn steering_plan(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    base: &VersionName,
    has_fault: &dyn Fn(&VersionName) -> bool,
    shift_fault: bool,
    now: SystemTime,
) -> SteeringPlan {
    let split = version_split(snapshot, service, has_fault, now).unwrap_or(VersionSplit {
        stay: base.clone(),
        moved: None,
    });
    let mut plan = SteeringPlan {
        moved: split.stay.clone(),
        stay: split.stay,
        shift: None,
        closed: BTreeMap::new(),
        step: None,
        share: TrafficShare::NONE,
    };
    if let Some((version, share)) = split.moved {
        plan.follow(share, &mut |plan, whole| {
            plan.moved.clone_from(&version);
            if whole {
                plan.stay.clone_from(&version);
            }
        });
    }
    for shift in centre_shifts(snapshot, service, shift_fault, now) {
        let ends = (shift.from, shift.to);
        plan.follow(shift.share, &mut |plan, whole| {
            if whole {
                plan.closed.insert(ends.0.clone(), ends.1.clone());
            } else {
                plan.shift = Some(ends.clone());
            }
        });
    }
    if plan.share > TrafficShare::NONE {
        let leading = leading_move(snapshot, service);
        plan.step = leading.map(|(name, record)| (name.clone(), record.epoch));
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
    /// Requests that asked for a turn, over all steps.
    asked: u64,
}

/// A coin flip that follows from a number (the mixing step of `SplitMix64`).
const fn is_heads(number: u64) -> bool {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) & 1 == 1
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
                asked: self.asked,
                ..Self::default()
            };
        }
        if plan.share == TrafficShare::NONE {
            return ShareTurn::Stay;
        }
        let allowed = plan.share.floor_of(self.total + 1);
        let due = allowed.saturating_sub(self.moved + self.reserved);
        self.asked += 1;
        // A turn that is due is taken now or a little later, by chance. Taken
        // at once, every hundredth request would move at 1 %, and with callers
        // that repeat a pattern always one of the same route.
        if due > 1 || (due == 1 && is_heads(self.asked)) {
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
