//! Immutable snapshot of the fleet's configuration at one revision.
//!
//! Contracts, keys, moves and drains share one revision number. A change to any
//! of them creates a new revision, so that a single proof that the revision is
//! current covers all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::SystemTime;

use sha2::{Digest, Sha256};

use crate::contract::CustomerContract;
use crate::ids::{
    CentreName, CustomerName, IdError, InstanceName, MoveName, ServiceKey, TeamKey, VersionName,
};
use crate::units::{ConfigRevision, TrafficShare};

const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a team's key. The key itself is never stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key in the form in which callers send it.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// Creates a digest from its bytes.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError::Form {
            kind: "key digest",
            text: text.to_owned(),
            reason: "expected 64 hexadecimal digits",
        };
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_error| error())?;
        }
        Ok(Self(bytes))
    }
}

/// The team and the state of a key that an operator granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyGrant {
    /// The team that the key belongs to.
    pub team: TeamKey,
    /// Whether the key was withdrawn. A withdrawn key cannot be granted again.
    pub withdrawn: bool,
}

/// The traffic that a move shifts, from where and to where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveKind {
    /// Shifts traffic of a service from one version to another.
    Rollout {
        /// The service.
        service: ServiceKey,
        /// The version that receives the traffic before the move.
        from: VersionName,
        /// The version that receives the traffic after the move.
        to: VersionName,
    },
    /// Shifts traffic of a service from the servers of one data centre to those
    /// of another.
    CentreShift {
        /// The service.
        service: ServiceKey,
        /// The data centre that receives the traffic before the move.
        from: CentreName,
        /// The data centre that receives the traffic after the move.
        to: CentreName,
    },
}

/// A move and its progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRecord {
    /// The traffic that is shifted.
    pub kind: MoveKind,
    /// The name of the current state in the movement state machine.
    pub state: String,
    /// The share of the traffic that the target receives now.
    pub share: TrafficShare,
    /// The maximum share that may be shifted before the target is proved sound.
    pub cap: TrafficShare,
    /// The point in time by which the move must be completed or rolled back.
    pub deadline: SystemTime,
    /// When the current step began.
    pub step_started: SystemTime,
    /// Version number for optimistic concurrency control: it increases with each
    /// write, and a write names the epoch that it replaces.
    pub epoch: u64,
    /// The reason for the current state.
    pub reason: String,
}

/// The target of a drain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainTarget {
    /// The backend servers and lookups of one customer in a data centre.
    Centre(CustomerName, CentreName),
    /// An entry instance.
    Instance(InstanceName),
}

/// The complete configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// The revision.
    pub revision: ConfigRevision,
    /// The contract of each customer. Snapshots share a contract as long as it
    /// does not change.
    pub contracts: BTreeMap<CustomerName, Arc<CustomerContract>>,
    /// Granted and withdrawn keys by digest.
    pub keys: BTreeMap<KeyDigest, KeyGrant>,
    /// Active and ended moves by name.
    pub moves: BTreeMap<MoveName, MoveRecord>,
    /// Drains in progress.
    pub drains: BTreeSet<DrainTarget>,
}
