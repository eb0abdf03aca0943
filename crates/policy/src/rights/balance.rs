//! Moving shares from low to high demand.
//!
//! Every holder computes the same targets from the same summaries, and those
//! above their target give to those below it. A band around the target keeps
//! shares from going back and forth.

use super::plan::TOTAL_SHARES;

/// Differences below this many shares are not worth a transfer.
const LEAST_MOVE: u64 = TOTAL_SHARES / 128;

/// What one holder has and needs of a limit, in shares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    pub(crate) held: u64,
    pub(crate) need: u64,
}

fn part(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let product = u128::from(amount) * u128::from(numerator);
    let quotient = product / u128::from(denominator.max(1));
    u64::try_from(quotient).unwrap_or(u64::MAX)
}

/// The target of each holder: its need, plus an equal part of what nobody
/// needs, or less in proportion when all needs together exceed what is held.
fn targets(positions: &[Position]) -> Vec<u64> {
    let held = positions.iter().map(|p| p.held).sum::<u64>();
    let need = positions.iter().map(|p| p.need).sum::<u64>();
    let count = u64::try_from(positions.len()).unwrap_or(u64::MAX).max(1);
    let surplus = held.saturating_sub(need) / count;
    let target = |position: &Position| {
        if need > held {
            part(position.need, held, need)
        } else {
            position.need + surplus
        }
    };
    positions.iter().map(target).collect()
}

/// What the holder at `own` gives to each other position.
pub(crate) fn gifts(positions: &[Position], own: usize) -> Vec<u64> {
    let targets = targets(positions);
    let over = |index: usize| {
        let excess = positions[index].held.saturating_sub(targets[index]);
        if excess < LEAST_MOVE { 0 } else { excess }
    };
    let under = |index: usize| {
        let (held, target) = (positions[index].held, targets[index]);
        let missing = target.saturating_sub(held);
        // A holder within a quarter of its target is left alone.
        if missing < LEAST_MOVE || held > target - target / 4 {
            0
        } else {
            missing
        }
    };
    let all = 0..positions.len();
    let excess = all.clone().map(over).sum::<u64>();
    let missing = all.clone().map(under).sum::<u64>();
    let mine = over(own);
    all.map(|index| part(under(index), mine, excess.max(missing)))
        .collect()
}
