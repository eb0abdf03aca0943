//! Sending and receiving of shares, and fencing of removed incarnations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::counter::{CounterUpdate, PairCounters, TransferCounter};
use super::ledger::RightsLedger;
use super::outcome::{PeerSummaries, ReceiveOutcome, ShareRequest};
use super::plan::{LimitPlan, TOTAL_SHARES};
use super::record::FenceReport;
use super::surplus::{
    ShareAmount, rate_share_request, rate_transfer, record_ask, slot_share_request, slot_transfer,
    spare_rate, spare_slots,
};
use crate::ids::{IncarnationId, LimitKey};

impl RightsLedger {
    /// The shares and tokens to ask peers for. `None` if this holder doesn't
    /// lack any, or if peers transferred nothing a moment ago.
    #[must_use]
    pub fn share_request(&mut self, limit: &LimitKey, now: Instant) -> Option<ShareRequest> {
        self.tick(now);
        if self.self_fenced {
            return None;
        }
        let holding = self.holdings.get_mut(limit)?;
        holding.refill(now);
        let request = match (holding.plan()?, holding.rate_share()) {
            (LimitPlan::Slots(slots), _) => slot_share_request(holding, slots, now),
            (LimitPlan::Rate { .. }, Some(share)) => rate_share_request(holding, &share, now),
            (LimitPlan::Rate { .. }, None) => None,
        };
        if request.is_some() {
            record_ask(holding, now);
        }
        request
    }

    /// Peers to ask for shares of a limit: those in `near` first, each group in
    /// descending order of spare shares. Peers without any are left out.
    #[must_use]
    pub fn peers_to_ask(
        &self,
        limit: &LimitKey,
        peers: &PeerSummaries,
        near: &BTreeSet<IncarnationId>,
    ) -> Vec<IncarnationId> {
        let mut order: Vec<_> = peers
            .iter()
            .filter(|(peer, _)| **peer != self.own && !self.fenced.contains(*peer))
            .filter_map(|(peer, limits)| Some((peer, limits.get(limit)?.spare)))
            .filter(|(_, spare)| *spare > 0)
            .collect();
        order.sort_by(|(a, a_spare), (b, b_spare)| {
            let far = |peer: &IncarnationId| !near.contains(peer);
            (far(a), b_spare, a).cmp(&(far(b), a_spare, b))
        });
        order.into_iter().map(|(peer, _)| peer.clone()).collect()
    }

    /// Transfers the requested shares to a peer, as far as they can be spared.
    /// Returns whether the counters for the peer changed.
    pub fn transfer_on_request(
        &mut self,
        peer: &IncarnationId,
        limit: &LimitKey,
        request: &ShareRequest,
        now: Instant,
    ) -> bool {
        self.tick(now);
        let yields = self.own > *peer;
        let Some(holding) = self.holdings.get_mut(limit) else {
            return false;
        };
        holding.refill(now);
        let amount = match (holding.plan(), holding.rate_share()) {
            (Some(LimitPlan::Slots(slots)), _) => {
                let spare = spare_slots(holding, slots, now);
                ShareAmount {
                    shares: slot_transfer(holding, slots, spare, request),
                    tokens: 0,
                }
            }
            (_, Some(share)) => {
                let available = spare_rate(holding, &share, yields, now);
                rate_transfer(holding, &share, available, request)
            }
            _ => return false,
        };
        self.transfer(peer, limit, amount, now)
    }

    /// Moves an amount from the holding to the counters for the peer.
    fn transfer(
        &mut self,
        peer: &IncarnationId,
        limit: &LimitKey,
        amount: ShareAmount,
        now: Instant,
    ) -> bool {
        let Some(generation) = self.generation() else {
            return false;
        };
        if self.self_fenced || *peer == self.own || self.fenced.contains(peer) {
            return false;
        }
        let Some(holding) = self.holdings.get_mut(limit) else {
            return false;
        };
        let shares = amount.shares.min(holding.transferable());
        if shares == 0 {
            return false;
        }
        holding.remove(shares, amount.tokens, now);
        let pair = self.pair(peer);
        pair.record_transfer(limit, generation, shares, amount.tokens);
        true
    }

    fn pair(&mut self, peer: &IncarnationId) -> &mut PairCounters {
        let pair = self.pairs.entry(peer.clone());
        pair.or_insert_with(|| PairCounters::new(peer))
    }

    /// All counters for a peer; none if it is fenced.
    #[must_use]
    pub fn counters_for(&self, peer: &IncarnationId) -> BTreeMap<LimitKey, TransferCounter> {
        if self.fenced.contains(peer) {
            return BTreeMap::new();
        }
        self.pairs
            .get(peer)
            .map_or_else(BTreeMap::new, PairCounters::given_counters)
    }

    /// The counters that a peer hasn't acknowledged; none if it is fenced.
    #[must_use]
    pub fn counters_since_ack(&self, peer: &IncarnationId) -> CounterUpdate {
        if self.fenced.contains(peer) {
            return CounterUpdate::default();
        }
        let pair = self.pairs.get(peer);
        pair.map_or_else(CounterUpdate::default, PairCounters::update)
    }

    /// Records that a peer applied all changes up to `last_change`.
    pub fn acknowledge(&mut self, peer: &IncarnationId, last_change: u64) {
        if let Some(pair) = self.pairs.get_mut(peer) {
            pair.acknowledge(last_change);
        }
    }

    /// Adds the difference between a peer's counters and those received before.
    ///
    /// Counters of an earlier message that arrives late are lower than before
    /// and therefore [`Invalid`](ReceiveOutcome::Invalid) as well.
    pub fn receive(
        &mut self,
        peer: &IncarnationId,
        counters: &BTreeMap<LimitKey, TransferCounter>,
        now: Instant,
    ) -> ReceiveOutcome {
        self.tick(now);
        if self.self_fenced || self.fenced.contains(peer) {
            return ReceiveOutcome::Fenced;
        }
        let generation = self.generation();
        if counters.values().any(|c| Some(c.generation) != generation) {
            return ReceiveOutcome::OtherGeneration;
        }
        if counters.values().any(|c| c.receiver != self.digest) {
            return ReceiveOutcome::OtherReceiver;
        }
        let Some(increases) = self.increases(peer, counters) else {
            return ReceiveOutcome::Invalid;
        };
        let changed = !increases.is_empty();
        for (limit, shares, tokens) in increases {
            let holding = self.holdings.entry(limit.clone()).or_default();
            holding.add(shares, tokens, now);
            holding.asked_at = None;
            let pair = self.pair(peer);
            pair.set_received(limit, counters[limit]);
        }
        ReceiveOutcome::Applied { changed }
    }

    /// The shares and tokens that counters add. `None` if a counter decreased
    /// or adds more than the limit has.
    fn increases<'a>(
        &self,
        peer: &IncarnationId,
        counters: &'a BTreeMap<LimitKey, TransferCounter>,
    ) -> Option<Vec<(&'a LimitKey, u64, u128)>> {
        if *peer == self.own {
            return None;
        }
        let pair = self.pairs.get(peer);
        let mut increases = Vec::new();
        for (limit, counter) in counters {
            let (shares, tokens) = match pair {
                Some(pair) => pair.increases(limit, counter)?,
                None => (counter.shares, counter.tokens),
            };
            let held = self
                .shares(limit)
                .saturating_add(self.pending_shares(limit));
            let max_tokens = u128::from(shares) * u128::from(u32::MAX);
            if held.saturating_add(shares) > TOTAL_SHARES || tokens > max_tokens {
                return None;
            }
            if shares > 0 {
                increases.push((limit, shares, tokens));
            }
        }
        Some(increases)
    }

    /// Transfers shares with a proportional number of tokens.
    pub(super) fn transfer_shares(
        &mut self,
        peer: &IncarnationId,
        limit: &LimitKey,
        shares: u64,
        now: Instant,
    ) -> bool {
        let Some(holding) = self.holdings.get_mut(limit) else {
            return false;
        };
        holding.refill(now);
        let (level, held) = (u128::from(holding.level()), u128::from(holding.shares()));
        // Rounded up, so that the remaining tokens stay within their cap.
        let tokens = (level * u128::from(shares)).div_ceil(held.max(1));
        let tokens = u64::try_from(tokens).unwrap_or(u64::MAX);
        self.transfer(peer, limit, ShareAmount { shares, tokens }, now)
    }

    /// Transfers all shares to a peer, except those of slots in use. Returns
    /// whether none are left.
    pub fn transfer_all(&mut self, peer: &IncarnationId, now: Instant) -> bool {
        self.tick(now);
        let limits: Vec<_> = self.holdings.keys().cloned().collect();
        let mut left = 0;
        for limit in limits {
            let Some(holding) = self.holdings.get(&limit) else {
                continue;
            };
            let shares = holding.transferable();
            self.transfer_shares(peer, &limit, shares, now);
            left += self.shares(&limit);
        }
        left == 0
    }

    /// Rejects all further messages of removed incarnations, and reports the
    /// shares transferred between them and this incarnation.
    pub fn fence(&mut self, removed: &BTreeSet<IncarnationId>) -> FenceReport {
        let removed = removed.iter().filter(|removed| **removed != self.own);
        self.fenced.extend(removed.cloned());
        let mut amounts = BTreeMap::new();
        let mut peers = BTreeSet::new();
        for (peer, pair) in &self.pairs {
            let pair = pair.amounts();
            if pair.is_empty() {
                continue;
            }
            if self.fenced.contains(peer) {
                amounts.insert(peer.clone(), pair);
            } else {
                peers.insert(peer.clone());
            }
        }
        FenceReport {
            generation: self.generation().unwrap_or(0),
            fenced: self.fenced.clone(),
            amounts,
            peers,
        }
    }
}
