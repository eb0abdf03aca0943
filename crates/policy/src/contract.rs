//! The contract of a customer.
//!
//! A contract is one TOML file, kept in version control by the operators. It
//! names the customer's regions, data centres, teams, services and backend
//! servers; every limit of the fleet follows from it. [`CustomerContract`]
//! exists only after all checks passed, so later code relies on its
//! references and bounds.

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

/// A checked contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerContract {
    /// The customer.
    pub customer: CustomerName,
    /// How look-ups are answered.
    pub lookup: LookupPolicy,
    /// Regions by name.
    pub regions: BTreeMap<RegionName, RegionPlan>,
    /// The region of each data centre.
    pub centres: BTreeMap<CentreName, RegionName>,
    /// Links between regions, each way on its own.
    pub links: Vec<RegionLink>,
    /// Limits of each team.
    pub teams: BTreeMap<TeamName, TeamLimit>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServicePlan>,
    /// Which data centre the clients of an address block are near.
    pub blocks: Vec<ClientBlock>,
}

/// How look-ups are answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookupPolicy {
    /// How long a client may cache an answer.
    pub valid_for: Duration,
    /// Most entry instances in an answer.
    pub instances: usize,
}

/// A region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionPlan {
    /// Most requests that may run in the region at the same time.
    pub capacity: SlotCount,
}

/// One direction of the link between two regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionLink {
    /// The sending region.
    pub from: RegionName,
    /// The receiving region.
    pub to: RegionName,
    /// Bandwidth in megabits a second, shared by all traffic.
    pub megabits: u32,
}

/// Rate and burst of a team over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamLimit {
    /// Sustained rate.
    pub rate: RequestRate,
    /// Requests that may arrive at once on top of the rate.
    pub burst: BurstSize,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlan {
    /// The version that takes all traffic when no rollout is under way.
    pub version: VersionName,
    /// Routes, longest path first, so that the first match is the right one.
    pub routes: Vec<RoutePlan>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, ServerPlan>,
}

/// How requests of a route may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// Idempotent: may be run again.
    Idempotent,
    /// Non-idempotent: runs at most once.
    Once,
    /// Idempotent slow work: accepted, kept, and run in the background.
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
    /// How requests may be run.
    pub kind: RouteKind,
    /// Whether the route needs no key.
    pub open: bool,
    /// The deadline of a request.
    pub timeout: Duration,
    /// Largest request body.
    pub max_body: ByteSize,
    /// Largest answer body.
    pub max_answer: ByteSize,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerPlan {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreName,
    /// Requests it runs at the same time.
    pub slots: SlotCount,
    /// Connections it accepts from the whole fleet.
    pub connections: u32,
    /// The version it runs.
    pub version: VersionName,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
}

/// An IPv4 block of clients and the data centre that serves it best.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientBlock {
    /// First address of the block.
    pub first: u32,
    /// Length of the prefix in bits.
    pub prefix: u8,
    /// The data centre.
    pub centre: CentreName,
}

/// One mistake in a contract file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContractMistake {
    /// The field, as a path within the file.
    pub field: String,
    /// The value found.
    pub value: String,
    /// The bound or rule that it broke.
    pub bound: String,
}

impl fmt::Display for ContractMistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}: {}", self.field, self.value, self.bound)
    }
}

/// Why a contract file was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ContractError {
    /// The text is not TOML of the documented form. `message` names the line.
    #[error("{file}: {message}")]
    Syntax {
        /// The file.
        file: String,
        /// The message of the TOML reader.
        message: String,
    },
    /// The file is well-formed but breaks rules; all broken ones are listed.
    #[error("{}", list(.file, .mistakes))]
    Rules {
        /// The file.
        file: String,
        /// Each mistake, in file order.
        mistakes: Vec<ContractMistake>,
    },
}

fn list(file: &str, mistakes: &[ContractMistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(|m| format!("{file}: {m}")).collect();
    lines.join("\n")
}

impl CustomerContract {
    /// Reads and checks the text of a contract file. `file` is named in errors.
    ///
    /// # Errors
    ///
    /// [`ContractError`] when the text is not TOML of the documented form, or
    /// when it breaks a rule. All broken rules are listed.
    pub fn parse(file: &str, text: &str) -> Result<Self, ContractError> {
        let parsed = toml::from_str(text).map_err(|e| ContractError::Syntax {
            file: file.to_owned(),
            message: e.to_string(),
        })?;
        check::check(parsed).map_err(|mistakes| ContractError::Rules {
            file: file.to_owned(),
            mistakes,
        })
    }

    /// The region of a data centre.
    #[must_use]
    pub fn region_of(&self, centre: &CentreName) -> Option<&RegionName> {
        self.centres.get(centre)
    }
}
