//! The state that is kept for each peer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use tarragonpulley_policy::freshness::RightsVersion;
use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::RightsSummary;
use tarragonpulley_policy::units::ConfigRevision;

/// What this instance knows about a peer, and which of its own state the peer has.
#[derive(Debug, Default)]
pub(super) struct PeerRecord {
    /// The incarnation that sent its last message.
    pub(super) incarnation: Option<IncarnationId>,
    /// When its last heartbeat arrived.
    pub(super) heartbeat_at: Option<Instant>,
    pub(super) revision: ConfigRevision,
    pub(super) rights: RightsVersion,
    /// The newest change of the fact store that the peer has.
    pub(super) acked_facts: u64,
    /// Whether the peer has this instance's place.
    pub(super) introduced: bool,
    /// The known incarnations that the peer has acknowledged.
    pub(super) acked_known: BTreeSet<IncarnationId>,
    /// The revision of this instance that the peer has acknowledged.
    pub(super) acked_revision: ConfigRevision,
    /// The summary of the peer for each limit.
    pub(super) summaries: BTreeMap<LimitKey, RightsSummary>,
    /// The summaries of this instance that the peer has; `None` when that is unknown.
    pub(super) acked_summaries: Option<BTreeMap<LimitKey, RightsSummary>>,
}

impl PeerRecord {
    /// Clears what the peer has of this instance, except facts, which do not depend
    /// on the incarnation.
    pub(super) fn clear_delivered(&mut self) {
        self.acked_known.clear();
        self.acked_summaries = None;
    }
}

/// A summary value is sent again only if it differs by more than one part in this
/// many, which saves messages for small differences.
const SUMMARY_TOLERANCE: u64 = 16;

fn differs(a: u64, b: u64) -> bool {
    a.abs_diff(b) > a.max(b) / SUMMARY_TOLERANCE
}

/// The summaries to send to a peer: those that differ from the last acknowledged
/// ones. A limit that is missing in `current` has become empty.
pub(super) fn changed_summaries(
    current: &BTreeMap<LimitKey, RightsSummary>,
    acked: Option<&BTreeMap<LimitKey, RightsSummary>>,
) -> BTreeMap<LimitKey, RightsSummary> {
    let empty = BTreeMap::new();
    let acked = acked.unwrap_or(&empty);
    let limits: BTreeSet<_> = current.keys().chain(acked.keys()).collect();
    let value = |summaries: &BTreeMap<LimitKey, RightsSummary>, limit| {
        summaries.get(limit).copied().unwrap_or_default()
    };
    limits
        .into_iter()
        .map(|limit| (limit, value(current, limit), value(acked, limit)))
        .filter(|(_limit, now, before)| {
            differs(now.shares, before.shares)
                || differs(now.spare, before.spare)
                || differs(now.demand, before.demand)
        })
        .map(|(limit, now, _before)| (limit.clone(), now))
        .collect()
}
