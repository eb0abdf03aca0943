//! Results of ledger operations, and the values that peers exchange.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{IncarnationId, LimitKey};

/// The result of adopting a generation record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The record was newer than the adopted one and has been applied.
    Adopted,
    /// The record isn't newer than the adopted one.
    Unchanged,
    /// A reclaim lists this incarnation as removed. The ledger has dropped all
    /// shares and will neither admit requests nor transfer or receive shares.
    Fenced,
}

/// The decision of a rate limit on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateDecision {
    /// The request is within the limit; its token is spent.
    Admitted,
    /// This holder has no token.
    NoToken {
        /// Time until the refill of this holder completes a token.
        /// [`Duration::MAX`] if its share is too small for one.
        time_to_token: Duration,
    },
    /// The configuration contains no such rate limit.
    Unknown,
}

/// The amount that a holder asks its peers to transfer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareRequest {
    /// Requested shares.
    pub shares: u64,
    /// Requested tokens, in units of `1 / TOTAL_SHARES` token.
    pub tokens: u64,
}

/// The result of applying the counters of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// All counters are applied and may be acknowledged.
    Applied {
        /// Whether the counters contained new shares.
        changed: bool,
    },
    /// The peer or this incarnation is fenced; nothing changed.
    Fenced,
    /// A counter decreased or contains an impossible amount; nothing changed.
    Invalid,
    /// The counters belong to a generation other than the adopted one; nothing
    /// changed.
    OtherGeneration,
    /// The counters are addressed to another incarnation, such as the previous
    /// one at this address; nothing changed.
    OtherReceiver,
}

/// Shares and demand of a holder for one limit, as sent in heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RightsSummary {
    /// Held shares.
    pub shares: u64,
    /// Shares that the holder would transfer to a peer that asks.
    pub spare: u64,
    /// Recent demand, in thousandths of a request per second or of a slot.
    pub demand: u64,
}

/// The latest summaries of each live peer. A peer has neither shares of nor
/// demand for a limit that is left out.
pub type PeerSummaries = BTreeMap<IncarnationId, BTreeMap<LimitKey, RightsSummary>>;
