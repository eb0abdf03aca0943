//! The rights of one incarnation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{CounterUpdate, FenceReport, GenerationRecord, LimitPlan, TransferCounter};
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
pub enum RightsOutcome {
    /// The request may go on; its token is spent.
    Granted,
    /// There is no token here.
    Short {
        /// How long the refill of this holder takes to make up a token;
        /// [`Duration::MAX`] when its share is too small for one.
        wait: Duration,
    },
    /// The configuration has no such rate limit.
    Unknown,
}

/// What a holder asks peers for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RightsWant {
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

/// The rights of one incarnation.
#[derive(Debug, Clone)]
pub struct RightsLedger {
    own: IncarnationId,
}

impl RightsLedger {
    /// Creates the ledger of an incarnation that holds nothing.
    #[must_use]
    pub fn new(own: IncarnationId) -> Self {
        Self { own }
    }

    /// The ledger of the next incarnation of the same process. It holds
    /// nothing, but still counts the slots that run.
    #[must_use]
    pub fn restarted(&self, own: IncarnationId) -> Self {
        let _ = &self.own;
        Self::new(own)
    }

    /// The incarnation.
    #[must_use]
    pub const fn own(&self) -> &IncarnationId {
        &self.own
    }

    /// Applies the limits of a configuration.
    pub fn configure(&mut self, _plans: &BTreeMap<LimitKey, LimitPlan>, _now: Instant) {
        todo!()
    }

    /// Adopts a generation record. Shares that it issues to this incarnation
    /// become usable at `usable_from`.
    pub fn adopt(
        &mut self,
        _record: &GenerationRecord,
        _usable_from: Instant,
        _now: Instant,
    ) -> AdoptOutcome {
        todo!()
    }

    /// Spends one token of a rate limit, and counts the request as demand.
    pub fn admit(&mut self, _limit: &LimitKey, _now: Instant) -> RightsOutcome {
        todo!()
    }

    /// Like [`admit`](Self::admit) for a request that waited for tokens of
    /// peers; it was counted as demand before.
    pub fn admit_waiting(&mut self, _limit: &LimitKey, _now: Instant) -> RightsOutcome {
        todo!()
    }

    /// Takes one slot of each limit, or none at all.
    #[must_use]
    pub fn take_slots(&mut self, _limits: &[LimitKey]) -> bool {
        todo!()
    }

    /// Gives back slots taken by [`take_slots`](Self::take_slots).
    pub fn release_slots(&mut self, _limits: &[LimitKey]) {
        todo!()
    }

    /// What to ask peers for, if this holder is short of a limit.
    #[must_use]
    pub fn want(&mut self, _limit: &LimitKey, _now: Instant) -> Option<RightsWant> {
        todo!()
    }

    /// Peers to ask for a limit: those of `near` first, then by spare shares.
    #[must_use]
    pub fn ask_order(
        &self,
        _limit: &LimitKey,
        _peers: &PeerSummaries,
        _near: &BTreeSet<IncarnationId>,
    ) -> Vec<IncarnationId> {
        todo!()
    }

    /// Gives a peer what it wants, as far as it can be spared. Returns whether
    /// the counters for the peer changed.
    pub fn give(
        &mut self,
        _peer: &IncarnationId,
        _limit: &LimitKey,
        _want: &RightsWant,
        _now: Instant,
    ) -> bool {
        todo!()
    }

    /// All counters for a peer.
    #[must_use]
    pub fn counters_for(&self, _peer: &IncarnationId) -> BTreeMap<LimitKey, TransferCounter> {
        todo!()
    }

    /// The counters for a peer that changed since it last acknowledged.
    #[must_use]
    pub fn counters_since_ack(&self, _peer: &IncarnationId) -> CounterUpdate {
        todo!()
    }

    /// Notes that a peer applied the update with this mark.
    pub fn acknowledge(&mut self, _peer: &IncarnationId, _mark: u64) {
        todo!()
    }

    /// Takes what a peer's counters add to what was received from it before.
    pub fn receive(
        &mut self,
        _peer: &IncarnationId,
        _counters: &BTreeMap<LimitKey, TransferCounter>,
        _now: Instant,
    ) -> ReceiveOutcome {
        todo!()
    }

    /// What this holder has of each limit; limits without shares and demand
    /// are left out.
    #[must_use]
    pub fn summary(&mut self, _now: Instant) -> BTreeMap<LimitKey, RightsSummary> {
        todo!()
    }

    /// Moves shares to peers with higher demand. Returns the peers whose
    /// counters changed.
    pub fn rebalance(&mut self, _peers: &PeerSummaries, _now: Instant) -> BTreeSet<IncarnationId> {
        todo!()
    }

    /// Gives everything to a peer, except shares under running slots. Returns
    /// whether nothing is left.
    pub fn hand_over(&mut self, _peer: &IncarnationId, _now: Instant) -> bool {
        todo!()
    }

    /// Refuses all later messages of dead incarnations and reports what went
    /// between them and this incarnation.
    pub fn fence(&mut self, _dead: &BTreeSet<IncarnationId>) -> FenceReport {
        todo!()
    }
}
