//! Claim rows in the table.

use tarragonpulley_backing::{RowKey, TableService};
use tarragonpulley_policy::claim::ClaimRow;

/// What reading a row found.
#[derive(Debug)]
pub(super) enum ReadBack {
    Found { row: ClaimRow, modified: u64 },
    Absent,
    Failed,
}

pub(super) fn encode(row: &ClaimRow) -> Vec<u8> {
    serde_json::to_vec(row).unwrap_or_else(|error| {
        log::error!("encoding a claim failed: {error}");
        Vec::new()
    })
}

/// Reads one row. A row that cannot be decoded counts as not readable, so that
/// its request is refused.
pub(super) async fn read_row(table: &dyn TableService, key: &RowKey) -> ReadBack {
    let snapshot = match table.read(key.clone()).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            log::warn!("reading back {key} failed: {error}");
            return ReadBack::Failed;
        }
    };
    // The read is by prefix and may return longer keys too.
    let Some(found) = snapshot.rows.get(key) else {
        return ReadBack::Absent;
    };
    match serde_json::from_slice(&found.value) {
        Ok(row) => ReadBack::Found {
            row,
            modified: found.modified,
        },
        Err(error) => {
            log::error!("row {key} is not a claim: {error}");
            ReadBack::Failed
        }
    }
}
