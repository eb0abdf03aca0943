//! Shares, tokens and used slots of one incarnation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::counter::{PairCounters, incarnation_digest};
use super::holding::Holding;
use super::outcome::{AdoptOutcome, RateDecision};
use super::plan::{LimitPlan, TOTAL_SHARES};
use super::record::{GenerationRecord, ReclaimRecord};
use crate::ids::{IncarnationId, LimitKey};

/// The part of the adopted generation record that the ledger keeps.
#[derive(Debug, Clone)]
struct AdoptedGeneration {
    number: u64,
    first_holder: IncarnationId,
    /// Number of reclaims that were applied.
    reclaims: usize,
}

/// Shares granted to this incarnation that aren't usable yet.
#[derive(Debug, Clone)]
struct PendingGrant {
    usable_from: Instant,
    amounts: BTreeMap<LimitKey, u64>,
}

/// When granted shares become usable.
///
/// Requests of a failed holder may still run on backend servers. The shares of
/// their slots become usable only when these requests must have ended.
#[derive(Debug, Clone)]
pub struct GrantTimes {
    from: Instant,
    run_times: BTreeMap<LimitKey, Duration>,
}

impl GrantTimes {
    /// Shares become usable at `from`; for a limit in `run_times`, its run time
    /// is added.
    #[must_use]
    pub const fn new(from: Instant, run_times: BTreeMap<LimitKey, Duration>) -> Self {
        Self { from, run_times }
    }

    fn usable_at(&self, limit: &LimitKey) -> Instant {
        let run_time = self.run_times.get(limit).copied();
        self.from + run_time.unwrap_or_default()
    }
}

impl From<Instant> for GrantTimes {
    fn from(from: Instant) -> Self {
        Self::new(from, BTreeMap::new())
    }
}

/// The grant of all shares of every limit that no reclaim lists, including
/// limits that a later configuration adds.
#[derive(Debug, Clone)]
struct UnlistedGrant {
    times: GrantTimes,
    /// Whether a configured limit isn't usable yet.
    waiting: bool,
    /// Limits that were already granted, to this incarnation or another.
    granted: BTreeSet<LimitKey>,
}

/// Shares, tokens and used slots of one incarnation.
///
/// The caller must make sure that its configuration is proved current before
/// it admits requests, takes slots or transfers shares.
#[derive(Debug, Clone)]
pub struct RightsLedger {
    pub(super) own: IncarnationId,
    /// The digest that identifies this incarnation in transfer counters.
    pub(super) digest: u64,
    pub(super) holdings: BTreeMap<LimitKey, Holding>,
    pub(super) pairs: BTreeMap<IncarnationId, PairCounters>,
    pub(super) fenced: BTreeSet<IncarnationId>,
    /// Whether this incarnation itself is fenced.
    pub(super) self_fenced: bool,
    adopted: Option<AdoptedGeneration>,
    pending: Vec<PendingGrant>,
    unlisted: Option<UnlistedGrant>,
}

impl RightsLedger {
    /// Creates the ledger of an incarnation without shares.
    #[must_use]
    pub fn new(own: IncarnationId) -> Self {
        Self {
            digest: incarnation_digest(&own),
            own,
            holdings: BTreeMap::new(),
            pairs: BTreeMap::new(),
            fenced: BTreeSet::new(),
            self_fenced: false,
            adopted: None,
            pending: Vec::new(),
            unlisted: None,
        }
    }

    /// Creates the ledger of the next incarnation of the same process. Limits
    /// and used slots are kept; shares, tokens and counters aren't.
    #[must_use]
    pub fn restarted(&self, own: IncarnationId) -> Self {
        let mut next = Self::new(own);
        next.holdings.clone_from(&self.holdings);
        for holding in next.holdings.values_mut() {
            holding.drop_shares();
        }
        next
    }

    /// The incarnation that this ledger belongs to.
    #[must_use]
    pub const fn incarnation(&self) -> &IncarnationId {
        &self.own
    }

    /// The number of the adopted generation.
    #[must_use]
    pub fn generation(&self) -> Option<u64> {
        self.adopted.as_ref().map(|adopted| adopted.number)
    }

    /// Held shares of a limit, 0 to [`TOTAL_SHARES`].
    #[must_use]
    pub fn shares(&self, limit: &LimitKey) -> u64 {
        self.holdings.get(limit).map_or(0, Holding::shares)
    }

    /// Held tokens of a rate limit, in units of `1 / TOTAL_SHARES` token, as of
    /// the last call that refilled the bucket.
    #[must_use]
    pub fn tokens(&self, limit: &LimitKey) -> u64 {
        self.holdings.get(limit).map_or(0, Holding::level)
    }

    /// Slots of a limit in use at this instance.
    #[must_use]
    pub fn running(&self, limit: &LimitKey) -> u32 {
        self.holdings.get(limit).map_or(0, Holding::running)
    }

    /// Slots of a limit that the held shares allow and that aren't in use.
    #[must_use]
    pub fn free_slots(&self, limit: &LimitKey) -> u32 {
        let holding = self.holdings.get(limit);
        holding.map_or(0, |h| h.allowed_slots().saturating_sub(h.running()))
    }

    /// Applies the limits of a configuration. Shares are kept, even those of
    /// limits that `plans` doesn't contain; tokens are capped at the new burst.
    pub fn configure(&mut self, plans: &BTreeMap<LimitKey, LimitPlan>, now: Instant) {
        self.tick(now);
        for (limit, holding) in &mut self.holdings {
            holding.set_plan(plans.get(limit).copied(), now);
        }
        for (limit, plan) in plans {
            if !self.holdings.contains_key(limit) {
                let mut holding = Holding::default();
                holding.set_plan(Some(*plan), now);
                self.holdings.insert(limit.clone(), holding);
            }
        }
        self.grant_unlisted(now);
    }

    /// Adopts a generation record. Shares that it grants to this incarnation
    /// become usable at the times `usable`, with an empty token bucket.
    ///
    /// # Panics
    ///
    /// If the same generation was adopted before with another first holder.
    pub fn adopt(
        &mut self,
        record: &GenerationRecord,
        usable: impl Into<GrantTimes>,
        now: Instant,
    ) -> AdoptOutcome {
        let times = usable.into();
        if self.self_fenced {
            return AdoptOutcome::Fenced;
        }
        let known = self.adopted.as_ref().map_or(0, |adopted| adopted.reclaims);
        let newer = self.generation().is_none_or(|own| record.number > own);
        let stale = self.generation().is_some_and(|own| record.number < own);
        if stale || (!newer && record.reclaims.len() <= known) {
            return AdoptOutcome::Unchanged;
        }
        if record.reclaims.iter().any(|r| r.dead.contains(&self.own)) {
            self.drop_everything();
            self.self_fenced = true;
            return AdoptOutcome::Fenced;
        }
        self.tick(now);
        if newer {
            self.begin_generation(record, &times);
        }
        if let Some(adopted) = &mut self.adopted {
            assert!(
                adopted.first_holder == record.first_holder,
                "generation {} has conflicting first holders {} and {}",
                record.number,
                adopted.first_holder,
                record.first_holder
            );
            let known = adopted.reclaims;
            adopted.reclaims = record.reclaims.len();
            for reclaim in &record.reclaims[known..] {
                self.apply_reclaim(reclaim, &times);
            }
        }
        self.tick(now);
        AdoptOutcome::Adopted
    }

    fn begin_generation(&mut self, record: &GenerationRecord, times: &GrantTimes) {
        self.drop_everything();
        if record.first_holder == self.own {
            self.unlisted = Some(UnlistedGrant {
                times: times.clone(),
                waiting: true,
                granted: BTreeSet::new(),
            });
        }
        self.adopted = Some(AdoptedGeneration {
            number: record.number,
            first_holder: record.first_holder.clone(),
            reclaims: 0,
        });
    }

    fn apply_reclaim(&mut self, reclaim: &ReclaimRecord, times: &GrantTimes) {
        self.fenced.extend(reclaim.dead.iter().cloned());
        if reclaim.recipient != self.own {
            return;
        }
        let mut amounts: BTreeMap<Instant, BTreeMap<LimitKey, u64>> = BTreeMap::new();
        for (limit, shares) in &reclaim.amounts {
            let of_time = amounts.entry(times.usable_at(limit)).or_default();
            of_time.insert(limit.clone(), *shares);
        }
        let grants = amounts.into_iter();
        self.pending
            .extend(grants.map(|(usable_from, amounts)| PendingGrant {
                usable_from,
                amounts,
            }));
        if reclaim.takes_unlisted {
            assert!(
                self.unlisted.is_none(),
                "{} was granted the unlisted limits twice",
                self.own
            );
            self.unlisted = Some(UnlistedGrant {
                times: times.clone(),
                waiting: true,
                granted: reclaim.amounts.keys().cloned().collect(),
            });
        }
    }

    /// Removes shares, tokens, counters and grants. Slots in use stay in use.
    fn drop_everything(&mut self) {
        for holding in self.holdings.values_mut() {
            holding.drop_shares();
        }
        self.pairs.values_mut().for_each(PairCounters::reset);
        self.fenced.clear();
        self.pending.clear();
        self.unlisted = None;
    }

    /// Adds granted shares that have become usable. The other methods with a
    /// `now` argument do so as well.
    pub fn tick(&mut self, now: Instant) {
        if !self.pending.is_empty() {
            let pending = std::mem::take(&mut self.pending);
            for grant in pending {
                if grant.usable_from > now {
                    self.pending.push(grant);
                    continue;
                }
                for (limit, shares) in grant.amounts {
                    let holding = self.holdings.entry(limit).or_default();
                    holding.add(shares, 0, now);
                }
            }
            self.grant_unlisted(now);
        }
        if self.unlisted.as_ref().is_some_and(|u| u.waiting) {
            self.grant_unlisted(now);
        }
    }

    /// Adds all shares of configured limits that were never granted before.
    fn grant_unlisted(&mut self, now: Instant) {
        let Some(unlisted) = &mut self.unlisted else {
            return;
        };
        unlisted.waiting = unlisted.times.from > now;
        if unlisted.waiting {
            return;
        }
        for (limit, holding) in &mut self.holdings {
            if holding.plan().is_none() || unlisted.granted.contains(limit) {
                continue;
            }
            if unlisted.times.usable_at(limit) > now {
                unlisted.waiting = true;
                continue;
            }
            unlisted.granted.insert(limit.clone());
            holding.add(TOTAL_SHARES, 0, now);
        }
    }

    /// Shares of a limit that are granted to this incarnation but not usable
    /// yet.
    pub(super) fn pending_shares(&self, limit: &LimitKey) -> u64 {
        let unlisted = self.unlisted.as_ref();
        let unlisted = unlisted.is_some_and(|u| !u.granted.contains(limit));
        let pending = self.pending.iter().filter_map(|a| a.amounts.get(limit));
        let all = if unlisted { TOTAL_SHARES } else { 0 };
        pending.fold(all, |sum, shares| sum.saturating_add(*shares))
    }

    /// Spends one token of a rate limit and counts the request as demand.
    pub fn admit(&mut self, limit: &LimitKey, now: Instant) -> RateDecision {
        if let Some(holding) = self.holdings.get_mut(limit) {
            holding.rate_demand.record_request(now);
        }
        self.admit_waiting(limit, now)
    }

    /// Like [`admit`](Self::admit), for a request that waited for tokens from
    /// peers and was already counted as demand.
    pub fn admit_waiting(&mut self, limit: &LimitKey, now: Instant) -> RateDecision {
        self.tick(now);
        let Some(holding) = self.holdings.get_mut(limit) else {
            return RateDecision::Unknown;
        };
        match holding.spend(now) {
            None => RateDecision::Unknown,
            Some(true) => {
                holding.no_token_at = None;
                RateDecision::Admitted
            }
            Some(false) => {
                holding.no_token_at = Some(now);
                let time_to_token = holding.time_to_token();
                RateDecision::NoToken { time_to_token }
            }
        }
    }

    /// Takes one slot of each limit if all of them have a free one. Returns
    /// whether the slots were taken. A limit may be listed more than once.
    #[must_use]
    pub fn take_slots(&mut self, limits: &[LimitKey]) -> bool {
        let mut counts: BTreeMap<&LimitKey, u32> = BTreeMap::new();
        for limit in limits {
            *counts.entry(limit).or_default() += 1;
        }
        let short = counts
            .iter()
            .find(|(limit, count)| self.free_slots(limit) < **count);
        if let Some((limit, _count)) = short {
            if let Some(holding) = self.holdings.get_mut(*limit) {
                holding.slot_demand.record_rejection();
            }
            return false;
        }
        for (limit, count) in counts {
            if let Some(holding) = self.holdings.get_mut(limit) {
                holding.start_slots(count);
            }
        }
        true
    }

    /// Releases slots taken by [`take_slots`](Self::take_slots).
    ///
    /// # Panics
    ///
    /// If more slots are released than are in use.
    pub fn release_slots(&mut self, limits: &[LimitKey]) {
        for limit in limits {
            let holding = self.holdings.get_mut(limit);
            assert!(
                holding.is_some(),
                "{limit}: released a slot of an unknown limit"
            );
            if let Some(holding) = holding {
                holding.finish_slot();
            }
        }
    }
}
