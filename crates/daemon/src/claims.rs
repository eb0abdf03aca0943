//! Claims of requests that run at most once, and their recorded results.
//!
//! A claim is a table row that is inserted before its request is sent. Inserts
//! and results are batched into shared transactions. After an insert with an
//! unknown outcome, the row is read back and recognised by its nonce. The claim
//! of a request that was not sent is deleted, so that the caller may retry.

mod health;
mod held;
mod results;
mod rows;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tarragonpulley_backing::{
    CommitOutcome, RowChange, RowCondition, RowKey, TableService, TableTransaction,
};
use tarragonpulley_policy::claim::{
    ClaimDecision, ClaimIdentity, ClaimRow, ClaimState, InsertAction, InsertOutcome,
    RecordedResponse, after_insert, decide_claim,
};
use tarragonpulley_policy::ids::IncarnationId;
use tokio::sync::{Notify, oneshot};

use crate::interfaces::{InstanceContext, MemberSource};
use crate::metrics::RequestMetrics;
use crate::tasks::LoopGuard;
use health::TableHealth;
pub(crate) use held::HeldClaim;
use held::LocalClaim;
use results::ResultQueue;
use rows::{ReadResult, read_row};

/// Claims that arrive within this delay share a transaction.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Minimum interval between two claim transactions. The table sustains several
/// hundred writes per second for the whole fleet of at most 12 instances.
const MIN_INSERT_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum rows in one transaction; the table service limits transactions.
const MAX_BATCH: usize = 64;

/// Maximum insert rounds of a batch that conflicts with existing rows. Each
/// round removes the conflicting ones from the batch.
const MAX_ROUNDS: usize = 4;

/// Inserts that share one transaction.
type Batch = Vec<PendingInsert>;

/// Outcome of claiming the identity of a request.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// The claim is held; the request may be sent.
    Held(HeldClaim),
    /// An earlier request got this response.
    Recorded(RecordedResponse),
    /// The identity was used for a different request.
    Reused,
    /// An earlier request is still running.
    StillRunning,
    /// An earlier request may have run.
    Unknown,
    /// The table is unavailable; nothing was sent.
    TableUnavailable,
    /// The deadline passed before the claim was decided; nothing was sent.
    DeadlinePassed,
}

/// Final state of a held claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimResolution {
    /// The request got this response.
    Responded(RecordedResponse),
    /// The request may have run.
    Unknown,
    /// The request certainly did not run.
    NotRun,
}

#[derive(Debug)]
enum InsertResult {
    Held { modified: u64 },
    Decided(ClaimDecision),
    Unavailable,
}

#[derive(Debug)]
struct PendingInsert {
    key: RowKey,
    row: ClaimRow,
    result_sender: oneshot::Sender<InsertResult>,
}

/// Writes the claims of this instance to the table.
#[derive(Debug)]
pub(crate) struct ClaimWriter {
    incarnation: IncarnationId,
    table: Rc<dyn TableService>,
    members: Rc<dyn MemberSource>,
    metrics: RequestMetrics,
    pending: RefCell<Vec<PendingInsert>>,
    insert_added: Notify,
    /// Fingerprints of the requests that this instance is claiming or running,
    /// by claim row.
    local_claims: RefCell<BTreeMap<RowKey, String>>,
    results: ResultQueue,
    health: TableHealth,
    next_nonce: Cell<u64>,
}

impl ClaimWriter {
    /// Starts the loops that write claims and results. They stop when the
    /// guards are dropped; wait for [`ClaimWriter::is_flushed`] before that.
    pub(crate) fn start(
        context: &InstanceContext,
        metrics: RequestMetrics,
    ) -> (Rc<Self>, Vec<LoopGuard>) {
        let writer = Rc::new(Self {
            incarnation: context.incarnation.clone(),
            table: Rc::clone(&context.table),
            members: Rc::clone(&context.members),
            metrics: metrics.clone(),
            pending: RefCell::default(),
            insert_added: Notify::new(),
            local_claims: RefCell::default(),
            results: ResultQueue::new(Rc::clone(&context.table), metrics),
            health: TableHealth::default(),
            next_nonce: Cell::new(0),
        });
        let inserts = LoopGuard::spawn(Rc::clone(&writer).insert_loop());
        let results = Rc::clone(&writer);
        let results = LoopGuard::spawn(async move { results.results.run().await });
        (writer, vec![inserts, results])
    }

    /// Whether no claim is pending or held and every result has been written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.pending.borrow().is_empty()
            && self.local_claims.borrow().is_empty()
            && self.results.is_empty()
    }

    /// Whether to reject a claim of this identity without trying the table,
    /// because the table is not responding. Identities known to this instance
    /// need no table access.
    pub(crate) fn should_fail_fast(&self, identity: &ClaimIdentity) -> bool {
        let key = RowKey::new(identity.row_key());
        let known = self.local_claims.borrow().contains_key(&key);
        !known && self.results.pending_row(&key).is_none() && self.health.is_down(Instant::now())
    }

    /// Claims an identity, and returns by `deadline`.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        identity: &ClaimIdentity,
        fingerprint: &str,
        deadline: Instant,
    ) -> ClaimOutcome {
        let key = RowKey::new(identity.row_key());
        if let Some(outcome) = self.local_outcome(&key, fingerprint) {
            return outcome;
        }
        let nonce = format!("{}:{}", self.incarnation, self.next_nonce.get());
        self.next_nonce.set(self.next_nonce.get() + 1);
        let row = ClaimRow {
            nonce,
            fingerprint: fingerprint.to_owned(),
            incarnation: self.incarnation.clone(),
            state: ClaimState::Running,
        };
        let (result_sender, result_receiver) = oneshot::channel();
        let local_claim = LocalClaim::new(self, &key, fingerprint);
        self.pending.borrow_mut().push(PendingInsert {
            key: key.clone(),
            row: row.clone(),
            result_sender,
        });
        self.insert_added.notify_one();
        let timeout = deadline.saturating_duration_since(Instant::now());
        match actix_rt::time::timeout(timeout, result_receiver).await {
            Err(_elapsed) => ClaimOutcome::DeadlinePassed,
            Ok(Err(_closed)) => ClaimOutcome::TableUnavailable,
            Ok(Ok(InsertResult::Held { modified })) => {
                self.metrics.claims.inc();
                ClaimOutcome::Held(HeldClaim::new(local_claim, row, modified))
            }
            Ok(Ok(InsertResult::Unavailable)) => ClaimOutcome::TableUnavailable,
            Ok(Ok(InsertResult::Decided(decision))) => claim_outcome(decision),
        }
    }

    /// Looks up an earlier request with this identity without claiming it.
    /// Returns `None` if there is none or the row cannot be read.
    pub(crate) async fn look_up(
        &self,
        identity: &ClaimIdentity,
        fingerprint: &str,
    ) -> Option<ClaimOutcome> {
        let key = RowKey::new(identity.row_key());
        if let Some(outcome) = self.local_outcome(&key, fingerprint) {
            return Some(outcome);
        }
        let ReadResult::Found { row, .. } = read_row(&*self.table, &key).await else {
            return None;
        };
        let ended = self.has_ended(&row.incarnation, &key);
        Some(claim_outcome(decide_claim(&row, "", fingerprint, ended)))
    }

    /// The outcome for an identity that is in use on this instance.
    fn local_outcome(&self, key: &RowKey, fingerprint: &str) -> Option<ClaimOutcome> {
        if let Some(row) = self.results.pending_row(key) {
            return Some(claim_outcome(decide_claim(&row, "", fingerprint, false)));
        }
        let local_claims = self.local_claims.borrow();
        let known = local_claims.get(key)?;
        Some(if known == fingerprint {
            ClaimOutcome::StillRunning
        } else {
            ClaimOutcome::Reused
        })
    }

    /// Whether the incarnation that holds a claim has ended. One that is not
    /// among the members counts as ended, because the outcome "unknown" is
    /// correct in either case.
    fn has_ended(&self, holder: &IncarnationId, key: &RowKey) -> bool {
        if *holder == self.incarnation {
            return !self.local_claims.borrow().contains_key(key)
                && !self.results.is_releasing(key);
        }
        let members = self.members.members();
        let member = members.iter().find(|m| m.instance == holder.instance);
        member.is_none_or(|m| m.incarnation.as_ref().is_some_and(|id| id != holder))
    }

    async fn insert_loop(self: Rc<Self>) {
        loop {
            self.insert_added.notified().await;
            actix_rt::time::sleep(BATCH_DELAY).await;
            loop {
                let batch = self.take_batch();
                if batch.is_empty() {
                    break;
                }
                let started = Instant::now();
                self.insert(batch).await;
                actix_rt::time::sleep(MIN_INSERT_INTERVAL.saturating_sub(started.elapsed())).await;
            }
        }
    }

    /// Takes pending inserts, and drops those whose request stopped waiting.
    fn take_batch(&self) -> Batch {
        let mut pending = self.pending.borrow_mut();
        pending.retain(|insert| !insert.result_sender.is_closed());
        let count = pending.len().min(MAX_BATCH);
        pending.drain(..count).collect()
    }

    async fn insert(&self, mut batch: Batch) {
        for _round in 0..MAX_ROUNDS {
            if batch.is_empty() {
                return;
            }
            batch = self.insert_round(batch).await;
        }
        // Reached only if callers retry many identities at the same time.
        for insert in batch {
            self.complete(insert, InsertResult::Unavailable);
        }
    }

    /// Inserts a batch. Returns the inserts that failed only because another
    /// row of the batch exists.
    async fn insert_round(&self, batch: Batch) -> Batch {
        self.metrics.claim_writes.inc();
        let attempt = self.health.start_attempt(Instant::now());
        let outcome = self.table.commit(insert_transaction(&batch)).await;
        attempt.finish(&outcome, Instant::now());
        match after_insert(insert_outcome(&outcome)) {
            InsertAction::Hold => {
                let modified = if let CommitOutcome::Committed(revision) = outcome {
                    revision
                } else {
                    0
                };
                for insert in batch {
                    self.complete(insert, InsertResult::Held { modified });
                }
                Vec::new()
            }
            InsertAction::Reject => {
                for insert in batch {
                    self.complete(insert, InsertResult::Unavailable);
                }
                Vec::new()
            }
            InsertAction::ReadBack => self.read_back(batch, &outcome).await,
        }
    }

    async fn read_back(&self, batch: Batch, outcome: &CommitOutcome) -> Batch {
        let reads = batch
            .iter()
            .map(|insert| read_row(&*self.table, &insert.key));
        let rows = join_all(reads).await;
        let mut absent = Vec::new();
        for (insert, row) in batch.into_iter().zip(rows) {
            match row {
                ReadResult::Found { row, modified } => {
                    let result = self.decide(&insert, &row, modified);
                    self.complete(insert, result);
                }
                ReadResult::Absent if matches!(outcome, CommitOutcome::Conflict) => {
                    absent.push(insert);
                }
                // A write without a response may still be applied later. The
                // request is not sent, and the row is deleted if it appears.
                ReadResult::Absent | ReadResult::Failed => {
                    self.results
                        .release(insert.key.clone(), insert.row.clone(), false);
                    self.complete(insert, InsertResult::Unavailable);
                }
            }
        }
        absent
    }

    fn decide(&self, insert: &PendingInsert, row: &ClaimRow, modified: u64) -> InsertResult {
        let ended = self.has_ended(&row.incarnation, &insert.key);
        match decide_claim(row, &insert.row.nonce, &insert.row.fingerprint, ended) {
            ClaimDecision::Held => InsertResult::Held { modified },
            decision => InsertResult::Decided(decision),
        }
    }

    /// Passes the result to the waiting request. Releases a held claim if the
    /// request has stopped waiting.
    fn complete(&self, insert: PendingInsert, result: InsertResult) {
        let PendingInsert {
            key,
            row,
            result_sender,
        } = insert;
        if let Err(InsertResult::Held { .. }) = result_sender.send(result) {
            self.results.release(key, row, true);
        }
    }
}

fn insert_transaction(batch: &Batch) -> TableTransaction {
    let conditions = batch.iter().map(|i| RowCondition::Absent(i.key.clone()));
    let changes = batch
        .iter()
        .map(|i| RowChange::Put(i.key.clone(), rows::encode(&i.row)));
    TableTransaction {
        conditions: conditions.collect(),
        changes: changes.collect(),
    }
}

const fn insert_outcome(outcome: &CommitOutcome) -> InsertOutcome {
    match outcome {
        CommitOutcome::Committed(_) => InsertOutcome::Applied,
        CommitOutcome::Conflict => InsertOutcome::Conflict,
        CommitOutcome::NotApplied(_) => InsertOutcome::NotApplied,
        CommitOutcome::Unknown(_) => InsertOutcome::Unknown,
    }
}

fn claim_outcome(decision: ClaimDecision) -> ClaimOutcome {
    match decision {
        ClaimDecision::Recorded(response) => ClaimOutcome::Recorded(response),
        ClaimDecision::Reused => ClaimOutcome::Reused,
        ClaimDecision::StillRunning => ClaimOutcome::StillRunning,
        // `Held` does not occur here: inserts handle it before, and lookups
        // pass an empty nonce.
        ClaimDecision::Held | ClaimDecision::Unknown => ClaimOutcome::Unknown,
    }
}
