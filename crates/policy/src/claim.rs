//! At-most-once execution of requests with an idempotency key.
//!
//! An instance claims a request by a conditional insert of a row under the
//! request's identity. Only the instance whose insert succeeds sends the
//! request to a backend server. Later requests with the same identity read the
//! outcome from the row.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, ServiceName, TeamKey};

/// Maximum length of an `idempotency-key` in bytes. Bounded because the key is
/// part of a row key.
pub const MAX_IDENTITY_BYTES: usize = 128;

/// Identity of an at-most-once request: the caller's idempotency key, scoped to
/// its team and the service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimIdentity {
    /// The calling team, which includes its customer.
    pub team: TeamKey,
    /// The service that the request is sent to.
    pub service: ServiceName,
    key: String,
}

/// The value of an `idempotency-key` header is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "an idempotency-key has 1 to {MAX_IDENTITY_BYTES} characters of A-Z, a-z, 0-9, '-', '_', '.' and ':'"
)]
pub struct IdentityError;

impl ClaimIdentity {
    /// Creates an identity from the value of an `idempotency-key` header.
    ///
    /// # Errors
    ///
    /// [`IdentityError`] if the value is empty, longer than
    /// [`MAX_IDENTITY_BYTES`], or contains a character such as `/` that could
    /// produce the row key of another identity.
    pub fn new(team: TeamKey, service: ServiceName, key: &str) -> Result<Self, IdentityError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
        if key.is_empty() || key.len() > MAX_IDENTITY_BYTES || !key.chars().all(allowed) {
            return Err(IdentityError);
        }
        Ok(Self {
            team,
            service,
            key: key.to_owned(),
        })
    }

    /// The key of the claim's row in the table.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("claim/{}/{}/{}", self.team, self.service, self.key)
    }
}

impl fmt::Display for ClaimIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.team, self.service, self.key)
    }
}

/// A response as it is stored in the row of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Names and values of the response headers.
    pub headers: Vec<(String, String)>,
    /// The body in Base64, or `None` if it is too large to store.
    pub body: Option<String>,
}

/// State of a claimed request, as stored in its row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder of the claim may have sent the request.
    Running,
    /// The holder received this response.
    Done(RecordedResponse),
    /// The request may have run, but no response was received.
    Unknown,
}

/// The row that stores a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Unique for each insert, so that an instance recognizes its own row when
    /// the outcome of its insert is unknown.
    pub nonce: String,
    /// The digest of the request, which detects a key reused for another one.
    pub fingerprint: String,
    /// The incarnation that holds the claim.
    pub incarnation: IncarnationId,
    /// The state of the request.
    pub state: ClaimState,
}

/// Outcome of the insert of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertOutcome {
    /// The row was inserted.
    Applied,
    /// A row with this key already exists.
    Conflict,
    /// The insert certainly was not applied.
    NotApplied,
    /// No response was received; the row may have been inserted.
    Unknown,
}

/// Next action after the insert of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertAction {
    /// Treat the claim as held.
    Hold,
    /// Read the row and pass it to [`decide_claim`].
    ReadBack,
    /// Reject the request as "not run": nothing was sent and no row exists.
    Reject,
}

/// Chooses the action that follows the outcome of an insert.
#[must_use]
pub const fn after_insert(outcome: InsertOutcome) -> InsertAction {
    match outcome {
        InsertOutcome::Applied => InsertAction::Hold,
        InsertOutcome::Conflict | InsertOutcome::Unknown => InsertAction::ReadBack,
        InsertOutcome::NotApplied => InsertAction::Reject,
    }
}

/// Decision about a request, given the existing row of its identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The row was inserted for this request, so the claim is held.
    Held,
    /// The identity was already used for a different request.
    Reused,
    /// The request has run; this is its stored response.
    Recorded(RecordedResponse),
    /// The holder of the claim is still running the request.
    StillRunning,
    /// The request may have run, and its outcome can no longer be determined.
    Unknown,
}

/// Decides what an existing row means for a request. If the holder of a running
/// claim was removed (`holder_removed`), its request may have run, so the
/// request is never run again.
#[must_use]
pub fn decide_claim(
    row: &ClaimRow,
    nonce: &str,
    fingerprint: &str,
    holder_removed: bool,
) -> ClaimDecision {
    if row.fingerprint != fingerprint {
        return ClaimDecision::Reused;
    }
    match &row.state {
        ClaimState::Running if row.nonce == nonce => ClaimDecision::Held,
        ClaimState::Running if holder_removed => ClaimDecision::Unknown,
        ClaimState::Running => ClaimDecision::StillRunning,
        ClaimState::Done(response) => ClaimDecision::Recorded(response.clone()),
        ClaimState::Unknown => ClaimDecision::Unknown,
    }
}
