//! Claim rows in the table.

use tarragonpulley_backing::{RowKey, TableService};
use tarragonpulley_policy::claim::ClaimRow;

/// Result of reading a claim row.
#[derive(Debug)]
pub(super) enum ReadResult {
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
pub(super) async fn read_row(table: &dyn TableService, key: &RowKey) -> ReadResult {
    let snapshot = match table.read(key.clone()).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            log::warn!("failed to read claim {key}: {error}");
            return ReadResult::Failed;
        }
    };
    // Reads are by prefix and may also return longer keys.
    let Some(found) = snapshot.rows.get(key) else {
        return ReadResult::Absent;
    };
    match serde_json::from_slice(&found.value) {
        Ok(row) => ReadResult::Found {
            row,
            modified: found.modified,
        },
        Err(error) => {
            log::error!("row {key} is not a valid claim: {error}");
            ReadResult::Failed
        }
    }
}
