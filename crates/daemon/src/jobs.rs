//! Jobs: requests on slow routes, which are stored and run in the background.
//!
//! The body of a job is in the object store and its state in the table. The
//! instance that accepts a job holds its lease and runs it; another instance
//! takes over when the lease expires. The result is stored with its digest
//! before the job is marked as done, so a caller gets the complete result or a
//! response that asks it to poll again.

mod lease;
mod rows;
mod run;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tarragonpulley_backing::{
    CommitOutcome, ObjectKey, PlatformError, RowChange, RowCondition, RowKey, TableTransaction,
};
use tarragonpulley_policy::ids::TeamKey;
use tarragonpulley_policy::lease::LeaseObserver;
use tarragonpulley_policy::retry::RunOutcome;
use tokio::sync::Semaphore;

use crate::errors::{ErrorKind, RequestError};
use crate::interfaces::{InstanceContext, ProofState};
use crate::metrics::RequestMetrics;
use crate::pipeline::{CheckedRequest, RequestPipeline};
use crate::tasks::LoopGuard;
use crate::upstream::BackendResponse;
use lease::HeldJob;
use rows::{DoneJob, OPEN_PREFIX, OpenJob, decode, digest, done_key, encode, open_key, read};

/// Interval between scans of open jobs. Every instance reads them, and the table
/// serves about two thousand reads per second.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum jobs that one instance runs concurrently.
const MAX_RUNNING_JOBS: usize = 8;

/// Maximum jobs that one instance holds. Further ones are rejected, so that all
/// leases can be renewed in time.
const MAX_HELD_JOBS: usize = 256;

/// Interval at which callers should poll for a result.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// State of a job as reported to its caller.
#[derive(Debug)]
pub(crate) enum JobStatus {
    /// The job is not done yet.
    Open,
    /// The job is done, with this result.
    Done(BackendResponse),
}

/// Accepts, runs and reports the jobs of this instance.
#[derive(Debug)]
pub(crate) struct JobService {
    context: InstanceContext,
    pipeline: Rc<RequestPipeline>,
    metrics: RequestMetrics,
    /// Jobs that this instance holds, by job ID.
    running: RefCell<BTreeMap<String, Rc<HeldJob>>>,
    /// Limits how many held jobs run concurrently.
    run_permits: Semaphore,
    observer: RefCell<LeaseObserver>,
}

impl JobService {
    /// Starts the loops that take over jobs and renew leases. Other instances
    /// take over the jobs that are held when the guards are dropped.
    pub(crate) fn start(
        context: &InstanceContext,
        pipeline: Rc<RequestPipeline>,
        metrics: RequestMetrics,
    ) -> (Rc<Self>, Vec<LoopGuard>) {
        let service = Rc::new(Self {
            context: context.clone(),
            pipeline,
            metrics,
            running: RefCell::default(),
            run_permits: Semaphore::new(MAX_RUNNING_JOBS),
            observer: RefCell::default(),
        });
        let scan = Rc::clone(&service);
        let guard = LoopGuard::spawn(async move {
            loop {
                actix_rt::time::sleep(SCAN_INTERVAL).await;
                scan.scan().await;
            }
        });
        let renew = Rc::clone(&service);
        let renew = LoopGuard::spawn(async move { renew.renew_loop().await });
        (service, vec![guard, renew])
    }

    /// Number of jobs that this instance holds.
    pub(crate) fn held(&self) -> usize {
        self.running.borrow().len()
    }

    /// Stores a job and starts it. Returns its ID.
    ///
    /// # Errors
    ///
    /// The rejection if the job could not be stored.
    pub(crate) async fn accept(
        self: &Rc<Self>,
        request: &CheckedRequest,
    ) -> Result<String, RequestError> {
        let Some(team) = request.team.clone() else {
            let message = "slow work needs a key";
            return Err(RequestError::new(ErrorKind::UnknownKey, message));
        };
        if self.held() >= MAX_HELD_JOBS {
            let message = "this instance holds too much slow work";
            return Err(RequestError::new(ErrorKind::NoCapacity, message));
        }
        let id = format!("{:032x}", rand::random::<u128>());
        let body = request.backend.body.clone();
        let job = OpenJob {
            team,
            service: request.service.clone(),
            method: request.backend.method.to_string(),
            target: request.backend.target.clone(),
            headers: text_headers(&request.backend.headers),
            body_digest: digest(&body),
            holder: self.context.incarnation.clone(),
            epoch: 1,
            renewals: 0,
        };
        let stored = self.context.objects.put(body_key(&id), body).await;
        stored.map_err(|error| store_error(&error))?;
        if let Err(error) = self.pipeline.check_still_valid(request) {
            self.discard_body(&id).await;
            return Err(error);
        }
        let transaction = TableTransaction {
            conditions: vec![RowCondition::Absent(open_key(&id))],
            changes: vec![RowChange::Put(open_key(&id), encode(&job))],
        };
        let modified = match self.context.table.commit(transaction).await {
            CommitOutcome::Committed(revision) => revision,
            CommitOutcome::NotApplied(error) => {
                self.discard_body(&id).await;
                return Err(store_error(&error));
            }
            CommitOutcome::Conflict | CommitOutcome::Unknown(_) => {
                self.read_back(&id, &job).await?
            }
        };
        self.start_job(id.clone(), job, modified);
        Ok(id)
    }

    /// Deletes the body of a job. A body left behind only takes up space.
    async fn discard_body(&self, id: &str) {
        if let Err(error) = self.context.objects.delete(body_key(id)).await {
            log::debug!("failed to delete the body of job {id}: {error}");
        }
    }

    /// Reads back whether a job was stored after a commit with an unknown outcome.
    async fn read_back(&self, id: &str, job: &OpenJob) -> Result<u64, RequestError> {
        match read::<OpenJob>(&*self.context.table, &open_key(id)).await {
            Ok(Some(found)) if found.row == *job => Ok(found.modified),
            // The write may still be applied later, and then the job will run.
            _ => Err(RequestError::new(
                ErrorKind::TableUnavailable,
                "it is not known whether the job was kept",
            )
            .with_outcome(RunOutcome::Unknown)),
        }
    }

    /// Returns the state of a job of `team`.
    ///
    /// # Errors
    ///
    /// The rejection if the team has no such job or it cannot be read.
    pub(crate) async fn status(&self, id: &str, team: &TeamKey) -> Result<JobStatus, RequestError> {
        let unknown = || RequestError::new(ErrorKind::UnknownJob, "the team has no such job");
        let valid = id.len() == 32 && id.bytes().all(|b| b.is_ascii_hexdigit());
        if !valid {
            return Err(unknown());
        }
        let table = &*self.context.table;
        // A job moves from open to done in one transaction, so reading the rows
        // in this order always finds it.
        let open = read::<OpenJob>(table, &open_key(id)).await;
        if let Some(found) = open.map_err(|error| read_error(&error))? {
            let own = found.row.team == *team;
            return own.then_some(JobStatus::Open).ok_or_else(unknown);
        }
        let done = read::<DoneJob>(table, &done_key(id)).await;
        match done.map_err(|error| read_error(&error))? {
            Some(found) if found.row.team == *team => self.read_result(&found.row).await,
            _ => Err(unknown()),
        }
    }

    async fn read_result(&self, job: &DoneJob) -> Result<JobStatus, RequestError> {
        let object = self.context.objects.get(ObjectKey::new(&job.object)).await;
        let body = object
            .map_err(|error| read_error(&error))?
            .unwrap_or_default();
        let intact = digest(&body) == job.digest;
        let response = intact.then(|| BackendResponse::from_parts(job.status, &job.headers, body));
        response.flatten().map(JobStatus::Done).ok_or_else(|| {
            RequestError::new(
                ErrorKind::TableUnavailable,
                "the stored result is not whole at the moment",
            )
            .with_outcome(RunOutcome::Ran)
        })
    }

    /// Takes over jobs whose lease has expired.
    async fn scan(self: &Rc<Self>) {
        let prefix = RowKey::new(OPEN_PREFIX);
        let Ok(snapshot) = self.context.table.read(prefix).await else {
            self.observer.borrow_mut().reset();
            return;
        };
        let keep = |row: &str| snapshot.rows.contains_key(&RowKey::new(row));
        self.observer.borrow_mut().retain(&keep);
        for (key, found) in &snapshot.rows {
            let now = self.context.clock.instant();
            let expired =
                self.observer
                    .borrow_mut()
                    .record_revision(key.as_str(), found.modified, now);
            let id = key.as_str().trim_start_matches(OPEN_PREFIX);
            let skip = self.running.borrow().contains_key(id) || self.held() >= MAX_RUNNING_JOBS;
            if expired
                && !skip
                && self.context.config.proof() != ProofState::Missing
                && let Some(job) = decode::<OpenJob>(key, &found.value)
            {
                self.take_over(id, job, found.modified).await;
            }
        }
    }

    async fn take_over(self: &Rc<Self>, id: &str, mut job: OpenJob, modified: u64) {
        let before = format!("{} epoch {}", job.holder, job.epoch);
        job.holder = self.context.incarnation.clone();
        job.epoch += 1;
        job.renewals = 0;
        let transaction = TableTransaction {
            conditions: vec![RowCondition::Unchanged(open_key(id), modified)],
            changes: vec![RowChange::Put(open_key(id), encode(&job))],
        };
        if let CommitOutcome::Committed(revision) = self.context.table.commit(transaction).await {
            self.context.events.record("job_taken_over", id, &before);
            self.start_job(id.to_owned(), job, revision);
        }
    }
}

fn body_key(id: &str) -> ObjectKey {
    ObjectKey::new(format!("jobs/{id}/body"))
}

fn text_headers(headers: &actix_http::header::HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect()
}

fn store_error(error: &PlatformError) -> RequestError {
    let message = format!("the job could not be kept: {error}");
    RequestError::new(ErrorKind::TableUnavailable, message)
}

fn read_error(error: &PlatformError) -> RequestError {
    let message = format!("the job could not be read: {error}");
    RequestError::new(ErrorKind::TableUnavailable, message)
}
