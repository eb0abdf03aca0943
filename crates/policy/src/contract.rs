//! Contracts of customers.
//!
//! A contract is a TOML file that the operators keep in version control. It
//! defines the customer's regions, data centres, teams, services and backend
//! servers, and all limits that the fleet enforces. A [`CustomerContract`] exists
//! only after all checks have passed, so other code relies on its references and
//! ranges.

mod check;
mod file;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{
    CentreName, CustomerName, RegionName, ServerName, ServiceName, TeamName, VersionName,
};
use crate::units::{BurstSize, ByteSize, RequestRate, SlotCount};

/// The contract of one customer, after all checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerContract {
    /// The customer that the contract belongs to.
    pub customer: CustomerName,
    /// Settings for responses to lookups.
    pub lookup: LookupPolicy,
    /// Regions by name.
    pub regions: BTreeMap<RegionName, RegionPlan>,
    /// The region of each data centre.
    pub centres: BTreeMap<CentreName, RegionName>,
    /// Links between regions, with one entry for each direction.
    pub links: Vec<RegionLink>,
    /// The rate limit of each team.
    pub teams: BTreeMap<TeamName, TeamLimit>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServicePlan>,
    /// Client address blocks, each with the data centre nearest to it.
    pub blocks: Vec<ClientBlock>,
}

/// Settings for responses to lookups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupPolicy {
    /// Time for which a client may cache a response.
    pub valid_for: Duration,
    /// Maximum number of entry instances in a response.
    pub instances: usize,
}

/// The limits of a region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionPlan {
    /// Maximum number of requests that run in the region at the same time.
    pub capacity: SlotCount,
}

/// One direction of the link between two regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionLink {
    /// The sending region.
    pub from: RegionName,
    /// The receiving region.
    pub to: RegionName,
    /// Bandwidth in megabits per second, for all traffic together.
    pub megabits: u32,
}

/// The rate limit of a team, over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamLimit {
    /// The sustained rate of requests.
    pub rate: RequestRate,
    /// Requests that may arrive at once above the sustained rate.
    pub burst: BurstSize,
}

/// The version, the routes and the servers of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlan {
    /// The version that gets all traffic unless a rollout changes it.
    pub version: VersionName,
    /// Routes, longest path first, so that the first match is the right one.
    pub routes: Vec<RoutePlan>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, ServerPlan>,
}

/// How often and when requests of a route may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// Idempotent requests, which may be retried.
    Idempotent,
    /// Non-idempotent requests, which run at most once.
    Once,
    /// Slow idempotent requests, which are accepted, stored and run in the
    /// background.
    Slow,
}

impl fmt::Display for RouteKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Slow => "slow",
        })
    }
}

/// A route of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePlan {
    /// Path prefix below the service, starting with `/`; it matches whole
    /// segments.
    pub path: String,
    /// Methods in upper case.
    pub methods: BTreeSet<String>,
    /// How often and when requests may be run.
    pub kind: RouteKind,
    /// Whether requests need no API key.
    pub open: bool,
    /// Time from the arrival of a request to its deadline.
    pub timeout: Duration,
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Maximum size of a response body.
    pub max_response: ByteSize,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerPlan {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub centre: CentreName,
    /// Maximum number of requests that it runs at the same time.
    pub slots: SlotCount,
    /// Maximum number of connections from the whole fleet.
    pub connections: u32,
    /// The version it runs.
    pub version: VersionName,
    /// Whether it is leaving and must get no new requests.
    pub leaving: bool,
}

/// An IPv4 block of clients and the data centre that serves it best.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientBlock {
    /// First address of the block.
    pub first: u32,
    /// Length of the prefix in bits.
    pub prefix: u8,
    /// The data centre for clients in the block.
    pub centre: CentreName,
}

/// A violation of a rule in a contract file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContractViolation {
    /// The field, as a path within the file.
    pub field: String,
    /// The value in the file.
    pub value: String,
    /// The rule that the value violates.
    pub rule: String,
}

impl fmt::Display for ContractViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}: {}", self.field, self.value, self.rule)
    }
}

/// Why a contract file was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ContractError {
    /// The text is not TOML of the documented form. `message` names the line.
    #[error("{file}: {message}")]
    Syntax {
        /// The file.
        file: String,
        /// The error message of the TOML parser.
        message: String,
    },
    /// The file is well-formed but violates rules.
    #[error("{}", violation_lines(.file, .violations))]
    Rules {
        /// The file.
        file: String,
        /// All violations, in the order of the checks.
        violations: Vec<ContractViolation>,
    },
}

fn violation_lines(file: &str, violations: &[ContractViolation]) -> String {
    let lines: Vec<String> = violations.iter().map(|m| format!("{file}: {m}")).collect();
    lines.join("\n")
}

impl CustomerContract {
    /// Parses and checks the text of a contract file. `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// [`ContractError`] when the text is not TOML of the documented form, or
    /// when it violates a rule. All violations are listed.
    pub fn parse(file: &str, text: &str) -> Result<Self, ContractError> {
        let parsed = toml::from_str(text).map_err(|e| ContractError::Syntax {
            file: file.to_owned(),
            message: e.to_string(),
        })?;
        check::check(parsed).map_err(|violations| ContractError::Rules {
            file: file.to_owned(),
            violations,
        })
    }

    /// The region of a data centre.
    #[must_use]
    pub fn region_of(&self, centre: &CentreName) -> Option<&RegionName> {
        self.centres.get(centre)
    }
}
