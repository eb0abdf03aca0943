//! Names of the entities that an entry instance handles.
//!
//! Names are shared text, because each request carries several of them. Unlike
//! the names of a contract file they are not restricted to an alphabet: the
//! operator's systems choose them.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The longest name in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a name must have 1 to {MAX_NAME_BYTES} bytes, this one has {length}")]
pub struct NameError {
    /// The length of the text in bytes.
    pub length: usize,
}

macro_rules! shared_name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Rc<str>);

        impl $type {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if text.is_empty() || text.len() > MAX_NAME_BYTES {
                    return Err(NameError { length: text.len() });
                }
                Ok(Self(Rc::from(text)))
            }
        }

        impl TryFrom<String> for $type {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

shared_name!(
    /// A backend server, one start of a program.
    ServerId
);
shared_name!(
    /// A service: the set of backend servers that run the same program.
    ServiceName
);
shared_name!(
    /// A version of a service's program.
    VersionName
);
shared_name!(
    /// A team: the holder of keys and of a request limit.
    TeamName
);
shared_name!(
    /// A data centre.
    CentreName
);
shared_name!(
    /// A region: a set of data centres.
    RegionName
);
shared_name!(
    /// An entry instance.
    InstanceName
);
shared_name!(
    /// A key that a caller shows.
    CallerKey
);
