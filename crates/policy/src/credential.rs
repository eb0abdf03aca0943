//! Authentication of callers by the keys of their teams.

use crate::ids::{CustomerName, TeamKey};
use crate::snapshot::{ConfigSnapshot, KeyDigest};

/// Decision about a key that was presented with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyDecision {
    /// The key is valid for this team of the requested customer.
    Team(TeamKey),
    /// The key was never granted, it was withdrawn, or its team is no longer in
    /// the contract. Callers cannot distinguish these cases.
    Unknown,
    /// The key is valid, but its team belongs to another customer.
    WrongCustomer,
}

/// Decides whether a key is valid for requests to `customer`. `withdrawn` is
/// true if a withdrawal is known that may not be part of the snapshot yet.
#[must_use]
pub fn check_key(
    snapshot: &ConfigSnapshot,
    digest: &KeyDigest,
    withdrawn: bool,
    customer: &CustomerName,
) -> KeyDecision {
    match snapshot.keys.get(digest) {
        Some(grant) if !grant.withdrawn && !withdrawn => {
            if grant.team.customer != *customer {
                return KeyDecision::WrongCustomer;
            }
            let contract = snapshot.contracts.get(customer);
            if contract.is_some_and(|c| c.teams.contains_key(&grant.team.team)) {
                KeyDecision::Team(grant.team.clone())
            } else {
                KeyDecision::Unknown
            }
        }
        _ => KeyDecision::Unknown,
    }
}

/// Extracts the key from the value of an `authorization` header with the bearer
/// scheme.
#[must_use]
pub fn bearer_key(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
