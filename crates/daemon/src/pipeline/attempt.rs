//! Sends a request to backend servers, with retries where they are safe.

use std::rc::Rc;
use std::time::Instant;

use tarragonpulley_policy::ids::ServerName;
use tarragonpulley_policy::quarantine::{
    BrokenConnection, CrashCounter, QuarantineDecision, quarantine_decision,
};
use tarragonpulley_policy::retry::{AttemptFailure, RunOutcome, combined_outcome};

use super::place::Placement;
use super::{
    CheckedRequest, RequestClaim, RequestPipeline, claim_from_outcome, deadline_passed_error,
};
use crate::errors::{ErrorKind, RequestError};
use crate::interfaces::AttemptReport;
use crate::probe::has_crashed;
use crate::upstream::{AttemptHooks, BackendResponse, HedgePermit};

/// Maximum attempts for one request.
const MAX_ATTEMPTS: usize = 3;

/// Result of one attempt.
enum AttemptOutcome {
    Responded(BackendResponse),
    /// A complete response with a 5xx status. It is forwarded when no further
    /// attempt is allowed.
    ServerError(BackendResponse),
    Failed(AttemptFailure),
}

impl AttemptOutcome {
    const fn failure(&self) -> Option<AttemptFailure> {
        match self {
            Self::Responded(_) => None,
            Self::ServerError(_) => Some(AttemptFailure::ServerError),
            Self::Failed(failure) => Some(*failure),
        }
    }
}

/// Callbacks of an attempt on a placed request.
struct PlacementHooks<'a> {
    pipeline: &'a RequestPipeline,
    placement: &'a Placement,
}

impl AttemptHooks for PlacementHooks<'_> {
    fn permit_hedge(&self) -> HedgePermit {
        if !self.pipeline.retry_budget.borrow_mut().spend() {
            return HedgePermit::Denied;
        }
        // An instance rarely holds a second slot of the same server. Without
        // one, the hedged attempt replaces the first.
        self.placement
            .take_hedge_slot()
            .map_or(HedgePermit::Replace, HedgePermit::Parallel)
    }

    fn record_leaving(&self) {
        self.pipeline
            .backends
            .record_leaving(&self.placement.server);
    }
}

impl RequestPipeline {
    pub(super) async fn run_attempts(
        self: &Rc<Self>,
        request: &CheckedRequest,
        claim: &mut RequestClaim,
        crashes_seen: &mut CrashCounter,
    ) -> Result<BackendResponse, RequestError> {
        let mut failures = Vec::new();
        let mut tried: Vec<ServerName> = Vec::new();
        let known_crashes = self.crash_count(request.fingerprint.short());
        loop {
            let mut placement = match self.place(request, &tried).await {
                Ok(placement) => placement,
                Err(error) if failures.is_empty() => {
                    return self.look_up_earlier_result(request, error).await;
                }
                Err(error) => return Err(error_after_failures(request, &failures, error)),
            };
            if matches!(claim, RequestClaim::NotHeld) {
                *claim = self.claim(request).await?;
                if let RequestClaim::Recorded(response) = claim {
                    self.recheck_key(request)?;
                    return Ok(response.clone());
                }
            }
            self.check_still_valid(request)
                .map_err(|error| error_after_failures(request, &failures, error))?;
            placement.mark_sent();
            tried.push(placement.server.server.clone());

            let outcome = self.attempt(request, &placement, crashes_seen).await;
            drop(placement);
            let Some(failure) = outcome.failure() else {
                let AttemptOutcome::Responded(response) = outcome else {
                    return Err(attempts_error(request, &failures));
                };
                return Ok(response);
            };
            failures.push(failure);
            if quarantine_decision(known_crashes + crashes_seen.total())
                == QuarantineDecision::Rejected
            {
                return Err(attempts_error(request, &failures));
            }
            if !self.may_retry_request(request, failure, failures.len()) {
                return match outcome {
                    AttemptOutcome::ServerError(response) => Ok(response),
                    _ => Err(attempts_error(request, &failures)),
                };
            }
            self.metrics.retries.inc();
        }
    }

    /// Looks up the result of an earlier request with the same identity when a
    /// request gets no slot. Otherwise a request that has already run would be
    /// reported as not run.
    async fn look_up_earlier_result(
        &self,
        request: &CheckedRequest,
        error: RequestError,
    ) -> Result<BackendResponse, RequestError> {
        let busy = matches!(
            error.kind,
            ErrorKind::NoCapacity | ErrorKind::DeadlinePassed
        );
        let Some(identity) = request.identity.as_ref().filter(|_| busy) else {
            return Err(error);
        };
        let fingerprint = request.fingerprint.to_string();
        match self.claims.look_up(identity, &fingerprint).await {
            None => Err(error),
            Some(outcome) => match claim_from_outcome(request, identity, outcome)? {
                RequestClaim::Recorded(response) => self.recheck_key(request).map(|()| response),
                RequestClaim::NotHeld | RequestClaim::Held(_) => Err(error),
            },
        }
    }

    fn may_retry_request(
        &self,
        request: &CheckedRequest,
        failure: AttemptFailure,
        attempts: usize,
    ) -> bool {
        let now = self.context.clock.instant();
        attempts < MAX_ATTEMPTS
            && failure.may_retry(request.route.kind)
            && request.backend.deadline.remaining(now).is_some()
            && self.retry_budget.borrow_mut().spend()
    }

    async fn attempt(
        &self,
        request: &CheckedRequest,
        placement: &Placement,
        crashes_seen: &mut CrashCounter,
    ) -> AttemptOutcome {
        let started = Instant::now();
        let hooks = PlacementHooks {
            pipeline: self,
            placement,
        };
        let plan = &placement.plan;
        let backend = &request.backend;
        let result = self
            .upstream
            .attempt(
                &placement.server,
                plan.address,
                plan.connections,
                backend,
                &hooks,
            )
            .await;
        let outcome = match result {
            Ok(response) if response.status.is_server_error() => {
                AttemptOutcome::ServerError(response)
            }
            Ok(response) => AttemptOutcome::Responded(response),
            Err(failure) => AttemptOutcome::Failed(failure),
        };
        self.record_attempt(request, placement, outcome.failure(), started);
        if matches!(
            outcome.failure(),
            Some(AttemptFailure::ConnectionBroken | AttemptFailure::InvalidResponse)
        ) {
            let shared = self.backends.running(&placement.server) > 1;
            let crashed = has_crashed(plan.address, started).await;
            crashes_seen.record_broken_connection(BrokenConnection { crashed, shared });
        }
        outcome
    }

    fn record_attempt(
        &self,
        request: &CheckedRequest,
        placement: &Placement,
        failure: Option<AttemptFailure>,
        started: Instant,
    ) {
        let latency = started.elapsed();
        // A caller may set a shorter deadline than the route's timeout. Missing
        // it does not indicate a server failure.
        let short_deadline =
            failure == Some(AttemptFailure::TimedOut) && latency < request.route.timeout / 2;
        if short_deadline || failure == Some(AttemptFailure::Shed) {
            return;
        }
        if let Some(failure) = failure {
            let responded = matches!(
                failure,
                AttemptFailure::ServerError | AttemptFailure::ResponseTooLarge
            );
            let suspect = responded.then(|| request.fingerprint.short());
            self.backends.record_failure(&placement.server, suspect);
        } else {
            self.backends.record_success(&placement.server);
        }
        self.context.evidence.record_attempt(&AttemptReport {
            service: request.service.clone(),
            version: placement.plan.version.clone(),
            route: request.route.path.clone(),
            failed: failure.is_some(),
            latency,
        });
    }
}

/// The error to report when a later step fails after failed attempts.
fn error_after_failures(
    request: &CheckedRequest,
    failures: &[AttemptFailure],
    error: RequestError,
) -> RequestError {
    if combined_outcome(failures.iter().copied()) == RunOutcome::NotRun {
        error
    } else {
        attempts_error(request, failures)
    }
}

/// The error to report when every attempt failed.
fn attempts_error(request: &CheckedRequest, failures: &[AttemptFailure]) -> RequestError {
    let outcome = combined_outcome(failures.iter().copied());
    let last = failures.last().copied();
    let error = match (outcome, last) {
        (RunOutcome::NotRun, _) if request.backend.deadline.remaining(Instant::now()).is_none() => {
            deadline_passed_error(request)
        }
        (RunOutcome::NotRun, _) => {
            RequestError::new(ErrorKind::NoCapacity, "no backend server took the request")
        }
        (_, Some(AttemptFailure::TimedOut)) => RequestError::new(
            ErrorKind::DeadlinePassed,
            "no backend server answered in time",
        )
        .with_outcome(outcome),
        _ => RequestError::new(
            ErrorKind::BackendFailed,
            "the backend server gave no usable answer",
        )
        .with_outcome(outcome),
    };
    let error = match &request.identity {
        Some(identity) => error.with_identity(&identity.to_string()),
        None => error,
    };
    error.with_idempotent_route(request.is_idempotent())
}
