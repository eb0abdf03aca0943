//! Checks of changes against the active configuration of this instance.
//!
//! The conditional write to the table decides; these checks report all violations
//! to the operator before anything is written.

use std::collections::BTreeMap;

use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_policy::ids::TeamKey;
use tarragonpulley_policy::movement::check_contract_change;
use tarragonpulley_policy::snapshot::{ConfigSnapshot, KeyDigest};

/// All violations in contract files.
pub(super) fn contracts(snapshot: &ConfigSnapshot, files: &[(String, String)]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut seen = BTreeMap::new();
    for (file, text) in files {
        match CustomerContract::parse(file, text) {
            Err(error) => violations.extend(error.to_string().lines().map(str::to_owned)),
            Ok(contract) => {
                let changes = check_contract_change(snapshot, &contract);
                violations.extend(changes.iter().map(|m| format!("{file}: {m}")));
                if let Some(other) = seen.insert(contract.customer.clone(), file) {
                    let customer = contract.customer;
                    violations.push(format!(
                        "{file}: customer: {customer:?}: is also in {other}"
                    ));
                }
            }
        }
    }
    violations
}

/// All violations in the grant of a key.
pub(super) fn grant(
    snapshot: &ConfigSnapshot,
    digest: &KeyDigest,
    team: &TeamKey,
    withdrawn: bool,
) -> Vec<String> {
    let mut violations = Vec::new();
    match snapshot.contracts.get(&team.customer) {
        None => violations.push(format!("team: there is no customer {}", team.customer)),
        Some(contract) if !contract.teams.contains_key(&team.team) => {
            violations.push(format!("team: there is no team {team}"));
        }
        Some(_) => {}
    }
    let known = snapshot.keys.get(digest);
    if withdrawn || known.is_some_and(|grant| grant.withdrawn) {
        violations.push("key: was withdrawn and cannot be granted again".to_owned());
    } else if let Some(grant) = known.filter(|grant| grant.team != *team) {
        violations.push(format!("key: belongs to team {}", grant.team));
    }
    violations
}
