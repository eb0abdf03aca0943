//! Messages of the operator API.
//!
//! JSON bodies of the operator port, shared by the instances and the
//! command-line tool. Unknown fields are refused, so that a misspelt one is
//! not ignored in silence.

mod answer;
mod moves;

use std::fmt;

use serde::{Deserialize, Serialize};
use tarragonpulley_policy::ids::TeamKey;
use tarragonpulley_policy::snapshot::{DrainTarget, KeyDigest};
use tarragonpulley_policy::units::ConfigRevision;

pub use answer::{
    ChangeAnswer, DrainStatus, ErrorAnswer, ErrorKind, EventEntry, KeyCounts, MemberStatus,
    MoveStatus, StatusAnswer, TimelineAnswer,
};
pub use moves::{MoveForm, MoveRequest};

/// Shortest key in bytes. Only a digest without salt is stored, so a key must
/// be too long to be guessed from it.
pub const MIN_KEY_BYTES: usize = 16;
/// Longest key in bytes. It travels in a header of each request.
pub const MAX_KEY_BYTES: usize = 256;

/// Why a message of the operator API is not valid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct OperatorError {
    /// The field at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub message: String,
}

impl OperatorError {
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
pub struct ContractText {
    /// The name of the file, for messages.
    pub file: String,
    /// Its text.
    pub text: String,
}

/// Body of `POST /v1/apply`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// One contract file for each customer to change.
    pub files: Vec<ContractText>,
    /// The revision that the operator has seen; a newer one is a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
}

impl ApplyRequest {
    /// File names and texts.
    #[must_use]
    pub fn into_parts(self) -> (Vec<(String, String)>, Option<ConfigRevision>) {
        let files = self.files.into_iter().map(|f| (f.file, f.text)).collect();
        (files, self.base.map(ConfigRevision::new))
    }
}

/// A team's key. Its `Debug` form hides it, so that it never reaches a log.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SecretKey(String);

impl SecretKey {
    /// Wraps a key.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// The digest of the key.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when the key is too short or too long, or has a
    /// character that a header cannot carry.
    pub fn digest(&self) -> Result<KeyDigest, OperatorError> {
        if !(MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&self.0.len()) {
            let bound = format!("must have from {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes");
            return Err(OperatorError::new("key", bound));
        }
        if !self.0.bytes().all(|byte| byte.is_ascii_graphic()) {
            let bound = "must have only visible ASCII characters";
            return Err(OperatorError::new("key", bound));
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
    /// The key.
    pub key: SecretKey,
}

impl TryFrom<GrantRequest> for (KeyDigest, TeamKey) {
    type Error = OperatorError;

    fn try_from(request: GrantRequest) -> Result<Self, OperatorError> {
        let team = request.team.parse();
        let team = team.map_err(|error| OperatorError::new("team", error))?;
        Ok((request.key.digest()?, team))
    }
}

/// Body of `POST /v1/keys/withdraw`: the key or its digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawRequest {
    /// The key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<SecretKey>,
    /// The SHA-256 digest of the key in hexadecimal digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<String>,
}

impl TryFrom<WithdrawRequest> for KeyDigest {
    type Error = OperatorError;

    fn try_from(request: WithdrawRequest) -> Result<Self, OperatorError> {
        match (request.key, request.digest) {
            (Some(key), None) => key.digest(),
            (None, Some(digest)) => {
                let digest = digest.parse();
                digest.map_err(|error| OperatorError::new("digest", error))
            }
            _ => Err(OperatorError::new("key", "give either key or digest")),
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
    type Error = OperatorError;

    fn try_from(request: DrainRequest) -> Result<Self, OperatorError> {
        let error = |e: &dyn fmt::Display| OperatorError::new("target", e);
        let form = "must be centre:customer/centre or instance:name";
        match request.target.split_once(':') {
            Some(("instance", name)) => {
                let name = name.parse().map_err(|e| error(&e))?;
                Ok(Self::Instance(name))
            }
            Some(("centre", pair)) => {
                let (customer, centre) = pair.split_once('/').ok_or_else(|| error(&form))?;
                let customer = customer.parse().map_err(|e| error(&e))?;
                let centre = centre.parse().map_err(|e| error(&e))?;
                Ok(Self::Centre(customer, centre))
            }
            _ => Err(error(&form)),
        }
    }
}
