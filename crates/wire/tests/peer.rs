//! Encoding, decoding and validation of peer messages.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tarragonpulley_policy::facts::{FactKey, FactValue, ServerReport};
use tarragonpulley_policy::freshness::{PeerStatement, RightsVersion};
use tarragonpulley_policy::ids::IncarnationId;
use tarragonpulley_policy::snapshot::KeyDigest;
use tarragonpulley_policy::units::ConfigRevision;
use tarragonpulley_wire::peer::{
    CounterEntry, FactEntry, FactKeyEntry, FactValueEntry, IncarnationEntry, MAX_INCARNATIONS,
    MAX_LIMITS, PeerRequest, PeerResponse, StatementEntry, counters_from_wire, decode_request,
    decode_response, encode_request, encode_response, facts_from_wire, incarnations_from_wire,
};
use yare::parameterized;

fn id() -> IncarnationId {
    "edge-1#7".parse().expect("valid")
}

fn entry(instance: &str) -> IncarnationEntry {
    IncarnationEntry {
        instance: instance.to_owned(),
        number: 1,
    }
}

/// Guards against a fact that changes when it is converted to its wire format
/// and back.
#[parameterized(
    report = {
        FactKey::ServerReport("lunwan/fitdesk/fit-1".parse().expect("valid"), id()),
        FactValue::Server(ServerReport {
            sequence: 3,
            healthy: true,
            leaving: false,
            load: 2,
            uptime: Duration::from_millis(1234),
        }),
    },
    count = { FactKey::CrashCount(u64::MAX, id()), FactValue::Count(2) },
    fault = {
        FactKey::VersionFault(
            "lunwan/fitdesk".parse().expect("valid"),
            "v2".parse().expect("valid"),
        ),
        FactValue::FlagWithReason("5 of 9 failed".to_owned()),
    },
    withdrawn = { FactKey::KeyWithdrawn(KeyDigest::of_key("key")), FactValue::Flag },
    leaving = { FactKey::InstanceLeaving(id()), FactValue::Flag },
)]
fn facts_round_trip(key: FactKey, value: FactValue) {
    let facts = facts_from_wire(vec![FactEntry::new(&key, &value)]);
    assert_eq!(facts, Ok(vec![(key, value)]));
}

/// Guards against accepting a fact whose value does not match the type of its
/// key. No later value of that key would replace it.
#[parameterized(
    flag_for_count_key = { FactKeyEntry::CrashCount(1, entry("edge-1")), FactValueEntry::Latched },
    count_for_flag_key = { FactKeyEntry::KeyWithdrawn([0; 32]), FactValueEntry::Count(1) },
    invalid_name = { FactKeyEntry::InstanceLeaving(entry("Edge 1")), FactValueEntry::Latched },
    long_reason = {
        FactKeyEntry::VersionFault("a/b".to_owned(), "v".to_owned()),
        FactValueEntry::LatchedBecause("x".repeat(1025)),
    },
)]
fn invalid_facts_are_rejected(key: FactKeyEntry, value: FactValueEntry) {
    assert!(facts_from_wire(vec![FactEntry { key, value }]).is_err());
}

/// Guards against unbounded memory use caused by long lists in messages.
#[test]
fn long_lists_are_rejected() {
    let incarnations = vec![entry("edge-1"); MAX_INCARNATIONS + 1];
    assert!(incarnations_from_wire(incarnations).is_err());
    let counter = CounterEntry {
        limit: "team:a/b".to_owned(),
        generation: 1,
        receiver: 1,
        shares: 1,
        tokens: 1,
    };
    assert!(counters_from_wire(vec![counter; MAX_LIMITS + 1]).is_err());
}

/// Guards against a proof age that is rounded down when it is sent, so that the
/// proof appears more recent than it is.
#[parameterized(
    none = { None, None },
    whole = { Some(Duration::from_micros(5)), Some(Duration::from_micros(5)) },
    rounded_up = { Some(Duration::from_nanos(5001)), Some(Duration::from_micros(6)) },
)]
fn proof_ages_are_never_rounded_down(age: Option<Duration>, expected: Option<Duration>) {
    let statement = PeerStatement {
        revision: ConfigRevision::new(4),
        rights: RightsVersion {
            generation: 2,
            reclaims: 1,
        },
        proof_age: age,
        ever_proved: true,
    };
    let decoded = PeerStatement::from(StatementEntry::from(statement));
    assert_eq!(decoded.proof_age, expected);
    assert_eq!(
        (decoded.revision, decoded.rights),
        (statement.revision, statement.rights)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2048, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against a panic on arbitrary input, and against accepting messages
    /// that are followed by trailing bytes.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(request) = decode_request(&bytes) {
            prop_assert!(encode_request(&request).is_ok());
        }
        if let Ok(response) = decode_response(&bytes) {
            prop_assert!(encode_response(&response).is_ok());
        }
        let fetch = PeerRequest::ConfigurationFetch { revision: bytes.len() as u64 };
        let mut encoded = encode_request(&fetch).expect("small");
        prop_assert_eq!(decode_request(&encoded).expect("valid"), fetch);
        encoded.extend(&bytes);
        prop_assert_eq!(decode_request(&encoded).is_ok(), bytes.is_empty());
        let rejection = PeerResponse::Refused(String::from_utf8_lossy(&bytes).into_owned());
        let encoded = encode_response(&rejection).expect("small");
        prop_assert_eq!(decode_response(&encoded).expect("valid"), rejection);
    }
}
