//! Checks a contract file and builds the contract.
//!
//! All mistakes are collected, so that an operator mends a file in one go.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::Ipv4Addr;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::file::{BlockEntry, ContractFile, KindEntry, RouteEntry, ServerEntry, ServiceEntry};
use super::{
    ClientBlock, ContractMistake, CustomerContract, LookupPolicy, RegionLink, RegionPlan,
    RouteKind, RoutePlan, ServerPlan, ServicePlan, TeamLimit,
};
use crate::ids::{CentreName, RegionName, ServerName, ServiceName, TeamName};
use crate::units::{ByteSize, TimeSpan};

/// Clients keep an answer this long at most, since a drain waits for it.
const LOOKUP_VALIDITY: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_mins(1);
const LOOKUP_INSTANCES: RangeInclusive<u64> = 1..=16;
const REGION_CAPACITY: RangeInclusive<u64> = 1..=1_000_000;
const LINK_MEGABITS: RangeInclusive<u64> = 1..=1_000_000;
const TEAM_RATE: RangeInclusive<u64> = 1..=1_000_000;
const TEAM_BURST: RangeInclusive<u64> = 1..=1_000_000;
/// Shares of a slot limit split exactly into whole slots up to 16.
const SERVER_SLOTS: RangeInclusive<u64> = 1..=16;
const SERVER_CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const ROUTE_TIMEOUT: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_mins(10);
/// Bodies are held in memory while a request runs.
const BODY_BYTES: RangeInclusive<u64> = 0..=8 * 1024 * 1024;
/// Answers to slow work pass through the object store in one piece.
const ANSWER_BYTES: RangeInclusive<u64> = 0..=64 * 1024 * 1024;
const DEFAULT_MAX_BODY: ByteSize = ByteSize::new(64 * 1024);
const DEFAULT_MAX_ANSWER: ByteSize = ByteSize::new(1024 * 1024);
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
const IPV4_BITS: u8 = 32;

#[derive(Default)]
struct MistakeList(Vec<ContractMistake>);

impl MistakeList {
    fn add(&mut self, field: impl Into<String>, value: &impl Display, bound: impl Into<String>) {
        self.0.push(ContractMistake {
            field: field.into(),
            value: value.to_string(),
            bound: bound.into(),
        });
    }

    fn within(&mut self, field: &str, value: u64, bounds: &RangeInclusive<u64>) {
        if !bounds.contains(&value) {
            let bound = format!("must be from {} to {}", bounds.start(), bounds.end());
            self.add(field, &value, bound);
        }
    }

    fn span_within(&mut self, field: &str, value: Duration, bounds: &RangeInclusive<Duration>) {
        if !bounds.contains(&value) {
            let [value, least, most] = [value, *bounds.start(), *bounds.end()].map(TimeSpan::new);
            self.add(field, &value, format!("must be from {least} to {most}"));
        }
    }

    /// Collects named entries into a map and reports names that occur twice.
    fn unique<K: Ord + Display, V>(
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

    fn known<K: Ord + Display, V>(&mut self, field: &str, name: &K, names: &BTreeMap<K, V>) {
        if !names.contains_key(name) {
            self.add(field, name, "is not defined in this file");
        }
    }
}

pub(super) fn check(file: ContractFile) -> Result<CustomerContract, Vec<ContractMistake>> {
    let mut list = MistakeList::default();

    let valid_for = file.lookup.valid_for.get();
    list.span_within("lookup.valid_for", valid_for, &LOOKUP_VALIDITY);
    let instances = file.lookup.instances;
    list.within("lookup.instances", instances as u64, &LOOKUP_INSTANCES);

    let regions = check_regions(&mut list, &file);
    let centres = list.unique(
        "data_centre.name",
        file.data_centre
            .iter()
            .map(|c| (c.name.clone(), c.region.clone())),
    );
    for centre in &file.data_centre {
        let field = format!("data_centre[{}].region", centre.name);
        list.known(&field, &centre.region, &regions);
    }
    let links = check_links(&mut list, &file, &regions);
    let teams = check_teams(&mut list, &file);
    let services: Vec<_> = file
        .service
        .into_iter()
        .map(|s| (s.name.clone(), check_service(&mut list, s, &centres)))
        .collect();
    let services = list.unique("service.name", services);
    check_addresses(&mut list, &services);
    let blocks = check_blocks(&mut list, &file.client_block, &centres);

    if !list.0.is_empty() {
        return Err(list.0);
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

fn check_regions(list: &mut MistakeList, file: &ContractFile) -> BTreeMap<RegionName, RegionPlan> {
    for region in &file.region {
        let field = format!("region[{}].capacity", region.name);
        list.within(&field, region.capacity.get().into(), &REGION_CAPACITY);
    }
    list.unique(
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
    list: &mut MistakeList,
    file: &ContractFile,
    regions: &BTreeMap<RegionName, RegionPlan>,
) -> Vec<RegionLink> {
    let mut seen = BTreeSet::new();
    let mut links = Vec::new();
    for link in &file.link {
        let name = format!("{}-{}", link.from, link.to);
        let field = format!("link[{name}]");
        list.known(&format!("{field}.from"), &link.from, regions);
        list.known(&format!("{field}.to"), &link.to, regions);
        list.within(
            &format!("{field}.megabits"),
            link.megabits.into(),
            &LINK_MEGABITS,
        );
        if link.from == link.to {
            list.add(&field, &name, "a link must join two different regions");
        }
        if !seen.insert((&link.from, &link.to)) {
            list.add(&field, &name, "the link occurs twice");
        }
        links.push(RegionLink {
            from: link.from.clone(),
            to: link.to.clone(),
            megabits: link.megabits,
        });
    }
    links
}

fn check_teams(list: &mut MistakeList, file: &ContractFile) -> BTreeMap<TeamName, TeamLimit> {
    for team in &file.team {
        let field = format!("team[{}]", team.name);
        list.within(&format!("{field}.rate"), team.rate.get().into(), &TEAM_RATE);
        list.within(
            &format!("{field}.burst"),
            team.burst.get().into(),
            &TEAM_BURST,
        );
    }
    list.unique(
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
    list: &mut MistakeList,
    service: ServiceEntry,
    centres: &BTreeMap<CentreName, RegionName>,
) -> ServicePlan {
    let field = format!("service[{}]", service.name);
    let mut routes: Vec<RoutePlan> = service
        .route
        .into_iter()
        .map(|route| check_route(list, &field, route))
        .collect();
    check_route_overlap(list, &field, &routes);
    routes.sort_by(|a, b| b.path.len().cmp(&a.path.len()).then(a.path.cmp(&b.path)));
    let servers: Vec<_> = service
        .server
        .into_iter()
        .map(|server| check_server(list, &field, server, centres))
        .collect();
    let servers = list.unique(&format!("{field}.server.name"), servers);
    if !servers.values().any(|s| s.version == service.version) {
        let bound = "no server of the service runs this version";
        list.add(format!("{field}.version"), &service.version, bound);
    }
    ServicePlan {
        version: service.version,
        routes,
        servers,
    }
}

fn check_route(list: &mut MistakeList, service: &str, route: RouteEntry) -> RoutePlan {
    let field = format!("{service}.route[{}]", route.path);
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%');
    if !route.path.starts_with('/') || !route.path.chars().all(plain) {
        let bound = "must start with / and have no ?, # or %";
        list.add(format!("{field}.path"), &route.path, bound);
    }
    if route.path.len() > 1 && route.path.ends_with('/') {
        list.add(format!("{field}.path"), &route.path, "must not end with /");
    }
    if route.methods.is_empty() {
        list.add(format!("{field}.methods"), &"[]", "must name a method");
    }
    for method in &route.methods {
        if !METHODS.contains(&method.as_str()) {
            let bound = format!("must be one of {}", METHODS.join(", "));
            list.add(format!("{field}.methods"), method, bound);
        }
    }
    let max_body = route.max_body.unwrap_or(DEFAULT_MAX_BODY);
    let max_answer = route.max_answer.unwrap_or(DEFAULT_MAX_ANSWER);
    list.span_within(
        &format!("{field}.timeout"),
        route.timeout.get(),
        &ROUTE_TIMEOUT,
    );
    list.within(&format!("{field}.max_body"), max_body.get(), &BODY_BYTES);
    list.within(
        &format!("{field}.max_answer"),
        max_answer.get(),
        &ANSWER_BYTES,
    );
    let kind = match route.kind {
        KindEntry::Idempotent => RouteKind::Idempotent,
        KindEntry::Once => RouteKind::Once,
        KindEntry::Slow => RouteKind::Slow,
    };
    if route.open && kind != RouteKind::Idempotent {
        // Without a team there is no owner for a claim or a job.
        list.add(
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
        max_answer,
    }
}

fn check_route_overlap(list: &mut MistakeList, service: &str, routes: &[RoutePlan]) {
    for (index, route) in routes.iter().enumerate() {
        let earlier = &routes[..index];
        let same = |other: &&RoutePlan| {
            other.path == route.path && !other.methods.is_disjoint(&route.methods)
        };
        if earlier.iter().any(|other| same(&other)) {
            let field = format!("{service}.route[{}]", route.path);
            list.add(field, &route.path, "another route has this path and method");
        }
    }
}

fn check_server(
    list: &mut MistakeList,
    service: &str,
    server: ServerEntry,
    centres: &BTreeMap<CentreName, RegionName>,
) -> (ServerName, ServerPlan) {
    let field = format!("{service}.server[{}]", server.name);
    list.known(
        &format!("{field}.data_centre"),
        &server.data_centre,
        centres,
    );
    list.within(
        &format!("{field}.slots"),
        server.slots.get().into(),
        &SERVER_SLOTS,
    );
    list.within(
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

fn check_addresses(list: &mut MistakeList, services: &BTreeMap<ServiceName, ServicePlan>) {
    let mut seen = BTreeSet::new();
    for (service, plan) in services {
        for (name, server) in &plan.servers {
            if !seen.insert(server.address) {
                let field = format!("service[{service}].server[{name}].address");
                list.add(field, &server.address, "another server has this address");
            }
        }
    }
}

fn check_blocks(
    list: &mut MistakeList,
    entries: &[BlockEntry],
    centres: &BTreeMap<CentreName, RegionName>,
) -> Vec<ClientBlock> {
    let mut seen = BTreeSet::new();
    let mut blocks = Vec::new();
    for entry in entries {
        let field = format!("client_block[{}]", entry.prefix);
        list.known(&format!("{field}.data_centre"), &entry.data_centre, centres);
        let Some((first, prefix)) = parse_prefix(&entry.prefix) else {
            let bound = "must be an IPv4 prefix without host bits, as in 10.1.0.0/16";
            list.add(format!("{field}.prefix"), &entry.prefix, bound);
            continue;
        };
        if !seen.insert((first, prefix)) {
            list.add(
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
