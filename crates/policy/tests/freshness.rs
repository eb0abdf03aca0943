//! Proofs that a configuration is current.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tarragonpulley_policy::freshness::{
    ConfigFreshness, PROOF_LIFETIME, PeerStatement, RequiredSet, RightsVersion,
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
        based: true,
    }
}

/// A state at revision 5 that has no proof.
fn at_five() -> ConfigFreshness {
    let mut freshness = ConfigFreshness::new();
    freshness.adopt(ConfigRevision::new(5));
    freshness
}

/// Guards against a proof by a reading that shows another configuration, and
/// against one that is dated at the end of the reading.
#[parameterized(
    same = { 5, 0, 0, Some(100) },
    newer = { 6, 0, 0, None },
    older = { 4, 0, 0, None },
    other_rights = { 5, 1, 0, None },
    expired = { 5, 0, 2400, None },
)]
fn proof_by_own_reading(revision: u64, generation: u64, later: u64, age: Option<u64>) {
    let start = Instant::now();
    let mut freshness = at_five();
    let rights = RightsVersion {
        generation,
        reclaims: 0,
    };
    freshness.table_read(ConfigRevision::new(revision), rights, start);
    assert_eq!(freshness.proof(start + ms(100 + later)), age.map(ms));
}

/// Guards against a peer's proof that covers less than the own configuration,
/// or that is dated later than the peer's own.
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
    let mut freshness = at_five();
    freshness.peer_answered(&peer(1), statement, start);
    assert_eq!(freshness.proof(start + ms(100)), age.map(ms));
}

/// Guards against a fenced incarnation that keeps a proof by a peer that has
/// not seen the reclaim.
#[test]
fn peer_with_a_newer_rights_record_proves_nothing() {
    let start = Instant::now() + Duration::from_mins(1);
    let mut freshness = at_five();
    let mut newer = statement(5, Some(0));
    newer.rights.reclaims = 1;
    freshness.peer_answered(&peer(1), newer, start);
    assert_eq!(freshness.proof(start), None);
    assert!(freshness.adopt_rights(newer.rights));
    assert!(!freshness.adopt_rights(RightsVersion::default()));
    freshness.peer_answered(&peer(1), newer, start);
    assert_eq!(freshness.proof(start), Some(ms(0)));
}

fn required(latest: Instant, peers: &[u64], unheard: &[&str]) -> RequiredSet {
    RequiredSet {
        latest,
        incarnations: peers.iter().map(|number| peer(*number)).collect(),
        unheard: unheard
            .iter()
            .map(|name| name.parse().expect("valid"))
            .collect(),
    }
}

/// Guards against an attestation that leaves out an instance through which a
/// change may have been accepted, and one that is dated too late. Peers 1 and
/// 2 have answered without a proof of their own, peer 2 one second later.
#[parameterized(
    both = { &[1, 2], &[], 5, true, true },
    one_of_two = { &[2], &[], 5, true, true },
    silent_third = { &[1, 2, 3], &[], 5, true, false },
    listed_but_unheard = { &[1, 2], &["edge-9"], 5, true, false },
    newer_elsewhere = { &[1, 2], &[], 6, true, false },
    attester_without_base = { &[1, 2], &[], 5, false, false },
)]
fn proof_by_attestation(peers: &[u64], unheard: &[&str], revision: u64, based: bool, proved: bool) {
    let base = Instant::now();
    let first = base + Duration::from_secs(10);
    let second = first + ms(1000);
    let mut freshness = at_five();
    freshness.table_read(ConfigRevision::new(5), RightsVersion::default(), base);
    freshness.peer_answered(&peer(1), statement(5, None), first);
    let mut other = statement(revision, None);
    other.based = based;
    freshness.peer_answered(&peer(2), other, second);
    let set = required(second + ms(100), peers, unheard);
    assert_eq!(freshness.attest(&set), proved);
    let oldest = if peers.contains(&1) { first } else { second };
    let age = proved.then(|| second + ms(200) - oldest);
    assert_eq!(freshness.proof(second + ms(200)), age);
}

/// Guards against a new instance that takes its empty configuration for the
/// present one because it is alone while the table is down.
#[test]
fn attestation_needs_an_earlier_proof() {
    let now = Instant::now();
    let mut freshness = ConfigFreshness::new();
    assert!(!freshness.attest(&required(now, &[], &[])));
    freshness.table_read(ConfigRevision::default(), RightsVersion::default(), now);
    assert!(freshness.attest(&required(now + ms(900), &[], &[])));
    assert_eq!(freshness.proof(now + ms(1000)), Some(ms(100)));
    freshness.revoke();
    assert!(!freshness.attest(&required(now, &[], &[])));
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

    /// Guards against any order of events that lowers the revision, gives a
    /// proof younger than all its sources, or lets a pause keep one alive.
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
                    freshness.table_read(ConfigRevision::new(revision), RightsVersion::default(), now);
                    newest_source = Some(now);
                }
                Step::Peer(from, revision, age) => {
                    freshness.peer_answered(&peer(from), statement(revision, age), now);
                    newest_source = Some(now);
                }
                Step::Attest => {
                    let all: BTreeSet<_> = (1..4).map(peer).collect();
                    let set = RequiredSet { latest: now, incarnations: all, unheard: BTreeSet::new() };
                    freshness.attest(&set);
                }
                Step::Pause(millis) => now += ms(millis),
            }
            prop_assert!(freshness.revision() >= before);
            if let Some(age) = freshness.proof(now) {
                prop_assert!(age < PROOF_LIFETIME);
                prop_assert!(newest_source.is_some_and(|source| source + age >= now));
            }
            prop_assert_eq!(freshness.proof(now + PROOF_LIFETIME), None);
        }
    }
}
