//! Which team a key belongs to.

use crate::ids::{CustomerName, TeamKey};
use crate::snapshot::{ConfigSnapshot, KeyDigest};

/// What a key allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The key belongs to this team of the customer asked for.
    Team(TeamKey),
    /// The key was never granted, or it was withdrawn. Callers cannot tell
    /// these apart.
    Unknown,
    /// The key belongs to a team of another customer.
    WrongCustomer,
}

/// Judges a key for requests to `customer`. `withdrawn` says that a withdrawal
/// is known which the snapshot may not show yet.
#[must_use]
pub fn check_key(
    snapshot: &ConfigSnapshot,
    digest: &KeyDigest,
    withdrawn: bool,
    customer: &CustomerName,
) -> KeyVerdict {
    match snapshot.keys.get(digest) {
        Some(grant) if !grant.withdrawn && !withdrawn => {
            if grant.team.customer != *customer {
                return KeyVerdict::WrongCustomer;
            }
            let contract = snapshot.contracts.get(customer);
            if contract.is_some_and(|c| c.teams.contains_key(&grant.team.team)) {
                KeyVerdict::Team(grant.team.clone())
            } else {
                KeyVerdict::Unknown
            }
        }
        _ => KeyVerdict::Unknown,
    }
}

/// The key in the value of an `authorization` header.
#[must_use]
pub fn bearer_key(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
