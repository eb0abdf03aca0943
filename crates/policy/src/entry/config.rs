//! Decoded form of the operator's configuration, the list of backend servers and
//! the rollouts.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use super::names::{
    CallerKey, CentreName, RegionName, ServerId, ServiceName, TeamName, VersionName,
};

/// The version of a configuration; versions increase over time.
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

/// One of the services that a route sends requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteDestination {
    /// The service that runs the requests.
    pub service: ServiceName,
    /// The weight relative to the other destinations; greater than zero.
    pub weight: f64,
}

/// The rule for the requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of one route"
)]
pub struct RouteRule {
    /// The name of the route, for logs.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub retryable: bool,
    /// The maximum time until the final response.
    pub timeout: Duration,
    /// The latency up to which a response is not late.
    pub target_latency: Duration,
    /// The priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// The services that requests are divided among, by weight; never empty.
    pub destinations: Vec<RouteDestination>,
    /// The maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether requests on an object prefer one server, because a server is faster
    /// on objects that it has handled recently.
    pub has_affinity: bool,
    /// The regions in which requests may run; empty means all.
    pub home_regions: BTreeSet<RegionName>,
    /// Whether responses are so large that the links of the instances matter.
    pub has_large_responses: bool,
}

/// A route that cannot be used as the operator wrote it. Its callers are rejected, and
/// their requests go to no other route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableRoute {
    /// The name of the route, for logs.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
}

/// The route of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteMatch<'a> {
    /// The rule for the request.
    Rule(&'a Rc<RouteRule>),
    /// The request belongs to a route that cannot be used.
    Unusable(&'a UnusableRoute),
    /// No route matches.
    None,
}

/// The team of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyMatch<'a> {
    /// The team that holds the key.
    Team(&'a Rc<TeamRule>),
    /// The key belongs to a team that cannot be used as the operator wrote it.
    Unusable,
    /// No team holds the key.
    None,
}

/// A part of a configuration that is not used as the operator wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigWarning {
    /// The kind of part and its name, such as `route lookups`.
    pub part: String,
    /// What is wrong, and what is done instead.
    pub reason: String,
}

/// The maximum length of the path at which servers report their state, in bytes.
pub const MAX_HEALTH_PATH_BYTES: usize = 1024;

/// The error for text that is not the path of a request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a path of 1 to {MAX_HEALTH_PATH_BYTES} visible characters")]
pub struct HealthPathError {
    /// The text.
    pub text: String,
}

/// The path at which a service's servers report their state. It can be written into the
/// first line of a request as it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthPath(Rc<str>);

impl HealthPath {
    /// The path as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for HealthPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for HealthPath {
    type Err = HealthPathError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_path = text.starts_with('/')
            && text.len() <= MAX_HEALTH_PATH_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_path {
            Ok(Self(text.into()))
        } else {
            Err(HealthPathError {
                text: text.to_owned(),
            })
        }
    }
}

/// Properties of the backend servers of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Where servers report their state; `None` if they cannot be asked.
    pub health_path: Option<HealthPath>,
    /// How long a server counts as cold after its start.
    pub cold_period: Duration,
    /// The requests per second that a cold server can take from all instances
    /// together.
    pub cold_rate: f64,
}

/// A team with its keys and its fleet-wide request limit.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamRule {
    /// The team's name.
    pub name: TeamName,
    /// Limit in requests per second over the whole fleet; `None` means no limit.
    pub rate: Option<f64>,
    /// Requests that may arrive at once in addition to the rate.
    pub burst: f64,
    /// The priority, which overrides that of the route.
    pub priority: Option<u32>,
    /// The regions in which requests may run; empty means all.
    pub home_regions: BTreeSet<RegionName>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The timeout for a complete request head, and for a body that makes no
    /// progress.
    pub header_timeout: Duration,
    /// The timeout of a connection without requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The values of the operator's sample configuration. Used until the first
    /// configuration has been read.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operator's traffic configuration.
#[derive(Debug, Clone, Default)]
pub struct TrafficConfig {
    /// The version.
    pub version: ConfigVersion,
    /// The routes, in no particular order.
    pub routes: Vec<Rc<RouteRule>>,
    /// The configured properties of services.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// The team that each key belongs to.
    pub keys: BTreeMap<CallerKey, Rc<TeamRule>>,
    /// The teams by name.
    pub teams: BTreeMap<TeamName, Rc<TeamRule>>,
    /// The limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// The routes that cannot be used.
    pub unusable_routes: Vec<UnusableRoute>,
    /// The keys of teams that cannot be used.
    pub unusable_keys: BTreeSet<CallerKey>,
    /// The parts that are not used as they were written, for the log.
    pub warnings: Vec<ConfigWarning>,
}

impl TrafficConfig {
    /// The route of a request: of the routes of the host, the one with the
    /// longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let rule = self
            .routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len());
        let unusable = self
            .unusable_routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len());
        match (rule, unusable) {
            (Some(rule), Some(route)) if rule.prefix.len() < route.prefix.len() => {
                RouteMatch::Unusable(route)
            }
            (Some(rule), _) => RouteMatch::Rule(rule),
            (None, Some(route)) => RouteMatch::Unusable(route),
            (None, None) => RouteMatch::None,
        }
    }

    /// Whether a route has responses so large that the links of instances matter.
    #[must_use]
    pub fn has_large_responses(&self) -> bool {
        self.routes.iter().any(|route| route.has_large_responses)
    }

    /// The team that a key belongs to.
    #[must_use]
    pub fn team(&self, key: &str) -> KeyMatch<'_> {
        let Ok(key) = key.parse::<CallerKey>() else {
            return KeyMatch::None;
        };
        match self.keys.get(&key) {
            Some(team) => KeyMatch::Team(team),
            None if self.unusable_keys.contains(&key) => KeyMatch::Unusable,
            None => KeyMatch::None,
        }
    }
}

/// The entry of a backend server in the server list, written by the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its service.
    pub service: ServiceName,
    /// The version of its program.
    pub version: VersionName,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreName,
    /// How many requests it runs concurrently; at least 1.
    pub slots: u32,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
    /// How much longer it stays cold, as of the time it wrote the entry.
    pub cold_remaining: Duration,
    /// Its start time in milliseconds since the Unix epoch, if reported. A
    /// different value under the same id means that the server was restarted.
    pub started: Option<i64>,
}

/// The operator's order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The target version.
    pub to: VersionName,
    /// The time within which the rollout is to be completed.
    pub timeout: Duration,
}

/// The state of a rollout, as recorded for the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutState {
    /// Traffic is being moved to the new version.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// The rollout was rolled back: all traffic goes to the old version.
    TakenBack,
}

/// The recorded state of a service's newest rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRecord {
    /// The state.
    pub state: RolloutState,
    /// The target version.
    pub to: VersionName,
}
