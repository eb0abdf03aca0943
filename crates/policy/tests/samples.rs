//! Checks the sample contracts against the sizes in section 1 of the design
//! document.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use tarragonpulley_policy::contract::{CustomerContract, RouteKind};
use yare::parameterized;

fn sample(file: &str) -> CustomerContract {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../contracts")
        .join(file);
    let text = fs::read_to_string(path).expect("the sample exists");
    CustomerContract::parse(file, &text).expect("the sample is valid")
}

// Guards against a sample that does not parse, or that is too small for the
// workload of the tests and the demo.
#[parameterized(
    lunwan = { "lunwan.toml", &[12, 12, 12], 330, 4000 },
    al_jabal = { "al-jabal.toml", &[16, 16, 12], 390, 280 },
)]
fn a_sample_has_the_designed_size(file: &str, servers: &[usize], connections: u32, megabits: u32) {
    let contract = sample(file);
    assert_eq!(contract.regions.len(), 3);
    assert_eq!(contract.centres.len(), 6);
    assert_eq!(contract.teams.len(), 8);
    assert_eq!(contract.links.len(), 6);
    assert!(contract.links.iter().all(|l| l.megabits == megabits));
    let mut counts: Vec<_> = contract
        .services
        .values()
        .map(|s| s.servers.len())
        .collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    assert_eq!(counts, servers);
    let all_servers = contract.services.values().flat_map(|s| s.servers.values());
    for server in all_servers {
        assert!((3..=4).contains(&server.slots.get()));
        assert_eq!(server.connections, connections);
    }
    let large = contract
        .teams
        .values()
        .filter(|t| t.rate.get() >= 300)
        .count();
    assert_eq!(large, 3, "three teams have a rate of 300/s or more");
}

// Guards against a sample that lacks a kind of route, an open route, or a server
// of each service and a client block for each data centre.
#[parameterized(lunwan = { "lunwan.toml" }, al_jabal = { "al-jabal.toml" })]
fn a_sample_covers_every_feature(file: &str) {
    let contract = sample(file);
    let routes = || contract.services.values().flat_map(|s| &s.routes);
    let kinds: BTreeSet<_> = routes().map(|r| r.kind).collect();
    let all = [RouteKind::Idempotent, RouteKind::Once, RouteKind::Slow];
    assert_eq!(kinds, BTreeSet::from(all));
    assert!(routes().any(|r| r.open));
    let centres: BTreeSet<_> = contract.centres.keys().collect();
    for (name, service) in &contract.services {
        let used: BTreeSet<_> = service.servers.values().map(|s| &s.centre).collect();
        assert_eq!(used, centres, "{name}");
    }
    let near: BTreeSet<_> = contract.blocks.iter().map(|b| &b.centre).collect();
    assert_eq!(near, centres);
}

// Guards against a region whose capacity exceeds the slots of its backend
// servers.
#[parameterized(lunwan = { "lunwan.toml" }, al_jabal = { "al-jabal.toml" })]
fn a_region_has_slots_for_its_capacity(file: &str) {
    let contract = sample(file);
    for (region, plan) in &contract.regions {
        let servers = contract.services.values().flat_map(|s| s.servers.values());
        let here = servers.filter(|s| contract.region_of(&s.centre) == Some(region));
        let slots: u32 = here.map(|s| s.slots.get()).sum();
        assert!(plan.capacity.get() <= slots, "{region}: {slots} slots");
    }
}
