//! Responses to lookups.

mod common;

use std::collections::BTreeMap;
use std::net::IpAddr;

use tarragonpulley_policy::contract::ClientBlock;
use tarragonpulley_policy::snapshot::DrainTarget;
use tarragonpulley_policy::steering::{BlockTable, EntryState, lookup_response};
use yare::parameterized;

/// Guards against a block that hides a more specific one, and against a
/// comparison of host bits.
#[parameterized(
    inner = { "10.1.2.3", Some("c") },
    outer = { "10.2.0.1", Some("a") },
    any = { "192.0.2.1", Some("d") },
    mapped = { "::ffff:10.1.2.3", Some("c") },
    other_family = { "2001:db8::1", None },
)]
fn the_longest_prefix_wins(client: &str, expected: Option<&str>) {
    let table = BlockTable::new(&common::contract().blocks);
    let centre = table.centre_of(client.parse().unwrap());
    assert_eq!(centre.map(ToString::to_string).as_deref(), expected);
}

/// Guards against a wrong mask for the longest prefix.
#[test]
fn single_addresses_are_found() {
    let block = ClientBlock {
        first: u32::from_be_bytes([10, 0, 0, 7]),
        prefix: 32,
        centre: "a".parse().unwrap(),
    };
    let table = BlockTable::new(&[block]);
    let found = |client: &str| table.centre_of(client.parse().unwrap()).is_some();
    assert!(found("10.0.0.7") && !found("10.0.0.6"));
}

fn entry(name: &str, reachable: bool, leaving: bool) -> EntryState {
    EntryState {
        instance: name.parse().unwrap(),
        centre: name[..1].parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        reachable,
        leaving,
    }
}

fn lookup(entries: &[EntryState], client: &str, drain: Option<&str>) -> Vec<String> {
    let mut snapshot = common::snapshot();
    if let Some(centre) = drain {
        let centre = centre.parse().unwrap();
        let target = DrainTarget::Centre("lunwan".parse().unwrap(), centre);
        snapshot.drains.insert(target);
    }
    let contract = common::contract();
    let blocks = BlockTable::new(&contract.blocks);
    let client: IpAddr = client.parse().unwrap();
    let default_centre = "b".parse().unwrap();
    let response = lookup_response(
        &snapshot,
        &contract,
        &blocks,
        entries,
        client,
        &default_centre,
    );
    let names = response.instances.iter().map(|e| e.instance.to_string());
    names.collect()
}

/// Guards against callers that are directed to distant, leaving or unreachable
/// instances, or to a drained data centre.
#[test]
fn the_nearest_live_instances_come_first() {
    let live = |name| entry(name, true, false);
    let all = [
        live("d1"),
        live("b1"),
        live("a1"),
        entry("a2", false, false),
        entry("a3", true, true),
    ];
    assert_eq!(lookup(&all, "10.2.0.1", None), ["a1", "b1", "d1"]);
    assert_eq!(lookup(&all, "10.2.0.1", Some("a")), ["b1", "d1", "a1"]);
    assert_eq!(
        lookup(&all, "2001:db8::1", None)[0],
        "b1",
        "the default data centre"
    );
    let leaving = [entry("a1", true, true)];
    assert_eq!(
        lookup(&leaving, "10.2.0.1", None),
        ["a1"],
        "the only known instance"
    );
}

/// Guards against all clients of a block using the same instance.
#[test]
fn clients_spread_over_instances_at_equal_distance() {
    let all: Vec<_> = (1..=4)
        .map(|n| entry(&format!("a{n}"), true, false))
        .collect();
    let mut first: BTreeMap<String, u32> = BTreeMap::new();
    for host in 0..400 {
        let client = format!("10.2.{}.{}", host / 200, host % 200);
        let response = lookup(&all, &client, None);
        assert_eq!(response, lookup(&all, &client, None), "the order is stable");
        *first.entry(response[0].clone()).or_default() += 1;
    }
    assert!(
        first.values().all(|count| (70..=130).contains(count)),
        "{first:?}"
    );
}
