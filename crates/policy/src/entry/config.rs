//! The operator's configuration and the list of backend servers, decoded.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use super::names::{
    CallerKey, CentreName, RegionName, ServerId, ServiceName, TeamName, VersionName,
};

/// The version of a configuration; a higher one is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ConfigVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One destination of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteDestination {
    /// The service that runs the requests.
    pub service: ServiceName,
    /// The relative weight; greater than zero.
    pub weight: f64,
}

/// How the requests of one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// The name of the route, for logs.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub retryable: bool,
    /// The longest time until the final answer.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub target_latency: Duration,
    /// The rank of the route; 0 is served first.
    pub priority: u32,
    /// Where requests go, by weight; never empty.
    pub destinations: Vec<RouteDestination>,
    /// The largest number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a server is faster on objects that it has handled recently.
    pub has_affinity: bool,
    /// The regions in which requests may run; empty means all.
    pub home_regions: BTreeSet<RegionName>,
}

/// Properties of the backend servers of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// How long a server is cold after its start.
    pub cold_period: Duration,
    /// The requests per second that a cold server bears, from all instances.
    pub cold_rate: f64,
}

/// A team with its keys and its fleet-wide request limit.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamRule {
    /// The team's name.
    pub name: TeamName,
    /// Requests per second over the whole fleet; `None` means no limit.
    pub rate: Option<f64>,
    /// Requests that may come at once in addition to the rate.
    pub burst: f64,
    /// The rank, which takes precedence over that of the route.
    pub priority: Option<u32>,
    /// The regions in which requests may run; empty means all.
    pub home_regions: BTreeSet<RegionName>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head in bytes.
    pub max_header_bytes: usize,
    /// The largest request body in bytes.
    pub max_body_bytes: usize,
    /// The longest time for a request head, and for a body without progress.
    pub header_timeout: Duration,
    /// How long a connection without requests stays open.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The values of the operator's sample configuration, used until one is read.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operator's configuration.
#[derive(Debug, Clone, Default)]
pub struct TrafficConfig {
    /// The version.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Rc<RouteRule>>,
    /// All services.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// The team of each key.
    pub keys: BTreeMap<CallerKey, Rc<TeamRule>>,
    /// All teams.
    pub teams: BTreeMap<TeamName, Rc<TeamRule>>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

impl TrafficConfig {
    /// The route of a request: the longest prefix of the path among the
    /// routes of the host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// The team that holds a key.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Rc<TeamRule>> {
        let key: CallerKey = key.parse().ok()?;
        self.keys.get(&key)
    }
}

/// A backend server as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its service.
    pub service: ServiceName,
    /// The version of its program.
    pub version: VersionName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreName,
    /// How many requests it runs at a time; at least 1.
    pub slots: u32,
    /// Whether it gets no new requests.
    pub draining: bool,
    /// How much longer it was cold when it wrote the entry.
    pub cold_remaining: Duration,
    /// When it started, in milliseconds since the Unix epoch, if it says so.
    /// A different value under the same id is a new start.
    pub started: Option<i64>,
}

/// The operator's order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub to: VersionName,
    /// The time within which the move is to be done.
    pub timeout: Duration,
}

/// How a rollout stands, as recorded for the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutState {
    /// Traffic is being moved.
    Running,
    /// All traffic is at the new version.
    Completed,
    /// All traffic is back at the old version.
    TakenBack,
}

/// The recorded state of a service's newest rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The state.
    pub state: RolloutState,
    /// The version the rollout moves to.
    pub to: VersionName,
}
