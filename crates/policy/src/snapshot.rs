//! The configuration of the fleet at one revision.
//!
//! Contracts, keys, moves and drains share one revision: a change of any of
//! them is a new revision, so that one proof of currency covers all of them.

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
    /// The digest of a key as the caller sends it.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The digest as bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// A digest read from the wire.
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

/// A key that an operator granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyGrant {
    /// The team that the key belongs to.
    pub team: TeamKey,
    /// Whether the key was withdrawn. A withdrawn key is never granted again.
    pub withdrawn: bool,
}

/// What a move moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveKind {
    /// Traffic of a service from one version to another.
    Rollout {
        /// The service.
        service: ServiceKey,
        /// The version that has the traffic.
        from: VersionName,
        /// The version that shall have it.
        to: VersionName,
    },
    /// Traffic of a service from the servers of one data centre to another's.
    CentreShift {
        /// The service.
        service: ServiceKey,
        /// The data centre that has the traffic.
        from: CentreName,
        /// The data centre that shall have it.
        to: CentreName,
    },
}

/// A move and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveRecord {
    /// What is moved.
    pub kind: MoveKind,
    /// The state, a name of the movement chart.
    pub state: String,
    /// The share of the traffic that has moved.
    pub share: TrafficShare,
    /// The most that may move before the target is proved sound.
    pub cap: TrafficShare,
    /// When the move must be done or taken back.
    pub deadline: SystemTime,
    /// When the current step began.
    pub step_started: SystemTime,
    /// Grows with each write; a write names the epoch that it replaces.
    pub epoch: u64,
    /// Why the move is in this state.
    pub reason: String,
}

/// What is being drained.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainTarget {
    /// Backend servers and look-ups of a data centre, for one customer.
    Centre(CustomerName, CentreName),
    /// An entry instance.
    Instance(InstanceName),
}

/// The whole configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// The revision.
    pub revision: ConfigRevision,
    /// One contract for each customer, shared between the revisions in which
    /// it does not change.
    pub contracts: BTreeMap<CustomerName, Arc<CustomerContract>>,
    /// Keys by digest.
    pub keys: BTreeMap<KeyDigest, KeyGrant>,
    /// Moves by name.
    pub moves: BTreeMap<MoveName, MoveRecord>,
    /// Drains under way.
    pub drains: BTreeSet<DrainTarget>,
}
