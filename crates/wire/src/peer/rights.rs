//! Conversions between messages about fleet-wide limits and domain types.

use std::collections::{BTreeMap, BTreeSet};

use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{
    FenceReport, PairAmounts, RightsSummary, ShareRequest, TransferCounter,
};

use super::convert::{WireError, check_length, incarnations_from_wire};
use super::message::{CounterEntry, FenceResponse, PairEntry, RightsRequest, SummaryEntry};
use super::{MAX_INCARNATIONS, MAX_LIMITS};

/// Converts transfer counters to their wire format.
#[must_use]
pub fn counters_to_wire(counters: &BTreeMap<LimitKey, TransferCounter>) -> Vec<CounterEntry> {
    let entry = |(limit, counter): (&LimitKey, &TransferCounter)| CounterEntry {
        limit: limit.to_string(),
        generation: counter.generation,
        receiver: counter.receiver,
        shares: counter.shares,
        tokens: counter.tokens,
    };
    counters.iter().map(entry).collect()
}

/// Converts received transfer counters.
///
/// # Errors
///
/// [`WireError`] if the list is too long or a key is invalid.
pub fn counters_from_wire(
    entries: Vec<CounterEntry>,
) -> Result<BTreeMap<LimitKey, TransferCounter>, WireError> {
    check_length("a list of counters", entries.len(), MAX_LIMITS)?;
    let counter = |entry: CounterEntry| {
        let counter = TransferCounter {
            generation: entry.generation,
            receiver: entry.receiver,
            shares: entry.shares,
            tokens: entry.tokens,
        };
        Ok((entry.limit.parse()?, counter))
    };
    entries.into_iter().map(counter).collect()
}

impl SummaryEntry {
    /// Converts a summary to its wire format.
    #[must_use]
    pub fn new(limit: &LimitKey, summary: &RightsSummary) -> Self {
        Self {
            limit: limit.to_string(),
            shares: summary.shares,
            spare: summary.spare,
            demand: summary.demand,
        }
    }
}

/// Converts received summaries.
///
/// # Errors
///
/// [`WireError`] if the list is too long or a key is invalid.
pub fn summaries_from_wire(
    entries: Vec<SummaryEntry>,
) -> Result<BTreeMap<LimitKey, RightsSummary>, WireError> {
    check_length("a list of summaries", entries.len(), MAX_LIMITS)?;
    let summary = |entry: SummaryEntry| {
        let summary = RightsSummary {
            shares: entry.shares,
            spare: entry.spare,
            demand: entry.demand,
        };
        Ok((entry.limit.parse()?, summary))
    };
    entries.into_iter().map(summary).collect()
}

impl TryFrom<RightsRequest> for (IncarnationId, LimitKey, ShareRequest) {
    type Error = WireError;

    fn try_from(ask: RightsRequest) -> Result<Self, WireError> {
        let wanted = ShareRequest {
            shares: ask.shares,
            tokens: ask.tokens,
        };
        Ok((ask.sender.try_into()?, ask.limit.parse()?, wanted))
    }
}

impl FenceResponse {
    /// Converts a report to its wire format.
    #[must_use]
    pub fn new(
        sender: &IncarnationId,
        report: &FenceReport,
        known: &BTreeSet<IncarnationId>,
    ) -> Self {
        let list = |ids: &BTreeSet<IncarnationId>| ids.iter().map(Into::into).collect();
        let pairs = report.amounts.iter().flat_map(|(dead, amounts)| {
            amounts.iter().map(|(limit, pair)| PairEntry {
                dead: dead.into(),
                limit: limit.to_string(),
                given: pair.given,
                received: pair.received,
            })
        });
        Self {
            sender: sender.into(),
            generation: report.generation,
            fenced: list(&report.fenced),
            pairs: pairs.collect(),
            peers: list(&report.peers),
            known: list(known),
        }
    }

    /// Returns the reporter, its report and the incarnations known to it.
    ///
    /// # Errors
    ///
    /// [`WireError`] if a list is too long or a key is invalid.
    pub fn into_report(
        self,
    ) -> Result<(IncarnationId, FenceReport, BTreeSet<IncarnationId>), WireError> {
        let max_pairs = MAX_LIMITS * MAX_INCARNATIONS;
        check_length("a list of pairs", self.pairs.len(), max_pairs)?;
        let mut amounts = BTreeMap::<_, BTreeMap<_, _>>::new();
        for pair in self.pairs {
            let limit: LimitKey = pair.limit.parse()?;
            let pair_amounts = PairAmounts {
                given: pair.given,
                received: pair.received,
            };
            let amounts_by_limit = amounts.entry(pair.dead.try_into()?).or_default();
            amounts_by_limit.insert(limit, pair_amounts);
        }
        let report = FenceReport {
            generation: self.generation,
            fenced: incarnations_from_wire(self.fenced)?,
            amounts,
            peers: incarnations_from_wire(self.peers)?,
        };
        let known = incarnations_from_wire(self.known)?;
        Ok((self.sender.try_into()?, report, known))
    }
}
