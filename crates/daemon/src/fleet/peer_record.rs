//! What is known about a peer, and what the peer has of this instance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use tarragonpulley_policy::freshness::RightsVersion;
use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::RightsSummary;
use tarragonpulley_policy::units::ConfigRevision;

/// What this instance knows about a peer, and what the peer has of it.
#[derive(Debug, Default)]
pub(super) struct PeerRecord {
    /// Its incarnation when it answered last.
    pub(super) incarnation: Option<IncarnationId>,
    /// When its last heartbeat arrived here.
    pub(super) heartbeat_at: Option<Instant>,
    pub(super) revision: ConfigRevision,
    pub(super) rights: RightsVersion,
    /// The newest change of the fact store that it has.
    pub(super) acked_facts: u64,
    /// Whether it knows this instance's place.
    pub(super) introduced: bool,
    /// The incarnations that it was told of.
    pub(super) acked_known: BTreeSet<IncarnationId>,
    /// The revision that it was told of.
    pub(super) acked_revision: ConfigRevision,
    /// What it said that it has of each limit.
    pub(super) summaries: BTreeMap<LimitKey, RightsSummary>,
    /// What it was told that this instance has; `None` when that is uncertain.
    pub(super) acked_summaries: Option<BTreeMap<LimitKey, RightsSummary>>,
}

impl PeerRecord {
    /// Forgets what the peer has of this instance, except facts: those do not
    /// depend on the incarnation.
    pub(super) fn clear_delivered(&mut self) {
        self.acked_known.clear();
        self.acked_summaries = None;
    }
}

/// Differences of a summary that are not worth a message: one part in this many.
const SUMMARY_TOLERANCE: u64 = 16;

fn differs(a: u64, b: u64) -> bool {
    a.abs_diff(b) > a.max(b) / SUMMARY_TOLERANCE
}

/// The summaries that a peer has to be told: those that differ from what it was
/// told last. A limit that is left out of `present` has become empty.
pub(super) fn changed_summaries(
    present: &BTreeMap<LimitKey, RightsSummary>,
    acked: Option<&BTreeMap<LimitKey, RightsSummary>>,
) -> BTreeMap<LimitKey, RightsSummary> {
    let empty = BTreeMap::new();
    let acked = acked.unwrap_or(&empty);
    let limits: BTreeSet<_> = present.keys().chain(acked.keys()).collect();
    let value = |summaries: &BTreeMap<LimitKey, RightsSummary>, limit| {
        summaries.get(limit).copied().unwrap_or_default()
    };
    limits
        .into_iter()
        .map(|limit| (limit, value(present, limit), value(acked, limit)))
        .filter(|(_limit, now, before)| {
            differs(now.shares, before.shares)
                || differs(now.spare, before.spare)
                || differs(now.demand, before.demand)
        })
        .map(|(limit, now, _before)| (limit.clone(), now))
        .collect()
}
