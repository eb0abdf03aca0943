//! Division of requests between the source and the target of a move.

use std::collections::BTreeMap;
use std::time::SystemTime;

use crate::contract::ServerPlan;
use crate::ids::{CentreName, MoveName, ServiceKey, VersionName};
use crate::movement::{VersionSplit, centre_shifts, leading_move, version_split};
use crate::snapshot::ConfigSnapshot;
use crate::units::TrafficShare;

/// The side of the active move that a request is assigned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveSide {
    /// The old version or data centre.
    Source,
    /// The new version or data centre.
    Target,
}

/// How the moves of a service divide its traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficPlan {
    /// The version for requests on [`MoveSide::Source`].
    source: VersionName,
    /// The version for requests on [`MoveSide::Target`].
    target: VersionName,
    /// The shift between data centres that is under way: source and target.
    active_shift: Option<(CentreName, CentreName)>,
    /// Data centres whose traffic was shifted away completely, each with the
    /// data centre that gets it.
    completed_shifts: BTreeMap<CentreName, CentreName>,
    step: Option<MoveStepId>,
    share: TrafficShare,
}

/// Identifies a step of a move: the name of the move and the epoch of its
/// record.
pub type MoveStepId = (MoveName, u64);

impl TrafficPlan {
    /// Applies a move with a share. `apply` gets whether the share is all of the
    /// traffic, in which case requests need no assignment to a side.
    fn apply_share(&mut self, share: TrafficShare, apply: &mut dyn FnMut(&mut Self, bool)) {
        if share == TrafficShare::NONE {
            return;
        }
        let all_traffic = share == TrafficShare::ALL;
        apply(self, all_traffic);
        if !all_traffic {
            self.share = share;
        }
    }

    /// The active step, if a fraction of the traffic goes to the target.
    #[must_use]
    pub const fn step(&self) -> Option<&MoveStepId> {
        self.step.as_ref()
    }

    /// Whether a server may run a request on this side.
    pub(super) fn allows(
        &self,
        side: MoveSide,
        local_centre: &CentreName,
        server: &ServerPlan,
    ) -> bool {
        if self.completed_shifts.contains_key(&server.centre) {
            return false;
        }
        let version = match side {
            MoveSide::Source => &self.source,
            MoveSide::Target => &self.target,
        };
        // Only requests that arrive in the source data centre are shifted. The
        // ranking for others changes only when the move is complete.
        let active_shift = self
            .active_shift
            .as_ref()
            .filter(|(from, _)| from == local_centre);
        let centre = match (active_shift, side) {
            (Some((from, _)), MoveSide::Target) => server.centre != *from,
            (Some((_, to)), MoveSide::Source) => server.centre != *to,
            (None, _) => true,
        };
        server.version == *version && centre
    }

    /// Whether a server is ranked first regardless of locality.
    pub(super) fn prefers(
        &self,
        side: MoveSide,
        local_centre: &CentreName,
        server: &ServerPlan,
    ) -> bool {
        let shifted =
            |(from, to): &(CentreName, CentreName)| from == local_centre && *to == server.centre;
        (side == MoveSide::Target && self.active_shift.as_ref().is_some_and(shifted))
            || self.completed_shifts.get(local_centre) == Some(&server.centre)
    }
}

/// Derives the traffic plan of a service at `now` from its moves. `base` is the
/// version in the contract. Versions for which `has_fault` returns true have a
/// recorded fault and get no requests; with `shift_fault`, the shift under way
/// gets none.
///
/// Completed moves stay in force and accumulate. Of the moves under way, only
/// the leading one takes effect.
#[must_use]
pub fn traffic_plan(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    base: &VersionName,
    has_fault: &dyn Fn(&VersionName) -> bool,
    shift_fault: bool,
    now: SystemTime,
) -> TrafficPlan {
    let split = version_split(snapshot, service, has_fault, now).unwrap_or(VersionSplit {
        source: base.clone(),
        target: None,
    });
    let mut plan = TrafficPlan {
        target: split.source.clone(),
        source: split.source,
        active_shift: None,
        completed_shifts: BTreeMap::new(),
        step: None,
        share: TrafficShare::NONE,
    };
    if let Some((version, share)) = split.target {
        plan.apply_share(share, &mut |plan, all_traffic| {
            plan.target.clone_from(&version);
            if all_traffic {
                plan.source.clone_from(&version);
            }
        });
    }
    for shift in centre_shifts(snapshot, service, shift_fault, now) {
        let ends = (shift.from, shift.to);
        plan.apply_share(shift.share, &mut |plan, all_traffic| {
            if all_traffic {
                plan.completed_shifts.insert(ends.0.clone(), ends.1.clone());
            } else {
                plan.active_shift = Some(ends.clone());
            }
        });
    }
    if plan.share > TrafficShare::NONE {
        let leading = leading_move(snapshot, service);
        plan.step = leading.map(|(name, record)| (name.clone(), record.epoch));
    }
    plan
}

/// Bounds the requests sent to the target of a move by the share of the move.
///
/// A request on the target is reserved when a server is selected, and counted
/// when the request is sent. Over the requests sent in the current step,
/// `target_sent <= floor(share * total_sent)` holds at every moment.
#[derive(Debug, Clone, Default)]
pub struct ShareCounter {
    step: Option<MoveStepId>,
    total_sent: u64,
    target_sent: u64,
    reserved: u64,
    /// Calls of `reserve` with an active share, over all steps.
    decisions: u64,
}

/// A pseudo-random bit derived from a number by the mixing step of `SplitMix64`.
const fn hash_bit(number: u64) -> bool {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) & 1 == 1
}

impl ShareCounter {
    /// Creates a counter with no requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Assigns the next request to a side. On the target, a request is reserved.
    pub fn reserve(&mut self, plan: &TrafficPlan) -> MoveSide {
        if self.step != plan.step {
            // Requests of an earlier step must not allow a burst in this one.
            *self = Self {
                step: plan.step.clone(),
                decisions: self.decisions,
                ..Self::default()
            };
        }
        if plan.share == TrafficShare::NONE {
            return MoveSide::Source;
        }
        let allowed = plan.share.floor_of(self.total_sent + 1);
        let due = allowed.saturating_sub(self.target_sent + self.reserved);
        self.decisions += 1;
        // A due request goes to the target now or a little later, at random. If
        // it always went at once, exactly every hundredth request would go there
        // at 1 %, and callers with a periodic pattern would always send the same
        // route.
        if due > 1 || (due == 1 && hash_bit(self.decisions)) {
            self.reserved += 1;
            MoveSide::Target
        } else {
            MoveSide::Source
        }
    }

    /// Counts a request that is being sent, with the side and the step that it
    /// was reserved for. Requests of an earlier step are ignored.
    pub fn record_sent(&mut self, side: MoveSide, step: Option<&MoveStepId>) {
        if self.step.as_ref() != step {
            return;
        }
        self.total_sent += 1;
        if side == MoveSide::Target {
            self.reserved = self.reserved.saturating_sub(1);
            self.target_sent += 1;
        }
    }

    /// Releases the reservation of a request that is not sent.
    pub fn release(&mut self, side: MoveSide, step: Option<&MoveStepId>) {
        if self.step.as_ref() == step && side == MoveSide::Target {
            self.reserved = self.reserved.saturating_sub(1);
        }
    }

    /// Requests sent in this step, and those of them sent to the target.
    #[must_use]
    pub const fn counts(&self) -> (u64, u64) {
        (self.total_sent, self.target_sent)
    }
}
