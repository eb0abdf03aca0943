//! Checks a new contract against the moves in the configuration.
//!
//! Traffic changes its version only through a rollout, which has a cap and is
//! monitored for faults. A contract that names another version for a service
//! would move all traffic at once.

use std::sync::Arc;

use crate::contract::CustomerContract;
use crate::snapshot::{ConfigSnapshot, MoveKind};

use super::shares::{active_moves, has_servers, service_of, stable_version};
use crate::ids::ServiceKey;

/// Returns every reason why `contract` cannot replace the customer's current
/// contract. The list is empty if it can.
#[must_use]
pub fn check_contract_change(
    snapshot: &ConfigSnapshot,
    contract: &CustomerContract,
) -> Vec<String> {
    let mut violations = Vec::new();
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
        let Some(current) = stable_version(snapshot, &key) else {
            continue;
        };
        let next = stable_version(&changed, &key);
        if next.as_ref() != Some(&current) {
            let next = next.map_or_else(String::new, |v| v.to_string());
            let rule = format!("{current} has the traffic; use a move to change that");
            violations.push(format!("service[{service}].version: {next:?}: {rule}"));
        } else if !has_servers(&changed, &key, &current) {
            let rule = format!("{current} has the traffic, and no server that stays runs it");
            violations.push(format!("service[{service}].server: {rule}"));
        }
    }
    for (name, record) in active_moves(snapshot) {
        if service_of(&record.kind).customer == customer && !has_servers_for(contract, &record.kind)
        {
            let service = &service_of(&record.kind).service;
            let rule = format!("move {name} is under way and needs servers that are missing");
            violations.push(format!("service[{service}].server: {rule}"));
        }
    }
    violations
}

/// Whether a contract has servers for both the source and the target of a move.
fn has_servers_for(contract: &CustomerContract, kind: &MoveKind) -> bool {
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
