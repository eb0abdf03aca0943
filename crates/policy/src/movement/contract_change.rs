//! Checks a new contract against the moves of the fleet.
//!
//! Traffic goes from version to version only by a rollout, which has a cap and
//! watches for faults. A contract that names another version for a service
//! would move all traffic at once.

use std::sync::Arc;

use crate::contract::CustomerContract;
use crate::snapshot::{ConfigSnapshot, MoveKind};

use super::shares::{active_moves, has_servers, service_of, settled_version};
use crate::ids::ServiceKey;

/// Every reason why `contract` cannot replace the customer's current one.
#[must_use]
pub fn check_contract_change(
    snapshot: &ConfigSnapshot,
    contract: &CustomerContract,
) -> Vec<String> {
    let mut mistakes = Vec::new();
    let mut changed = snapshot.clone();
    let customer = contract.customer.clone();
    changed
        .contracts
        .insert(customer.clone(), Arc::new(contract.clone()));
    for service in contract.services.keys() {
        let key = ServiceKey {
            customer: customer.clone(),
            service: service.clone(),
        };
        let Some(before) = settled_version(snapshot, &key) else {
            continue;
        };
        let after = settled_version(&changed, &key);
        if after.as_ref() != Some(&before) {
            let after = after.map_or_else(String::new, |v| v.to_string());
            let rule = format!("{before} has the traffic; use a move to change that");
            mistakes.push(format!("service[{service}].version: {after:?}: {rule}"));
        } else if !has_servers(&changed, &key, &before) {
            let rule = format!("{before} has the traffic, and no server that stays runs it");
            mistakes.push(format!("service[{service}].server: {rule}"));
        }
    }
    for (name, record) in active_moves(snapshot) {
        if service_of(&record.kind).customer == customer && !supports(contract, &record.kind) {
            let service = &service_of(&record.kind).service;
            let rule = format!("move {name} is under way and needs servers that are missing");
            mistakes.push(format!("service[{service}].server: {rule}"));
        }
    }
    mistakes
}

/// Whether a contract has the servers that a move needs.
fn supports(contract: &CustomerContract, kind: &MoveKind) -> bool {
    let Some(plan) = contract.services.get(&service_of(kind).service) else {
        return false;
    };
    let mut servers = plan.servers.values();
    match kind {
        MoveKind::Rollout { from, to, .. } => {
            servers.clone().any(|s| s.version == *from) && servers.any(|s| s.version == *to)
        }
        MoveKind::CentreShift { from, to, .. } => {
            servers.clone().any(|s| s.centre == *from) && servers.any(|s| s.centre == *to)
        }
    }
}
