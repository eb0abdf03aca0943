//! Runs one job under its lease until it is done.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use tarragonpulley_backing::{CommitOutcome, ObjectKey, RowChange, RowCondition, TableTransaction};
use tarragonpulley_policy::quarantine::RequestFingerprint;
use tarragonpulley_policy::retry::RequestDeadline;
use tarragonpulley_policy::routing::{RouteMatch, match_route};

use super::lease::HeldJob;
use super::rows::{DoneJob, OpenJob, digest, done_key, encode, open_key, read};
use super::{JobService, body_key, text_headers};
use crate::errors::{ErrorKind, RequestError};
use crate::headers;
use crate::interfaces::ProofState;
use crate::pipeline::CheckedRequest;
use crate::upstream::{BackendRequest, BackendResponse};

/// Bounds of the exponential backoff between attempts.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// After this many 5xx responses, the last one is the result. Other failures are
/// retried indefinitely, because an accepted job must be delivered.
const MAX_SERVER_ERRORS: u32 = 5;

/// Removes a job from the held jobs when dropped.
struct RunningJobGuard {
    service: Rc<JobService>,
    id: String,
}

impl Drop for RunningJobGuard {
    fn drop(&mut self) {
        self.service.running.borrow_mut().remove(&self.id);
    }
}

impl JobService {
    /// Starts a task that runs a held job once a permit is free. Its lease is
    /// renewed meanwhile.
    pub(super) fn start_job(self: &Rc<Self>, id: String, job: OpenJob, modified: u64) {
        let held = Rc::new(HeldJob::new(id.clone(), job, modified));
        self.running
            .borrow_mut()
            .insert(id.clone(), Rc::clone(&held));
        let entry = RunningJobGuard {
            service: Rc::clone(self),
            id,
        };
        let service = Rc::clone(self);
        actix_rt::spawn(async move {
            let work = async {
                let _permit = service.run_permits.acquire().await;
                let response = service.attempt(&held).await;
                service.finish(&held, response).await;
            };
            tokio::select! {
                () = work => {}
                () = held.lease_lost.notified() => log::info!("job {} is done or held elsewhere", held.id),
            }
            drop(entry);
        });
    }

    /// Attempts the job until there is a result.
    async fn attempt(&self, held: &HeldJob) -> BackendResponse {
        let mut backoff = INITIAL_BACKOFF;
        let mut server_errors = 0;
        loop {
            if self.context.config.proof() != ProofState::Missing
                && let Some(body) = self.load_body(held).await
            {
                match self.attempt_once(&held.job, body).await {
                    Ok(response) if !response.status.is_server_error() => return response,
                    Ok(response) => {
                        server_errors += 1;
                        if server_errors >= MAX_SERVER_ERRORS {
                            return response;
                        }
                    }
                    Err(error) if is_permanent(error.kind) => return error_response(&error),
                    Err(error) => log::debug!("job {}: {}", held.id, error.message),
                }
            }
            actix_rt::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn load_body(&self, held: &HeldJob) -> Option<Bytes> {
        let object = self.context.objects.get(body_key(&held.id)).await;
        let body = object.ok()??;
        if digest(&body) == held.job.body_digest {
            Some(body)
        } else {
            log::warn!(
                "the stored body of job {} does not match its digest",
                held.id
            );
            None
        }
    }

    async fn attempt_once(
        &self,
        job: &OpenJob,
        body: Bytes,
    ) -> Result<BackendResponse, RequestError> {
        let request = self.checked_request(job, body)?;
        self.pipeline.run(&request).await
    }

    fn checked_request(&self, job: &OpenJob, body: Bytes) -> Result<CheckedRequest, RequestError> {
        let route_removed =
            || RequestError::new(ErrorKind::NoRoute, "the route of the job was removed");
        let snapshot = self.context.config.snapshot();
        let contract = snapshot.contracts.get(&job.service.customer);
        let plan = contract.and_then(|c| c.services.get(&job.service.service));
        let path = job.target.split('?').next().unwrap_or_default();
        let RouteMatch::Found(route) =
            match_route(plan.ok_or_else(route_removed)?, &job.method, path)
        else {
            return Err(route_removed());
        };
        let empty = BackendResponse::from_parts(200, &job.headers, Bytes::new())
            .ok_or_else(route_removed)?;
        let now = self.context.clock.instant();
        Ok(CheckedRequest {
            service: job.service.clone(),
            route: route.clone(),
            team: Some(job.team.clone()),
            // The key was checked when the job was accepted.
            key: None,
            identity: None,
            fingerprint: RequestFingerprint::new(&job.service, &job.method, &job.target, &body),
            backend: BackendRequest {
                method: Method::from_bytes(job.method.as_bytes())
                    .map_err(|_error| route_removed())?,
                route: route.path.clone(),
                target: job.target.clone(),
                headers: empty.headers,
                body,
                request_id: self.pipeline.next_request_id(),
                deadline: RequestDeadline::new(now, route.timeout, None),
                max_response_bytes: route.max_response.get(),
                idempotent: true,
            },
        })
    }

    /// Stores the result, then marks the job as done. Retries until both succeed.
    async fn finish(&self, held: &HeldJob, response: BackendResponse) {
        // Another holder may store its own result. Each epoch has its own
        // object, so the digest in the row always matches the object.
        let object = format!("jobs/{}/result/{}", held.id, held.job.epoch);
        let done = DoneJob {
            team: held.job.team.clone(),
            status: response.status.as_u16(),
            headers: text_headers(&headers::for_caller(&response.headers)),
            object: object.clone(),
            digest: digest(&response.body),
        };
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let key = ObjectKey::new(&object);
            let stored = self.context.objects.put(key, response.body.clone()).await;
            if stored.is_ok() && self.mark_done(held, &done).await {
                break;
            }
            actix_rt::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        self.metrics.jobs_done.inc();
        self.discard_body(&held.id).await;
    }

    async fn mark_done(&self, held: &HeldJob, done: &DoneJob) -> bool {
        let transaction = TableTransaction {
            conditions: vec![RowCondition::Unchanged(
                open_key(&held.id),
                held.modified.get(),
            )],
            changes: vec![
                RowChange::Put(done_key(&held.id), encode(done)),
                RowChange::Delete(open_key(&held.id)),
            ],
        };
        match self.context.table.commit(transaction).await {
            CommitOutcome::Committed(_) => true,
            CommitOutcome::NotApplied(_) => false,
            CommitOutcome::Conflict | CommitOutcome::Unknown(_) => {
                let row = read::<DoneJob>(&*self.context.table, &done_key(&held.id)).await;
                matches!(row, Ok(Some(_)))
            }
        }
    }
}

/// Whether a retry would fail in the same way.
const fn is_permanent(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Quarantined | ErrorKind::NoRoute | ErrorKind::MalformedRequest
    )
}

fn error_response(error: &RequestError) -> BackendResponse {
    let (status, body) = error.to_parts();
    let kind = ("content-type".to_owned(), "application/json".to_owned());
    BackendResponse {
        status,
        headers: BackendResponse::from_parts(200, &[kind], Bytes::new())
            .map(|response| response.headers)
            .unwrap_or_default(),
        body,
    }
}
