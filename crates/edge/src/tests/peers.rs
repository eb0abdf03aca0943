//! Messages of other instances: real ones that were changed, and random bytes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use tarragonpulley_policy::entry::canary::RolloutEvidence;
use tarragonpulley_policy::entry::crash::{CrashReport, ServedReport};
use tarragonpulley_policy::entry::digest::{
    InstanceDigest, InstanceRecord, InstanceState, SectionTag, ServerIncarnation, ServerTag,
    SuspectReason,
};
use tarragonpulley_policy::entry::region_share::ServiceDemand;

use tarragonpulley_policy::entry::server_limit::LimitReport;

use crate::peers::{
    PeerMessage, decode_datagram, decode_digest, decode_section, encode, encode_digest,
};

fn digest() -> InstanceDigest {
    let address = SocketAddr::from(([127, 0, 0, 1], 7));
    InstanceDigest {
        record: InstanceRecord {
            name: "e1".parse().expect("a name"),
            start: 1,
            centre: "north-a".parse().expect("a name"),
            region: "north".parse().expect("a name"),
            front: address,
            peer: address,
        },
        sequence: 300,
        state: InstanceState::Ready,
        demands: vec![("team".parse().expect("a name"), 2.5)],
        trials: vec![(5, RolloutEvidence::default())],
        crashes: vec![(9, 1)],
        loads: vec![(ServerTag::new(70_000), 3)],
        regions: vec![ServiceDemand {
            service: "lookups".parse().expect("a name"),
            free: 1.0,
            homed: vec![("north".parse().expect("a name"), 0.5)],
        }],
        suspects: vec![(ServerTag::new(9), SuspectReason::Replaced)],
        server_limits: vec![LimitReport {
            server: ServerTag::new(9),
            rate: Some("2.3".parse().expect("a rate")),
            age_ms: 70,
        }],
        leaving_servers: vec![
            ServerIncarnation::new("i-1", Some(7)),
            ServerIncarnation::new("i-2", Some(1_700_000_000_000)),
        ],
        crash_reports: vec![CrashReport {
            fingerprint: 9,
            server: ServerIncarnation::new("i-1", Some(7)),
            age_ms: 1200,
        }],
        served_reports: vec![ServedReport {
            fingerprint: 8,
            age_ms: 10,
        }],
        sections: BTreeMap::from([(SectionTag::DUTIES, vec![1, 2, 3])]),
    }
}

/// The digest as instances know it that know no extension.
fn previous_digest() -> InstanceDigest {
    InstanceDigest {
        server_limits: Vec::new(),
        ..digest_with_limits()
    }
}

/// The digest as instances know it that know only the limits of servers.
fn digest_with_limits() -> InstanceDigest {
    InstanceDigest {
        leaving_servers: Vec::new(),
        crash_reports: Vec::new(),
        served_reports: Vec::new(),
        sections: BTreeMap::new(),
        ..digest()
    }
}

fn digest_without_limits() -> InstanceDigest {
    InstanceDigest {
        server_limits: Vec::new(),
        ..digest()
    }
}

fn decode_all(bytes: &[u8]) {
    // Any result is valid; none may panic or allocate what a length announces.
    if let Ok(PeerMessage::Digests { digests, .. }) = decode_datagram::<PeerMessage>(bytes) {
        for digest in digests {
            drop(decode_digest(&digest));
        }
    }
    drop(decode_digest(bytes));
}

fn decoded(bytes: &[u8]) -> InstanceDigest {
    let (digest, error) = decode_digest(bytes).expect("a valid digest");
    assert!(error.is_none(), "{error:?}");
    digest
}

#[test]
fn a_digest_is_decoded_as_it_was_encoded() {
    for digest in [
        digest(),
        digest_with_limits(),
        digest_without_limits(),
        previous_digest(),
    ] {
        let bytes = encode_digest(&digest).expect("a digest can be encoded");
        assert_eq!(decoded(&bytes), digest);
    }
}

#[test]
fn digests_of_the_previous_version_are_decoded_and_the_other_way_round() {
    // The previous version encodes the digest alone, and ignores what follows it.
    let previous = encode(&digest()).expect("a digest can be encoded");
    assert_eq!(decoded(&previous), previous_digest());
    let current = encode_digest(&digest()).expect("a digest can be encoded");
    let read: InstanceDigest = decode_datagram(&current).expect("a valid digest");
    assert_eq!(read, previous_digest());
}

/// The extension of limits as the build 65748dd has it, which reads it alone.
#[derive(Debug, Serialize, Deserialize)]
struct LimitsOnly {
    server_limits: Vec<LimitReport>,
}

#[test]
fn digests_are_exchanged_with_a_version_that_knows_only_limits() {
    for digest in [digest(), digest_without_limits()] {
        let bytes = encode_digest(&digest).expect("a digest can be encoded");
        let config = bincode::config::standard();
        let (read, length): (InstanceDigest, usize) =
            bincode::serde::decode_from_slice(&bytes, config).expect("a valid digest");
        assert_eq!(read, previous_digest());
        let (read, _): (LimitsOnly, usize) =
            bincode::serde::decode_from_slice(&bytes[length..], config).expect("valid limits");
        assert_eq!(read.server_limits, digest.server_limits);
    }
    let limits = LimitsOnly {
        server_limits: digest().server_limits,
    };
    let sent = [encode(&digest()), encode(&limits)].map(|bytes| bytes.expect("it can be encoded"));
    assert_eq!(decoded(&sent.concat()), digest_with_limits());
}

/// The extensions as the build 595c4ba has them, which ignores what follows the second.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WithoutSections {
    leaving_servers: Vec<ServerIncarnation>,
    crash_reports: Vec<CrashReport>,
    served_reports: Vec<ServedReport>,
}

#[test]
fn digests_are_exchanged_with_a_version_that_knows_no_sections() {
    let digest = digest();
    let bytes = encode_digest(&digest).expect("a digest can be encoded");
    let config = bincode::config::standard();
    let (_, first): (InstanceDigest, usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("a valid digest");
    let (_, second): (LimitsOnly, usize) =
        bincode::serde::decode_from_slice(&bytes[first..], config).expect("valid limits");
    let (read, third): (WithoutSections, usize) =
        bincode::serde::decode_from_slice(&bytes[first + second..], config)
            .expect("a valid extension");
    let sent = WithoutSections {
        leaving_servers: digest.leaving_servers.clone(),
        crash_reports: digest.crash_reports.clone(),
        served_reports: digest.served_reports.clone(),
    };
    assert_eq!(read, sent);
    let without = InstanceDigest {
        sections: BTreeMap::new(),
        ..digest
    };
    assert_eq!(decoded(&bytes[..first + second + third]), without);
}

#[test]
fn a_section_is_decoded_by_its_tag() {
    let mut digest = digest();
    let bytes = encode(&(7_u32, "holder".to_owned())).expect("a section can be encoded");
    digest.sections = BTreeMap::from([(SectionTag::DUTIES, bytes)]);
    let read = decode_section::<(u32, String)>(&digest, SectionTag::DUTIES);
    let read = read.expect("the section is there").expect("it is valid");
    assert_eq!(read, (7, "holder".to_owned()));
    assert!(decode_section::<u32>(&digest, SectionTag::QUOTA_SHARES).is_none());
}

#[test]
fn a_digest_counts_whose_second_extension_cannot_be_decoded() {
    let mut bytes = encode_digest(&digest_with_limits()).expect("a digest can be encoded");
    bytes.extend([250, 1, 2, 3]);
    let (read, error) = decode_digest(&bytes).expect("a valid digest");
    assert_eq!(read, digest_with_limits());
    assert!(error.is_some());
}

#[test]
fn a_digest_counts_whose_extension_cannot_be_decoded() {
    let mut bytes = encode(&digest()).expect("a digest can be encoded");
    bytes.extend([250, 1, 2, 3]);
    let (read, error) = decode_digest(&bytes).expect("a valid digest");
    assert_eq!(read, previous_digest());
    assert!(error.is_some());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn mutated_messages_are_decoded_or_rejected(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..10),
        cut in proptest::option::of(any::<prop::sample::Index>()),
    ) {
        let digests = vec![encode_digest(&digest()).expect("a digest can be encoded")];
        let message = PeerMessage::Digests { relay: true, digests };
        let mut bytes = encode(&message).expect("a message can be encoded");
        for (index, value) in changes {
            let at = index.index(bytes.len());
            bytes[at] = value;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        decode_all(&bytes);
    }

    #[test]
    fn random_messages_are_decoded_or_rejected(
        bytes in proptest::collection::vec(prop_oneof![any::<u8>(), 250_u8..=255, 0_u8..4], 0..200),
    ) {
        decode_all(&bytes);
    }
}
