//! Renewal of the leases of the jobs that this instance holds.
//!
//! One transaction renews a batch of leases, because the table sustains only
//! several hundred writes per second for the whole fleet.

use std::cell::Cell;
use std::rc::Rc;

use tarragonpulley_backing::{CommitOutcome, RowChange, RowCondition, RowKey, TableTransaction};
use tarragonpulley_policy::lease::RENEW_INTERVAL;
use tokio::sync::Notify;

use super::JobService;
use super::rows::{OPEN_PREFIX, OpenJob, decode, encode, open_key};

/// Maximum leases renewed in one transaction; the table service limits
/// transactions.
const MAX_BATCH: usize = 64;

/// A job that this instance holds.
#[derive(Debug)]
pub(super) struct HeldJob {
    pub(super) id: String,
    pub(super) job: OpenJob,
    /// Table revision of the last write to the job's row.
    pub(super) modified: Cell<u64>,
    renewals: Cell<u64>,
    /// Notified when the job is done or another instance holds it.
    pub(super) lease_lost: Notify,
}

impl HeldJob {
    pub(super) fn new(id: String, job: OpenJob, modified: u64) -> Self {
        Self {
            id,
            job,
            modified: Cell::new(modified),
            renewals: Cell::new(0),
            lease_lost: Notify::new(),
        }
    }

    fn renewed_row(&self) -> OpenJob {
        OpenJob {
            renewals: self.renewals.get(),
            ..self.job.clone()
        }
    }
}

impl JobService {
    pub(super) async fn renew_loop(&self) {
        loop {
            actix_rt::time::sleep(RENEW_INTERVAL).await;
            let held: Vec<_> = self.running.borrow().values().cloned().collect();
            for batch in held.chunks(MAX_BATCH) {
                self.renew(batch).await;
            }
        }
    }

    async fn renew(&self, batch: &[Rc<HeldJob>]) {
        for held in batch {
            held.renewals.set(held.renewals.get() + 1);
        }
        let conditions = batch
            .iter()
            .map(|held| RowCondition::Unchanged(open_key(&held.id), held.modified.get()));
        let changes = batch
            .iter()
            .map(|held| RowChange::Put(open_key(&held.id), encode(&held.renewed_row())));
        let transaction = TableTransaction {
            conditions: conditions.collect(),
            changes: changes.collect(),
        };
        match self.context.table.commit(transaction).await {
            CommitOutcome::Committed(revision) => {
                for held in batch {
                    held.modified.set(revision);
                }
            }
            CommitOutcome::NotApplied(_) => {}
            // A row changed or the response was lost. The other leases are
            // renewed in the next round.
            CommitOutcome::Conflict | CommitOutcome::Unknown(_) => self.verify_leases(batch).await,
        }
    }

    /// Checks which jobs are still held. If the table cannot be read, the jobs
    /// continue to run, since slow routes are idempotent.
    pub(super) async fn verify_leases(&self, batch: &[Rc<HeldJob>]) {
        let Ok(snapshot) = self.context.table.read(RowKey::new(OPEN_PREFIX)).await else {
            return;
        };
        for held in batch {
            let key = open_key(&held.id);
            let found = snapshot.rows.get(&key);
            let row = found.and_then(|found| decode::<OpenJob>(&key, &found.value));
            let own =
                row.is_some_and(|row| row.holder == held.job.holder && row.epoch == held.job.epoch);
            match found {
                Some(found) if own => held.modified.set(found.modified),
                _ => held.lease_lost.notify_one(),
            }
        }
    }
}
