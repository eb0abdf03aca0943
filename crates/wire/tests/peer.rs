//! Peer messages.

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
    MAX_LIMITS, PeerAnswer, PeerRequest, StatementEntry, decode_answer, decode_request,
    encode_answer, encode_request, read_counters, read_facts, read_incarnations,
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

/// Guards against a fact that changes its meaning on the way.
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
    let facts = read_facts(vec![FactEntry::new(&key, &value)]);
    assert_eq!(facts, Ok(vec![(key, value)]));
}

/// Guards against a fact whose value has another kind than its key, which
/// would never be replaced.
#[parameterized(
    latched_count = { FactKeyEntry::CrashCount(1, entry("edge-1")), FactValueEntry::Latched },
    counted_key = { FactKeyEntry::KeyWithdrawn([0; 32]), FactValueEntry::Count(1) },
    bad_name = { FactKeyEntry::InstanceLeaving(entry("Edge 1")), FactValueEntry::Latched },
    long_reason = {
        FactKeyEntry::VersionFault("a/b".to_owned(), "v".to_owned()),
        FactValueEntry::LatchedBecause("x".repeat(1025)),
    },
)]
fn invalid_facts_are_refused(key: FactKeyEntry, value: FactValueEntry) {
    assert!(read_facts(vec![FactEntry { key, value }]).is_err());
}

/// Guards against lists that make an instance use memory without bound.
#[test]
fn long_lists_are_refused() {
    let incarnations = vec![entry("edge-1"); MAX_INCARNATIONS + 1];
    assert!(read_incarnations(incarnations).is_err());
    let counter = CounterEntry {
        limit: "team:a/b".to_owned(),
        generation: 1,
        receiver: 1,
        shares: 1,
        tokens: 1,
    };
    assert!(read_counters(vec![counter; MAX_LIMITS + 1]).is_err());
}

/// Guards against a proof that looks younger after it was sent.
#[parameterized(
    none = { None, None },
    whole = { Some(Duration::from_micros(5)), Some(Duration::from_micros(5)) },
    rounded_up = { Some(Duration::from_nanos(5001)), Some(Duration::from_micros(6)) },
)]
fn proof_ages_never_shrink(age: Option<Duration>, read: Option<Duration>) {
    let statement = PeerStatement {
        revision: ConfigRevision::new(4),
        rights: RightsVersion {
            generation: 2,
            reclaims: 1,
        },
        proof_age: age,
        ever_proved: true,
    };
    let after = PeerStatement::from(StatementEntry::from(statement));
    assert_eq!(after.proof_age, read);
    assert_eq!(
        (after.revision, after.rights),
        (statement.revision, statement.rights)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2048, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against bytes of a stranger that stop the process, and against
    /// messages that are read although something follows them.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(request) = decode_request(&bytes) {
            prop_assert!(encode_request(&request).is_ok());
        }
        if let Ok(answer) = decode_answer(&bytes) {
            prop_assert!(encode_answer(&answer).is_ok());
        }
        let fetch = PeerRequest::ConfigurationFetch { revision: bytes.len() as u64 };
        let mut encoded = encode_request(&fetch).expect("small");
        prop_assert_eq!(decode_request(&encoded).expect("valid"), fetch);
        encoded.extend(&bytes);
        prop_assert_eq!(decode_request(&encoded).is_ok(), bytes.is_empty());
        let refused = PeerAnswer::Refused(String::from_utf8_lossy(&bytes).into_owned());
        let encoded = encode_answer(&refused).expect("small");
        prop_assert_eq!(decode_answer(&encoded).expect("valid"), refused);
    }
}
