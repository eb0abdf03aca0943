//! The two customers in a size for tests, and their contract files.

use std::net::SocketAddr;

use eyre::Result;
use serde::Serialize;

/// How requests of a route may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// May be run again.
    Idempotent,
    /// At most once.
    Once,
    /// Slow work.
    Slow,
}

/// A route of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteSpec {
    /// Path prefix below the service.
    pub path: String,
    /// Methods.
    pub methods: Vec<String>,
    /// How requests may be run.
    pub kind: RouteKind,
    /// Whether the route needs no key.
    pub open: bool,
    /// The deadline, as in `500ms`.
    pub timeout: String,
}

impl RouteSpec {
    /// A route that needs a key.
    #[must_use]
    pub fn new(path: &str, methods: &[&str], kind: RouteKind, timeout: &str) -> Self {
        Self {
            path: path.to_owned(),
            methods: methods.iter().map(|&m| m.to_owned()).collect(),
            kind,
            open: false,
            timeout: timeout.to_owned(),
        }
    }

    /// Makes the route open to callers without a key.
    #[must_use]
    pub const fn open(mut self) -> Self {
        self.open = true;
        self
    }
}

/// A service and the backend servers to start for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// The version that has the traffic.
    pub version: String,
    /// Its routes.
    pub routes: Vec<RouteSpec>,
    /// Backend servers in each data centre.
    pub servers_per_centre: usize,
    /// Slots of each server.
    pub slots: u32,
    /// Connections that each server accepts.
    pub connections: u32,
    /// Time that a request takes.
    pub work_ms: u64,
    /// How long a server is cold after its start.
    pub cold_ms: u64,
}

/// Limits of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSpec {
    /// Its name.
    pub name: String,
    /// Requests a second.
    pub rate: u32,
    /// Requests at once on top of the rate.
    pub burst: u32,
}

/// A customer with its data centres, teams and services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// The customer.
    pub customer: String,
    /// Regions; each has the data centres `{region}-1` and `{region}-2`.
    pub regions: Vec<String>,
    /// Requests that may run in a region at the same time.
    pub region_capacity: u32,
    /// Bandwidth between regions.
    pub link_megabits: u32,
    /// Teams.
    pub teams: Vec<TeamSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
}

/// A backend server that was started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeployedServer {
    /// Its customer.
    pub customer: String,
    /// Its service.
    pub service: String,
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: String,
    /// Its data centre.
    pub centre: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the contract names it as leaving.
    pub leaving: bool,
}

const TEAM_COUNT: usize = 8;
const CENTRES_PER_REGION: usize = 2;

impl Deployment {
    /// The Lunwan Shared Wheelworks Consortium.
    #[must_use]
    pub fn lunwan() -> Self {
        let services = vec![
            service(
                "fitdesk",
                vec![
                    RouteSpec::new("/open", &["GET"], RouteKind::Idempotent, "500ms").open(),
                    RouteSpec::new("/fit", &["GET", "POST"], RouteKind::Idempotent, "500ms"),
                ],
                5,
            ),
            service(
                "swapledger",
                vec![
                    RouteSpec::new("/swaps", &["GET"], RouteKind::Idempotent, "1s"),
                    RouteSpec::new("/swaps", &["POST"], RouteKind::Once, "3s"),
                ],
                15,
            ),
            service(
                "wearlog",
                vec![RouteSpec::new(
                    "/histories",
                    &["POST"],
                    RouteKind::Slow,
                    "20s",
                )],
                200,
            ),
        ];
        Self::new("lunwan", &["north", "central", "south"], 4000, services)
    }

    /// The Al Jabal Almond Growers Co-operative.
    #[must_use]
    pub fn al_jabal() -> Self {
        let services = vec![
            service(
                "grade-desk",
                vec![
                    RouteSpec::new("/open", &["GET"], RouteKind::Idempotent, "500ms").open(),
                    RouteSpec::new("/lots", &["GET", "POST"], RouteKind::Idempotent, "500ms"),
                ],
                5,
            ),
            service(
                "sale-ledger",
                vec![RouteSpec::new("/sales", &["POST"], RouteKind::Once, "3s")],
                15,
            ),
            service(
                "harvest-books",
                vec![RouteSpec::new(
                    "/reports",
                    &["POST"],
                    RouteKind::Slow,
                    "20s",
                )],
                200,
            ),
        ];
        let regions = ["dakhiliyah", "muscat", "batinah"];
        Self::new("al-jabal", &regions, 280, services)
    }

    fn new(
        customer: &str,
        regions: &[&str],
        link_megabits: u32,
        services: Vec<ServiceSpec>,
    ) -> Self {
        let teams = ('a'..).take(TEAM_COUNT).map(|letter| TeamSpec {
            name: format!("team-{letter}"),
            // The first teams are the large ones.
            rate: if letter <= 'b' { 200 } else { 50 },
            burst: if letter <= 'b' { 100 } else { 20 },
        });
        Self {
            customer: customer.to_owned(),
            regions: regions.iter().map(|&r| r.to_owned()).collect(),
            region_capacity: 200,
            link_megabits,
            teams: teams.collect(),
            services,
        }
    }

    /// Keeps the first `count` regions.
    #[must_use]
    pub fn first_regions(mut self, count: usize) -> Self {
        self.regions.truncate(count);
        self
    }

    /// Data centres, with one of each region before the second of any.
    #[must_use]
    pub fn centres(&self) -> Vec<String> {
        (1..=CENTRES_PER_REGION)
            .flat_map(|number| self.regions.iter().map(move |r| format!("{r}-{number}")))
            .collect()
    }
}

fn service(name: &str, routes: Vec<RouteSpec>, work_ms: u64) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        version: "v1".to_owned(),
        routes,
        servers_per_centre: 1,
        slots: 4,
        connections: 330,
        work_ms,
        cold_ms: 0,
    }
}

#[derive(Serialize)]
struct ContractFile {
    customer: String,
    lookup: LookupEntry,
    region: Vec<RegionEntry>,
    data_centre: Vec<CentreEntry>,
    link: Vec<LinkEntry>,
    team: Vec<TeamEntry>,
    service: Vec<ServiceEntry>,
    client_block: Vec<BlockEntry>,
}

#[derive(Serialize)]
struct LookupEntry {
    valid_for: String,
    instances: usize,
}

#[derive(Serialize)]
struct RegionEntry {
    name: String,
    capacity: u32,
}

#[derive(Serialize)]
struct CentreEntry {
    name: String,
    region: String,
}

#[derive(Serialize)]
struct LinkEntry {
    from: String,
    to: String,
    megabits: u32,
}

#[derive(Serialize)]
struct TeamEntry {
    name: String,
    rate: String,
    burst: u32,
}

#[derive(Serialize)]
struct ServiceEntry {
    name: String,
    version: String,
    route: Vec<RouteSpec>,
    server: Vec<ServerEntry>,
}

#[derive(Serialize)]
struct ServerEntry {
    name: String,
    address: SocketAddr,
    data_centre: String,
    slots: u32,
    connections: u32,
    version: String,
    leaving: bool,
}

#[derive(Serialize)]
struct BlockEntry {
    prefix: String,
    data_centre: String,
}

/// The contract file of a deployment with the servers that were started.
///
/// # Errors
///
/// When it cannot be written as TOML.
pub fn contract_text(deployment: &Deployment, servers: &[DeployedServer]) -> Result<String> {
    let regions = &deployment.regions;
    let links = regions.iter().flat_map(|from| {
        let others = regions.iter().filter(move |to| *to != from);
        others.map(move |to| LinkEntry {
            from: from.clone(),
            to: to.clone(),
            megabits: deployment.link_megabits,
        })
    });
    let centres = regions.iter().flat_map(|region| {
        (1..=CENTRES_PER_REGION).map(move |number| CentreEntry {
            name: format!("{region}-{number}"),
            region: region.clone(),
        })
    });
    let services = deployment
        .services
        .iter()
        .map(|service| service_entry(&deployment.customer, service, servers));
    let file = ContractFile {
        customer: deployment.customer.clone(),
        lookup: LookupEntry {
            valid_for: "5s".to_owned(),
            instances: 4,
        },
        region: regions
            .iter()
            .map(|region| RegionEntry {
                name: region.clone(),
                capacity: deployment.region_capacity,
            })
            .collect(),
        data_centre: centres.collect(),
        link: links.collect(),
        team: deployment
            .teams
            .iter()
            .map(|team| TeamEntry {
                name: team.name.clone(),
                rate: format!("{}/s", team.rate),
                burst: team.burst,
            })
            .collect(),
        service: services.collect(),
        client_block: deployment
            .centres()
            .into_iter()
            .take(1)
            .map(|data_centre| BlockEntry {
                prefix: "127.0.0.0/8".to_owned(),
                data_centre,
            })
            .collect(),
    };
    Ok(toml::to_string(&file)?)
}

fn service_entry(
    customer: &str,
    service: &ServiceSpec,
    servers: &[DeployedServer],
) -> ServiceEntry {
    let service_servers = servers
        .iter()
        .filter(|server| server.customer == customer && server.service == service.name);
    ServiceEntry {
        name: service.name.clone(),
        version: service.version.clone(),
        route: service.routes.clone(),
        server: service_servers
            .map(|server| ServerEntry {
                name: server.name.clone(),
                address: server.address,
                data_centre: server.centre.clone(),
                slots: service.slots,
                connections: service.connections,
                version: server.version.clone(),
                leaving: server.leaving,
            })
            .collect(),
    }
}
