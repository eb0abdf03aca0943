//! Deployments of the two customers, scaled down for tests, and their contract
//! files.

use std::net::SocketAddr;

use eyre::Result;
use serde::Serialize;

/// How often and how requests of a route may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// May be executed more than once, so attempts may be retried.
    Idempotent,
    /// Executed at most once.
    Once,
    /// Executed as a job whose result is fetched later.
    Slow,
}

/// A route of a service, as written to the contract file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteSpec {
    /// Path prefix below the service.
    pub path: String,
    /// HTTP methods that the route accepts.
    pub methods: Vec<String>,
    /// How requests may be executed.
    pub kind: RouteKind,
    /// Whether callers need no API key.
    pub open: bool,
    /// Timeout of a request, such as `500ms`.
    pub timeout: String,
}

impl RouteSpec {
    /// A route that requires an API key.
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

    /// Opens the route to callers without an API key.
    #[must_use]
    pub const fn open(mut self) -> Self {
        self.open = true;
        self
    }
}

/// A service and the backend servers to start for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Service name.
    pub name: String,
    /// Version that receives the traffic.
    pub version: String,
    /// Routes of the service.
    pub routes: Vec<RouteSpec>,
    /// Number of backend servers in each data centre.
    pub servers_per_centre: usize,
    /// Concurrent requests that each server runs.
    pub slots: u32,
    /// Limit of connections to each server.
    pub connections: u32,
    /// Work time of a request.
    pub work_ms: u64,
    /// Length of a server's cold start.
    pub cold_ms: u64,
}

/// A team and its rate limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamSpec {
    /// Team name, without the customer.
    pub name: String,
    /// Requests per second.
    pub rate: u32,
    /// Requests that may exceed the rate at once.
    pub burst: u32,
}

/// A customer with its data centres, teams and services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// Customer name.
    pub customer: String,
    /// Region names; each region has the data centres `{region}-1` and
    /// `{region}-2`.
    pub regions: Vec<String>,
    /// Limit of concurrent requests in each region.
    pub region_capacity: u32,
    /// Bandwidth between each two regions.
    pub link_megabits: u32,
    /// Teams of the customer.
    pub teams: Vec<TeamSpec>,
    /// Services of the customer.
    pub services: Vec<ServiceSpec>,
}

/// A running backend server, as the contract file describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeployedServer {
    /// Customer that owns the service.
    pub customer: String,
    /// Service that the server runs.
    pub service: String,
    /// Server name.
    pub name: String,
    /// Service version that the server runs.
    pub version: String,
    /// Data centre of the server.
    pub centre: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Whether the contract marks it as leaving.
    pub leaving: bool,
}

const TEAM_COUNT: usize = 8;
const CENTRES_PER_REGION: usize = 2;

impl Deployment {
    /// The deployment of the Lunwan Shared Wheelworks Consortium.
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

    /// The deployment of the Al Jabal Almond Growers Co-operative.
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
            // The first two teams are larger than the others.
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

    /// Removes all regions but the first `count`.
    #[must_use]
    pub fn first_regions(mut self, count: usize) -> Self {
        self.regions.truncate(count);
        self
    }

    /// All data centres: the first of each region, then the second of each.
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

/// The contract file of a deployment. It lists those of `servers` that belong to
/// the deployment's customer.
///
/// # Errors
///
/// When it can't be serialized as TOML.
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
