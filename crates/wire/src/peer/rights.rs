//! Conversions of messages about fleet-wide limits.

use std::collections::{BTreeMap, BTreeSet};

use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{
    FenceReport, PairAmounts, RightsSummary, ShareRequest, TransferCounter,
};

use super::convert::{WireError, check_length, read_incarnations};
use super::message::{CounterEntry, FenceAnswer, PairEntry, RightsAskRequest, SummaryEntry};
use super::{MAX_INCARNATIONS, MAX_LIMITS};

/// The entries of transfer counters.
#[must_use]
pub fn write_counters(counters: &BTreeMap<LimitKey, TransferCounter>) -> Vec<CounterEntry> {
    let entry = |(limit, counter): (&LimitKey, &TransferCounter)| CounterEntry {
        limit: limit.to_string(),
        generation: counter.generation,
        receiver: counter.receiver,
        shares: counter.shares,
        tokens: counter.tokens,
    };
    counters.iter().map(entry).collect()
}

/// Converts transfer counters.
///
/// # Errors
///
/// [`WireError`] when the list is too long or a key is not valid.
pub fn read_counters(
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
    /// The entry of a summary.
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

/// Converts summaries.
///
/// # Errors
///
/// [`WireError`] when the list is too long or a key is not valid.
pub fn read_summaries(
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

impl TryFrom<RightsAskRequest> for (IncarnationId, LimitKey, ShareRequest) {
    type Error = WireError;

    fn try_from(ask: RightsAskRequest) -> Result<Self, WireError> {
        let want = ShareRequest {
            shares: ask.shares,
            tokens: ask.tokens,
        };
        Ok((ask.sender.try_into()?, ask.limit.parse()?, want))
    }
}

impl FenceAnswer {
    /// The message of a report.
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

    /// The reporter, its report and the incarnations that it knows of.
    ///
    /// # Errors
    ///
    /// [`WireError`] when a list is too long or a key is not valid.
    pub fn read(self) -> Result<(IncarnationId, FenceReport, BTreeSet<IncarnationId>), WireError> {
        let most = MAX_LIMITS * MAX_INCARNATIONS;
        check_length("a list of pairs", self.pairs.len(), most)?;
        let mut amounts = BTreeMap::<_, BTreeMap<_, _>>::new();
        for pair in self.pairs {
            let limit: LimitKey = pair.limit.parse()?;
            let pair_amounts = PairAmounts {
                given: pair.given,
                received: pair.received,
            };
            let of_dead = amounts.entry(pair.dead.try_into()?).or_default();
            of_dead.insert(limit, pair_amounts);
        }
        let report = FenceReport {
            generation: self.generation,
            fenced: read_incarnations(self.fenced)?,
            amounts,
            peers: read_incarnations(self.peers)?,
        };
        let known = read_incarnations(self.known)?;
        Ok((self.sender.try_into()?, report, known))
    }
}
