//! How many shares a holder keeps, can spare, transfers and asks for.
//!
//! A holder with recent demand keeps the shares that the demand needs plus some
//! headroom; a holder without demand can spare nearly all. A limit is scarce if
//! its burst or its slots are about as few as there are instances. Most holders
//! of such a limit can't admit even one request on their own, so its shares
//! move to where the requests arrive.

use std::time::{Duration, Instant};

use super::bucket::RateShare;
use super::holding::{Holding, shares_for, slots_for};
use super::outcome::ShareRequest;
use super::plan::{LimitPlan, TOKEN_PARTS, TOTAL_SHARES};
use crate::units::{BurstSize, RequestRate, SlotCount};

/// A limit with fewer tokens or slots is scarce. Twice the number of instances
/// of a fleet of 12.
const SCARCE_UNITS: u32 = 24;
/// Maximum time for which a request waits for responses of peers (`ask
/// deadline` in the design document). A holder that found no token within this
/// time may still have a waiting request.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before a holder asks again after its peers transferred nothing.
const ASK_BACKOFF: Duration = Duration::from_millis(100);
/// Smaller demands, in thousandths of a request per second, count as none.
const MIN_DEMAND: u64 = 100;
/// A holder without demand keeps its shares divided by this number.
const IDLE_KEEP_DIVISOR: u64 = 8;
/// A busy holder keeps, and an asking holder requests, the tokens for this much
/// time of its demand.
const TOKEN_LOOKAHEAD: Duration = Duration::from_millis(250);

/// The minimum number of shares whose cap is at least one token.
pub(crate) fn shares_per_token(burst: BurstSize) -> u64 {
    TOTAL_SHARES.div_ceil(u64::from(burst.get().max(1)))
}

pub(crate) const fn is_scarce(plan: LimitPlan) -> bool {
    match plan {
        LimitPlan::Rate { burst, .. } => burst.get() < SCARCE_UNITS,
        LimitPlan::Slots(slots) => slots.get() < SCARCE_UNITS,
    }
}

/// Shares needed for a demand in thousandths of a request per second, with
/// headroom for a few tokens. Adding a quarter of the rate as headroom doubled
/// the rejections of conforming requests in the benchmark `limit_candidates`,
/// because holders then keep shares that others lack.
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

/// Slots needed for a demand in thousandths of a slot.
pub(crate) fn slots_needed(demand: u64) -> u32 {
    u32::try_from(demand.div_ceil(super::demand::SLOT_MILLIS)).unwrap_or(u32::MAX)
}

/// Token parts that a demand, in thousandths of a request per second, spends
/// within [`TOKEN_LOOKAHEAD`].
fn lookahead_parts(demand: u64) -> u64 {
    let millis = u64::try_from(TOKEN_LOOKAHEAD.as_millis()).unwrap_or(u64::MAX);
    let parts = u128::from(demand) * u128::from(millis) * u128::from(TOKEN_PARTS) / 1_000_000;
    u64::try_from(parts).unwrap_or(u64::MAX)
}

/// Shares and tokens that can be spared or are to be transferred.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ShareAmount {
    pub(crate) shares: u64,
    pub(crate) tokens: u64,
}

/// The shares and tokens of a rate limit that a holder can spare. With `yields`,
/// a holder of a scarce limit whose shares don't hold a whole token spares them
/// even while a request waits for tokens.
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
            // Otherwise two holders that both collect shares for a waiting
            // request would exchange them forever.
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

/// The shares and tokens of a rate limit to transfer in response to a request.
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
    // Tokens above the cap of the kept shares would be discarded.
    let overflow = holding.level().saturating_sub(kept.cap());
    let tokens = spare
        .tokens
        .min(request.tokens)
        .max(overflow)
        .min(given.cap());
    ShareAmount { shares, tokens }
}

/// Slots that a holder can spare.
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

/// Shares of up to `count` whole slots, without those that slots in use need.
///
/// If the number of shares isn't divisible by the number of slots, the shares
/// of a slot are rounded up. The receiver couldn't use a slot with fewer, while
/// the sender may lose one more slot by the rounding.
pub(crate) fn whole_slot_shares(holding: &Holding, slots: SlotCount, count: u32) -> u64 {
    let slot = shares_for(1, slots).max(1);
    let max_count = holding.transferable() / slot;
    slot * max_count.min(u64::from(count))
}

/// Shares of a holder beyond its whole slots. They allow no request.
pub(crate) fn fragment(holding: &Holding, slots: SlotCount) -> u64 {
    let whole = shares_for(slots_for(holding.shares(), slots), slots);
    holding.shares().saturating_sub(whole)
}

/// The shares of a slot limit to transfer in response to a request. `spare` is
/// the number of slots that the holder can spare.
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

/// The request to peers for shares of a rate limit. `None` if the holder has a
/// token or has asked in vain a moment ago.
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

/// The request to peers for shares of a slot limit. `None` if the holder has a
/// free slot, uses all slots of the limit, or has asked in vain a moment ago.
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

/// Whether the last round of requests to peers ended without a transfer less
/// than [`ASK_BACKOFF`] ago.
fn in_ask_backoff(holding: &Holding, now: Instant) -> bool {
    holding.asked_at.is_some_and(|at| {
        let elapsed = now.saturating_duration_since(at);
        elapsed >= ASK_TIMEOUT && elapsed < ASK_TIMEOUT + ASK_BACKOFF
    })
}

/// Records a request to peers. Requests within [`ASK_TIMEOUT`] of the first one
/// belong to the same round.
pub(crate) fn record_ask(holding: &mut Holding, now: Instant) {
    let round = holding.asked_at.unwrap_or(now);
    if now.saturating_duration_since(round) < ASK_TIMEOUT {
        holding.asked_at = Some(round);
    } else {
        holding.asked_at = Some(now);
    }
}
