//! Derives shares of traffic from the contract and the moves.

use std::collections::BTreeMap;
use std::time::SystemTime;

use crate::ids::{CentreName, MoveName, ServiceKey, VersionName};
use crate::snapshot::{ConfigSnapshot, MoveKind, MoveRecord};
use crate::units::TrafficShare;

use super::MoveState;

/// The service whose traffic is moved.
pub(super) const fn service_of(kind: &MoveKind) -> &ServiceKey {
    match kind {
        MoveKind::Rollout { service, .. } | MoveKind::CentreShift { service, .. } => service,
    }
}

fn state_of(record: &MoveRecord) -> Option<MoveState> {
    record.state.parse().ok()
}

/// Moves that have not ended, ordered by name.
pub fn active_moves(snapshot: &ConfigSnapshot) -> impl Iterator<Item = (&MoveName, &MoveRecord)> {
    let finished = |record: &MoveRecord| state_of(record).is_some_and(MoveState::is_final);
    snapshot
        .moves
        .iter()
        .filter(move |(_, record)| !finished(record))
}

/// The move of a service that takes effect. Two instances can accept a move of
/// the same service at the same time. The first in name order takes effect; the
/// others are rolled back.
#[must_use]
pub fn leading_move<'a>(
    snapshot: &'a ConfigSnapshot,
    service: &ServiceKey,
) -> Option<(&'a MoveName, &'a MoveRecord)> {
    active_moves(snapshot).find(|(_, record)| service_of(&record.kind) == service)
}

/// The share that a move has at `now`. A move that is past its deadline and not
/// completed counts as rolled back, also while the table cannot be written.
fn effective_share(record: &MoveRecord, now: SystemTime) -> TrafficShare {
    let completed = state_of(record) == Some(MoveState::Completed);
    if completed || now < record.deadline {
        record.share
    } else {
        TrafficShare::NONE
    }
}

fn completed_moves<'a>(snapshot: &'a ConfigSnapshot, service: &ServiceKey) -> Vec<&'a MoveRecord> {
    let records = snapshot.moves.values();
    let mut completed: Vec<_> = records
        .filter(|r| service_of(&r.kind) == service && state_of(r) == Some(MoveState::Completed))
        .collect();
    completed.sort_by_key(|record| record.step_started);
    completed
}

/// The version that gets the traffic of a service, disregarding moves under way:
/// the version in the contract, or the one that completed rollouts led to.
#[must_use]
pub fn stable_version(snapshot: &ConfigSnapshot, service: &ServiceKey) -> Option<VersionName> {
    let contract = snapshot.contracts.get(&service.customer)?;
    let mut version = &contract.services.get(&service.service)?.version;
    for record in completed_moves(snapshot, service) {
        if let MoveKind::Rollout { from, to, .. } = &record.kind
            && from == version
        {
            version = to;
        }
    }
    Some(version.clone())
}

/// Whether a server that is not leaving runs a version of a service.
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

/// The division of the traffic of a service between versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSplit {
    /// The version that gets the rest of the traffic.
    pub source: VersionName,
    /// The target of the rollout under way, with its share.
    pub target: Option<(VersionName, TrafficShare)>,
}

/// The division of a service's traffic between versions at `now`, or `None` when
/// the contract does not name the service.
///
/// A rollout under way to a version for which `faulty` returns true is ignored.
/// A completed rollout to such a version is undone if its source has servers
/// and is not faulty itself.
#[must_use]
pub fn version_split(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    faulty: &dyn Fn(&VersionName) -> bool,
    now: SystemTime,
) -> Option<VersionSplit> {
    let mut source = stable_version(snapshot, service)?;
    // A fault that is detected after completion returns the traffic to the
    // preceding version.
    for record in completed_moves(snapshot, service).into_iter().rev() {
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
        target = Some((to.clone(), effective_share(record, now)));
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
    /// The data centre where the traffic arrives.
    pub from: CentreName,
    /// The data centre that runs the share.
    pub to: CentreName,
    /// The share of the source's traffic.
    pub share: TrafficShare,
}

/// The shifts of a service at `now`, including completed ones. A shift in the
/// opposite direction reduces the shift that it reverses. With `faulty`, the
/// shift under way has a detected fault and is ignored.
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
    for record in completed_moves(snapshot, service).into_iter().chain(active) {
        let MoveKind::CentreShift { from, to, .. } = &record.kind else {
            continue;
        };
        let share = effective_share(record, now);
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
