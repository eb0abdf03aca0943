//! Messages of the operator API.
//!
//! JSON bodies of the operator port, shared by the instances and the
//! command-line tool. Request bodies with unknown fields are rejected, so that
//! a misspelt field is not silently ignored.

mod moves;
mod response;

use std::fmt;

use serde::{Deserialize, Serialize};
use tarragonpulley_policy::ids::TeamKey;
use tarragonpulley_policy::snapshot::{DrainTarget, KeyDigest};
use tarragonpulley_policy::units::ConfigRevision;

pub use moves::{MoveKindSpec, MoveRequest};
pub use response::{
    ChangeResponse, DrainStatus, ErrorKind, ErrorResponse, EventEntry, KeyCounts, MemberStatus,
    MoveStatus, StatusResponse, TimelineResponse,
};

/// Minimum length of a key in bytes. Only an unsalted digest is stored, so a key
/// must be long enough to resist guessing from the digest.
pub const MIN_KEY_BYTES: usize = 16;
/// Maximum length of a key in bytes. Each request carries the key in a header.
pub const MAX_KEY_BYTES: usize = 256;

/// An invalid field in a message of the operator API.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct FieldError {
    /// The path of the invalid field.
    pub field: &'static str,
    /// Why the value is invalid.
    pub message: String,
}

impl FieldError {
    fn new(field: &'static str, message: impl fmt::Display) -> Self {
        Self {
            field,
            message: message.to_string(),
        }
    }
}

/// A contract file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContractFile {
    /// The file name, used in error messages.
    pub file: String,
    /// The contents of the file.
    pub text: String,
}

/// Body of `POST /v1/apply`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The contract files, one for each customer to change.
    pub files: Vec<ContractFile>,
    /// The revision that the change is based on; if the current revision is
    /// newer, the change fails with a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
}

impl ApplyRequest {
    /// Returns the file names with their contents, and the base revision.
    #[must_use]
    pub fn into_parts(self) -> (Vec<(String, String)>, Option<ConfigRevision>) {
        let files = self.files.into_iter().map(|f| (f.file, f.text)).collect();
        (files, self.base.map(ConfigRevision::new))
    }
}

/// An API key of a team. Its `Debug` output is redacted, so that keys never
/// reach a log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SecretKey(String);

impl SecretKey {
    /// Wraps a key without checking its length or characters.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Validates the key and returns its digest.
    ///
    /// # Errors
    ///
    /// [`FieldError`] if the key is too short or too long, or contains a
    /// character that is not allowed in a header.
    pub fn digest(&self) -> Result<KeyDigest, FieldError> {
        if !(MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&self.0.len()) {
            let reason = format!("must have from {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes");
            return Err(FieldError::new("key", reason));
        }
        if !self.0.bytes().all(|byte| byte.is_ascii_graphic()) {
            let reason = "must have only visible ASCII characters";
            return Err(FieldError::new("key", reason));
        }
        Ok(KeyDigest::of_key(&self.0))
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKey(hidden)")
    }
}

/// Body of `POST /v1/keys/grant`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRequest {
    /// The team, `customer/team`.
    pub team: String,
    /// The key to grant.
    pub key: SecretKey,
}

impl TryFrom<GrantRequest> for (KeyDigest, TeamKey) {
    type Error = FieldError;

    fn try_from(request: GrantRequest) -> Result<Self, FieldError> {
        let team = request.team.parse();
        let team = team.map_err(|error| FieldError::new("team", error))?;
        Ok((request.key.digest()?, team))
    }
}

/// Body of `POST /v1/keys/withdraw`. Exactly one field must be set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawRequest {
    /// The key to withdraw.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<SecretKey>,
    /// The SHA-256 digest of the key, in hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<String>,
}

impl TryFrom<WithdrawRequest> for KeyDigest {
    type Error = FieldError;

    fn try_from(request: WithdrawRequest) -> Result<Self, FieldError> {
        match (request.key, request.digest) {
            (Some(key), None) => key.digest(),
            (None, Some(digest)) => {
                let digest = digest.parse();
                digest.map_err(|error| FieldError::new("digest", error))
            }
            _ => Err(FieldError::new("key", "give either key or digest")),
        }
    }
}

/// Body of `POST /v1/drains` and `DELETE /v1/drains`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// `centre:customer/centre` or `instance:name`.
    pub target: String,
}

impl From<&DrainTarget> for DrainRequest {
    fn from(target: &DrainTarget) -> Self {
        let target = match target {
            DrainTarget::Centre(customer, centre) => format!("centre:{customer}/{centre}"),
            DrainTarget::Instance(instance) => format!("instance:{instance}"),
        };
        Self { target }
    }
}

impl TryFrom<DrainRequest> for DrainTarget {
    type Error = FieldError;

    fn try_from(request: DrainRequest) -> Result<Self, FieldError> {
        let error = |e: &dyn fmt::Display| FieldError::new("target", e);
        let expected_format = "must be centre:customer/centre or instance:name";
        match request.target.split_once(':') {
            Some(("instance", name)) => {
                let name = name.parse().map_err(|e| error(&e))?;
                Ok(Self::Instance(name))
            }
            Some(("centre", pair)) => {
                let (customer, centre) = pair
                    .split_once('/')
                    .ok_or_else(|| error(&expected_format))?;
                let customer = customer.parse().map_err(|e| error(&e))?;
                let centre = centre.parse().map_err(|e| error(&e))?;
                Ok(Self::Centre(customer, centre))
            }
            _ => Err(error(&expected_format)),
        }
    }
}
