//! Proofs that the configuration of an instance is current.
//!
//! A proof with time `t` guarantees that the configuration in force on this
//! instance includes every change accepted before `t`. Adopting a higher
//! revision keeps the proof, because a higher revision includes all lower ones.
//! All times are monotonic and local to the process, so a process that resumes
//! after a pause finds its proof expired.
//!
//! There are three ways to obtain a proof: (a) a read of the table, (b) the
//! proof of a peer, and (c) attestations of all other instances that none of
//! them has accepted a newer revision.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{IncarnationId, InstanceName};
use crate::units::ConfigRevision;

/// Validity of a proof. A withdrawn key must be rejected within 3 s even if a
/// link is cut, which leaves half a second to propagate the change.
pub const PROOF_LIFETIME: Duration = Duration::from_millis(2500);

/// Version of the record of fleet-wide limits: its generation and the number of
/// reclaims within it. A proof covers this record too, so that an incarnation
/// whose shares were reclaimed cannot prove that it may still spend them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RightsVersion {
    /// The number of the generation; zero before the first one.
    pub generation: u64,
    /// The number of reclaims within the generation.
    pub reclaims: u64,
}

/// What a peer states about its own configuration in a heartbeat response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatement {
    /// The newest committed revision that the peer has in force.
    pub revision: ConfigRevision,
    /// The version of the rights record that the peer has adopted.
    pub rights: RightsVersion,
    /// The age of the peer's proof when it responded, if it has one.
    pub proof_age: Option<Duration>,
    /// Whether the peer ever had a proof. A peer without one may not know of
    /// changes that were accepted before it started.
    pub ever_proved: bool,
}

/// The incarnations whose attestations proof (c) requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequiredAttesters {
    /// Upper bound on the time of the proof. For an instance without peers it is
    /// the time when it read the platform's list, since only the list shows that
    /// there are no other instances.
    pub latest_proof_time: Instant,
    /// Incarnations that must have sent an attestation.
    pub incarnations: BTreeSet<IncarnationId>,
    /// Listed instances from which no message was ever received. Proof (c) is
    /// not possible while there are any.
    pub uncontacted: BTreeSet<InstanceName>,
}

#[derive(Debug, Clone, Copy)]
struct Attestation {
    revision: ConfigRevision,
    rights: RightsVersion,
    started: Instant,
}

/// The revision in force and the latest proof that it is current.
#[derive(Debug, Clone, Default)]
pub struct ConfigFreshness {
    revision: ConfigRevision,
    rights: RightsVersion,
    proof_time: Option<Instant>,
    attestations: BTreeMap<IncarnationId, Attestation>,
}

impl ConfigFreshness {
    /// Creates the state of a new instance: the empty configuration without a
    /// proof.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision in force.
    #[must_use]
    pub const fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Puts a revision in force. Returns `false`, and changes nothing, if it is
    /// not higher than the current one.
    pub fn adopt(&mut self, revision: ConfigRevision) -> bool {
        let newer = revision > self.revision;
        if newer {
            self.revision = revision;
        }
        newer
    }

    /// Adopts a version of the rights record. Returns `false`, and changes
    /// nothing, if it is not newer than the current one.
    pub fn adopt_rights(&mut self, rights: RightsVersion) -> bool {
        let newer = rights > self.rights;
        if newer {
            self.rights = rights;
        }
        newer
    }

    /// The adopted version of the rights record.
    #[must_use]
    pub const fn rights(&self) -> RightsVersion {
        self.rights
    }

    /// Proof (a): records that a read of the table, begun at `started`, returned
    /// `revision` and `rights`. Returns whether this is a proof, which requires
    /// that this instance has adopted exactly these versions.
    pub fn record_table_read(
        &mut self,
        revision: ConfigRevision,
        rights: RightsVersion,
        started: Instant,
    ) -> bool {
        let current = revision == self.revision && rights == self.rights;
        if current {
            self.record_proof(started);
        }
        current
    }

    /// Proof (b), and an attestation for proof (c): records the response of
    /// `peer` to a heartbeat that was sent at `started`.
    pub fn record_peer_response(
        &mut self,
        peer: &IncarnationId,
        statement: PeerStatement,
        started: Instant,
    ) {
        if statement.ever_proved {
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
        let time = statement.proof_age.and_then(|age| started.checked_sub(age));
        if let Some(time) = time {
            self.record_proof(time);
        }
    }

    /// Proof (c): checks whether all required incarnations attest that they know
    /// of no newer revision. Requires an earlier proof, because an instance
    /// without one may have missed changes accepted by instances that have been
    /// removed since.
    pub fn prove_by_attestation(&mut self, required: &RequiredAttesters) -> bool {
        if self.proof_time.is_none() || !required.uncontacted.is_empty() {
            return false;
        }
        let mut oldest = required.latest_proof_time;
        for incarnation in &required.incarnations {
            match self.attestations.get(incarnation) {
                Some(found) if found.revision <= self.revision && found.rights <= self.rights => {
                    oldest = oldest.min(found.started);
                }
                _ => return false,
            }
        }
        self.record_proof(oldest);
        true
    }

    /// The age of the latest proof, or `None` if there is none or it has reached
    /// [`PROOF_LIFETIME`].
    #[must_use]
    pub fn proof_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.proof_time?);
        (age < PROOF_LIFETIME).then_some(age)
    }

    /// Whether there was a proof since the start or the last call of
    /// [`ConfigFreshness::revoke_proofs`], expired or not.
    #[must_use]
    pub const fn was_ever_proved(&self) -> bool {
        self.proof_time.is_some()
    }

    /// Removes all proofs and attestations, because the fleet fenced the
    /// incarnation that received them. The revision stays in force.
    pub fn revoke_proofs(&mut self) {
        self.proof_time = None;
        self.attestations.clear();
    }

    /// Removes the attestation of an incarnation that is no longer a member.
    pub fn remove_attestation(&mut self, incarnation: &IncarnationId) {
        self.attestations.remove(incarnation);
    }

    fn record_proof(&mut self, time: Instant) {
        self.proof_time = Some(self.proof_time.map_or(time, |known| known.max(time)));
    }
}
