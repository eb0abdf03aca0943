//! Cumulative transfer counters for each ordered pair of incarnations.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use super::record::PairAmounts;
use crate::ids::{IncarnationId, LimitKey};

/// The total of one limit that one incarnation has transferred to another.
///
/// Counters are cumulative, which makes lost, delayed and duplicated messages
/// harmless: the receiver adds only the difference to the last total it saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TransferCounter {
    /// The generation that the amounts belong to.
    pub generation: u64,
    /// Digest of the receiving incarnation. A restarted instance has the same
    /// address, and without the digest it would add the shares that were
    /// transferred to its previous incarnation.
    pub receiver: u64,
    /// Shares transferred so far.
    pub shares: u64,
    /// Tokens transferred so far, in units of `1 / TOTAL_SHARES` token. Wider
    /// than `shares`, because 25,600 transfers of a burst of one million
    /// overflow 64 bits.
    pub tokens: u128,
}

/// The counters that a peer hasn't acknowledged yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CounterUpdate {
    /// Number of the last change that the update includes. Passed to
    /// [`acknowledge`](super::RightsLedger::acknowledge) once the peer has
    /// applied the update.
    pub last_change: u64,
    /// The counters by limit.
    pub counters: BTreeMap<LimitKey, TransferCounter>,
}

/// The digest that identifies an incarnation in transfer counters.
pub(crate) fn incarnation_digest(incarnation: &IncarnationId) -> u64 {
    let digest = Sha256::digest(incarnation.to_string().as_bytes());
    let bytes = digest.iter().take(8);
    bytes.fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

#[derive(Debug, Clone)]
struct GivenCounter {
    counter: TransferCounter,
    /// Number of the change that set the counter.
    change: u64,
}

/// Transfers between this incarnation and one peer, in both directions.
#[derive(Debug, Clone)]
pub(crate) struct PairCounters {
    receiver: u64,
    given: BTreeMap<LimitKey, GivenCounter>,
    received: BTreeMap<LimitKey, TransferCounter>,
    /// Limits whose counters the peer hasn't acknowledged, by change number.
    unacknowledged: BTreeMap<u64, LimitKey>,
    last_change: u64,
}

impl PairCounters {
    pub(crate) fn new(peer: &IncarnationId) -> Self {
        Self {
            receiver: incarnation_digest(peer),
            given: BTreeMap::new(),
            received: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            last_change: 0,
        }
    }

    /// Removes all counters. Change numbers continue, so that a late
    /// acknowledgement from an earlier generation doesn't cover new changes.
    pub(crate) fn reset(&mut self) {
        self.given.clear();
        self.received.clear();
        self.unacknowledged.clear();
    }

    /// Adds a transfer to the peer. The caller has already removed the amount
    /// from the holding.
    pub(crate) fn record_transfer(
        &mut self,
        limit: &LimitKey,
        generation: u64,
        shares: u64,
        tokens: u64,
    ) {
        self.last_change += 1;
        let receiver = self.receiver;
        let given = self
            .given
            .entry(limit.clone())
            .or_insert_with(|| GivenCounter {
                counter: TransferCounter {
                    generation,
                    receiver,
                    ..TransferCounter::default()
                },
                change: 0,
            });
        let sum = given.counter.shares.checked_add(shares);
        assert!(
            sum.is_some(),
            "{limit}: overflow of the counter of given shares"
        );
        given.counter.shares = sum.unwrap_or(u64::MAX);
        given.counter.tokens += u128::from(tokens);
        self.unacknowledged.remove(&given.change);
        given.change = self.last_change;
        self.unacknowledged.insert(self.last_change, limit.clone());
    }

    pub(crate) fn given_counters(&self) -> BTreeMap<LimitKey, TransferCounter> {
        let counters = self.given.iter();
        counters
            .map(|(limit, given)| (limit.clone(), given.counter))
            .collect()
    }

    pub(crate) fn update(&self) -> CounterUpdate {
        let changed = self.unacknowledged.values();
        let counters =
            changed.filter_map(|limit| Some((limit.clone(), self.given.get(limit)?.counter)));
        CounterUpdate {
            last_change: self.last_change,
            counters: counters.collect(),
        }
    }

    pub(crate) fn acknowledge(&mut self, last_change: u64) {
        if last_change <= self.last_change {
            self.unacknowledged = self.unacknowledged.split_off(&(last_change + 1));
        }
    }

    /// Whether the latest transfer of a limit to the peer is unacknowledged.
    pub(crate) fn in_flight(&self, limit: &LimitKey) -> bool {
        let given = self.given.get(limit);
        given.is_some_and(|given| self.unacknowledged.contains_key(&given.change))
    }

    /// The shares and tokens that `counter` adds to the last received totals.
    /// `None` if a total is lower than before.
    pub(crate) fn increases(
        &self,
        limit: &LimitKey,
        counter: &TransferCounter,
    ) -> Option<(u64, u128)> {
        let received = self.received.get(limit).copied().unwrap_or_default();
        let shares = counter.shares.checked_sub(received.shares)?;
        let tokens = counter.tokens.checked_sub(received.tokens)?;
        Some((shares, tokens))
    }

    pub(crate) fn set_received(&mut self, limit: &LimitKey, counter: TransferCounter) {
        let received = self.received.entry(limit.clone()).or_default();
        assert!(
            counter.shares >= received.shares && counter.tokens >= received.tokens,
            "{limit}: the counter of received shares or tokens decreased"
        );
        *received = counter;
    }

    /// Shares transferred in each direction, by limit. Limits without a
    /// transfer are left out.
    pub(crate) fn amounts(&self) -> BTreeMap<LimitKey, PairAmounts> {
        let mut amounts: BTreeMap<LimitKey, PairAmounts> = BTreeMap::new();
        for (limit, given) in &self.given {
            amounts.entry(limit.clone()).or_default().given = given.counter.shares;
        }
        for (limit, received) in &self.received {
            amounts.entry(limit.clone()).or_default().received = received.shares;
        }
        amounts.retain(|_limit, amounts| *amounts != PairAmounts::default());
        amounts
    }
}
