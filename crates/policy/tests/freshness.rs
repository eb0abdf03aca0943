//! Tests of the proofs that a configuration is current.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tarragonpulley_policy::freshness::{
    ConfigFreshness, PROOF_LIFETIME, PeerStatement, RequiredAttesters, RightsVersion,
};
use tarragonpulley_policy::ids::IncarnationId;
use tarragonpulley_policy::units::ConfigRevision;
use yare::parameterized;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn peer(number: u64) -> IncarnationId {
    format!("edge-{number}#1").parse().expect("valid")
}

fn statement(revision: u64, proof_age: Option<u64>) -> PeerStatement {
    PeerStatement {
        revision: ConfigRevision::new(revision),
        rights: RightsVersion::default(),
        proof_age: proof_age.map(ms),
        ever_proved: true,
    }
}

/// A state at revision 5 without a proof.
fn unproved_at_revision_5() -> ConfigFreshness {
    let mut freshness = ConfigFreshness::new();
    freshness.adopt(ConfigRevision::new(5));
    freshness
}

/// Guards against a proof by a table read that returned another revision, and
/// against a proof with the time of the end of the read.
#[parameterized(
    same = { 5, 0, 0, Some(100) },
    newer = { 6, 0, 0, None },
    older = { 4, 0, 0, None },
    other_rights = { 5, 1, 0, None },
    expired = { 5, 0, 2400, None },
)]
fn proof_by_table_read(revision: u64, generation: u64, later: u64, age: Option<u64>) {
    let start = Instant::now();
    let mut freshness = unproved_at_revision_5();
    let rights = RightsVersion {
        generation,
        reclaims: 0,
    };
    freshness.record_table_read(ConfigRevision::new(revision), rights, start);
    assert_eq!(freshness.proof_age(start + ms(100 + later)), age.map(ms));
}

/// Guards against adopting the proof of a peer with a newer configuration, and
/// against a proof that is later than the peer's own.
#[parameterized(
    same = { statement(5, Some(300)), Some(400) },
    older_peer = { statement(4, Some(300)), Some(400) },
    newer_peer = { statement(6, Some(300)), None },
    unproved_peer = { statement(5, None), None },
    nearly_expired = { statement(5, Some(2399)), Some(2499) },
    expired = { statement(5, Some(2400)), None },
)]
fn proof_by_a_peer(statement: PeerStatement, age: Option<u64>) {
    let start = Instant::now() + Duration::from_mins(1);
    let mut freshness = unproved_at_revision_5();
    freshness.record_peer_response(&peer(1), statement, start);
    assert_eq!(freshness.proof_age(start + ms(100)), age.map(ms));
}

/// Guards against a proof by a peer whose rights record is newer. With it, a
/// fenced incarnation could keep a proof although its shares were reclaimed.
#[test]
fn peer_with_newer_rights_record_is_no_proof() {
    let start = Instant::now() + Duration::from_mins(1);
    let mut freshness = unproved_at_revision_5();
    let mut newer = statement(5, Some(0));
    newer.rights.reclaims = 1;
    freshness.record_peer_response(&peer(1), newer, start);
    assert_eq!(freshness.proof_age(start), None);
    assert!(freshness.adopt_rights(newer.rights));
    assert!(!freshness.adopt_rights(RightsVersion::default()));
    freshness.record_peer_response(&peer(1), newer, start);
    assert_eq!(freshness.proof_age(start), Some(ms(0)));
}

fn required(latest_proof_time: Instant, peers: &[u64], uncontacted: &[&str]) -> RequiredAttesters {
    RequiredAttesters {
        latest_proof_time,
        incarnations: peers.iter().map(|number| peer(*number)).collect(),
        uncontacted: uncontacted
            .iter()
            .map(|name| name.parse().expect("valid"))
            .collect(),
    }
}

/// Guards against a proof without the attestation of an instance that may have
/// accepted a change, and against a proof that is later than its oldest
/// attestation. Peers 1 and 2 respond without a proof of their own, peer 2 one
/// second after peer 1.
#[parameterized(
    both = { &[1, 2], &[], 5, true, true },
    one_of_two = { &[2], &[], 5, true, true },
    unreachable_third = { &[1, 2, 3], &[], 5, true, false },
    listed_but_unheard = { &[1, 2], &["edge-9"], 5, true, false },
    newer_elsewhere = { &[1, 2], &[], 6, true, false },
    attester_never_proved = { &[1, 2], &[], 5, false, false },
)]
fn proof_by_attestation(
    peers: &[u64],
    uncontacted: &[&str],
    revision: u64,
    ever_proved: bool,
    proved: bool,
) {
    let base = Instant::now();
    let first = base + Duration::from_secs(10);
    let second = first + ms(1000);
    let mut freshness = unproved_at_revision_5();
    freshness.record_table_read(ConfigRevision::new(5), RightsVersion::default(), base);
    freshness.record_peer_response(&peer(1), statement(5, None), first);
    let mut other = statement(revision, None);
    other.ever_proved = ever_proved;
    freshness.record_peer_response(&peer(2), other, second);
    let set = required(second + ms(100), peers, uncontacted);
    assert_eq!(freshness.prove_by_attestation(&set), proved);
    let oldest = if peers.contains(&1) { first } else { second };
    let age = proved.then(|| second + ms(200) - oldest);
    assert_eq!(freshness.proof_age(second + ms(200)), age);
}

/// Guards against a new instance that treats its empty configuration as current
/// because it has no peers while the table is unreachable.
#[test]
fn attestation_needs_an_earlier_proof() {
    let now = Instant::now();
    let mut freshness = ConfigFreshness::new();
    assert!(!freshness.prove_by_attestation(&required(now, &[], &[])));
    freshness.record_table_read(ConfigRevision::default(), RightsVersion::default(), now);
    assert!(freshness.prove_by_attestation(&required(now + ms(900), &[], &[])));
    assert_eq!(freshness.proof_age(now + ms(1000)), Some(ms(100)));
    freshness.revoke_proofs();
    assert!(!freshness.prove_by_attestation(&required(now, &[], &[])));
}

#[derive(Debug, Clone)]
enum Step {
    Adopt(u64),
    Read(u64),
    Peer(u64, u64, Option<u64>),
    Attest,
    Pause(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..9_u64).prop_map(Step::Adopt),
        (0..9_u64).prop_map(Step::Read),
        (1..4_u64, 0..9_u64, proptest::option::of(0..3000_u64))
            .prop_map(|(from, revision, age)| Step::Peer(from, revision, age)),
        Just(Step::Attest),
        (0..3000_u64).prop_map(Step::Pause),
    ];
    proptest::collection::vec(step, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against any sequence of events that lowers the revision, produces
    /// a proof later than all of its sources, or keeps a proof valid through a
    /// pause of the process.
    #[test]
    fn revision_is_monotonic_and_proofs_expire(steps in steps()) {
        let start = Instant::now() + Duration::from_hours(1);
        let mut now = start;
        let mut freshness = ConfigFreshness::new();
        let mut newest_source: Option<Instant> = None;
        for step in steps {
            let before = freshness.revision();
            match step {
                Step::Adopt(revision) => {
                    let revision = ConfigRevision::new(revision);
                    prop_assert_eq!(freshness.adopt(revision), revision > before);
                }
                Step::Read(revision) => {
                    freshness.record_table_read(ConfigRevision::new(revision), RightsVersion::default(), now);
                    newest_source = Some(now);
                }
                Step::Peer(from, revision, age) => {
                    freshness.record_peer_response(&peer(from), statement(revision, age), now);
                    newest_source = Some(now);
                }
                Step::Attest => {
                    let all: BTreeSet<_> = (1..4).map(peer).collect();
                    let set = RequiredAttesters { latest_proof_time: now, incarnations: all, uncontacted: BTreeSet::new() };
                    freshness.prove_by_attestation(&set);
                }
                Step::Pause(millis) => now += ms(millis),
            }
            prop_assert!(freshness.revision() >= before);
            if let Some(age) = freshness.proof_age(now) {
                prop_assert!(age < PROOF_LIFETIME);
                prop_assert!(newest_source.is_some_and(|source| source + age >= now));
            }
            prop_assert_eq!(freshness.proof_age(now + PROOF_LIFETIME), None);
        }
    }
}
