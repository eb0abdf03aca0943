//! Shares of traffic that follow from the contract and the moves.

use std::collections::BTreeMap;
use std::time::SystemTime;

use crate::ids::{CentreName, MoveName, ServiceKey, VersionName};
use crate::snapshot::{ConfigSnapshot, MoveKind, MoveRecord};
use crate::units::TrafficShare;

use super::MoveState;

/// The service of a move.
pub(super) const fn service_of(kind: &MoveKind) -> &ServiceKey {
    match kind {
        MoveKind::Rollout { service, .. } | MoveKind::CentreShift { service, .. } => service,
    }
}

fn state_of(record: &MoveRecord) -> Option<MoveState> {
    record.state.parse().ok()
}

/// Moves that have not ended.
pub fn active_moves(snapshot: &ConfigSnapshot) -> impl Iterator<Item = (&MoveName, &MoveRecord)> {
    let ended = |record: &MoveRecord| state_of(record).is_some_and(MoveState::is_final);
    snapshot
        .moves
        .iter()
        .filter(move |(_, record)| !ended(record))
}

/// The move of a service that is in force. Two instances can accept a move of
/// the same service at the same time; the first in name order counts, and the
/// others are taken back.
#[must_use]
pub fn leading_move<'a>(
    snapshot: &'a ConfigSnapshot,
    service: &ServiceKey,
) -> Option<(&'a MoveName, &'a MoveRecord)> {
    active_moves(snapshot).find(|(_, record)| service_of(&record.kind) == service)
}

/// The share that a move has at `now`. A move past its deadline that is not
/// completed counts as taken back, also while the table cannot be written.
fn share_at(record: &MoveRecord, now: SystemTime) -> TrafficShare {
    let completed = state_of(record) == Some(MoveState::Completed);
    if completed || now < record.deadline {
        record.share
    } else {
        TrafficShare::NONE
    }
}

fn completed_of<'a>(snapshot: &'a ConfigSnapshot, service: &ServiceKey) -> Vec<&'a MoveRecord> {
    let records = snapshot.moves.values();
    let mut completed: Vec<_> = records
        .filter(|r| service_of(&r.kind) == service && state_of(r) == Some(MoveState::Completed))
        .collect();
    completed.sort_by_key(|record| record.step_started);
    completed
}

/// The version that has the traffic of a service apart from moves under way:
/// the contract's, followed through completed rollouts.
#[must_use]
pub fn settled_version(snapshot: &ConfigSnapshot, service: &ServiceKey) -> Option<VersionName> {
    let contract = snapshot.contracts.get(&service.customer)?;
    let mut version = &contract.services.get(&service.service)?.version;
    for record in completed_of(snapshot, service) {
        if let MoveKind::Rollout { from, to, .. } = &record.kind
            && from == version
        {
            version = to;
        }
    }
    Some(version.clone())
}

/// Whether a server that stays runs a version of a service.
pub(super) fn has_servers(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    version: &VersionName,
) -> bool {
    let contract = snapshot.contracts.get(&service.customer);
    let plan = contract.and_then(|c| c.services.get(&service.service));
    plan.is_some_and(|plan| {
        let mut servers = plan.servers.values();
        servers.any(|s| s.version == *version && !s.leaving)
    })
}

/// The versions that the requests of a service go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSplit {
    /// The version of requests that stay.
    pub source: VersionName,
    /// The version of requests that move, with their share.
    pub target: Option<(VersionName, TrafficShare)>,
}

/// The versions of a service at `now`. A version for which `faulty` holds gets
/// nothing while another one is known. `None` when the contract does not name
/// the service.
#[must_use]
pub fn version_split(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    faulty: &dyn Fn(&VersionName) -> bool,
    now: SystemTime,
) -> Option<VersionSplit> {
    let mut source = settled_version(snapshot, service)?;
    // A fault found after completion returns the traffic to the version before.
    for record in completed_of(snapshot, service).into_iter().rev() {
        if let MoveKind::Rollout { from, to, .. } = &record.kind
            && *to == source
            && faulty(to)
            && !faulty(from)
            && has_servers(snapshot, service, from)
        {
            source = from.clone();
        }
    }
    let mut target = None;
    if let Some((_, record)) = leading_move(snapshot, service)
        && let MoveKind::Rollout { to, .. } = &record.kind
        && *to != source
        && !faulty(to)
    {
        target = Some((to.clone(), share_at(record, now)));
    }
    Some(VersionSplit { source, target })
}

/// The share of each version of a service at `now`.
#[must_use]
pub fn version_shares(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    faulty: &dyn Fn(&VersionName) -> bool,
    now: SystemTime,
) -> BTreeMap<VersionName, TrafficShare> {
    let Some(split) = version_split(snapshot, service, faulty, now) else {
        return BTreeMap::new();
    };
    let target = split.target.as_ref();
    let moved_ppm = target.map_or(0, |(_, share)| share.ppm());
    let rest = TrafficShare::from_ppm(TrafficShare::ALL.ppm() - moved_ppm);
    split
        .target
        .into_iter()
        .chain([(split.source, rest)])
        .collect()
}

/// The share of a data centre's traffic that goes to another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CentreShiftShare {
    /// The data centre that the traffic is meant for.
    pub from: CentreName,
    /// The data centre that gets the share.
    pub to: CentreName,
    /// The share.
    pub share: TrafficShare,
}

/// The shifts of a service at `now`, completed ones included. A shift back
/// ends the shift that it reverses. With `faulty`, the shift under way showed
/// a fault and moves nothing.
#[must_use]
pub fn centre_shifts(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    faulty: bool,
    now: SystemTime,
) -> Vec<CentreShiftShare> {
    let active = leading_move(snapshot, service).filter(|_| !faulty);
    let active = active.map(|(_, record)| record);
    let mut shifts: Vec<CentreShiftShare> = Vec::new();
    for record in completed_of(snapshot, service).into_iter().chain(active) {
        let MoveKind::CentreShift { from, to, .. } = &record.kind else {
            continue;
        };
        let share = share_at(record, now);
        let reversed = shifts.iter().position(|s| s.from == *to && s.to == *from);
        match reversed {
            Some(index) => {
                let rest = shifts[index].share.ppm().saturating_sub(share.ppm());
                shifts[index].share = TrafficShare::from_ppm(rest);
            }
            None => shifts.push(CentreShiftShare {
                from: from.clone(),
                to: to.clone(),
                share,
            }),
        }
    }
    shifts.retain(|shift| shift.share > TrafficShare::NONE);
    shifts
}
