//! What one incarnation holds of one limit.

use std::time::{Duration, Instant};

use super::bucket::{RateBucket, RateShare};
use super::demand::{RateDemand, SlotDemand};
use super::plan::{LimitPlan, TOTAL_SHARES};
use crate::units::SlotCount;

/// Slots that `shares` allow, rounded down.
pub(crate) fn slots_for(shares: u64, slots: SlotCount) -> u32 {
    let product = u128::from(shares) * u128::from(slots.get()) / u128::from(TOTAL_SHARES);
    u32::try_from(product).unwrap_or(slots.get())
}

/// The fewest shares that allow `count` of all `slots`.
pub(crate) fn shares_for(count: u32, slots: SlotCount) -> u64 {
    let product = u128::from(count) * u128::from(TOTAL_SHARES);
    let shares = product.div_ceil(u128::from(slots.get().max(1)));
    u64::try_from(shares).unwrap_or(TOTAL_SHARES)
}

/// What one incarnation holds of one limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct Holding {
    shares: u64,
    plan: Option<LimitPlan>,
    bucket: RateBucket,
    running: u32,
    pub(crate) rate_demand: RateDemand,
    pub(crate) slot_demand: SlotDemand,
    /// When a request last found no token.
    pub(crate) no_token_at: Option<Instant>,
    /// When the latest round of asks began, unless it brought something.
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

    /// The share of a rate limit.
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

    /// Slots that the shares allow to run.
    pub(crate) fn allowed_slots(&self) -> u32 {
        match self.plan {
            Some(LimitPlan::Slots(slots)) => slots_for(self.shares, slots),
            _ => 0,
        }
    }

    /// Shares that may be given away: those that no running slot needs.
    pub(crate) fn transferable(&self) -> u64 {
        let kept = match self.plan {
            Some(LimitPlan::Slots(slots)) => shares_for(self.running, slots),
            // How many shares the slots need is unknown without a plan.
            None if self.running > 0 => self.shares,
            _ => 0,
        };
        self.shares.saturating_sub(kept)
    }

    /// Brings the tokens up to `now`.
    pub(crate) fn refill(&mut self, now: Instant) {
        if let Some(share) = self.rate_share() {
            self.bucket.refill(&share, now);
        }
    }

    /// Changes the plan. Tokens above the new cap are lost; without a plan
    /// all are.
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

    /// Adds shares and tokens.
    pub(crate) fn add(&mut self, shares: u64, tokens: u128, now: Instant) {
        self.refill(now);
        self.shares += shares;
        if let Some(share) = self.rate_share() {
            self.bucket.add(tokens, &share);
        }
        self.assert_invariants();
    }

    /// Takes out shares and tokens for a peer.
    pub(crate) fn remove(&mut self, shares: u64, tokens: u64, now: Instant) {
        self.refill(now);
        assert!(
            shares <= self.shares,
            "gave {shares} shares of {}",
            self.shares
        );
        self.shares -= shares;
        if let Some(share) = self.rate_share() {
            let max_tokens = RateShare { shares, ..share }.cap();
            assert!(
                tokens <= max_tokens,
                "gave {tokens} token parts with {shares} shares, at most {max_tokens} are allowed"
            );
            self.bucket.remove(tokens);
            self.bucket.clamp(&share);
        }
        self.assert_invariants();
    }

    /// Spends one token; `None` when this is no rate limit.
    pub(crate) fn spend(&mut self, now: Instant) -> Option<bool> {
        self.rate_share()?;
        self.refill(now);
        let spent = self.bucket.spend();
        self.assert_invariants();
        Some(spent)
    }

    /// How long the refill takes to make up one token.
    pub(crate) fn time_to_token(&self) -> Duration {
        let share = self.rate_share();
        share.map_or(Duration::MAX, |share| self.bucket.time_to_token(&share))
    }

    /// Starts `count` slots.
    pub(crate) fn start_slots(&mut self, count: u32) {
        let running = self.running.saturating_add(count);
        let allowed = self.allowed_slots();
        assert!(
            running <= allowed,
            "{running} slots run, the shares held allow {allowed}"
        );
        self.running = running;
        self.slot_demand.record_running(running);
    }

    /// Ends one slot.
    pub(crate) fn finish_slot(&mut self) {
        assert!(self.running > 0, "released a slot that does not run");
        self.running -= 1;
    }

    /// Drops shares and tokens; slots go on running.
    pub(crate) fn drop_shares(&mut self) {
        self.shares = 0;
        self.bucket.clear();
    }

    /// Asserts the invariants of a holder.
    fn assert_invariants(&self) {
        assert!(
            self.shares <= TOTAL_SHARES,
            "holds {} shares, a limit has {TOTAL_SHARES}",
            self.shares
        );
        let cap = self.rate_share().map_or(0, |share| share.cap());
        assert!(
            self.bucket.level() <= cap,
            "holds {} token parts, its share allows {cap}",
            self.bucket.level()
        );
    }
}
