//! Transfer counters of each ordered pair of incarnations.

use std::collections::BTreeMap;

use crate::ids::LimitKey;

/// Everything that one incarnation has ever given to another of one limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TransferCounter {
    /// The generation that the amounts belong to.
    pub generation: u64,
    /// Shares given.
    pub shares: u64,
    /// Tokens given, in parts of `1 / TOTAL_SHARES` token.
    pub tokens: u128,
}

/// The counters for a peer that changed since its last acknowledgement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CounterUpdate {
    /// Passed to [`acknowledge`](super::RightsLedger::acknowledge) once the
    /// peer has applied this update.
    pub mark: u64,
    /// The counters.
    pub counters: BTreeMap<LimitKey, TransferCounter>,
}
