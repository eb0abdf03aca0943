//! Names of the entities that an entry instance handles.
//!
//! Names are shared text, because each request carries several of them. Unlike
//! the names of a contract file they are not restricted to an alphabet: the
//! operator's systems choose them.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::name_type::name_type;

/// The longest name in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a {kind} must have 1 to {MAX_NAME_BYTES} bytes, this one has {length}")]
pub struct NameError {
    /// What was parsed.
    pub kind: &'static str,
    /// The length of the text in bytes.
    pub length: usize,
}

fn check_length(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(NameError {
            kind,
            length: text.len(),
        });
    }
    Ok(())
}

name_type!(
    /// A backend server, one start of a program.
    ServerId(Rc<str>), "server id", check_length => NameError
);
name_type!(
    /// A service: the set of backend servers that run the same program.
    ServiceName(Rc<str>), "service name", check_length => NameError
);
name_type!(
    /// A version of a service's program.
    VersionName(Rc<str>), "version name", check_length => NameError
);
name_type!(
    /// A team: the holder of keys and of a request limit.
    TeamName(Rc<str>), "team name", check_length => NameError
);
name_type!(
    /// A data centre.
    CentreName(Rc<str>), "data centre name", check_length => NameError
);
name_type!(
    /// A region: a set of data centres.
    RegionName(Rc<str>), "region name", check_length => NameError
);
name_type!(
    /// An entry instance.
    InstanceName(Rc<str>), "instance name", check_length => NameError
);
name_type!(
    /// A key that a caller shows.
    CallerKey(Rc<str>), "caller key", check_length => NameError
);
