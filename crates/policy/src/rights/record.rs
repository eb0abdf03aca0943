//! The generation record, and the reports that a reclaim is planned from.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{IncarnationId, LimitKey};

/// All grants of a generation, as stored in the table row `rights/generation`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRecord {
    /// Number of the generation. Later generations have larger numbers.
    pub number: u64,
    /// The incarnation that is initially granted all shares of every limit,
    /// including limits that a later configuration adds.
    pub first_holder: IncarnationId,
    /// Reclaims in commit order.
    pub reclaims: Vec<ReclaimRecord>,
}

/// A grant of the shares of removed incarnations to a survivor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReclaimRecord {
    /// All removed incarnations of the generation, including those of earlier
    /// reclaims and of instances that shut down gracefully.
    pub dead: BTreeSet<IncarnationId>,
    /// The survivor that gets the shares, with an empty token bucket.
    pub recipient: IncarnationId,
    /// Granted shares by limit.
    pub amounts: BTreeMap<LimitKey, u64>,
    /// Whether the recipient also gets all shares of every limit that is not
    /// in `amounts`.
    pub takes_unlisted: bool,
}

/// Shares of one limit transferred between a reporter and a fenced incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PairAmounts {
    /// Shares transferred from the reporter.
    pub given: u64,
    /// Shares received by the reporter.
    pub received: u64,
}

/// The report of a survivor after it fenced the removed incarnations. Fencing
/// makes the reported amounts final.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceReport {
    /// The generation that the amounts belong to.
    pub generation: u64,
    /// All incarnations whose messages the reporter rejects.
    pub fenced: BTreeSet<IncarnationId>,
    /// Transferred shares by fenced incarnation and limit. Pairs without a
    /// transfer are left out.
    pub amounts: BTreeMap<IncarnationId, BTreeMap<LimitKey, PairAmounts>>,
    /// Incarnations that exchanged shares with the reporter and aren't fenced.
    pub peers: BTreeSet<IncarnationId>,
}

/// The reason why a reclaim can't be planned.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ReclaimError {
    /// The removed set is that of the last reclaim.
    #[error("no incarnation was removed since the last reclaim")]
    NothingNew,
    /// The removed set lacks an incarnation that an earlier reclaim removed.
    #[error("{incarnation} was removed by an earlier reclaim, but is not in the removed set")]
    RemovedMissing {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// The recipient or a reporter is in the removed set.
    #[error("{incarnation} is in the removed set and cannot take part in the reclaim")]
    RemovedParticipant {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// An incarnation may hold shares, but is not in the removed set and has
    /// sent no report.
    #[error("{incarnation} may hold shares, but is not in the removed set and sent no report")]
    ReportMissing {
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// A report belongs to another generation.
    #[error("the report of {reporter} is for generation {found}, expected {expected}")]
    OtherGeneration {
        /// The reporter.
        reporter: IncarnationId,
        /// The generation of the report.
        found: u64,
        /// The generation of the record.
        expected: u64,
    },
    /// A reporter hasn't fenced the whole removed set, so its amounts may still
    /// change.
    #[error("{reporter} has not fenced {incarnation}")]
    NotFenced {
        /// The reporter.
        reporter: IncarnationId,
        /// The removed incarnation that isn't fenced.
        incarnation: IncarnationId,
    },
    /// The reports contradict the record: the computed grant is negative or
    /// exceeds [`TOTAL_SHARES`](super::TOTAL_SHARES).
    #[error("{limit}: a grant of {grant} shares is impossible")]
    Impossible {
        /// The limit.
        limit: LimitKey,
        /// The grant computed from the record and the reports.
        grant: i128,
    },
}
