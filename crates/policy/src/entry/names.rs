//! Names of the entities that an entry instance handles.
//!
//! A name is a reference-counted string, because each request carries several of
//! them. Unlike the names in a contract file, names may contain any characters:
//! the operator's systems choose them.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::name_type::name_type;

/// The maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// The error for a name of an invalid length.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a {kind} must have 1 to {MAX_NAME_BYTES} bytes, this one has {length}")]
pub struct NameError {
    /// The kind of name, such as `team name`.
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
    /// A backend server; usually one process of it.
    ServerId(Rc<str>), "server id", check_length => NameError
);
name_type!(
    /// A service: the backend servers that run the same program.
    ServiceName(Rc<str>), "service name", check_length => NameError
);
name_type!(
    /// A version of a service's program.
    VersionName(Rc<str>), "version name", check_length => NameError
);
name_type!(
    /// A team: the owner of keys and of a request limit.
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
    /// A key with which a caller authenticates.
    CallerKey(Rc<str>), "caller key", check_length => NameError
);
