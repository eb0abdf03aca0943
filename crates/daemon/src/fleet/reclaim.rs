//! Writes of the rights record: the first generation, reclaims, and new generations.
//!
//! A reclaim grants the shares of removed incarnations to one survivor. Before,
//! every survivor fences the removed incarnations, which means that it rejects
//! their messages, and reports its transfers with them. So the amounts are final
//! when the record is written. If no survivor took part in the generation, its
//! holders are not all known, and a new generation replaces it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use log::{debug, info};
use tarragonpulley_backing::{CommitOutcome, RowChange, RowCondition, RowKey, TableTransaction};
use tarragonpulley_policy::ids::{IncarnationId, InstanceName};
use tarragonpulley_policy::rights::{
    FenceReport, GenerationRecord, ReclaimError, ReclaimRecord, plan_reclaim,
};
use tarragonpulley_wire::peer::{FenceResponse, PeerRequest, PeerResponse};
use tarragonpulley_wire::rows::{self, GENERATION_KEY};

use super::core::FleetCore;
use super::peering::{PeerError, rejected};
use super::sync::SyncError;
use super::watch::StateWatch;

/// Interval between checks of the record and of the demand of peers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Additional delay of each further instance in name order before it writes the
/// record, so that usually only the first one does.
const RANK_DELAY: Duration = Duration::from_secs(1);

/// Timeout of a fence request to a survivor.
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reclaims after which a new generation begins. Each adds about 2 KB to a row
/// that every instance reads twice a second.
const MAX_RECLAIMS: usize = 64;

/// Why the record could not be renewed.
#[derive(Debug, thiserror::Error)]
enum RenewError {
    #[error(transparent)]
    Sync(#[from] SyncError),
    #[error("no fence report of {0}: {1}")]
    Survivor(IncarnationId, PeerError),
    #[error("{0} is known only to another survivor")]
    Unknown(IncarnationId),
    #[error("{0} is listed, but no message of it was received")]
    Uncontacted(InstanceName),
    #[error(transparent)]
    Plan(#[from] ReclaimError),
    #[error("the record was not written: {0:?}")]
    Commit(CommitOutcome),
}

/// The reports of all survivors, including this instance.
type SurvivorReports = BTreeMap<IncarnationId, FenceReport>;

/// Maintains the rights record while the instance runs.
pub(super) async fn maintain_rights(core: Rc<FleetCore>) {
    let mut due_since: Option<Instant> = None;
    let mut state_watch = StateWatch::default();
    loop {
        state_watch.record_changes(&core);
        core.rebalance_rights();
        let wait = core
            .now()
            .saturating_duration_since(*due_since.get_or_insert_with(|| core.now()));
        if !core.record_is_due() {
            due_since = None;
        } else if wait >= core.rank_delay()
            && let Err(error) = core.renew_record().await
        {
            debug!("rights record not renewed: {error}");
        }
        core.prune_members();
        core.store_withdrawals().await;
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
    }
}

impl FleetCore {
    /// Whether the record must be written and this instance may do it.
    fn record_is_due(&self) -> bool {
        let has_list = self.members.borrow().has_list();
        let proved = self.proof_age().is_some() && !self.is_leaving();
        has_list
            && proved
            && (self.rights.borrow().record.is_none()
                || !self.unreclaimed_incarnations().is_empty())
    }

    /// Removed incarnations that no reclaim covers yet.
    fn unreclaimed_incarnations(&self) -> BTreeSet<IncarnationId> {
        let rights = self.rights.borrow();
        let mut removed = self.removed_incarnations();
        let recorded = rights.reclaimed_incarnations();
        removed.retain(|known| !recorded.contains(known) && !rights.settled.contains(known));
        removed
    }

    /// Known incarnations that were removed, including earlier ones of this instance.
    fn removed_incarnations(&self) -> BTreeSet<IncarnationId> {
        let mut removed = self.members.borrow().removed_incarnations(self.now());
        removed.extend(self.rights.borrow().previous_incarnations.iter().cloned());
        removed
    }

    /// Records an incarnation that another instance or the record names.
    pub(super) fn record_known_incarnation(&self, incarnation: &IncarnationId) {
        let own = self.own().clone();
        if incarnation.instance != own.instance {
            self.members.borrow_mut().record_reported(incarnation);
        } else if incarnation.number < own.number {
            self.rights
                .borrow_mut()
                .previous_incarnations
                .insert(incarnation.clone());
        }
    }

    pub(super) fn rank_delay(&self) -> Duration {
        let own = self.own().clone();
        let (now, members) = (self.now(), self.members.borrow());
        let before = members
            .iter()
            .filter(|(name, entry)| **name < own.instance && entry.is_reachable(now));
        RANK_DELAY * u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Creates the record, or reclaims the rights of newly removed incarnations.
    async fn renew_record(&self) -> Result<(), RenewError> {
        let (bytes, modified) = self.read_generation_row().await.map_err(SyncError::from)?;
        self.apply_generation_row(bytes.as_deref())
            .map_err(SyncError::from)?;
        let own = self.own().clone();
        let record = self.rights.borrow().record.clone();
        let key = RowKey::new(GENERATION_KEY);
        let (record, condition) = match (record, modified) {
            (None, None) => {
                let first = new_generation(1, own);
                return self.write_record(first, RowCondition::Absent(key)).await;
            }
            (Some(record), Some(modified)) => (record, RowCondition::Unchanged(key, modified)),
            _ => return Err(SyncError::OutOfSync.into()),
        };
        let unreclaimed = self.unreclaimed_incarnations();
        if unreclaimed.is_empty() {
            return Ok(());
        }
        let mut removed = self.rights.borrow().reclaimed_incarnations();
        removed.extend(self.removed_incarnations());
        let reports = self.fence_on_survivors(&removed).await?;
        if own != *self.own() {
            return Err(SyncError::OutOfSync.into());
        }
        if !has_surviving_holder(&record, &removed, &reports)
            || record.reclaims.len() >= MAX_RECLAIMS
        {
            let next = new_generation(record.number + 1, own);
            return self.write_record(next, condition).await;
        }
        let reclaim = plan_reclaim(&record, &removed, &own, &reports)?;
        if grants_nothing(&reclaim) {
            self.rights.borrow_mut().settled.extend(unreclaimed);
            return Ok(());
        }
        let subject = join_names(&reclaim.dead);
        let mut next = record;
        next.reclaims.push(reclaim);
        self.write_record(next, condition).await?;
        self.metrics.rights_reclaims.inc();
        self.record_event("rights_reclaimed", &subject, &own.to_string());
        Ok(())
    }

    /// Writes the record. A lost response needs no handling here, because the next
    /// read of the table shows the outcome.
    async fn write_record(
        &self,
        record: GenerationRecord,
        condition: RowCondition,
    ) -> Result<(), RenewError> {
        let bytes = rows::encode_generation(&record);
        let transaction = TableTransaction {
            conditions: vec![condition],
            changes: vec![RowChange::Put(RowKey::new(GENERATION_KEY), bytes.clone())],
        };
        self.metrics.table_writes.inc();
        match self.table.commit(transaction).await {
            CommitOutcome::Committed(_) => {
                self.apply_generation_row(Some(&bytes))
                    .map_err(SyncError::from)?;
                Ok(())
            }
            other => {
                self.wake_table_reader();
                Err(RenewError::Commit(other))
            }
        }
    }

    /// Makes every survivor fence `removed` and collects the reports.
    async fn fence_on_survivors(
        &self,
        removed: &BTreeSet<IncarnationId>,
    ) -> Result<SurvivorReports, RenewError> {
        let own = self.own().clone();
        info!("fencing {}", join_names(removed));
        let required = self.members.borrow().required_attesters(self.now());
        let required = required.ok_or(SyncError::OutOfSync)?;
        if let Some(uncontacted) = required.uncontacted.first() {
            return Err(RenewError::Uncontacted(uncontacted.clone()));
        }
        let survivors = &required.incarnations - removed;
        let requests = survivors
            .iter()
            .map(|survivor| self.request_fence_report(survivor, removed));
        let mut reports = SurvivorReports::new();
        let mut known = BTreeSet::new();
        for response in join_all(requests).await {
            let (survivor, report, known_to_survivor) = response?;
            reports.insert(survivor, report);
            known.extend(known_to_survivor);
        }
        // An incarnation that only a survivor knows may be a further survivor or
        // removed; this instance must find out which before the reclaim.
        for incarnation in known {
            if incarnation != own
                && !removed.contains(&incarnation)
                && !reports.contains_key(&incarnation)
            {
                self.record_known_incarnation(&incarnation);
                return Err(RenewError::Unknown(incarnation));
            }
        }
        reports.insert(own, self.fence_locally(removed));
        Ok(reports)
    }

    async fn request_fence_report(
        &self,
        survivor: &IncarnationId,
        removed: &BTreeSet<IncarnationId>,
    ) -> Result<(IncarnationId, FenceReport, BTreeSet<IncarnationId>), RenewError> {
        let failed = |error| RenewError::Survivor(survivor.clone(), error);
        let link = self.link(&survivor.instance);
        let link = link.ok_or_else(|| failed(PeerError::NoAddress))?;
        let request = PeerRequest::FenceReport {
            sender: (&*self.own()).into(),
            dead: removed.iter().map(Into::into).collect(),
        };
        match link.call(self, &request, FENCE_TIMEOUT).await {
            Ok(PeerResponse::Fence(response)) => {
                let report = response.into_report().map_err(|e| failed(e.into()))?;
                if report.0 == *survivor {
                    Ok(report)
                } else {
                    Err(failed(PeerError::UnexpectedResponse))
                }
            }
            Ok(_other) => Err(failed(PeerError::UnexpectedResponse)),
            Err(error) => Err(failed(error)),
        }
    }

    fn fence_locally(&self, removed: &BTreeSet<IncarnationId>) -> FenceReport {
        let mut rights = self.rights.borrow_mut();
        rights.fenced.extend(removed.iter().cloned());
        rights.ledger.fence(removed)
    }

    /// Handles a fence request. It is rejected if it names an incarnation that this
    /// instance's own list and links don't show as removed.
    pub(super) fn serve_fence(
        &self,
        sender: &IncarnationId,
        removed: &BTreeSet<IncarnationId>,
    ) -> PeerResponse {
        if self.is_fenced(sender) {
            return PeerResponse::Fenced;
        }
        let own = self.own().clone();
        let known_removed = self.removed_incarnations();
        let (now, members) = (self.now(), self.members.borrow());
        let is_removed = |incarnation: &IncarnationId| {
            known_removed.contains(incarnation)
                || self.is_fenced(incarnation)
                || (incarnation.instance == own.instance && incarnation.number < own.number)
                || (members.has_list() && members.is_removed(incarnation, now))
        };
        if let Some(live) = removed.iter().find(|i| **i == own || !is_removed(i)) {
            return rejected(&format!("{live} is not gone"));
        }
        let known = members.known_incarnations();
        drop(members);
        let report = self.fence_locally(removed);
        let response = FenceResponse::new(&own, &report, &known);
        PeerResponse::Fence(Box::new(response))
    }

    /// Removes the state of incarnations whose rights are settled, which means
    /// reclaimed or known to be empty.
    fn prune_members(&self) {
        let now = self.now();
        let mut rights = self.rights.borrow_mut();
        let mut settled = rights.reclaimed_incarnations();
        settled.extend(rights.settled.iter().cloned());
        rights
            .previous_incarnations
            .retain(|incarnation| !settled.contains(incarnation));
        drop(rights);
        let mut members = self.members.borrow_mut();
        let removed = members.removed_incarnations(now);
        members.prune(now, &|incarnation| settled.contains(incarnation));
        let known: BTreeSet<_> = members.iter().map(|(name, _)| name.clone()).collect();
        drop(members);
        self.peers
            .borrow_mut()
            .retain(|name, _| known.contains(name));
        let mut config = self.config.borrow_mut();
        let mut facts = self.facts.borrow_mut();
        for incarnation in removed.intersection(&settled) {
            config.freshness.remove_attestation(incarnation);
            facts.remove_incarnation(incarnation);
        }
    }
}

fn new_generation(number: u64, first_holder: IncarnationId) -> GenerationRecord {
    GenerationRecord {
        number,
        first_holder,
        reclaims: Vec::new(),
    }
}

/// Whether a survivor was granted or transferred shares of the generation.
fn has_surviving_holder(
    record: &GenerationRecord,
    removed: &BTreeSet<IncarnationId>,
    reports: &SurvivorReports,
) -> bool {
    let mut issued = record.reclaims.iter().map(|reclaim| &reclaim.recipient);
    issued.any(|recipient| !removed.contains(recipient))
        || !removed.contains(&record.first_holder)
        || reports
            .values()
            .any(|report| !report.amounts.is_empty() || !report.peers.is_empty())
}

fn grants_nothing(reclaim: &ReclaimRecord) -> bool {
    !reclaim.takes_unlisted && reclaim.amounts.values().all(|shares| *shares == 0)
}

fn join_names(incarnations: &BTreeSet<IncarnationId>) -> String {
    let names: Vec<String> = incarnations.iter().map(ToString::to_string).collect();
    names.join(", ")
}
