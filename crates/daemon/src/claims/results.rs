//! Pending writes of claim results and pending deletions of claims.
//!
//! Both stay queued until the table has applied them, for as long as it is
//! unavailable.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tarragonpulley_backing::{
    CommitOutcome, RowChange, RowCondition, RowKey, TableService, TableTransaction,
};
use tarragonpulley_policy::claim::{ClaimRow, ClaimState};

use super::rows::{ReadResult, encode, read_row};
use crate::metrics::RequestMetrics;

/// Interval between two result transactions.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Retry delay after the table could not be reached.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum rows and bytes in one transaction.
const MAX_BATCH: usize = 48;
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Time for which an insert without a response may still be applied. It is well
/// above the deadline of a table call.
const LATE_INSERT_TIMEOUT: Duration = Duration::from_secs(30);

/// Minimum interval between two checks of a claim that is to be deleted. It
/// doubles with each check that finds no row, since an outage may leave many
/// claims whose insert may still be applied. It does not grow while a row is
/// known to exist or the table fails: until the row is deleted, retries of its
/// request are rejected.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Clone)]
struct PendingResult {
    row: ClaimRow,
    modified: u64,
}

#[derive(Debug, Clone)]
struct PendingRelease {
    released_at: Instant,
    /// Whether the row is known to have been inserted. Its absence then means
    /// that it has been deleted.
    inserted: bool,
    next_check: Instant,
    /// Interval to the next check if that one finds no row.
    backoff: Duration,
}

/// Result of checking the row of a released claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseCheck {
    /// The row is deleted and will not be inserted.
    Done,
    /// The claim has no row, but its insert may still be applied.
    Absent,
    /// The row was modified before it could be deleted.
    Modified,
    /// The table failed.
    Failed,
}

/// The row and the nonce of a released claim. An insert that is applied late may
/// follow the release of a later claim of the same row.
type ReleaseKey = (RowKey, String);

/// Writes that have not yet been applied to the table.
#[derive(Debug)]
pub(super) struct ResultQueue {
    table: Rc<dyn TableService>,
    metrics: RequestMetrics,
    results: RefCell<BTreeMap<RowKey, PendingResult>>,
    releases: RefCell<BTreeMap<ReleaseKey, PendingRelease>>,
}

impl ResultQueue {
    pub(super) fn new(table: Rc<dyn TableService>, metrics: RequestMetrics) -> Self {
        Self {
            table,
            metrics,
            results: RefCell::default(),
            releases: RefCell::default(),
        }
    }

    /// Whether nothing is pending. Inserts that may still be applied late do not
    /// count: a row left behind by an ended instance reads as "outcome unknown".
    pub(super) fn is_empty(&self) -> bool {
        let releases = self.releases.borrow();
        self.results.borrow().is_empty() && !releases.values().any(|release| release.inserted)
    }

    pub(super) fn pending_row(&self, key: &RowKey) -> Option<ClaimRow> {
        self.results
            .borrow()
            .get(key)
            .map(|result| result.row.clone())
    }

    pub(super) fn is_releasing(&self, key: &RowKey) -> bool {
        let releases = self.releases.borrow();
        let mut from_key = releases.range((key.clone(), String::new())..);
        from_key
            .next()
            .is_some_and(|((row_key, _), _)| row_key == key)
    }

    /// Queues the result of a claim whose row was last written at revision
    /// `modified`.
    pub(super) fn record(&self, key: RowKey, row: ClaimRow, modified: u64) {
        let result = PendingResult { row, modified };
        self.results.borrow_mut().insert(key, result);
    }

    /// Queues the deletion of a claim whose request was certainly not sent.
    /// `inserted` says whether its row is known to exist.
    pub(super) fn release(&self, key: RowKey, row: ClaimRow, inserted: bool) {
        let now = Instant::now();
        let release_key = (key, row.nonce);
        let release = PendingRelease {
            released_at: now,
            inserted,
            next_check: now,
            backoff: RELEASE_CHECK_INTERVAL,
        };
        self.releases.borrow_mut().insert(release_key, release);
    }

    pub(super) async fn run(&self) {
        let mut last_release = Instant::now();
        loop {
            actix_rt::time::sleep(WRITE_INTERVAL).await;
            let mut reached = self.write_results().await;
            if reached && last_release.elapsed() >= RELEASE_CHECK_INTERVAL {
                last_release = Instant::now();
                reached = self.delete_released().await;
            }
            if !reached {
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    fn next_batch(&self) -> Vec<(RowKey, PendingResult, Vec<u8>)> {
        let mut bytes = 0;
        let results = self.results.borrow();
        let encoded = results.iter().map(|(key, result)| {
            let value = encode(&result.row);
            (key.clone(), result.clone(), value)
        });
        encoded
            .take(MAX_BATCH)
            .enumerate()
            .take_while(|(index, (_, _, value))| {
                bytes += value.len();
                *index == 0 || bytes <= MAX_BATCH_BYTES
            })
            .map(|(_, entry)| entry)
            .collect()
    }

    /// Writes pending results. Returns whether the table was reached.
    async fn write_results(&self) -> bool {
        let batch = self.next_batch();
        if batch.is_empty() {
            return true;
        }
        match self.commit(&batch).await {
            CommitOutcome::Committed(_) => {
                for (key, ..) in &batch {
                    self.results.borrow_mut().remove(key);
                }
                true
            }
            CommitOutcome::NotApplied(_) => false,
            // Check row by row which results were written.
            CommitOutcome::Conflict | CommitOutcome::Unknown(_) => {
                for entry in &batch {
                    if !self.write_one(entry).await {
                        return false;
                    }
                }
                true
            }
        }
    }

    async fn commit(&self, batch: &[(RowKey, PendingResult, Vec<u8>)]) -> CommitOutcome {
        self.metrics.claim_writes.inc();
        let conditions = batch
            .iter()
            .map(|(key, result, _)| RowCondition::Unchanged(key.clone(), result.modified));
        let changes = batch
            .iter()
            .map(|(key, _, value)| RowChange::Put(key.clone(), value.clone()));
        let transaction = TableTransaction {
            conditions: conditions.collect(),
            changes: changes.collect(),
        };
        self.table.commit(transaction).await
    }

    async fn write_one(&self, entry: &(RowKey, PendingResult, Vec<u8>)) -> bool {
        let (key, result, _) = entry;
        match read_row(&*self.table, key).await {
            ReadResult::Failed => return false,
            ReadResult::Found { row, modified }
                if row.nonce == result.row.nonce && row.state == ClaimState::Running =>
            {
                if modified != result.modified {
                    log::error!("claim {key} was modified by another process");
                } else if !matches!(
                    self.commit(std::slice::from_ref(entry)).await,
                    CommitOutcome::Committed(_)
                ) {
                    // Stays in the queue for the next round.
                    return true;
                }
            }
            // Already written by a commit without a response, or the claim was lost.
            ReadResult::Found { .. } | ReadResult::Absent => {}
        }
        self.results.borrow_mut().remove(key);
        true
    }

    /// Deletes released claims. Returns whether the table was reached.
    async fn delete_released(&self) -> bool {
        for (key, release) in self.due_releases() {
            let check = self.delete_one(&key, &release).await;
            if check == ReleaseCheck::Done {
                self.releases.borrow_mut().remove(&key);
                continue;
            }
            self.postpone(&key, check);
            if check == ReleaseCheck::Failed {
                return false;
            }
        }
        true
    }

    /// The releases to check now. Those that have waited longest come first, so
    /// that a row whose check always fails does not keep the others from theirs.
    fn due_releases(&self) -> Vec<(ReleaseKey, PendingRelease)> {
        let now = Instant::now();
        let releases = self.releases.borrow();
        let due = releases.iter().filter(|(_, r)| r.next_check <= now);
        let mut due: Vec<_> = due.map(|(k, r)| (k.clone(), r.clone())).collect();
        due.sort_by_key(|(_, release)| release.next_check);
        due
    }

    fn postpone(&self, key: &ReleaseKey, check: ReleaseCheck) {
        if let Some(release) = self.releases.borrow_mut().get_mut(key) {
            let mut interval = RELEASE_CHECK_INTERVAL;
            if check == ReleaseCheck::Absent {
                interval = release.backoff;
                release.backoff *= 2;
            }
            release.next_check = Instant::now() + interval;
        }
    }

    async fn delete_one(&self, key: &ReleaseKey, release: &PendingRelease) -> ReleaseCheck {
        let (row_key, nonce) = key;
        let modified = match read_row(&*self.table, row_key).await {
            ReadResult::Failed => return ReleaseCheck::Failed,
            ReadResult::Found { row, modified } if row.nonce == *nonce => modified,
            // Recorded rows are never deleted, so a late insert fails.
            ReadResult::Found { row, .. } if row.state != ClaimState::Running => {
                return ReleaseCheck::Done;
            }
            // The row of another claim may be deleted before a late insert.
            ReadResult::Found { .. } | ReadResult::Absent => {
                let decided =
                    release.inserted || release.released_at.elapsed() > LATE_INSERT_TIMEOUT;
                return if decided {
                    ReleaseCheck::Done
                } else {
                    ReleaseCheck::Absent
                };
            }
        };
        if let Some(known) = self.releases.borrow_mut().get_mut(key) {
            known.inserted = true;
        }
        self.metrics.claim_writes.inc();
        let transaction = TableTransaction {
            conditions: vec![RowCondition::Unchanged(row_key.clone(), modified)],
            changes: vec![RowChange::Delete(row_key.clone())],
        };
        match self.table.commit(transaction).await {
            CommitOutcome::Committed(_) => ReleaseCheck::Done,
            CommitOutcome::Conflict => ReleaseCheck::Modified,
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_) => ReleaseCheck::Failed,
        }
    }
}
