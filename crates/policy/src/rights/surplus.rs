//! What a holder keeps, spares and asks for.
//!
//! A holder that has recent demand keeps what the demand needs plus headroom;
//! one without gives nearly everything. A limit whose burst or slots are about
//! as few as the instances is scarce: most holders cannot grant a single
//! request on their own, so its shares follow the requests.

use std::time::{Duration, Instant};

use super::bucket::RateShare;
use super::holding::{Holding, shares_for, slots_for};
use super::outcome::ShareRequest;
use super::plan::{LimitPlan, TOKEN_PARTS, TOTAL_SHARES};
use crate::units::{BurstSize, RequestRate, SlotCount};

/// A limit with fewer tokens or slots is scarce: twice the 12 instances of a
/// fleet.
const SCARCE_UNITS: u32 = 24;
/// How long a request waits for the answers of peers (`ask deadline` of the
/// design). A holder that was short within it may still have a waiting request.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a holder does not ask again after peers gave nothing.
const ASK_BACKOFF: Duration = Duration::from_millis(100);
/// Demand below this many thousandths of a request a second counts as none.
const MIN_DEMAND: u64 = 100;
/// The part of its shares that a holder without demand keeps.
const IDLE_KEEP_DIVISOR: u64 = 8;
/// Time of demand whose tokens a busy holder keeps, and an asker wants.
const TOKEN_LOOKAHEAD: Duration = Duration::from_millis(250);

/// The fewest shares that can hold one token.
pub(crate) fn shares_per_token(burst: BurstSize) -> u64 {
    TOTAL_SHARES.div_ceil(u64::from(burst.get().max(1)))
}

pub(crate) const fn is_scarce(plan: LimitPlan) -> bool {
    match plan {
        LimitPlan::Rate { burst, .. } => burst.get() < SCARCE_UNITS,
        LimitPlan::Slots(slots) => slots.get() < SCARCE_UNITS,
    }
}

/// Shares that serve a demand in thousandths of a request a second, with room
/// for a few tokens. A quarter more flow as headroom doubled the wrongful
/// refusals in `limit_candidates`: holders then keep what others lack.
pub(crate) fn rate_shares_needed(demand: u64, rate: RequestRate, burst: BurstSize) -> u64 {
    if demand < MIN_DEMAND {
        return 0;
    }
    let whole = u128::from(rate.get().max(1)) * 1000;
    let rate_shares = u128::from(demand) * u128::from(TOTAL_SHARES) / whole;
    let rate_shares = u64::try_from(rate_shares).unwrap_or(TOTAL_SHARES);
    let token = shares_per_token(burst);
    let token_headroom = token.max((3 * token).min(TOTAL_SHARES / 48));
    rate_shares.saturating_add(token_headroom).min(TOTAL_SHARES)
}

/// Slots that serve a demand in thousandths of a slot.
pub(crate) fn slots_needed(demand: u64) -> u32 {
    u32::try_from(demand.div_ceil(super::demand::SLOT_MILLIS)).unwrap_or(u32::MAX)
}

/// Token parts that a demand takes within [`TOKEN_LOOKAHEAD`].
fn lookahead_parts(demand: u64) -> u64 {
    let millis = u64::try_from(TOKEN_LOOKAHEAD.as_millis()).unwrap_or(u64::MAX);
    let parts = u128::from(demand) * u128::from(millis) * u128::from(TOKEN_PARTS) / 1_000_000;
    u64::try_from(parts).unwrap_or(u64::MAX)
}

/// What a holder can do without.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ShareAmount {
    pub(crate) shares: u64,
    pub(crate) tokens: u64,
}

/// What a holder can spare of a rate limit. `yields` tells whether the holder
/// gives way when both sides are short.
pub(crate) fn spare_rate(
    holding: &mut Holding,
    limit: &RateShare,
    yields: bool,
    now: Instant,
) -> ShareAmount {
    let demand = holding.rate_demand.per_second(now);
    let held = limit.shares;
    let waiting = holding
        .no_token_at
        .is_some_and(|at| now.saturating_duration_since(at) < ASK_TIMEOUT);
    let token = shares_per_token(limit.burst);
    let (keep, keep_tokens) = if limit.burst.get() < SCARCE_UNITS {
        match (waiting, held >= token) {
            (false, _) => (0, 0),
            (true, true) => (token, TOKEN_PARTS),
            // Two holders that both collect for one request would otherwise
            // swap their shares for ever.
            (true, false) if yields => (0, 0),
            (true, false) => (held, u64::MAX),
        }
    } else if demand < MIN_DEMAND {
        (held / IDLE_KEEP_DIVISOR, 0)
    } else {
        let tokens = lookahead_parts(demand).saturating_add(TOKEN_PARTS);
        (rate_shares_needed(demand, limit.rate, limit.burst), tokens)
    };
    ShareAmount {
        shares: held.saturating_sub(keep),
        tokens: holding.level().saturating_sub(keep_tokens),
    }
}

/// What a holder gives of a rate limit to a peer that wants it.
pub(crate) fn rate_transfer(
    holding: &Holding,
    limit: &RateShare,
    spare: ShareAmount,
    request: &ShareRequest,
) -> ShareAmount {
    let shares = spare.shares.min(request.shares);
    let given = RateShare { shares, ..*limit };
    let kept = RateShare {
        shares: limit.shares - shares,
        ..*limit
    };
    // What the rest cannot hold would be lost.
    let overflow = holding.level().saturating_sub(kept.cap());
    let tokens = spare
        .tokens
        .min(request.tokens)
        .max(overflow)
        .min(given.cap());
    ShareAmount { shares, tokens }
}

/// Slots that a holder can do without.
pub(crate) fn spare_slots(holding: &mut Holding, slots: SlotCount, now: Instant) -> u32 {
    let allowed = holding.allowed_slots();
    let running = holding.running();
    let demand = holding.slot_demand.estimate(running, slots.get(), now);
    let keep = if slots.get() < SCARCE_UNITS {
        running
    } else {
        running.max(slots_needed(demand))
    };
    allowed.saturating_sub(keep)
}

/// Shares of up to `count` whole slots that no running slot needs.
///
/// When the slots do not divide the shares, a slot is rounded up: the receiver
/// could not use less, while the giver may lose one more slot.
pub(crate) fn whole_slot_shares(holding: &Holding, slots: SlotCount, count: u32) -> u64 {
    let slot = shares_for(1, slots).max(1);
    let max_count = holding.transferable() / slot;
    slot * max_count.min(u64::from(count))
}

/// Shares beyond the whole slots of a holder; they allow nothing.
pub(crate) fn fragment(holding: &Holding, slots: SlotCount) -> u64 {
    let whole = shares_for(slots_for(holding.shares(), slots), slots);
    holding.shares().saturating_sub(whole)
}

/// What a holder gives of a slot limit to a peer that wants `shares`.
pub(crate) fn slot_transfer(
    holding: &Holding,
    slots: SlotCount,
    spare: u32,
    request: &ShareRequest,
) -> u64 {
    let fragment = fragment(holding, slots);
    if fragment >= request.shares {
        return request.shares;
    }
    let wanted = request.shares.div_ceil(shares_for(1, slots).max(1));
    let count = spare.min(u32::try_from(wanted).unwrap_or(u32::MAX));
    if count == 0 {
        return fragment;
    }
    whole_slot_shares(holding, slots, count)
}

/// What a holder of a rate limit asks for.
pub(crate) fn rate_share_request(
    holding: &mut Holding,
    share: &RateShare,
    now: Instant,
) -> Option<ShareRequest> {
    if holding.level() >= TOKEN_PARTS || share.burst.get() == 0 || in_ask_backoff(holding, now) {
        return None;
    }
    let demand = holding.rate_demand.per_second(now);
    let whole = RateShare {
        shares: TOTAL_SHARES,
        ..*share
    };
    let level = holding.level();
    let tokens = TOKEN_PARTS
        .saturating_add(lookahead_parts(demand))
        .min(whole.cap())
        .saturating_sub(level);
    let min_shares = tokens.div_ceil(u64::from(share.burst.get()));
    let need =
        rate_shares_needed(demand, share.rate, share.burst).max(shares_per_token(share.burst));
    let shares = need.saturating_sub(share.shares).max(min_shares);
    let shares = shares.min(TOTAL_SHARES - share.shares);
    (shares > 0).then_some(ShareRequest { shares, tokens })
}

/// What a holder of a slot limit asks for.
pub(crate) fn slot_share_request(
    holding: &Holding,
    slots: SlotCount,
    now: Instant,
) -> Option<ShareRequest> {
    let running = holding.running();
    if running < holding.allowed_slots() || running >= slots.get() || in_ask_backoff(holding, now) {
        return None;
    }
    let needed = shares_for(running + 1, slots);
    let shares = needed.saturating_sub(holding.shares());
    (shares > 0).then_some(ShareRequest { shares, tokens: 0 })
}

/// Whether the last round of asks ended a moment ago and brought nothing.
fn in_ask_backoff(holding: &Holding, now: Instant) -> bool {
    holding.asked_at.is_some_and(|at| {
        let elapsed = now.saturating_duration_since(at);
        elapsed >= ASK_TIMEOUT && elapsed < ASK_TIMEOUT + ASK_BACKOFF
    })
}

/// Notes an ask. Asks within the deadline of the first belong to one round.
pub(crate) fn record_ask(holding: &mut Holding, now: Instant) {
    let round = holding.asked_at.unwrap_or(now);
    if now.saturating_duration_since(round) < ASK_TIMEOUT {
        holding.asked_at = Some(round);
    } else {
        holding.asked_at = Some(now);
    }
}
