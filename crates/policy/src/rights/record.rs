//! The generation record and reclaim from dead incarnations.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{IncarnationId, LimitKey};

/// Who was issued shares, as the table row `rights/generation` states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRecord {
    /// Grows with each generation.
    pub number: u64,
    /// The incarnation that initially holds all shares of every limit,
    /// including limits that a later configuration adds.
    pub first_holder: IncarnationId,
    /// Reclaims in the order of their commits.
    pub reclaims: Vec<ReclaimRecord>,
}

/// The shares of dead incarnations, awarded to a survivor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReclaimRecord {
    /// Every dead incarnation of the generation, those of earlier reclaims
    /// included.
    pub dead: BTreeSet<IncarnationId>,
    /// The survivor that takes the shares, at level zero.
    pub recipient: IncarnationId,
    /// Shares by limit.
    pub amounts: BTreeMap<LimitKey, u64>,
    /// Whether the recipient also takes all shares of every limit that
    /// `amounts` does not list.
    pub takes_unlisted: bool,
}

/// Shares that went between a reporter and a dead incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PairAmounts {
    /// Shares that the reporter gave.
    pub given: u64,
    /// Shares that the reporter received.
    pub received: u64,
}

/// What a survivor states after it fenced dead incarnations. The amounts do
/// not change any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReport {
    /// The generation that the amounts belong to.
    pub generation: u64,
    /// Every incarnation that the reporter refuses.
    pub fenced: BTreeSet<IncarnationId>,
    /// Shares by fenced incarnation and limit; pairs without transfers are
    /// left out.
    pub amounts: BTreeMap<IncarnationId, BTreeMap<LimitKey, PairAmounts>>,
    /// Incarnations that are not fenced and exchanged shares with the reporter.
    pub peers: BTreeSet<IncarnationId>,
}

/// Why a reclaim cannot be planned.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ReclaimError {
    /// The dead set adds nothing to that of the last reclaim.
    #[error("no incarnation died since the last reclaim")]
    NothingNew,
    /// An earlier reclaim's dead incarnation is missing from the dead set.
    #[error("{incarnation} is dead by an earlier reclaim, but not in the dead set")]
    RemovedMissing {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// The recipient or a reporter is in the dead set.
    #[error("{incarnation} is in the dead set and cannot take part in the reclaim")]
    RemovedParticipant {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// An incarnation that may hold shares is neither dead nor has it reported.
    #[error("{incarnation} may hold shares, but is not dead and did not report")]
    ReportMissing {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// A report belongs to another generation.
    #[error("the report of {reporter} is of generation {found}, expected {expected}")]
    OtherGeneration {
        /// The reporter.
        reporter: IncarnationId,
        /// The generation of the report.
        found: u64,
        /// The generation of the record.
        expected: u64,
    },
    /// A reporter has not fenced the whole dead set, so its amounts may change.
    #[error("{reporter} has not fenced {incarnation}")]
    NotFenced {
        /// The reporter.
        reporter: IncarnationId,
        /// The dead incarnation.
        incarnation: IncarnationId,
    },
    /// The reports contradict the record: the award is not between nothing and
    /// all shares.
    #[error("{limit}: the award of {grant} shares is impossible")]
    Impossible {
        /// The limit.
        limit: LimitKey,
        /// The award that follows from record and reports.
        grant: i128,
    },
}
