//! Claim rows in the table.

use tarragonpulley_backing::{RowKey, TableService};
use tarragonpulley_policy::claim::ClaimRow;

/// Result of reading a claim row.
#[derive(Debug)]
pub(super) enum ReadBack {
    Found { row: ClaimRow, modified: u64 },
    Absent,
    Failed,
}

pub(super) fn encode(row: &ClaimRow) -> Vec<u8> {
    serde_json::to_vec(row).unwrap_or_else(|error| {
        log::error!("failed to encode a claim: {error}");
        Vec::new()
    })
}

/// Reads one row. A row that cannot be decoded counts as a failed read, so that
/// its request is rejected.
pub(super) async fn read_row(table: &dyn TableService, key: &RowKey) -> ReadBack {
    let snapshot = match table.read(key.clone()).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            log::warn!("failed to read claim {key}: {error}");
            return ReadBack::Failed;
        }
    };
    // Reads are by prefix and may also return longer keys.
    let Some(found) = snapshot.rows.get(key) else {
        return ReadBack::Absent;
    };
    match serde_json::from_slice(&found.value) {
        Ok(row) => ReadBack::Found {
            row,
            modified: found.modified,
        },
        Err(error) => {
            log::error!("row {key} is not a valid claim: {error}");
            ReadBack::Failed
        }
    }
}
