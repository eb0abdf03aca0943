//! Rows of jobs in the table.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tarragonpulley_backing::{PlatformError, RowKey, TableService};
use tarragonpulley_policy::ids::{IncarnationId, ServiceKey, TeamKey};
use tarragonpulley_policy::snapshot::KeyDigest;

/// Key prefix of jobs that are not done.
pub(super) const OPEN_PREFIX: &str = "job/open/";

pub(super) fn open_key(id: &str) -> RowKey {
    RowKey::new(format!("{OPEN_PREFIX}{id}"))
}

pub(super) fn done_key(id: &str) -> RowKey {
    RowKey::new(format!("job/done/{id}"))
}

/// A job that is not done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OpenJob {
    pub(super) team: TeamKey,
    pub(super) service: ServiceKey,
    pub(super) method: String,
    /// Path and query below the service.
    pub(super) target: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body_digest: String,
    pub(super) holder: IncarnationId,
    /// Incremented when another instance takes over the job.
    pub(super) epoch: u64,
    /// Incremented with each renewal of the lease.
    pub(super) renewals: u64,
}

/// A completed job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DoneJob {
    pub(super) team: TeamKey,
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
    /// Key of the object with the body of the result.
    pub(super) object: String,
    /// SHA-256 digest of the result's body.
    pub(super) digest: String,
}

/// A decoded row and the table revision of its last write.
pub(super) struct ReadRow<T> {
    pub(super) row: T,
    pub(super) modified: u64,
}

/// The SHA-256 digest of a body in hexadecimal.
pub(super) fn digest(body: &[u8]) -> String {
    let bytes: [u8; 32] = Sha256::digest(body).into();
    KeyDigest::from_bytes(bytes).to_string()
}

pub(super) fn encode(row: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(row).unwrap_or_else(|error| {
        log::error!("failed to encode a job: {error}");
        Vec::new()
    })
}

pub(super) fn decode<T: DeserializeOwned>(key: &RowKey, value: &[u8]) -> Option<T> {
    serde_json::from_slice(value)
        .inspect_err(|error| log::error!("row {key} is not a valid job: {error}"))
        .ok()
}

/// Reads one row. Reads are by prefix, so rows with longer keys are ignored.
pub(super) async fn read<T: DeserializeOwned>(
    table: &dyn TableService,
    key: &RowKey,
) -> Result<Option<ReadRow<T>>, PlatformError> {
    let snapshot = table.read(key.clone()).await?;
    let Some(found) = snapshot.rows.get(key) else {
        return Ok(None);
    };
    let row = decode(key, &found.value)
        .ok_or_else(|| PlatformError::InvalidResponse(format!("row {key} is not a job")))?;
    let modified = found.modified;
    Ok(Some(ReadRow { row, modified }))
}
