//! Live, leaving and gone instances.

use std::time::{Duration, Instant};

use tarragonpulley_policy::ids::IncarnationId;
use tarragonpulley_policy::membership::{
    ListedMember, MemberPlace, MemberState, MemberTable, SILENCE_LIMIT,
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

/// How the list shows `edge`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listed {
    Live,
    Leaving,
    Not,
    NeverRead,
}

/// Guards against calling an instance gone that only the list or only the
/// network has lost, since its rights would then be given away twice.
#[parameterized(
    listed_and_answering = { Listed::Live, 0, false },
    listed_and_silent = { Listed::Live, 9000, false },
    leaving_and_silent = { Listed::Leaving, 9000, false },
    dropped_and_answering = { Listed::Not, 2499, false },
    dropped_and_silent = { Listed::Not, 2500, true },
    no_list_and_silent = { Listed::NeverRead, 9000, false },
)]
fn gone_needs_list_and_silence(shown: Listed, silent_ms: u64, gone: bool) {
    let start = Instant::now();
    let now = start + Duration::from_millis(silent_ms);
    let mut members = table();
    members.heard(&id("edge#4"), &place(), start);
    match shown {
        Listed::Live => members.list_read(vec![listed("edge", false)], now),
        Listed::Leaving => members.list_read(vec![listed("edge", true)], now),
        Listed::Not => members.list_read(vec![], now),
        Listed::NeverRead => {}
    }
    assert_eq!(members.is_gone(&id("edge#4"), now), gone);
    assert_eq!(members.gone(now).contains(&id("edge#4")), gone);
    assert_eq!(members.present(now).contains(&id("edge#4")), !gone);
    let entry = members.get(&id("edge#4").instance).expect("known");
    assert_eq!(
        entry.state(now) == MemberState::Leaving,
        shown == Listed::Leaving
    );
}

/// Guards against a restarted instance whose earlier run is waited for, and
/// against late messages of that run.
#[test]
fn newer_incarnation_ends_the_older_one() {
    let now = Instant::now();
    let mut members = table();
    assert!(members.heard(&id("edge#4"), &place(), now));
    assert!(members.heard(&id("edge#5"), &place(), now));
    assert!(!members.heard(&id("edge#4"), &place(), now));
    members.list_read(vec![listed("edge", false)], now);
    assert!(members.is_gone(&id("edge#4"), now));
    assert!(!members.is_gone(&id("edge#5"), now));
    assert_eq!(members.gone(now), [id("edge#4")].into());
    let required = members.required(now).expect("the list was read");
    assert_eq!(required.incarnations, [id("edge#5")].into());
}

/// Guards against a proof that does not count a member that has not been
/// heard from, or that only a peer has heard from.
#[test]
fn required_set_counts_all_that_may_exist() {
    let now = Instant::now();
    let mut members = table();
    assert_eq!(members.required(now), None);
    members.list_read(vec![listed("own", false), listed("edge", false)], now);
    let required = members.required(now).expect("the list was read");
    assert_eq!(required.unheard, ["edge".parse().expect("valid")].into());
    members.heard(&id("edge#1"), &place(), now);
    members.heard_of(&id("edge#2"));
    members.heard_of(&id("own#1"));
    let required = members.required(now).expect("the list was read");
    assert_eq!(required.incarnations, [id("edge#1"), id("edge#2")].into());
    assert!(required.unheard.is_empty());
}

/// Guards against an instance that is cut off from the list as well and proves
/// for ever that it is alone.
#[test]
fn being_alone_is_known_as_of_the_list() {
    let read = Instant::now();
    let now = read + SILENCE_LIMIT;
    let mut members = table();
    members.list_read(vec![], read);
    assert_eq!(members.required(now).expect("read").latest, read);
    members.heard(&id("edge#1"), &place(), now);
    assert_eq!(members.required(now).expect("read").latest, now);
}

/// Guards against growth without bound, and against forgetting an incarnation
/// whose rights are not reclaimed yet.
#[test]
fn pruning_keeps_what_is_not_settled() {
    let start = Instant::now();
    let now = start + SILENCE_LIMIT;
    let mut members = table();
    members.heard(&id("edge#1"), &place(), start);
    members.heard(&id("edge#2"), &place(), start);
    members.list_read(vec![], now);
    members.prune(now, &|incarnation| *incarnation == id("edge#1"));
    assert_eq!(members.known(), [id("edge#2")].into());
    members.prune(now, &|_| true);
    assert!(members.known().is_empty());
}
