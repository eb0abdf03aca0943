//! The shares, tokens and used slots of one limit at one incarnation.

use std::time::{Duration, Instant};

use super::bucket::{RateBucket, RateShare};
use super::demand::{RateDemand, SlotDemand};
use super::plan::{LimitPlan, TOTAL_SHARES};
use crate::units::SlotCount;

/// The number of slots that `shares` allow, rounded down.
pub(crate) fn slots_for(shares: u64, slots: SlotCount) -> u32 {
    let product = u128::from(shares) * u128::from(slots.get()) / u128::from(TOTAL_SHARES);
    u32::try_from(product).unwrap_or(slots.get())
}

/// The minimum number of shares that allow `count` of all `slots`.
pub(crate) fn shares_for(count: u32, slots: SlotCount) -> u64 {
    let product = u128::from(count) * u128::from(TOTAL_SHARES);
    let shares = product.div_ceil(u128::from(slots.get().max(1)));
    u64::try_from(shares).unwrap_or(TOTAL_SHARES)
}

/// The state of one limit at one incarnation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Holding {
    shares: u64,
    plan: Option<LimitPlan>,
    bucket: RateBucket,
    running: u32,
    pub(crate) rate_demand: RateDemand,
    pub(crate) slot_demand: SlotDemand,
    /// When a request last found no token. Cleared by the next admission.
    pub(crate) no_token_at: Option<Instant>,
    /// Start of the latest round of share requests to peers. Cleared when
    /// shares arrive.
    pub(crate) asked_at: Option<Instant>,
}

impl Holding {
    pub(crate) const fn shares(&self) -> u64 {
        self.shares
    }

    pub(crate) const fn plan(&self) -> Option<LimitPlan> {
        self.plan
    }

    pub(crate) const fn running(&self) -> u32 {
        self.running
    }

    pub(crate) const fn level(&self) -> u64 {
        self.bucket.level()
    }

    /// The share of the rate limit. `None` if the limit is no rate limit.
    pub(crate) const fn rate_share(&self) -> Option<RateShare> {
        match self.plan {
            Some(LimitPlan::Rate { rate, burst }) => Some(RateShare {
                rate,
                burst,
                shares: self.shares,
            }),
            _ => None,
        }
    }

    /// The number of slots that the held shares allow.
    pub(crate) fn allowed_slots(&self) -> u32 {
        match self.plan {
            Some(LimitPlan::Slots(slots)) => slots_for(self.shares, slots),
            _ => 0,
        }
    }

    /// Shares that may be transferred: those that no slot in use needs.
    pub(crate) fn transferable(&self) -> u64 {
        let kept = match self.plan {
            Some(LimitPlan::Slots(slots)) => shares_for(self.running, slots),
            // Without a plan, the number of shares per slot is unknown.
            None if self.running > 0 => self.shares,
            _ => 0,
        };
        self.shares.saturating_sub(kept)
    }

    /// Adds the tokens of the refill up to `now`.
    pub(crate) fn refill(&mut self, now: Instant) {
        if let Some(share) = self.rate_share() {
            self.bucket.refill(&share, now);
        }
    }

    /// Changes the plan. Tokens above the new cap are discarded; without a
    /// plan, all of them.
    pub(crate) fn set_plan(&mut self, plan: Option<LimitPlan>, now: Instant) {
        self.refill(now);
        self.plan = plan;
        match self.rate_share() {
            Some(share) => {
                self.bucket.clamp(&share);
                self.bucket.refill(&share, now);
            }
            None => self.bucket.clear(),
        }
        self.assert_invariants();
    }

    /// Adds received shares and tokens.
    pub(crate) fn add(&mut self, shares: u64, tokens: u128, now: Instant) {
        self.refill(now);
        self.shares += shares;
        if let Some(share) = self.rate_share() {
            self.bucket.add(tokens, &share);
        }
        self.assert_invariants();
    }

    /// Removes shares and tokens that are transferred to a peer.
    pub(crate) fn remove(&mut self, shares: u64, tokens: u64, now: Instant) {
        self.refill(now);
        assert!(
            shares <= self.shares,
            "cannot transfer {shares} of {} held shares",
            self.shares
        );
        self.shares -= shares;
        if let Some(share) = self.rate_share() {
            let max_tokens = RateShare { shares, ..share }.cap();
            assert!(
                tokens <= max_tokens,
                "cannot transfer {tokens} token parts with {shares} shares, the maximum is {max_tokens}"
            );
            self.bucket.remove(tokens);
            self.bucket.clamp(&share);
        }
        self.assert_invariants();
    }

    /// Spends one token. Returns whether there was one, or `None` if the limit
    /// is no rate limit.
    pub(crate) fn spend(&mut self, now: Instant) -> Option<bool> {
        self.rate_share()?;
        self.refill(now);
        let spent = self.bucket.spend();
        self.assert_invariants();
        Some(spent)
    }

    /// Time until the refill completes one token. [`Duration::MAX`] if it
    /// never does.
    pub(crate) fn time_to_token(&self) -> Duration {
        let share = self.rate_share();
        share.map_or(Duration::MAX, |share| self.bucket.time_to_token(&share))
    }

    /// Marks `count` more slots as in use.
    pub(crate) fn start_slots(&mut self, count: u32) {
        let running = self.running.saturating_add(count);
        let allowed = self.allowed_slots();
        assert!(
            running <= allowed,
            "{running} slots in use, the held shares allow {allowed}"
        );
        self.running = running;
        self.slot_demand.record_running(running);
    }

    /// Releases one slot.
    pub(crate) fn finish_slot(&mut self) {
        assert!(self.running > 0, "released a slot that is not in use");
        self.running -= 1;
    }

    /// Removes all shares and tokens. Slots in use stay in use.
    pub(crate) fn drop_shares(&mut self) {
        self.shares = 0;
        self.bucket.clear();
    }

    /// Asserts that shares and tokens are within their maximum.
    fn assert_invariants(&self) {
        assert!(
            self.shares <= TOTAL_SHARES,
            "{} shares held, a limit has {TOTAL_SHARES}",
            self.shares
        );
        let cap = self.rate_share().map_or(0, |share| share.cap());
        assert!(
            self.bucket.level() <= cap,
            "{} token parts held, the shares allow {cap}",
            self.bucket.level()
        );
    }
}
