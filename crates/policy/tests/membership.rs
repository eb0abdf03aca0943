//! Tests of the membership states of instances.

use std::time::{Duration, Instant};

use tarragonpulley_policy::ids::IncarnationId;
use tarragonpulley_policy::membership::{
    FAILURE_TIMEOUT, ListedMember, MemberPlace, MemberState, MemberTable,
};
use yare::parameterized;

fn place() -> MemberPlace {
    MemberPlace {
        centre: "north-a".parse().expect("valid"),
        service_address: "127.0.0.1:1".parse().expect("valid"),
        peer_address: "127.0.0.1:2".parse().expect("valid"),
    }
}

fn listed(name: &str, leaving: bool) -> ListedMember {
    ListedMember {
        instance: name.parse().expect("valid"),
        place: place(),
        leaving,
    }
}

fn id(text: &str) -> IncarnationId {
    text.parse().expect("valid")
}

fn table() -> MemberTable {
    MemberTable::new("own".parse().expect("valid"))
}

/// State of the instance `edge` in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listed {
    Live,
    Leaving,
    Unlisted,
    NeverRead,
}

/// Guards against treating an instance as removed that is only unlisted or only
/// unreachable. Its rights would then be held twice, by the instance itself and
/// by the one that reclaims them.
#[parameterized(
    listed_and_reachable = { Listed::Live, 0, false },
    listed_and_unreachable = { Listed::Live, 9000, false },
    leaving_and_unreachable = { Listed::Leaving, 9000, false },
    unlisted_and_reachable = { Listed::Unlisted, 2499, false },
    unlisted_and_unreachable = { Listed::Unlisted, 2500, true },
    no_list_and_unreachable = { Listed::NeverRead, 9000, false },
)]
fn removed_if_unlisted_and_unreachable(shown: Listed, last_message_age_ms: u64, removed: bool) {
    let start = Instant::now();
    let now = start + Duration::from_millis(last_message_age_ms);
    let mut members = table();
    members.record_message(&id("edge#4"), &place(), start);
    match shown {
        Listed::Live => members.record_list(vec![listed("edge", false)], now),
        Listed::Leaving => members.record_list(vec![listed("edge", true)], now),
        Listed::Unlisted => members.record_list(vec![], now),
        Listed::NeverRead => {}
    }
    assert_eq!(members.is_removed(&id("edge#4"), now), removed);
    assert_eq!(
        members.removed_incarnations(now).contains(&id("edge#4")),
        removed
    );
    assert_eq!(
        members.remaining_incarnations(now).contains(&id("edge#4")),
        !removed
    );
    let entry = members.get(&id("edge#4").instance).expect("known");
    assert_eq!(
        entry.state(now) == MemberState::Leaving,
        shown == Listed::Leaving
    );
}

/// Guards against requiring an attestation from the earlier incarnation of a
/// restarted instance, and against accepting its late messages.
#[test]
fn newer_incarnation_replaces_older_one() {
    let now = Instant::now();
    let mut members = table();
    assert!(members.record_message(&id("edge#4"), &place(), now));
    assert!(members.record_message(&id("edge#5"), &place(), now));
    assert!(!members.record_message(&id("edge#4"), &place(), now));
    members.record_list(vec![listed("edge", false)], now);
    assert!(members.is_removed(&id("edge#4"), now));
    assert!(!members.is_removed(&id("edge#5"), now));
    assert_eq!(members.removed_incarnations(now), [id("edge#4")].into());
    let required = members.required_attesters(now).expect("the list was read");
    assert_eq!(required.incarnations, [id("edge#5")].into());
}

/// Guards against a proof without the attestation of an instance that has not
/// sent a message yet, or that is only known from the report of a peer.
#[test]
fn required_attesters_include_all_possible_members() {
    let now = Instant::now();
    let mut members = table();
    assert_eq!(members.required_attesters(now), None);
    members.record_list(vec![listed("own", false), listed("edge", false)], now);
    let required = members.required_attesters(now).expect("the list was read");
    assert_eq!(
        required.uncontacted,
        ["edge".parse().expect("valid")].into()
    );
    members.record_message(&id("edge#1"), &place(), now);
    members.record_reported(&id("edge#2"));
    members.record_reported(&id("own#1"));
    let required = members.required_attesters(now).expect("the list was read");
    assert_eq!(required.incarnations, [id("edge#1"), id("edge#2")].into());
    assert!(required.uncontacted.is_empty());
}

/// Guards against an instance that can reach neither its peers nor the list, and
/// keeps renewing its proof as if there were no peers.
#[test]
fn proof_without_peers_dates_from_the_list() {
    let read = Instant::now();
    let now = read + FAILURE_TIMEOUT;
    let mut members = table();
    members.record_list(vec![], read);
    assert_eq!(
        members
            .required_attesters(now)
            .expect("read")
            .latest_proof_time,
        read
    );
    members.record_message(&id("edge#1"), &place(), now);
    assert_eq!(
        members
            .required_attesters(now)
            .expect("read")
            .latest_proof_time,
        now
    );
}

/// Guards against unbounded growth of the table, and against evicting an
/// incarnation whose rights are not reclaimed yet.
#[test]
fn pruning_keeps_unsettled_incarnations() {
    let start = Instant::now();
    let now = start + FAILURE_TIMEOUT;
    let mut members = table();
    members.record_message(&id("edge#1"), &place(), start);
    members.record_message(&id("edge#2"), &place(), start);
    members.record_list(vec![], now);
    members.prune(now, &|incarnation| *incarnation == id("edge#1"));
    assert_eq!(members.known_incarnations(), [id("edge#2")].into());
    members.prune(now, &|_| true);
    assert!(members.known_incarnations().is_empty());
}
