//! Transfer counters of each ordered pair of incarnations.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use super::record::PairAmounts;
use crate::ids::{IncarnationId, LimitKey};

/// Everything that one incarnation has ever given to another of one limit.
///
/// Counters are cumulative, so that a lost, late or repeated message does no
/// harm: the receiver adds only the difference to what it already received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TransferCounter {
    /// The generation that the amounts belong to.
    pub generation: u64,
    /// Digest of the receiving incarnation. An address passes on to the next
    /// incarnation, which would otherwise count what its predecessor was given.
    pub receiver: u64,
    /// Shares given.
    pub shares: u64,
    /// Tokens given, in parts of `1 / TOTAL_SHARES` token. Wider than shares,
    /// because a burst of a million fills 64 bits within 25,600 transfers.
    pub tokens: u128,
}

/// The counters for a peer that changed since its last acknowledgement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CounterUpdate {
    /// Passed to [`acknowledge`](super::RightsLedger::acknowledge) once the
    /// peer has applied this update.
    pub last_change: u64,
    /// The counters.
    pub counters: BTreeMap<LimitKey, TransferCounter>,
}

/// The digest that counters name an incarnation by.
pub(crate) fn incarnation_digest(incarnation: &IncarnationId) -> u64 {
    let digest = Sha256::digest(incarnation.to_string().as_bytes());
    let bytes = digest.iter().take(8);
    bytes.fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

#[derive(Debug, Clone)]
struct GivenCounter {
    counter: TransferCounter,
    change: u64,
}

/// What went between this incarnation and one peer.
#[derive(Debug, Clone)]
pub(crate) struct PairCounters {
    receiver: u64,
    given: BTreeMap<LimitKey, GivenCounter>,
    received: BTreeMap<LimitKey, TransferCounter>,
    /// Changes that the peer has not acknowledged.
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

    /// Forgets all amounts. Changes are numbered on, so that an
    /// acknowledgement of an earlier generation covers none of a later one.
    pub(crate) fn reset(&mut self) {
        self.given.clear();
        self.received.clear();
        self.unacknowledged.clear();
    }

    /// Counts a gift. The giver has subtracted it before.
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
            "{limit}: the counter of given shares overflows"
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

    /// Whether the peer may not have received the latest gift of a limit.
    pub(crate) fn in_flight(&self, limit: &LimitKey) -> bool {
        let given = self.given.get(limit);
        given.is_some_and(|given| self.unacknowledged.contains_key(&given.change))
    }

    /// What `counter` adds to what was received; `None` when it goes back.
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
            "{limit}: the counter of received shares goes back"
        );
        *received = counter;
    }

    /// Shares that went either way, by limit.
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
