//! Requests that run at most once.
//!
//! An identity is claimed by one conditional insert of its row. Only the
//! instance whose insert succeeded sends the request. The row then tells every
//! later request with the identity what became of it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, ServiceName, TeamKey};

/// The longest `idempotency-key` in bytes. It is part of a row key.
pub const MAX_IDENTITY_BYTES: usize = 128;

/// What a caller names a request that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimIdentity {
    /// The team and its customer.
    pub team: TeamKey,
    /// The service.
    pub service: ServiceName,
    key: String,
}

/// Why an `idempotency-key` is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "an idempotency-key has 1 to {MAX_IDENTITY_BYTES} characters of A-Z, a-z, 0-9, '-', '_', '.' and ':'"
)]
pub struct IdentityError;

impl ClaimIdentity {
    /// Checks the value of an `idempotency-key` header.
    ///
    /// # Errors
    ///
    /// [`IdentityError`] when the value is empty, too long, or has characters
    /// that could reach into another row key.
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

    /// The key of the row in the table.
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

/// An answer as it is kept in the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body in Base64, or `None` when it is too large to keep.
    pub body: Option<String>,
}

/// What is known about a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have sent it.
    Running,
    /// It was answered.
    Done(RecordedAnswer),
    /// It may have run; there is no answer.
    Unknown,
}

/// The row of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Tells apart two inserts of the same identity.
    pub nonce: String,
    /// The digest of the request.
    pub fingerprint: String,
    /// The holder.
    pub incarnation: IncarnationId,
    /// What is known.
    pub state: ClaimState,
}

/// What the table answered to the insert of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertAnswer {
    /// The row was inserted.
    Applied,
    /// A row existed.
    Conflict,
    /// The insert certainly did not happen.
    NotApplied,
    /// No answer; the row may have been inserted.
    Lost,
}

/// What to do after the insert of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InsertStep {
    /// The claim is held.
    Hold,
    /// Read the row and judge it.
    ReadBack,
    /// Refuse as "not run": nothing was sent and no row exists.
    Refuse,
}

/// What an answer to an insert means.
#[must_use]
pub const fn after_insert(answer: InsertAnswer) -> InsertStep {
    match answer {
        InsertAnswer::Applied => InsertStep::Hold,
        InsertAnswer::Conflict | InsertAnswer::Lost => InsertStep::ReadBack,
        InsertAnswer::NotApplied => InsertStep::Refuse,
    }
}

/// What a row means for a request with its identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The row is the one that this request inserted: the claim is held.
    Held,
    /// The identity belongs to another request.
    Reused,
    /// The request was answered.
    Recorded(RecordedAnswer),
    /// The holder is running it.
    StillRunning,
    /// It may have run, and nobody will find out.
    Unknown,
}

/// Judges an existing row. `holder_gone` tells whether the incarnation in the
/// row has ended: its request may have run, so it never runs again.
#[must_use]
pub fn judge_row(
    row: &ClaimRow,
    nonce: &str,
    fingerprint: &str,
    holder_gone: bool,
) -> ClaimVerdict {
    if row.fingerprint != fingerprint {
        return ClaimVerdict::Reused;
    }
    match &row.state {
        ClaimState::Running if row.nonce == nonce => ClaimVerdict::Held,
        ClaimState::Running if holder_gone => ClaimVerdict::Unknown,
        ClaimState::Running => ClaimVerdict::StillRunning,
        ClaimState::Done(answer) => ClaimVerdict::Recorded(answer.clone()),
        ClaimState::Unknown => ClaimVerdict::Unknown,
    }
}
