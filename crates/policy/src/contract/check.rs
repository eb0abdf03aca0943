//! Checks a contract file and builds the contract.
//!
//! All violations are collected, so that an operator can fix a file in one pass.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::Ipv4Addr;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::file::{BlockEntry, ContractFile, KindEntry, RouteEntry, ServerEntry, ServiceEntry};
use super::{
    ClientBlock, ContractViolation, CustomerContract, LookupPolicy, RegionLink, RegionPlan,
    RouteKind, RoutePlan, ServerPlan, ServicePlan, TeamLimit,
};
use crate::ids::{CentreName, RegionName, ServerName, ServiceName, TeamName};
use crate::units::{ByteSize, TimeSpan};

/// Time for which clients cache lookup responses. The maximum is low because a
/// drain waits until the cached responses have expired.
const LOOKUP_VALID_FOR: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_mins(1);
const LOOKUP_INSTANCES: RangeInclusive<u64> = 1..=16;
const REGION_CAPACITY: RangeInclusive<u64> = 1..=1_000_000;
const LINK_MEGABITS: RangeInclusive<u64> = 1..=1_000_000;
const TEAM_RATE: RangeInclusive<u64> = 1..=1_000_000;
const TEAM_BURST: RangeInclusive<u64> = 1..=1_000_000;
/// A slot limit divides exactly into whole slots for up to 16 slots.
const SERVER_SLOTS: RangeInclusive<u64> = 1..=16;
const SERVER_CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const ROUTE_TIMEOUT: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_mins(10);
/// Bodies are held in memory while a request runs.
const REQUEST_BODY_BYTES: RangeInclusive<u64> = 0..=8 * 1024 * 1024;
/// Responses to slow requests are stored as a single object in the object store.
const RESPONSE_BYTES: RangeInclusive<u64> = 0..=64 * 1024 * 1024;
const DEFAULT_MAX_BODY: ByteSize = ByteSize::new(64 * 1024);
const DEFAULT_MAX_RESPONSE: ByteSize = ByteSize::new(1024 * 1024);
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
const IPV4_BITS: u8 = 32;

#[derive(Default)]
struct ViolationList(Vec<ContractViolation>);

impl ViolationList {
    fn add(&mut self, field: impl Into<String>, value: &impl Display, rule: impl Into<String>) {
        self.0.push(ContractViolation {
            field: field.into(),
            value: value.to_string(),
            rule: rule.into(),
        });
    }

    fn check_range(&mut self, field: &str, value: u64, range: &RangeInclusive<u64>) {
        if !range.contains(&value) {
            let rule = format!("must be from {} to {}", range.start(), range.end());
            self.add(field, &value, rule);
        }
    }

    fn check_duration(&mut self, field: &str, value: Duration, range: &RangeInclusive<Duration>) {
        if !range.contains(&value) {
            let [value, min, max] = [value, *range.start(), *range.end()].map(TimeSpan::new);
            self.add(field, &value, format!("must be from {min} to {max}"));
        }
    }

    /// Collects named entries into a map and adds a violation for each name that
    /// occurs twice.
    fn collect_unique<K: Ord + Display, V>(
        &mut self,
        field: &str,
        entries: impl IntoIterator<Item = (K, V)>,
    ) -> BTreeMap<K, V> {
        let mut map = BTreeMap::new();
        for (name, entry) in entries {
            match map.entry(name) {
                Entry::Occupied(slot) => self.add(field, slot.key(), "the name occurs twice"),
                Entry::Vacant(slot) => {
                    slot.insert(entry);
                }
            }
        }
        map
    }

    fn check_reference<K: Ord + Display, V>(
        &mut self,
        field: &str,
        name: &K,
        names: &BTreeMap<K, V>,
    ) {
        if !names.contains_key(name) {
            self.add(field, name, "is not defined in this file");
        }
    }
}

pub(super) fn check(file: ContractFile) -> Result<CustomerContract, Vec<ContractViolation>> {
    let mut violations = ViolationList::default();

    let valid_for = file.lookup.valid_for.get();
    violations.check_duration("lookup.valid_for", valid_for, &LOOKUP_VALID_FOR);
    let instances = file.lookup.instances;
    violations.check_range("lookup.instances", instances as u64, &LOOKUP_INSTANCES);

    let regions = check_regions(&mut violations, &file);
    let centres = violations.collect_unique(
        "data_centre.name",
        file.data_centre
            .iter()
            .map(|c| (c.name.clone(), c.region.clone())),
    );
    for centre in &file.data_centre {
        let field = format!("data_centre[{}].region", centre.name);
        violations.check_reference(&field, &centre.region, &regions);
    }
    let links = check_links(&mut violations, &file, &regions);
    let teams = check_teams(&mut violations, &file);
    let services: Vec<_> = file
        .service
        .into_iter()
        .map(|s| (s.name.clone(), check_service(&mut violations, s, &centres)))
        .collect();
    let services = violations.collect_unique("service.name", services);
    check_addresses(&mut violations, &services);
    let blocks = check_blocks(&mut violations, &file.client_block, &centres);

    if !violations.0.is_empty() {
        return Err(violations.0);
    }
    Ok(CustomerContract {
        customer: file.customer,
        lookup: LookupPolicy {
            valid_for,
            instances,
        },
        regions,
        centres,
        links,
        teams,
        services,
        blocks,
    })
}

fn check_regions(
    violations: &mut ViolationList,
    file: &ContractFile,
) -> BTreeMap<RegionName, RegionPlan> {
    for region in &file.region {
        let field = format!("region[{}].capacity", region.name);
        violations.check_range(&field, region.capacity.get().into(), &REGION_CAPACITY);
    }
    violations.collect_unique(
        "region.name",
        file.region.iter().map(|r| {
            let plan = RegionPlan {
                capacity: r.capacity,
            };
            (r.name.clone(), plan)
        }),
    )
}

fn check_links(
    violations: &mut ViolationList,
    file: &ContractFile,
    regions: &BTreeMap<RegionName, RegionPlan>,
) -> Vec<RegionLink> {
    let mut seen = BTreeSet::new();
    let mut links = Vec::new();
    for link in &file.link {
        let name = format!("{}-{}", link.from, link.to);
        let field = format!("link[{name}]");
        violations.check_reference(&format!("{field}.from"), &link.from, regions);
        violations.check_reference(&format!("{field}.to"), &link.to, regions);
        violations.check_range(
            &format!("{field}.megabits"),
            link.megabits.into(),
            &LINK_MEGABITS,
        );
        if link.from == link.to {
            violations.add(&field, &name, "a link must join two different regions");
        }
        if !seen.insert((&link.from, &link.to)) {
            violations.add(&field, &name, "the link occurs twice");
        }
        links.push(RegionLink {
            from: link.from.clone(),
            to: link.to.clone(),
            megabits: link.megabits,
        });
    }
    links
}

fn check_teams(
    violations: &mut ViolationList,
    file: &ContractFile,
) -> BTreeMap<TeamName, TeamLimit> {
    for team in &file.team {
        let field = format!("team[{}]", team.name);
        violations.check_range(&format!("{field}.rate"), team.rate.get().into(), &TEAM_RATE);
        violations.check_range(
            &format!("{field}.burst"),
            team.burst.get().into(),
            &TEAM_BURST,
        );
    }
    violations.collect_unique(
        "team.name",
        file.team.iter().map(|t| {
            let limit = TeamLimit {
                rate: t.rate,
                burst: t.burst,
            };
            (t.name.clone(), limit)
        }),
    )
}

fn check_service(
    violations: &mut ViolationList,
    service: ServiceEntry,
    centres: &BTreeMap<CentreName, RegionName>,
) -> ServicePlan {
    let field = format!("service[{}]", service.name);
    let mut routes: Vec<RoutePlan> = service
        .route
        .into_iter()
        .map(|route| check_route(violations, &field, route))
        .collect();
    check_route_overlap(violations, &field, &routes);
    routes.sort_by(|a, b| b.path.len().cmp(&a.path.len()).then(a.path.cmp(&b.path)));
    let servers: Vec<_> = service
        .server
        .into_iter()
        .map(|server| check_server(violations, &field, server, centres))
        .collect();
    let servers = violations.collect_unique(&format!("{field}.server.name"), servers);
    if !servers.values().any(|s| s.version == service.version) {
        let rule = "no server of the service runs this version";
        violations.add(format!("{field}.version"), &service.version, rule);
    }
    ServicePlan {
        version: service.version,
        routes,
        servers,
    }
}

fn check_route(violations: &mut ViolationList, service: &str, route: RouteEntry) -> RoutePlan {
    let field = format!("{service}.route[{}]", route.path);
    let is_allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%');
    if !route.path.starts_with('/') || !route.path.chars().all(is_allowed) {
        let rule = "must start with / and have no ?, # or %";
        violations.add(format!("{field}.path"), &route.path, rule);
    }
    if route.path.len() > 1 && route.path.ends_with('/') {
        violations.add(format!("{field}.path"), &route.path, "must not end with /");
    }
    if route.methods.is_empty() {
        violations.add(format!("{field}.methods"), &"[]", "must name a method");
    }
    for method in &route.methods {
        if !METHODS.contains(&method.as_str()) {
            let rule = format!("must be one of {}", METHODS.join(", "));
            violations.add(format!("{field}.methods"), method, rule);
        }
    }
    let max_body = route.max_body.unwrap_or(DEFAULT_MAX_BODY);
    let max_response = route.max_answer.unwrap_or(DEFAULT_MAX_RESPONSE);
    violations.check_duration(
        &format!("{field}.timeout"),
        route.timeout.get(),
        &ROUTE_TIMEOUT,
    );
    violations.check_range(
        &format!("{field}.max_body"),
        max_body.get(),
        &REQUEST_BODY_BYTES,
    );
    violations.check_range(
        &format!("{field}.max_answer"),
        max_response.get(),
        &RESPONSE_BYTES,
    );
    let kind = match route.kind {
        KindEntry::Idempotent => RouteKind::Idempotent,
        KindEntry::Once => RouteKind::Once,
        KindEntry::Slow => RouteKind::Slow,
    };
    if route.open && kind != RouteKind::Idempotent {
        // Claims and jobs belong to a team, and requests of an open route have none.
        violations.add(
            format!("{field}.open"),
            &true,
            format!("an open route cannot be {kind}"),
        );
    }
    RoutePlan {
        path: route.path,
        methods: route.methods,
        kind,
        open: route.open,
        timeout: route.timeout.get(),
        max_body,
        max_response,
    }
}

fn check_route_overlap(violations: &mut ViolationList, service: &str, routes: &[RoutePlan]) {
    for (index, route) in routes.iter().enumerate() {
        let preceding = &routes[..index];
        let conflicts = |other: &&RoutePlan| {
            other.path == route.path && !other.methods.is_disjoint(&route.methods)
        };
        if preceding.iter().any(|other| conflicts(&other)) {
            let field = format!("{service}.route[{}]", route.path);
            violations.add(field, &route.path, "another route has this path and method");
        }
    }
}

fn check_server(
    violations: &mut ViolationList,
    service: &str,
    server: ServerEntry,
    centres: &BTreeMap<CentreName, RegionName>,
) -> (ServerName, ServerPlan) {
    let field = format!("{service}.server[{}]", server.name);
    violations.check_reference(
        &format!("{field}.data_centre"),
        &server.data_centre,
        centres,
    );
    violations.check_range(
        &format!("{field}.slots"),
        server.slots.get().into(),
        &SERVER_SLOTS,
    );
    violations.check_range(
        &format!("{field}.connections"),
        server.connections.into(),
        &SERVER_CONNECTIONS,
    );
    let plan = ServerPlan {
        address: server.address,
        centre: server.data_centre,
        slots: server.slots,
        connections: server.connections,
        version: server.version,
        leaving: server.leaving,
    };
    (server.name, plan)
}

fn check_addresses(violations: &mut ViolationList, services: &BTreeMap<ServiceName, ServicePlan>) {
    let mut seen = BTreeSet::new();
    for (service, plan) in services {
        for (name, server) in &plan.servers {
            if !seen.insert(server.address) {
                let field = format!("service[{service}].server[{name}].address");
                violations.add(field, &server.address, "another server has this address");
            }
        }
    }
}

fn check_blocks(
    violations: &mut ViolationList,
    entries: &[BlockEntry],
    centres: &BTreeMap<CentreName, RegionName>,
) -> Vec<ClientBlock> {
    let mut seen = BTreeSet::new();
    let mut blocks = Vec::new();
    for entry in entries {
        let field = format!("client_block[{}]", entry.prefix);
        violations.check_reference(&format!("{field}.data_centre"), &entry.data_centre, centres);
        let Some((first, prefix)) = parse_prefix(&entry.prefix) else {
            let rule = "must be an IPv4 prefix without host bits, as in 10.1.0.0/16";
            violations.add(format!("{field}.prefix"), &entry.prefix, rule);
            continue;
        };
        if !seen.insert((first, prefix)) {
            violations.add(
                format!("{field}.prefix"),
                &entry.prefix,
                "the block occurs twice",
            );
        }
        blocks.push(ClientBlock {
            first,
            prefix,
            centre: entry.data_centre.clone(),
        });
    }
    blocks
}

fn parse_prefix(text: &str) -> Option<(u32, u8)> {
    let (address, length) = text.split_once('/')?;
    let address: Ipv4Addr = address.parse().ok()?;
    let prefix: u8 = length.parse().ok().filter(|l| *l <= IPV4_BITS)?;
    let first = u32::from(address);
    let host_mask = u32::MAX.checked_shr(prefix.into()).unwrap_or(0);
    (first & host_mask == 0).then_some((first, prefix))
}
