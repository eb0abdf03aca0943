//! Fleet membership from digests, roles of instances, and instance lookups.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use tarragonpulley_policy::entry::canary::RolloutEvidence;
use tarragonpulley_policy::entry::digest::{
    InstanceDigest, InstanceRecord, InstanceState, InstanceTable, QuotaRole, ServerTag,
    SuspectReason, UNKNOWN_SHARERS, split_by_size,
};
use tarragonpulley_policy::entry::directory::instances_for;
use yare::parameterized;

use crate::at;

fn record(name: &str, centre: &str) -> InstanceRecord {
    let port: u16 = name.bytes().map(u16::from).sum();
    let region = centre.split('-').next().unwrap_or_default();
    InstanceRecord {
        name: name.parse().expect("a name"),
        start: 1,
        centre: centre.parse().expect("a name"),
        region: region.parse().expect("a name"),
        front: SocketAddr::from(([127, 0, 0, 1], port)),
        peer: SocketAddr::from(([127, 0, 0, 2], port)),
    }
}

fn digest(name: &str, centre: &str, sequence: u64, state: InstanceState) -> InstanceDigest {
    InstanceDigest {
        record: record(name, centre),
        sequence,
        state,
        demands: vec![("team".parse().expect("a name"), 2.0)],
        trials: vec![(5, RolloutEvidence::default())],
        crashes: vec![(9, 1)],
        loads: Vec::new(),
        regions: Vec::new(),
        suspects: Vec::new(),
        server_limits: Vec::new(),
        leaving_servers: Vec::new(),
        crash_reports: Vec::new(),
        served_reports: Vec::new(),
        sections: BTreeMap::new(),
    }
}

fn table(start: Instant) -> InstanceTable {
    InstanceTable::new(record("b", "north-a"), start)
}

#[test]
fn a_failed_instance_is_left_out_and_its_demand_retained_for_a_while() {
    let start = Instant::now();
    let mut table = table(start);
    assert!(table.receive(digest("a", "north-a", 1, InstanceState::Ready), true, start));
    assert!(
        !table.receive(digest("a", "north-a", 1, InstanceState::Ready), true, start),
        "a duplicate digest is not new"
    );
    assert_eq!(table.ready(at(start, 2900)).count(), 1);
    assert_eq!(table.ready(at(start, 3100)).count(), 0);
    assert_eq!(
        (
            table.other_demands(at(start, 5000)).len(),
            table.other_demands(at(start, 11_000)).len()
        ),
        (1, 0)
    );
}

#[test]
fn a_restarted_instance_is_accepted_although_its_sequence_starts_over() {
    let start = Instant::now();
    let mut table = table(start);
    table.receive(
        digest("a", "north-a", 50, InstanceState::Ready),
        true,
        start,
    );
    let mut again = digest("a", "north-a", 1, InstanceState::Unready);
    // The start time is lower after a clock was set back.
    again.record.start = 0;
    assert!(table.receive(again, true, start));
    assert_eq!(table.ready(start).count(), 0);
}

#[test]
fn the_lowest_live_name_is_reader_quota_holder_and_delegate_of_its_data_centre() {
    let start = Instant::now();
    let mut table = table(start);
    table.receive(digest("a", "north-a", 1, InstanceState::Ready), true, start);
    table.receive(digest("c", "north-a", 1, InstanceState::Ready), true, start);
    table.receive(
        digest("0", "south-a", 1, InstanceState::Ready),
        false,
        start,
    );
    let name = |record: Option<&InstanceRecord>| record.map(|record| record.name.to_string());
    assert_eq!(name(table.table_reader(start)), Some("a".to_owned()));
    assert_eq!(name(table.quota_holder(start)), Some("a".to_owned()));
    assert!(!table.is_delegate(start));
    let later = at(start, 3100);
    assert_eq!(
        (table.table_reader(later), table.quota_holder(later)),
        (None, None)
    );
    assert!(table.is_delegate(later));
    assert_eq!(table.centre_count(start), 2);
}

#[test]
fn a_leaving_instance_is_neither_quota_holder_nor_reader() {
    let start = Instant::now();
    let mut table = table(start);
    table.receive(
        digest("a", "north-a", 1, InstanceState::Leaving),
        true,
        start,
    );
    assert_eq!(
        (table.table_reader(start), table.quota_holder(start)),
        (None, None)
    );
}

#[test]
fn registered_instances_count_right_after_a_start() {
    // Guards against shares of the limits that are too large after all instances
    // were restarted at once and have not received digests yet.
    let start = Instant::now();
    let mut table = table(start);
    for name in ["a", "c", "d"] {
        table.register(record(name, "north-a"));
    }
    assert_eq!(
        table.sharer_count(start),
        UNKNOWN_SHARERS,
        "before the registrations are read there may be any number"
    );
    table.record_registrations_read(at(start, 400));
    for millis in [400, 10_300, 10_500, 60_000] {
        assert_eq!(
            table.sharer_count(at(start, millis)),
            4,
            "whoever hears nobody cannot tell who else is running, at {millis} ms"
        );
    }
    assert_eq!(
        table
            .quota_holder(start)
            .map(|record| record.name.to_string()),
        Some("a".to_owned())
    );
}

#[test]
fn registered_instances_that_stay_silent_stop_counting() {
    // Guards against shares of the limits that stay small because instances that
    // left long ago are still registered.
    let start = Instant::now();
    let mut table = table(start);
    for name in ["a", "c", "d"] {
        table.register(record(name, "north-a"));
    }
    table.record_registrations_read(at(start, 400));
    let mut counts = Vec::new();
    for sequence in 1..=12 {
        let now = at(start, sequence * 1000);
        table.receive(
            digest("a", "north-a", sequence, InstanceState::Ready),
            true,
            now,
        );
        counts.push(table.sharer_count(now));
    }
    assert_eq!(counts, [4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 2, 2]);
}

#[parameterized(
    two_in_the_data_centre = { &["north-a", "north-a", "north-b"], "north-a", 2 },
    one_in_the_data_centre = { &["north-a", "north-b", "north-b", "south-a"], "north-a", 3 },
    none_in_the_data_centre = { &["north-b", "south-a"], "north-a", 1 },
    none_in_the_region = { &["south-a", "south-b"], "north-a", 2 },
    none_at_all = { &[], "north-a", 0 },
)]
fn lookups_name_near_instances(centres: &[&str], caller: &str, count: usize) {
    let records: Vec<InstanceRecord> = centres
        .iter()
        .enumerate()
        .map(|(index, centre)| record(&format!("i{index}"), centre))
        .collect();
    let region = caller
        .split('-')
        .next()
        .unwrap_or_default()
        .parse()
        .expect("a name");
    let named = instances_for(&region, &caller.parse().expect("a name"), records.iter());
    assert_eq!(named.len(), count);
}

#[parameterized(
    nothing = { &[], &[] },
    all_in_one = { &[400, 400], &[2] },
    one_byte_too_many = { &[497, 498, 1], &[1, 2] },
    exactly_full = { &[497, 497], &[2] },
    one_too_large_goes_alone = { &[10, 2000, 10], &[1, 1, 1] },
)]
fn digests_are_divided_over_datagrams(lengths: &[usize], expected: &[usize]) {
    let encoded: Vec<Vec<u8>> = lengths.iter().map(|length| vec![0; *length]).collect();
    let groups = split_by_size(encoded.clone(), 3, 1000);
    let counts: Vec<usize> = groups.iter().map(Vec::len).collect();
    assert_eq!(counts, expected);
    assert_eq!(groups.concat(), encoded);
}

#[parameterized(
    nobody = { &[], None },
    one_cannot_reach_it = { &[SuspectReason::Unreachable], None },
    two_cannot_reach_it = { &[SuspectReason::Unreachable, SuspectReason::Unreachable], Some(SuspectReason::Unreachable) },
    one_found_another_server = { &[SuspectReason::Replaced], Some(SuspectReason::Replaced) },
    another_server_among_those_that_cannot_reach_it = {
        &[SuspectReason::Unreachable, SuspectReason::Replaced, SuspectReason::Unreachable], Some(SuspectReason::Replaced)
    },
)]
fn a_server_is_excluded_by_reports_that_a_partitioned_reporter_cannot_cause(
    reports: &[SuspectReason],
    expected: Option<SuspectReason>,
) {
    let start = Instant::now();
    let mut table = InstanceTable::new(record("e0", "a-1"), start);
    let tag = ServerTag::new(7);
    for (index, reason) in reports.iter().enumerate() {
        let mut report = digest(&format!("e{}", index + 1), "a-1", 1, InstanceState::Ready);
        report.suspects = vec![(tag, *reason)];
        table.receive(report, true, start);
    }
    let region = "a".parse().expect("a name");
    let exclusion = |millis| {
        let reports = table.suspects(at(start, millis));
        reports.exclusion(tag, &[&region].into())
    };
    assert_eq!(exclusion(100), expected);
    // Reports of failed instances do not count.
    assert_eq!(exclusion(5_000), None);
}

/// Guards against a region that stops using its own servers, because another region
/// that is cut off from it cannot reach them.
#[parameterized(
    own_region = { "a", &["a", "a"], true },
    region_of_the_server = { "c", &["a", "a"], true },
    one_in_each = { "c", &["a", "c"], true },
    region_that_is_cut_off = { "a", &["b", "b", "b"], false },
    region_that_is_cut_off_as_a_third_one_sees_it = { "c", &["b", "b", "b"], false },
)]
fn a_server_is_excluded_only_by_reports_of_the_regions_concerned(
    own: &str,
    reporters: &[&str],
    is_excluded: bool,
) {
    let start = Instant::now();
    let mut table = InstanceTable::new(record("e0", &format!("{own}-1")), start);
    let tag = ServerTag::new(7);
    for (index, region) in reporters.iter().enumerate() {
        let (name, centre) = (format!("e{}", index + 1), format!("{region}-1"));
        let mut report = digest(&name, &centre, 1, InstanceState::Ready);
        report.suspects = vec![(tag, SuspectReason::Unreachable)];
        table.receive(report, true, start);
    }
    let (own, server) = (own.parse().expect("a name"), "a".parse().expect("a name"));
    let reports = table.suspects(at(start, 100));
    let exclusion = reports.exclusion(tag, &[&own, &server].into());
    assert_eq!(exclusion.is_some(), is_excluded);
}

/// Guards against two regions that lose each other, while both reach the third and
/// serve on, and divide the limits of teams as if the other had failed.
#[test]
fn digests_of_a_data_centre_that_is_not_heard_come_from_another_one() {
    let start = Instant::now();
    let mut first = table(start);
    let mut third = InstanceTable::new(record("c", "south-a"), start);
    let cut = "central-a";
    first.receive(digest("d", cut, 1, InstanceState::Ready), false, start);
    first.receive(digest("c", "south-a", 1, InstanceState::Ready), true, start);
    let missed = |table: &InstanceTable, millis: u64| -> Vec<String> {
        let missing = table.missing_centres(at(start, millis));
        missing.iter().map(ToString::to_string).collect()
    };
    assert!(missed(&first, 2000).is_empty());
    for second in 1..=20_u64 {
        let now = at(start, second * 1000);
        third.receive(
            digest("d", cut, second + 1, InstanceState::Ready),
            true,
            now,
        );
        first.receive(
            digest("c", "south-a", second + 1, InstanceState::Ready),
            true,
            now,
        );
        let missing = first.missing_centres(now);
        for copy in third.digests_of(&missing, now) {
            assert!(first.receive(copy, false, now));
        }
    }
    let now = at(start, 20_000);
    let demands = first.other_demands(now);
    assert!(
        (demands.values().sum::<f64>() - 4.0).abs() < 1e-9,
        "{demands:?}"
    );
    assert_eq!(first.centre_count(now), 3);
    // Nobody hears a data centre that has failed, and it is given up.
    assert!(
        third
            .digests_of(&[cut.parse().expect("a name")].into(), at(start, 24_000))
            .is_empty()
    );
    assert_eq!(missed(&first, 23_000), [cut, "south-a"]);
    assert_eq!(first.centre_count(at(start, 31_000)), 1);
    assert!(missed(&first, 81_000).is_empty());
}

/// Guards against several instances that each take themselves for the only quota holder:
/// after a start, before they know of the others, and while they hear nobody.
#[parameterized(
    right_after_the_start = { false, false, None, 100, "unsure", 4 },
    registered_alone = { true, false, None, 100, "holder", 1 },
    others_registered = { true, true, None, 100, "holder", 2 },
    others_registered_and_silent = { true, true, None, 1300, "unsure", 2 },
    others_heard = { true, true, Some(1000), 1500, "holder", 2 },
    others_no_longer_heard = { true, true, Some(1000), 2300, "unsure", 2 },
    heard_without_registrations = { false, false, Some(100), 200, "unsure", 4 },
    heard_for_long_without_registrations = { false, false, Some(100), 3200, "unsure", 2 },
    others_gone = { true, true, Some(1000), 20_000, "unsure", 1 },
    others_gone_for_long = { true, true, Some(1000), 61_000, "holder", 1 },
)]
fn an_instance_that_may_not_be_the_only_quota_holder_is_unsure(
    reads_registrations: bool,
    is_other_registered: bool,
    heard_at: Option<u64>,
    now: u64,
    expected: &str,
    centres: usize,
) {
    let start = Instant::now();
    let other = digest("b", "south-a", 1, InstanceState::Ready);
    let mut table = InstanceTable::new(
        digest("a", "north-a", 1, InstanceState::Ready).record,
        start,
    );
    table.set_configured_centres(4);
    if is_other_registered {
        table.register(other.record.clone());
    }
    if reads_registrations {
        table.record_registrations_read(start);
    }
    if let Some(heard_at) = heard_at {
        assert!(table.receive(other, false, at(start, heard_at)));
    }
    let now = at(start, now);
    let role = match table.quota_role(now) {
        QuotaRole::Holder => "holder",
        QuotaRole::Member(_) => "member",
        QuotaRole::Unsure => "unsure",
    };
    assert_eq!((role, table.centre_count(now)), (expected, centres));
}
