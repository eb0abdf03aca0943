//! The rights of this instance and the record that determines them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tarragonpulley_policy::freshness::{PROOF_LIFETIME, RightsVersion};
use tarragonpulley_policy::ids::{IncarnationId, InstanceName};
use tarragonpulley_policy::rights::{
    AdoptOutcome, GenerationRecord, GrantTimes, PeerSummaries, RightsLedger, limit_plans,
    max_run_times,
};
use tarragonpulley_wire::rows::{self, RowError};

use super::core::FleetCore;

/// Added to the lifetime of a proof before a grant may be used, because clocks
/// run at different speeds.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(250);

/// The rights of one instance.
#[derive(Debug)]
pub(super) struct RightsState {
    pub(super) ledger: RightsLedger,
    pub(super) record: Option<GenerationRecord>,
    /// Incarnations whose messages are rejected.
    pub(super) fenced: BTreeSet<IncarnationId>,
    /// Earlier incarnations of this instance whose rights are not settled.
    pub(super) previous_incarnations: BTreeSet<IncarnationId>,
    /// Removed incarnations that held nothing, so that no reclaim is needed.
    pub(super) settled: BTreeSet<IncarnationId>,
}

impl RightsState {
    pub(super) fn new(own: IncarnationId) -> Self {
        Self {
            ledger: RightsLedger::new(own),
            record: None,
            fenced: BTreeSet::new(),
            previous_incarnations: BTreeSet::new(),
            settled: BTreeSet::new(),
        }
    }

    /// The incarnations whose rights the record has reclaimed.
    pub(super) fn reclaimed_incarnations(&self) -> BTreeSet<IncarnationId> {
        let record = self.record.as_ref();
        let last = record.and_then(|record| record.reclaims.last());
        last.map(|reclaim| reclaim.dead.clone()).unwrap_or_default()
    }

    /// Whether this incarnation has transfers with an incarnation that a new reclaim
    /// covers, and has not reported them. The reclaim has then granted what it
    /// received to another incarnation too.
    fn has_unreported_transfers(&self, removed: &BTreeSet<IncarnationId>) -> bool {
        let unreported: BTreeSet<_> = removed.difference(&self.fenced).cloned().collect();
        let report = self.ledger.clone().fence(&unreported);
        report.amounts.keys().any(|peer| unreported.contains(peer))
    }
}

fn version_of(record: &GenerationRecord) -> RightsVersion {
    RightsVersion {
        generation: record.number,
        reclaims: record.reclaims.len() as u64,
    }
}

impl FleetCore {
    /// Applies the row `rights/generation` and returns its version.
    pub(super) fn apply_generation_row(
        &self,
        row: Option<&[u8]>,
    ) -> Result<RightsVersion, RowError> {
        let Some(bytes) = row else {
            return Ok(RightsVersion::default());
        };
        let record = rows::decode_generation(bytes)?;
        let version = version_of(&record);
        if self.config.borrow_mut().freshness.adopt_rights(version) {
            self.adopt_record(&record);
        }
        Ok(version)
    }

    fn adopt_record(&self, record: &GenerationRecord) {
        let now = self.now();
        let usable_from = now + PROOF_LIFETIME + CLOCK_DRIFT_MARGIN;
        let grant_times = if record.number == 1 && record.reclaims.is_empty() {
            // Before the first generation, no removed holder can have running requests.
            GrantTimes::from(usable_from)
        } else {
            GrantTimes::new(usable_from, max_run_times(&self.snapshot_now()))
        };
        let version = version_of(record);
        let mut rights = self.rights.borrow_mut();
        let known_generation = rights.record.as_ref().map(|known| known.number);
        let removed = record.reclaims.last().map(|reclaim| reclaim.dead.clone());
        let removed = removed.unwrap_or_default();
        // A new generation voids all earlier transfers.
        let unreported =
            known_generation == Some(record.number) && rights.has_unreported_transfers(&removed);
        let outcome = rights.ledger.adopt(record, grant_times, now);
        rights.fenced.extend(removed);
        rights.record = Some(record.clone());
        drop(rights);
        self.record_known_incarnation(&record.first_holder);
        for reclaim in &record.reclaims {
            self.record_known_incarnation(&reclaim.recipient);
        }
        let detail = format!("{} reclaims", version.reclaims);
        let subject = version.generation.to_string();
        self.record_event("rights_record_adopted", &subject, &detail);
        if unreported || outcome == AdoptOutcome::Fenced {
            self.restart_incarnation();
        }
        self.notify_waiters();
    }

    /// Continues as a new incarnation that holds nothing, because the fleet has
    /// fenced the current one.
    pub(super) fn restart_incarnation(&self) {
        let now = self.now();
        let old = self.own().clone();
        let next = IncarnationId {
            instance: old.instance.clone(),
            number: old.number + 1,
        };
        let mut rights = self.rights.borrow_mut();
        rights.ledger = rights.ledger.restarted(next.clone());
        rights.previous_incarnations.insert(old.clone());
        if let Some(record) = rights.record.clone() {
            rights.ledger.adopt(&record, now, now);
        }
        drop(rights);
        self.set_own(next.clone());
        self.config.borrow_mut().freshness.revoke_proofs();
        for peer in self.peers.borrow_mut().values_mut() {
            peer.clear_delivered();
        }
        self.record_event("incarnation_replaced", &old.to_string(), &next.to_string());
        self.wake_table_reader();
    }

    /// Handles the response of a peer that has fenced the sender of a heartbeat.
    pub(super) fn handle_fenced_by(&self, peer: &InstanceName, sent_by: &IncarnationId) {
        if *sent_by == *self.own() {
            self.record_event("incarnation_fenced", &sent_by.to_string(), peer.as_str());
            self.restart_incarnation();
        }
    }

    /// Whether messages of an incarnation are rejected.
    pub(super) fn is_fenced(&self, incarnation: &IncarnationId) -> bool {
        self.rights.borrow().fenced.contains(incarnation)
    }

    /// Applies the limits of the active configuration.
    pub(super) fn configure_rights(&self) {
        let plans = limit_plans(&self.snapshot_now());
        let now = self.now();
        self.rights.borrow_mut().ledger.configure(&plans, now);
    }

    /// The latest summaries of the reachable peers that are not leaving.
    pub(super) fn peer_summaries(&self) -> PeerSummaries {
        let mut summaries = self.holder_summaries();
        summaries.retain(|incarnation, _limits| !self.has_announced_leaving(incarnation));
        summaries
    }

    /// The latest summaries of the reachable peers, leaving ones included: these may
    /// be asked for rights until they stop, but receive none.
    pub(super) fn holder_summaries(&self) -> PeerSummaries {
        let now = self.now();
        let members = self.members.borrow();
        let peers = self.peers.borrow();
        let mut summaries = BTreeMap::new();
        for (instance, peer) in peers.iter() {
            let is_reachable = members.get(instance).is_some_and(|m| m.is_reachable(now));
            let Some(incarnation) = peer.incarnation.as_ref().filter(|_| is_reachable) else {
                continue;
            };
            if !self.is_fenced(incarnation) {
                summaries.insert(incarnation.clone(), peer.summaries.clone());
            }
        }
        summaries
    }

    /// Peers in a data centre of this instance's region.
    pub(super) fn peers_in_region(&self) -> BTreeSet<IncarnationId> {
        let snapshot = self.snapshot_now();
        let contracts = || snapshot.contracts.values();
        let own = &self.place.centre;
        let members = self.members.borrow();
        let near = members.iter().filter(|(_name, entry)| {
            let theirs = &entry.place.centre;
            theirs == own
                || contracts().any(|contract| {
                    let region = contract.region_of(own);
                    region.is_some() && region == contract.region_of(theirs)
                })
        });
        near.filter_map(|(_name, entry)| entry.incarnation.clone())
            .collect()
    }
}
