//! Share transfers from holders with low demand to holders with high demand.
//!
//! Every holder computes the same targets from the same summaries, and those
//! above their target transfer to those below it. A dead band around the
//! target prevents shares from oscillating between holders.

use super::plan::TOTAL_SHARES;

/// Smaller excesses and deficits, in shares, cause no transfer.
const MIN_TRANSFER: u64 = TOTAL_SHARES / 128;

/// Held and needed shares of a limit at one holder.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HolderState {
    pub(crate) held: u64,
    pub(crate) need: u64,
}

fn scale(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let product = u128::from(amount) * u128::from(numerator);
    let quotient = product / u128::from(denominator.max(1));
    u64::try_from(quotient).unwrap_or(u64::MAX)
}

/// The target shares of each holder: its need plus an equal split of the
/// surplus. If the needs exceed the held shares in total, all targets are
/// scaled down in proportion.
fn targets(holders: &[HolderState]) -> Vec<u64> {
    let held = holders.iter().map(|holder| holder.held).sum::<u64>();
    let need = holders.iter().map(|holder| holder.need).sum::<u64>();
    let count = u64::try_from(holders.len()).unwrap_or(u64::MAX).max(1);
    let surplus = held.saturating_sub(need) / count;
    let target = |holder: &HolderState| {
        if need > held {
            scale(holder.need, held, need)
        } else {
            holder.need + surplus
        }
    };
    holders.iter().map(target).collect()
}

/// The shares that the holder at index `own` transfers to each holder.
pub(crate) fn transfers(holders: &[HolderState], own: usize) -> Vec<u64> {
    let targets = targets(holders);
    let excess_of = |index: usize| {
        let excess = holders[index].held.saturating_sub(targets[index]);
        if excess < MIN_TRANSFER { 0 } else { excess }
    };
    let deficit_of = |index: usize| {
        let (held, target) = (holders[index].held, targets[index]);
        let deficit = target.saturating_sub(held);
        // Holders with more than three quarters of their target receive nothing.
        if deficit < MIN_TRANSFER || held > target - target / 4 {
            0
        } else {
            deficit
        }
    };
    let all = 0..holders.len();
    let excess = all.clone().map(excess_of).sum::<u64>();
    let deficit = all.clone().map(deficit_of).sum::<u64>();
    let own_excess = excess_of(own);
    all.map(|index| scale(deficit_of(index), own_excess, excess.max(deficit)))
        .collect()
}
