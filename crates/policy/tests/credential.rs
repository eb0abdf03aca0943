//! Keys and teams.

mod common;

use tarragonpulley_policy::credential::{KeyVerdict, bearer_key, check_key};
use tarragonpulley_policy::snapshot::KeyDigest;
use yare::parameterized;

fn team() -> KeyVerdict {
    KeyVerdict::Team("lunwan/counter".parse().unwrap())
}

/// Guards against keys that work after their withdrawal, for another customer
/// or for a team that the contract no longer has.
#[parameterized(
    valid = { "good", false, "lunwan", team() },
    withdrawal_passed_on = { "good", true, "lunwan", KeyVerdict::Unknown },
    withdrawn = { "old", false, "lunwan", KeyVerdict::Unknown },
    never_granted = { "none", false, "lunwan", KeyVerdict::Unknown },
    other_customer = { "good", false, "jabal", KeyVerdict::WrongCustomer },
    withdrawn_other_customer = { "old", false, "jabal", KeyVerdict::Unknown },
    removed_team = { "orphan", false, "lunwan", KeyVerdict::Unknown },
)]
fn a_key_opens_only_its_team(key: &str, withdrawn: bool, customer: &str, expected: KeyVerdict) {
    let digest = KeyDigest::of_key(key);
    let customer = customer.parse().unwrap();
    let verdict = check_key(&common::snapshot(), &digest, withdrawn, &customer);
    assert_eq!(verdict, expected);
}

/// Guards against headers that are read as a key although they hold none.
#[parameterized(
    plain = { "Bearer k", Some("k") },
    case = { "bearer  k ", Some("k") },
    scheme = { "Basic k", None },
    empty = { "Bearer ", None },
    bare = { "k", None },
)]
fn a_bearer_key_is_read(value: &str, expected: Option<&str>) {
    assert_eq!(bearer_key(value), expected);
}
