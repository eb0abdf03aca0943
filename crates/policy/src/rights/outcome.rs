//! What the ledger answers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{IncarnationId, LimitKey};

/// What a generation record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The record was news.
    Adopted,
    /// The record is known or older than the known one.
    Unchanged,
    /// This incarnation is in a dead set. The ledger has dropped everything
    /// and grants nothing any more.
    Fenced,
}

/// Whether a request is inside a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateDecision {
    /// The request may go on; its token is spent.
    Admitted,
    /// There is no token here.
    NoToken {
        /// How long the refill of this holder takes to make up a token;
        /// [`Duration::MAX`] when its share is too small for one.
        time_to_token: Duration,
    },
    /// The configuration has no such rate limit.
    Unknown,
}

/// What a holder asks peers for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareRequest {
    /// Shares.
    pub shares: u64,
    /// Tokens, in parts of `1 / TOTAL_SHARES` token.
    pub tokens: u64,
}

/// Whether counters of a peer were applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// All counters are accounted for; they may be acknowledged.
    Applied {
        /// Whether anything was received.
        changed: bool,
    },
    /// The peer is fenced; nothing changed.
    Fenced,
    /// A counter went backwards or states an impossible amount; nothing changed.
    Invalid,
    /// The counters belong to a generation that is not the adopted one;
    /// nothing changed.
    OtherGeneration,
    /// The counters are for another incarnation, such as the one that had this
    /// address before; nothing changed.
    OtherReceiver,
}

/// What a holder has of a limit, as heartbeats state it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RightsSummary {
    /// Shares held.
    pub shares: u64,
    /// Shares that the holder would give to a peer that asks.
    pub spare: u64,
    /// Recent demand in thousandths: of a request a second, or of a slot.
    pub demand: u64,
}

/// The latest summary of each live peer. A limit that is left out has no
/// shares and no demand there.
pub type PeerSummaries = BTreeMap<IncarnationId, BTreeMap<LimitKey, RightsSummary>>;
