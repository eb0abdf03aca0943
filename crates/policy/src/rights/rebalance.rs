//! Summaries for heartbeats, and the transfers that follow from those of peers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::balance::{HolderState, transfers};
use super::holding::{Holding, shares_for, slots_for};
use super::ledger::RightsLedger;
use super::outcome::{PeerSummaries, RightsSummary};
use super::plan::{LimitPlan, TOTAL_SHARES};
use super::surplus::{
    fragment, is_scarce, rate_shares_needed, shares_per_token, slots_needed, spare_rate,
    spare_slots, whole_slot_shares,
};
use crate::ids::{IncarnationId, LimitKey};
use crate::units::SlotCount;

/// Largest burst whose shares are spread over idle peers. With so few tokens,
/// one holder can collect most of the shares, and they are unusable when it
/// fails. Spreading larger bursts brought no gain in the benchmark
/// `limit_candidates`.
const MAX_TINY_BURST: u32 = 4;

impl RightsLedger {
    /// The summary of each limit at this holder. Limits with neither shares nor
    /// demand are left out.
    #[must_use]
    pub fn summary(&mut self, now: Instant) -> BTreeMap<LimitKey, RightsSummary> {
        self.tick(now);
        let holdings = self.holdings.iter_mut();
        let summaries = holdings.map(|(limit, holding)| (limit.clone(), summary_of(holding, now)));
        summaries
            .filter(|(_, summary)| *summary != RightsSummary::default())
            .collect()
    }

    /// Transfers shares to peers with higher demand. Returns the peers whose
    /// counters changed.
    ///
    /// A peer with an unacknowledged transfer of a limit gets no further shares
    /// of it, because its summary may not include that transfer yet.
    pub fn rebalance(&mut self, peers: &PeerSummaries, now: Instant) -> BTreeSet<IncarnationId> {
        let own = self.summary(now);
        let live = peers.keys();
        let live: Vec<_> = live
            .filter(|peer| **peer != self.own && !self.fenced.contains(*peer))
            .cloned()
            .collect();
        let mut changed = BTreeSet::new();
        for (limit, summary) in own.iter().filter(|(_, summary)| summary.shares > 0) {
            let Some(plan) = self.holdings.get(limit).and_then(Holding::plan) else {
                continue;
            };
            let find = |peer: &IncarnationId| peers.get(peer).and_then(|l| l.get(limit).copied());
            let others = live.iter().map(|peer| find(peer).unwrap_or_default());
            let all: Vec<_> = std::iter::once(*summary).chain(others).collect();
            for (peer, shares) in self.transfers_of(limit, plan, &all, &live) {
                let pair = self.pairs.get(&peer);
                if pair.is_none_or(|pair| !pair.in_flight(limit))
                    && self.transfer_shares(&peer, limit, shares, now)
                {
                    changed.insert(peer);
                }
            }
        }
        changed
    }

    /// The shares of a limit to transfer to each peer. `all` has the summary of
    /// this holder, followed by those of the peers in `live`.
    fn transfers_of(
        &self,
        limit: &LimitKey,
        plan: LimitPlan,
        all: &[RightsSummary],
        live: &[IncarnationId],
    ) -> Vec<(IncarnationId, u64)> {
        let Some(holding) = self.holdings.get(limit) else {
            return Vec::new();
        };
        let shares = match plan {
            LimitPlan::Rate { burst, .. } if burst.get() <= MAX_TINY_BURST => {
                return tiny_burst_transfer(shares_per_token(burst), all, live);
            }
            // Requests collect their tokens by asking peers.
            LimitPlan::Rate { .. } if is_scarce(plan) => return Vec::new(),
            LimitPlan::Rate { rate, burst } => transfers(
                &holder_states(all, |demand| rate_shares_needed(demand, rate, burst)),
                0,
            ),
            LimitPlan::Slots(slots) if is_scarce(plan) => {
                return self.scarce_slot_transfers(holding, slots, all, live);
            }
            LimitPlan::Slots(slots) => {
                let need = |demand| shares_for(slots_needed(demand).saturating_add(1), slots);
                transfers(&holder_states(all, need), 0)
            }
        };
        let mut free = holding.allowed_slots().saturating_sub(holding.running());
        let peers = live.iter().cloned().zip(shares.into_iter().skip(1));
        let whole = peers.map(|(peer, shares)| match plan {
            LimitPlan::Rate { .. } => (peer, shares),
            LimitPlan::Slots(slots) => {
                let count = slots_for(shares, slots).min(free);
                free -= count;
                (peer, shares_for(count, slots))
            }
        });
        whole.filter(|(_, shares)| *shares > 0).collect()
    }

    /// Transfers one slot to one peer whose demand exceeds its slots, if this
    /// holder has one that its own demand doesn't need. Senders and receivers
    /// are paired by their rank in name order, so that two senders don't choose
    /// the same receiver. Fragments of slots go to the first holder in that
    /// order, where they add up to whole slots.
    fn scarce_slot_transfers(
        &self,
        holding: &Holding,
        slots: SlotCount,
        all: &[RightsSummary],
        live: &[IncarnationId],
    ) -> Vec<(IncarnationId, u64)> {
        let names: Vec<_> = std::iter::once(&self.own).chain(live).collect();
        let mut order: Vec<_> = (0..all.len()).collect();
        order.sort_by_key(|index| names[*index]);
        let balance = |index: &usize| {
            let summary = all[*index];
            let held = slots_for(summary.shares.min(TOTAL_SHARES), slots);
            i64::from(held) - i64::from(slots_needed(summary.demand))
        };
        let senders: Vec<_> = order.iter().filter(|i| balance(i) > 0).collect();
        let receivers: Vec<_> = order.iter().filter(|i| balance(i) < 0).collect();
        let rank = senders.iter().position(|index| **index == 0);
        let receiver = rank.and_then(|rank| receivers.get(rank));
        let free = holding.allowed_slots().saturating_sub(holding.running());
        if let (Some(receiver), true) = (receiver, free > 0) {
            return vec![(
                names[**receiver].clone(),
                whole_slot_shares(holding, slots, 1),
            )];
        }
        if let Some(peer) = idle_slot_receiver(slots, all, live)
            && free > 0
        {
            return vec![(peer, whole_slot_shares(holding, slots, 1))];
        }
        let rest = fragment(holding, slots);
        let first = order.iter().find(|index| all[**index].shares > 0);
        match first {
            Some(first) if *first != 0 && rest > 0 => vec![(names[*first].clone(), rest)],
            _ => Vec::new(),
        }
    }
}

/// The peer that gets a slot while there is no demand: the first one without a
/// slot, if this holder has at least two. All slots of a new server start at
/// one holder, and would be unusable while that holder is paused.
fn idle_slot_receiver(
    slots: SlotCount,
    all: &[RightsSummary],
    live: &[IncarnationId],
) -> Option<IncarnationId> {
    let held = |summary: &RightsSummary| slots_for(summary.shares.min(TOTAL_SHARES), slots);
    let idle = all.iter().all(|summary| summary.demand == 0);
    if !idle || held(&all[0]) < 2 {
        return None;
    }
    let peers = live.iter().zip(all.iter().skip(1));
    let without = peers.filter(|(_, summary)| held(summary) == 0);
    without.map(|(peer, _)| peer.clone()).min()
}

/// Transfers the shares of one token to the peer with the fewest shares, if
/// this holder has shares for two tokens and the peer has none for a whole one.
/// Requests collect tokens by asking peers either way; spreading the shares
/// limits how many become unusable when one holder fails.
fn tiny_burst_transfer(
    token: u64,
    all: &[RightsSummary],
    live: &[IncarnationId],
) -> Vec<(IncarnationId, u64)> {
    let peers = live.iter().zip(all.iter().skip(1));
    let poorest = peers.min_by_key(|(_, summary)| summary.shares);
    match poorest {
        Some((peer, summary)) if summary.shares < token && all[0].shares >= 2 * token => {
            vec![(peer.clone(), token)]
        }
        _ => Vec::new(),
    }
}

fn holder_states(all: &[RightsSummary], need: impl Fn(u64) -> u64) -> Vec<HolderState> {
    let holder_state = |summary: &RightsSummary| HolderState {
        held: summary.shares.min(TOTAL_SHARES),
        need: need(summary.demand).min(TOTAL_SHARES),
    };
    all.iter().map(holder_state).collect()
}

fn summary_of(holding: &mut Holding, now: Instant) -> RightsSummary {
    holding.refill(now);
    let shares = holding.shares();
    match (holding.plan(), holding.rate_share()) {
        (Some(LimitPlan::Slots(slots)), _) => {
            let spare = spare_slots(holding, slots, now);
            RightsSummary {
                shares,
                spare: whole_slot_shares(holding, slots, spare),
                demand: holding
                    .slot_demand
                    .estimate(holding.running(), slots.get(), now),
            }
        }
        (_, Some(share)) => RightsSummary {
            shares,
            spare: spare_rate(holding, &share, true, now).shares,
            demand: holding.rate_demand.per_second(now),
        },
        _ => RightsSummary::default(),
    }
}
