//! Names and identifiers.
//!
//! Each kind of name is a separate type, so that the compiler rejects a team
//! name where a service name is expected. Names are read from contract files and
//! settings; their [`FromStr`] implementations validate them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::name_type::name_type;

/// Maximum length of a name in bytes. Bounded because heartbeats carry names.
pub const MAX_NAME_BYTES: usize = 64;

/// Error in the text of a name or identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum IdError {
    /// The text is empty.
    #[error("a {kind} must not be empty")]
    Empty {
        /// What was parsed.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("{kind} {text:?} is {length} bytes long; at most {MAX_NAME_BYTES} are allowed")]
    TooLong {
        /// What was parsed.
        kind: &'static str,
        /// The text.
        text: String,
        /// Its length in bytes.
        length: usize,
    },
    /// The text has a character that names do not allow.
    #[error("{kind} {text:?} has {character:?}; only a-z, 0-9, '-', '_' and '.' are allowed")]
    Character {
        /// What was parsed.
        kind: &'static str,
        /// The text.
        text: String,
        /// The first character that is not allowed.
        character: char,
    },
    /// The text does not have the format of this identifier.
    #[error("{text:?} is not a valid {kind}: {reason}")]
    Form {
        /// What was parsed.
        kind: &'static str,
        /// The text.
        text: String,
        /// The expected format.
        reason: &'static str,
    },
}

fn check_name(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty { kind });
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong {
            kind,
            text: text.to_owned(),
            length: text.len(),
        });
    }
    let allowed =
        |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(c)) {
        None => Ok(()),
        Some(character) => Err(IdError::Character {
            kind,
            text: text.to_owned(),
            character,
        }),
    }
}

name_type!(
    /// A region: a group of data centres close to each other.
    RegionName(String), "region name", check_name => IdError
);
name_type!(
    /// A data centre.
    CentreName(String), "data centre name", check_name => IdError
);
name_type!(
    /// A customer: the owner of one contract.
    CustomerName(String), "customer name", check_name => IdError
);
name_type!(
    /// A team of a customer: the tenant that a key belongs to.
    TeamName(String), "team name", check_name => IdError
);
name_type!(
    /// A service of a customer.
    ServiceName(String), "service name", check_name => IdError
);
name_type!(
    /// A backend server, unique within its service.
    ServerName(String), "server name", check_name => IdError
);
name_type!(
    /// A version of a service's backend servers.
    VersionName(String), "version name", check_name => IdError
);
name_type!(
    /// An entry instance.
    InstanceName(String), "instance name", check_name => IdError
);
name_type!(
    /// A move, drain or rollout that an operator ordered.
    MoveName(String), "move name", check_name => IdError
);

/// A team within its customer. Written `customer/team`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TeamKey {
    /// The customer.
    pub customer: CustomerName,
    /// The team.
    pub team: TeamName,
}

/// A service within its customer. Written `customer/service`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ServiceKey {
    /// The customer.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
}

/// A backend server within its service. Written `customer/service/server`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ServerKey {
    /// The service and its customer.
    pub service: ServiceKey,
    /// The backend server.
    pub server: ServerName,
}

/// One run of an entry instance. Written `name#number`.
///
/// Each restart creates an incarnation with a higher number, so that messages
/// and rights of an earlier run can be recognized and rejected.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IncarnationId {
    /// The entry instance.
    pub instance: InstanceName,
    /// Increases with each start of the instance.
    pub number: u64,
}

/// Implements the conversions that serde uses to read and write a type as text.
macro_rules! serde_via_text {
    ($type:ty) => {
        impl TryFrom<String> for $type {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(id: $type) -> Self {
                id.to_string()
            }
        }
    };
}

serde_via_text!(TeamKey);
serde_via_text!(ServiceKey);
serde_via_text!(ServerKey);
serde_via_text!(IncarnationId);

fn split_at_last(
    kind: &'static str,
    text: &str,
    separator: char,
    reason: &'static str,
) -> Result<(String, String), IdError> {
    match text.rsplit_once(separator) {
        Some((left, right)) => Ok((left.to_owned(), right.to_owned())),
        None => Err(IdError::Form {
            kind,
            text: text.to_owned(),
            reason,
        }),
    }
}

impl fmt::Display for TeamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.team)
    }
}

impl FromStr for TeamKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (customer, team) = split_at_last("team key", text, '/', "expected customer/team")?;
        Ok(Self {
            customer: customer.parse()?,
            team: team.parse()?,
        })
    }
}

impl fmt::Display for ServiceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.service)
    }
}

impl FromStr for ServiceKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (customer, service) =
            split_at_last("service key", text, '/', "expected customer/service")?;
        Ok(Self {
            customer: customer.parse()?,
            service: service.parse()?,
        })
    }
}

impl fmt::Display for ServerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.server)
    }
}

impl FromStr for ServerKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let form = "expected customer/service/server";
        let (service, server) = split_at_last("server key", text, '/', form)?;
        Ok(Self {
            service: service.parse()?,
            server: server.parse()?,
        })
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.number)
    }
}

impl FromStr for IncarnationId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let form = "expected name#number";
        let (instance, number) = split_at_last("incarnation", text, '#', form)?;
        let number = number.parse().map_err(|_error| IdError::Form {
            kind: "incarnation",
            text: text.to_owned(),
            reason: form,
        })?;
        Ok(Self {
            instance: instance.parse()?,
            number,
        })
    }
}

/// Identifies a limit that is enforced across the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LimitKey {
    /// The request rate and burst of a team.
    Team(TeamKey),
    /// The slots of a backend server.
    Server(ServerKey),
    /// The number of concurrent requests of one customer in a region.
    Region(CustomerName, RegionName),
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(team) => write!(f, "team:{team}"),
            Self::Server(server) => write!(f, "server:{server}"),
            Self::Region(customer, region) => write!(f, "region:{customer}/{region}"),
        }
    }
}

impl FromStr for LimitKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let form = "expected team:, server: or region: and a key";
        let error = || IdError::Form {
            kind: "limit key",
            text: text.to_owned(),
            reason: form,
        };
        let (kind, rest) = text.split_once(':').ok_or_else(error)?;
        match kind {
            "team" => Ok(Self::Team(rest.parse()?)),
            "server" => Ok(Self::Server(rest.parse()?)),
            "region" => {
                let (customer, region) = split_at_last("limit key", rest, '/', form)?;
                Ok(Self::Region(customer.parse()?, region.parse()?))
            }
            _ => Err(error()),
        }
    }
}
