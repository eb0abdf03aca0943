//! Changes of the configuration.
//!
//! A change is one transaction, conditional on `config/head` being unmodified
//! since it was read. All attempts of a change write the same random number to
//! the head row, and all attempts with the same base have the same condition.
//! So at most one of them takes effect, and the outcome of an attempt whose
//! response was lost can be found by reading the table.

use std::rc::Rc;
use std::time::Duration;

use log::{debug, warn};
use tarragonpulley_backing::{CommitOutcome, RowChange, RowCondition, RowKey, TableTransaction};
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::snapshot::{ConfigSnapshot, KeyDigest, KeyGrant};
use tarragonpulley_policy::units::ConfigRevision;
use tarragonpulley_wire::rows::{self, ConfigRows, HeadRow};
use tokio::time::sleep;

use super::core::FleetCore;
use super::edit::{EditPlan, RowWrites, plan_edit};
use super::sync::{SyncError, read_head};
use crate::interfaces::{ChangeOutcome, ConfigEdit};

/// Maximum attempts of a change, including those that only read the table after a
/// lost response.
const MAX_ATTEMPTS: u32 = 8;

/// Delay before the next attempt after the table failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Longest time for which the response to the operator is held back until the
/// reachable peers have applied an accepted change. Without the wait, an instance
/// that stops right after its response could leave a change that only the table
/// has.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(1);

/// The configuration that a change is based on.
#[derive(Debug)]
struct ChangeBase {
    rows: Rc<ConfigRows>,
    snapshot: Rc<ConfigSnapshot>,
    change: Option<u64>,
    condition: RowCondition,
}

/// A change in progress.
#[derive(Debug)]
struct ChangeRun {
    edit: ConfigEdit,
    change_id: u64,
    /// Rows of an attempt whose response was lost.
    unconfirmed: Option<RowWrites>,
    last_error: String,
}

/// The result of one attempt.
#[derive(Debug)]
enum AttemptOutcome {
    Done(ChangeOutcome),
    Retry { backoff: bool },
}

impl FleetCore {
    /// Makes a change, with retries.
    pub(super) async fn run_change(&self, edit: ConfigEdit) -> ChangeOutcome {
        if let ConfigEdit::WithdrawKey(digest) = &edit {
            self.publish_fact(FactKey::KeyWithdrawn(*digest), FactValue::Flag, true);
        }
        if let ConfigEdit::GrantKey(digest, _team) = &edit
            && self
                .facts
                .borrow()
                .get(&FactKey::KeyWithdrawn(*digest))
                .is_some()
        {
            return ChangeOutcome::Refused(format!("key {digest} was withdrawn"));
        }
        let guard = self.change_lock.lock().await;
        let outcome = self.run_attempts(edit).await;
        drop(guard);
        if let ChangeOutcome::Accepted(revision) = &outcome {
            self.propagate(*revision).await;
        }
        outcome
    }

    /// Writes a key withdrawal that takes effect already but is missing in the table,
    /// because the table was down. Only the first reachable instance in name order
    /// writes.
    pub(super) async fn store_withdrawals(&self) {
        if self.proof_age().is_none() || !self.rank_delay().is_zero() {
            return;
        }
        let snapshot = self.snapshot_now();
        let missing = |(digest, grant): &(&KeyDigest, &KeyGrant)| {
            let fact = FactKey::KeyWithdrawn(**digest);
            !grant.withdrawn && self.facts.borrow().get(&fact).is_some()
        };
        let missing = snapshot.keys.iter().find(missing);
        if let Some((digest, _grant)) = missing {
            let outcome = self.run_change(ConfigEdit::WithdrawKey(*digest)).await;
            debug!("withdrawal of {digest} stored: {outcome:?}");
        }
    }

    async fn run_attempts(&self, edit: ConfigEdit) -> ChangeOutcome {
        let mut run = ChangeRun {
            edit,
            change_id: rand::random(),
            unconfirmed: None,
            last_error: String::new(),
        };
        for _attempt in 0..MAX_ATTEMPTS {
            match self.attempt(&mut run).await {
                AttemptOutcome::Done(outcome) => return outcome,
                AttemptOutcome::Retry { backoff: true } => sleep(RETRY_BACKOFF).await,
                AttemptOutcome::Retry { backoff: false } => {}
            }
        }
        if run.unconfirmed.is_some() {
            ChangeOutcome::Unknown(run.last_error)
        } else {
            ChangeOutcome::Conflict(self.revision())
        }
    }

    async fn attempt(&self, run: &mut ChangeRun) -> AttemptOutcome {
        let base = match self.read_base().await {
            Ok(base) => base,
            Err(SyncError::OutOfSync) => return AttemptOutcome::Retry { backoff: true },
            Err(error) => return run.table_failed(error.to_string()),
        };
        let revision = base.snapshot.revision;
        if run.has_taken_effect(&base) {
            return AttemptOutcome::Done(ChangeOutcome::Accepted(revision));
        }
        match plan_edit(&run.edit, &base.rows, &base.snapshot) {
            EditPlan::Rejected(reason) => AttemptOutcome::Done(ChangeOutcome::Refused(reason)),
            EditPlan::Conflict => AttemptOutcome::Done(ChangeOutcome::Conflict(revision)),
            EditPlan::Write(writes) if writes.is_empty() => {
                AttemptOutcome::Done(ChangeOutcome::Accepted(revision))
            }
            EditPlan::Write(writes) => self.commit_change(run, &base, writes).await,
        }
    }

    async fn commit_change(
        &self,
        run: &mut ChangeRun,
        base: &ChangeBase,
        mut writes: RowWrites,
    ) -> AttemptOutcome {
        let revision = base.snapshot.revision.next();
        let head = HeadRow {
            revision,
            change: Some(run.change_id),
        };
        writes.insert(rows::HEAD_KEY.to_owned(), Some(rows::encode(&head)));
        let transaction = TableTransaction {
            conditions: vec![base.condition.clone()],
            changes: writes.iter().map(row_change).collect(),
        };
        self.metrics.table_writes.inc();
        match self.table.commit(transaction).await {
            CommitOutcome::Committed(_) => {
                self.apply_change(base, &writes, revision);
                AttemptOutcome::Done(ChangeOutcome::Accepted(revision))
            }
            CommitOutcome::Conflict => AttemptOutcome::Retry { backoff: false },
            CommitOutcome::NotApplied(error) => run.table_failed(error.to_string()),
            CommitOutcome::Unknown(error) => {
                writes.remove(rows::HEAD_KEY);
                run.unconfirmed = Some(writes);
                run.table_failed(error.to_string())
            }
        }
    }

    /// Applies a committed change on this instance.
    fn apply_change(&self, base: &ChangeBase, writes: &RowWrites, revision: ConfigRevision) {
        let mut rows = (*base.rows).clone();
        for (key, value) in writes {
            match value {
                Some(value) => rows.insert(key.clone(), value.clone()),
                None => rows.remove(key),
            };
        }
        if let Err(error) = self.adopt_rows(rows) {
            warn!("committed revision {revision} not applied: {error}");
        }
    }

    /// Waits until the reachable peers have applied `revision`, for
    /// [`PROPAGATION_TIMEOUT`] at most.
    async fn propagate(&self, revision: ConfigRevision) {
        self.urgent_revision
            .set(self.urgent_revision.get().max(revision));
        self.propagating.set(self.propagating.get().max(revision));
        self.wake_heartbeats();
        let peers_current = |core: &Self| core.peers_have(revision);
        let propagated = self
            .wait_with_timeout(PROPAGATION_TIMEOUT, peers_current)
            .await;
        if self.propagating.get() == revision {
            self.propagating.set(ConfigRevision::default());
        }
        let detail = if propagated {
            "by all peers that answer"
        } else {
            "not by all peers yet"
        };
        self.record_event("change_accepted", &revision.to_string(), detail);
    }

    fn peers_have(&self, revision: ConfigRevision) -> bool {
        let now = self.now();
        let members = self.members.borrow();
        let peers = self.peers.borrow();
        let mut reachable = members
            .iter()
            .filter(|(_name, entry)| entry.is_reachable(now));
        reachable.all(|(name, _entry)| {
            peers
                .get(name)
                .is_some_and(|peer| peer.revision >= revision)
        })
    }

    /// Reads the newest configuration and the modification number of its head row.
    async fn read_base(&self) -> Result<ChangeBase, SyncError> {
        self.metrics.table_reads.inc();
        let read = self.table.read(RowKey::new(rows::HEAD_KEY)).await?;
        let (head, modified) = read_head(&read)?;
        if head.revision > self.revision() {
            // The rows may be newer than this head. If they are, the check below
            // fails and the next attempt reads the head again, since
            // the rows and the condition must be of one revision.
            self.load_config().await?;
        }
        let config = self.config.borrow();
        if config.freshness.revision() != head.revision {
            return Err(SyncError::OutOfSync);
        }
        let key = RowKey::new(rows::HEAD_KEY);
        Ok(ChangeBase {
            rows: Rc::clone(&config.rows),
            snapshot: Rc::clone(&config.snapshot),
            change: head.change,
            condition: match modified {
                Some(modified) => RowCondition::Unchanged(key, modified),
                None => RowCondition::Absent(key),
            },
        })
    }
}

impl ChangeRun {
    /// Whether an attempt without a response has taken effect.
    fn has_taken_effect(&self, base: &ChangeBase) -> bool {
        let Some(writes) = &self.unconfirmed else {
            return false;
        };
        base.change == Some(self.change_id)
            || writes
                .iter()
                .all(|(key, value)| base.rows.get(key) == value.as_ref())
    }

    /// Handles a failure of the table. Without an attempt whose response was lost,
    /// the change certainly had no effect and ends; otherwise the next attempt
    /// reads the outcome from the table.
    fn table_failed(&mut self, last_error: String) -> AttemptOutcome {
        self.last_error = last_error;
        if self.unconfirmed.is_some() {
            AttemptOutcome::Retry { backoff: true }
        } else {
            AttemptOutcome::Done(ChangeOutcome::Unavailable(self.last_error.clone()))
        }
    }
}

fn row_change((key, value): (&String, &Option<Vec<u8>>)) -> RowChange {
    let key = RowKey::new(key.clone());
    match value {
        Some(value) => RowChange::Put(key, value.clone()),
        None => RowChange::Delete(key),
    }
}
