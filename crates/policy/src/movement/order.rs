//! Checks the order of an operator for a new move.

use std::time::{Duration, SystemTime};

use crate::contract::ServicePlan;
use crate::ids::{CentreName, MoveName, ServiceKey, VersionName};
use crate::snapshot::{ConfigSnapshot, DrainTarget, MoveKind, MoveRecord};
use crate::units::{TimeSpan, TrafficShare};

use super::MoveState;
use super::shares::{active_moves, has_servers, service_of, stable_version};

/// Smallest cap. Below it, a version gets too few requests to be assessed.
pub const MIN_CAP: TrafficShare = TrafficShare::from_ppm(1_000);
/// Largest cap, so that a faulty version gets only a small share of the traffic.
pub const MAX_CAP: TrafficShare = TrafficShare::from_percent(25);
/// Shortest time to the deadline: six steps of one second and the time reserved
/// for a rollback.
pub const MIN_DEADLINE: Duration = Duration::from_secs(10);
/// Longest time to the deadline.
pub const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// An operator's order for a new move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveOrder {
    /// The name of the move, which no earlier move may have had.
    pub name: MoveName,
    /// What is moved, from where and to where.
    pub kind: MoveKind,
    /// Maximum share before the target is proved sound.
    pub cap: TrafficShare,
    /// Time from the order until the move must have ended.
    pub deadline: Duration,
}

/// Checks an order and returns the record to write.
///
/// # Errors
///
/// Every violated rule, as text that names the field.
pub fn check_order(
    snapshot: &ConfigSnapshot,
    order: &MoveOrder,
    now: SystemTime,
) -> Result<MoveRecord, Vec<String>> {
    let mut violations = Vec::new();
    check_ranges(order, &mut violations);
    if snapshot.moves.contains_key(&order.name) {
        violations.push(format!("name: {} was used before", order.name));
    }
    let service = service_of(&order.kind);
    for (name, record) in active_moves(snapshot) {
        if service_of(&record.kind) == service {
            violations.push(format!("kind: move {name} of {service} is under way"));
        }
    }
    match find_service(snapshot, service) {
        None => violations.push(format!("kind.service: there is no service {service}")),
        Some(plan) => match &order.kind {
            MoveKind::Rollout { from, to, .. } => {
                check_rollout(snapshot, service, (from, to), &mut violations);
            }
            MoveKind::CentreShift { from, to, .. } => {
                check_shift(snapshot, service, plan, (from, to), &mut violations);
            }
        },
    }
    if !violations.is_empty() {
        return Err(violations);
    }
    Ok(MoveRecord {
        kind: order.kind.clone(),
        state: MoveState::Planned.to_string(),
        share: TrafficShare::NONE,
        cap: order.cap,
        deadline: now + order.deadline,
        step_started: now,
        epoch: 1,
        reason: "ordered by an operator".to_owned(),
    })
}

fn check_ranges(order: &MoveOrder, violations: &mut Vec<String>) {
    if !(MIN_CAP..=MAX_CAP).contains(&order.cap) {
        violations.push(format!(
            "cap: {} must be from {MIN_CAP} to {MAX_CAP}",
            order.cap
        ));
    }
    if !(MIN_DEADLINE..=MAX_DEADLINE).contains(&order.deadline) {
        let [given, min, max] = [order.deadline, MIN_DEADLINE, MAX_DEADLINE].map(TimeSpan::new);
        violations.push(format!("deadline: {given} must be from {min} to {max}"));
    }
}

fn find_service<'a>(snapshot: &'a ConfigSnapshot, service: &ServiceKey) -> Option<&'a ServicePlan> {
    let contract = snapshot.contracts.get(&service.customer)?;
    contract.services.get(&service.service)
}

fn check_rollout(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    (from, to): (&VersionName, &VersionName),
    violations: &mut Vec<String>,
) {
    let current = stable_version(snapshot, service);
    if current.as_ref() != Some(from) {
        let current = current.map_or_else(String::new, |v| v.to_string());
        violations.push(format!(
            "kind.from: {from} does not have the traffic; {current} has"
        ));
    }
    if from == to {
        violations.push(format!("kind.to: {to} is also the value of from"));
    }
    if !has_servers(snapshot, service, to) {
        violations.push(format!("kind.to: no server of {service} runs {to}"));
    }
}

fn check_shift(
    snapshot: &ConfigSnapshot,
    service: &ServiceKey,
    plan: &ServicePlan,
    (from, to): (&CentreName, &CentreName),
    violations: &mut Vec<String>,
) {
    if from == to {
        violations.push(format!("kind.to: {to} is also the value of from"));
    }
    for (field, centre) in [("from", from), ("to", to)] {
        if !plan
            .servers
            .values()
            .any(|s| s.centre == *centre && !s.leaving)
        {
            violations.push(format!("kind.{field}: {service} has no server in {centre}"));
        }
    }
    let drain = DrainTarget::Centre(service.customer.clone(), to.clone());
    if snapshot.drains.contains(&drain) {
        violations.push(format!("kind.to: data centre {to} is being drained"));
    }
}
