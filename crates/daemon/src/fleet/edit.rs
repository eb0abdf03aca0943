//! Validates edits of the configuration and plans their row writes.

use std::collections::BTreeMap;

use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_policy::ids::{CentreName, CustomerName, TeamKey};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, DrainTarget, KeyDigest};
use tarragonpulley_wire::rows::{
    self, ConfigRows, ContractRow, DrainRow, KeyRow, MoveRow, contract_row_key, drain_row_key,
    key_row_key, move_row_key,
};

use crate::interfaces::ConfigEdit;

/// Rows to write; `None` deletes the row.
pub(super) type RowWrites = BTreeMap<String, Option<Vec<u8>>>;

/// The result of planning an edit against a given configuration.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum EditPlan {
    /// The rows to write; empty if the configuration contains the edit already.
    Write(RowWrites),
    /// The edit is not valid.
    Rejected(String),
    /// The edit names a base or an epoch that is no longer the current one.
    Conflict,
}

/// Plans `edit` for the configuration `snapshot`, which was read from `rows`.
pub(super) fn plan_edit(
    edit: &ConfigEdit,
    rows: &ConfigRows,
    snapshot: &ConfigSnapshot,
) -> EditPlan {
    let planned = match edit {
        ConfigEdit::PutContracts { files, base } => match base {
            Some(base) if *base != snapshot.revision => return EditPlan::Conflict,
            _ => put_contracts(files),
        },
        ConfigEdit::GrantKey(digest, team) => grant_key(snapshot, digest, team),
        ConfigEdit::WithdrawKey(digest) => withdraw_key(snapshot, digest),
        ConfigEdit::PutMove {
            name,
            epoch,
            record,
        } => {
            let current = snapshot.moves.get(name).map_or(0, |known| known.epoch);
            if current != *epoch {
                return EditPlan::Conflict;
            }
            if record.epoch == epoch + 1 {
                let row = MoveRow::from(record.clone());
                Ok(single_write(move_row_key(name), Some(rows::encode(&row))))
            } else {
                let found = record.epoch;
                Err(format!(
                    "epoch {found} of move {name} does not follow {epoch}"
                ))
            }
        }
        ConfigEdit::StartDrain(target) => start_drain(snapshot, target),
        ConfigEdit::EndDrain(target) => Ok(single_write(drain_row_key(target), None)),
    };
    match planned {
        Ok(mut writes) => {
            writes.retain(|key, value| rows.get(key) != value.as_ref());
            EditPlan::Write(writes)
        }
        Err(reason) => EditPlan::Rejected(reason),
    }
}

fn single_write(key: String, value: Option<Vec<u8>>) -> RowWrites {
    RowWrites::from([(key, value)])
}

fn put_contracts(files: &[(String, String)]) -> Result<RowWrites, String> {
    let mut writes = RowWrites::new();
    for (file, text) in files {
        let contract = CustomerContract::parse(file, text).map_err(|e| e.to_string())?;
        let customer = contract.customer;
        let row = ContractRow {
            file: file.clone(),
            text: text.clone(),
        };
        let key = contract_row_key(&customer);
        if writes.insert(key, Some(rows::encode(&row))).is_some() {
            return Err(format!("{file}: customer {customer} has two files"));
        }
    }
    Ok(writes)
}

fn grant_key(
    snapshot: &ConfigSnapshot,
    digest: &KeyDigest,
    team: &TeamKey,
) -> Result<RowWrites, String> {
    match snapshot.keys.get(digest) {
        Some(known) if known.withdrawn => {
            return Err(format!(
                "key {digest} was withdrawn and is never granted again"
            ));
        }
        Some(known) if known.team != *team => {
            return Err(format!("key {digest} belongs to team {}", known.team));
        }
        _ => {}
    }
    let contract = snapshot.contracts.get(&team.customer);
    if !contract.is_some_and(|contract| contract.teams.contains_key(&team.team)) {
        return Err(format!("team {team} is in no contract"));
    }
    let row = KeyRow {
        team: team.clone(),
        withdrawn: false,
    };
    Ok(single_write(key_row_key(digest), Some(rows::encode(&row))))
}

fn withdraw_key(snapshot: &ConfigSnapshot, digest: &KeyDigest) -> Result<RowWrites, String> {
    let Some(known) = snapshot.keys.get(digest) else {
        return Err(format!("key {digest} was never granted"));
    };
    let row = KeyRow {
        team: known.team.clone(),
        withdrawn: true,
    };
    Ok(single_write(key_row_key(digest), Some(rows::encode(&row))))
}

fn start_drain(snapshot: &ConfigSnapshot, target: &DrainTarget) -> Result<RowWrites, String> {
    if let DrainTarget::Centre(customer, centre) = target
        && !has_centre(snapshot, customer, centre)
    {
        return Err(format!("customer {customer} has no data centre {centre}"));
    }
    Ok(single_write(
        drain_row_key(target),
        Some(rows::encode(&DrainRow {})),
    ))
}

fn has_centre(snapshot: &ConfigSnapshot, customer: &CustomerName, centre: &CentreName) -> bool {
    let contract = snapshot.contracts.get(customer);
    contract.is_some_and(|contract| contract.centres.contains_key(centre))
}
