//! Whether the configuration of an instance is proved current.
//!
//! A proof dated `t` states that every change accepted before `t` is part of
//! the configuration in force here. Adopting a higher revision keeps a proof,
//! because a higher revision includes the lower one. All times are monotonic
//! and local to the process, so a paused process finds its proof expired.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{IncarnationId, InstanceName};
use crate::units::ConfigRevision;

/// How long a proof is good for. A withdrawn key must stop working within 3 s
/// with a link cut, which leaves half a second for passing the change on.
pub const PROOF_LIFETIME: Duration = Duration::from_millis(2500);

/// How far the record of the fleet-wide limits has advanced: its generation and
/// the reclaims in it. A proof covers the record too, so that an incarnation
/// whose shares were reclaimed cannot prove that it may still spend them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RightsVersion {
    /// The number of the generation; zero before the first one.
    pub generation: u64,
    /// Reclaims within the generation.
    pub reclaims: u64,
}

/// What a peer says about its own configuration in a heartbeat answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatement {
    /// The newest committed revision that the peer has in force.
    pub revision: ConfigRevision,
    /// The rights record that the peer has adopted.
    pub rights: RightsVersion,
    /// The age of the peer's proof when it answered.
    pub proof_age: Option<Duration>,
    /// Whether the peer ever had a proof. One that never had cannot know of
    /// changes that were accepted before it started.
    pub based: bool,
}

/// Whose attestations proof (c) needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequiredSet {
    /// The latest date of a proof by this set. An instance that is alone dates
    /// it at its reading of the list: nothing else shows that it is alone.
    pub latest: Instant,
    /// Incarnations that must have answered.
    pub incarnations: BTreeSet<IncarnationId>,
    /// Listed instances that were never heard from; while there is one, there
    /// is no proof (c).
    pub unheard: BTreeSet<InstanceName>,
}

#[derive(Debug, Clone, Copy)]
struct Attestation {
    revision: ConfigRevision,
    rights: RightsVersion,
    started: Instant,
}

/// The revision in force and its newest proof.
#[derive(Debug, Clone, Default)]
pub struct ConfigFreshness {
    revision: ConfigRevision,
    rights: RightsVersion,
    proved: Option<Instant>,
    attestations: BTreeMap<IncarnationId, Attestation>,
}

impl ConfigFreshness {
    /// Creates the state of a new instance: the empty configuration, unproved.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision in force.
    #[must_use]
    pub const fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Puts a revision in force. Returns `false`, and changes nothing, when it
    /// is not higher than the present one.
    pub fn adopt(&mut self, revision: ConfigRevision) -> bool {
        let newer = revision > self.revision;
        if newer {
            self.revision = revision;
        }
        newer
    }

    /// Notes that the rights record has advanced. Returns `false`, and changes
    /// nothing, when it is not newer than the known one.
    pub fn adopt_rights(&mut self, rights: RightsVersion) -> bool {
        let newer = rights > self.rights;
        if newer {
            self.rights = rights;
        }
        newer
    }

    /// The rights record adopted.
    #[must_use]
    pub const fn rights(&self) -> RightsVersion {
        self.rights
    }

    /// Proof (a): the table, in a read that began at `started`, was at
    /// `revision` and `rights`. It proves nothing unless both are adopted.
    pub fn table_read(
        &mut self,
        revision: ConfigRevision,
        rights: RightsVersion,
        started: Instant,
    ) -> bool {
        let current = revision == self.revision && rights == self.rights;
        if current {
            self.prove(started);
        }
        current
    }

    /// Proof (b), and an attestation for proof (c): `peer` answered a
    /// heartbeat that began at `started`.
    pub fn peer_answered(
        &mut self,
        peer: &IncarnationId,
        statement: PeerStatement,
        started: Instant,
    ) {
        if statement.based {
            let attestation = Attestation {
                revision: statement.revision,
                rights: statement.rights,
                started,
            };
            self.attestations.insert(peer.clone(), attestation);
        }
        if statement.revision > self.revision || statement.rights > self.rights {
            return;
        }
        let date = statement.proof_age.and_then(|age| started.checked_sub(age));
        if let Some(date) = date {
            self.prove(date);
        }
    }

    /// Proof (c): all required incarnations attest that no newer revision was
    /// accepted. Needs an earlier proof: without one, this instance cannot know
    /// of changes accepted through instances that are gone by now.
    pub fn attest(&mut self, required: &RequiredSet) -> bool {
        if self.proved.is_none() || !required.unheard.is_empty() {
            return false;
        }
        let mut oldest = required.latest;
        for incarnation in &required.incarnations {
            match self.attestations.get(incarnation) {
                Some(found) if found.revision <= self.revision && found.rights <= self.rights => {
                    oldest = oldest.min(found.started);
                }
                _ => return false,
            }
        }
        self.prove(oldest);
        true
    }

    /// The age of the newest proof, when that is less than [`PROOF_LIFETIME`].
    #[must_use]
    pub fn proof(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.proved?);
        (age < PROOF_LIFETIME).then_some(age)
    }

    /// Whether there ever was a proof.
    #[must_use]
    pub const fn is_based(&self) -> bool {
        self.proved.is_some()
    }

    /// Takes back all proofs and attestations, because the fleet fenced the
    /// incarnation that they were given to. The revision stays.
    pub fn revoke(&mut self) {
        self.proved = None;
        self.attestations.clear();
    }

    /// Drops the attestation of an incarnation that is gone.
    pub fn forget(&mut self, gone: &IncarnationId) {
        self.attestations.remove(gone);
    }

    fn prove(&mut self, date: Instant) {
        self.proved = Some(self.proved.map_or(date, |known| known.max(date)));
    }
}
