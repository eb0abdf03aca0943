//! Tests of key authentication.

mod common;

use tarragonpulley_policy::credential::{KeyDecision, bearer_key, check_key};
use tarragonpulley_policy::snapshot::KeyDigest;
use yare::parameterized;

fn team() -> KeyDecision {
    KeyDecision::Team("lunwan/counter".parse().unwrap())
}

/// Guards against accepting a key after its withdrawal, for another customer, or
/// for a team that is no longer in the contract.
#[parameterized(
    valid = { "good", false, "lunwan", team() },
    withdrawal_not_in_snapshot = { "good", true, "lunwan", KeyDecision::Unknown },
    withdrawn = { "old", false, "lunwan", KeyDecision::Unknown },
    never_granted = { "none", false, "lunwan", KeyDecision::Unknown },
    other_customer = { "good", false, "jabal", KeyDecision::WrongCustomer },
    withdrawn_other_customer = { "old", false, "jabal", KeyDecision::Unknown },
    removed_team = { "orphan", false, "lunwan", KeyDecision::Unknown },
)]
fn a_key_is_valid_only_for_its_team(
    key: &str,
    withdrawn: bool,
    customer: &str,
    expected: KeyDecision,
) {
    let digest = KeyDigest::of_key(key);
    let customer = customer.parse().unwrap();
    let decision = check_key(&common::snapshot(), &digest, withdrawn, &customer);
    assert_eq!(decision, expected);
}

/// Guards against extracting a key from a header that does not contain one.
#[parameterized(
    plain = { "Bearer k", Some("k") },
    case = { "bearer  k ", Some("k") },
    scheme = { "Basic k", None },
    empty = { "Bearer ", None },
    bare = { "k", None },
)]
fn a_bearer_key_is_extracted(value: &str, expected: Option<&str>) {
    assert_eq!(bearer_key(value), expected);
}
