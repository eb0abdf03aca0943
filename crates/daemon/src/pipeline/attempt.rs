//! Sends a request, and again where that is safe.

use std::rc::Rc;
use std::time::Instant;

use tarragonpulley_policy::ids::ServerName;
use tarragonpulley_policy::quarantine::{
    BrokenConnection, CrashCounter, QuarantineDecision, quarantine_decision,
};
use tarragonpulley_policy::retry::{AttemptFailure, RunOutcome, combined_outcome};

use super::place::Placement;
use super::{ClaimSlot, RequestPipeline, RunRequest, claim_slot, too_late};
use crate::border::AttemptReport;
use crate::errors::{ErrorKind, RequestError};
use crate::probe::has_crashed;
use crate::upstream::{AttemptHost, BackendAnswer, RacePermit};

/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 3;

/// What an attempt left behind.
enum AttemptEnd {
    Answered(BackendAnswer),
    /// A whole answer with a 5xx status, which is passed on when no further
    /// attempt is allowed.
    ServerError(BackendAnswer),
    Failed(AttemptFailure),
}

impl AttemptEnd {
    const fn failure(&self) -> Option<AttemptFailure> {
        match self {
            Self::Answered(_) => None,
            Self::ServerError(_) => Some(AttemptFailure::ServerError),
            Self::Failed(failure) => Some(*failure),
        }
    }
}

/// Gives an attempt what it may use while it runs.
struct PlacedHost<'a> {
    pipeline: &'a RequestPipeline,
    placement: &'a Placement,
}

impl AttemptHost for PlacedHost<'_> {
    fn permit_race(&self) -> RacePermit {
        if !self.pipeline.budget.borrow_mut().spend() {
            return RacePermit::Refused;
        }
        // An instance seldom holds two slots of one server.
        self.placement
            .take_second_slot()
            .map_or(RacePermit::Instead, RacePermit::Beside)
    }

    fn note_leaving(&self) {
        self.pipeline.board.note_leaving(&self.placement.server);
    }
}

impl RequestPipeline {
    pub(super) async fn run_attempts(
        self: &Rc<Self>,
        request: &RunRequest,
        claim: &mut ClaimSlot,
        tally: &mut CrashCounter,
    ) -> Result<BackendAnswer, RequestError> {
        let mut failures = Vec::new();
        let mut tried: Vec<ServerName> = Vec::new();
        let known_crashes = self.crash_count(request.fingerprint.short());
        loop {
            let mut placement = match self.place(request, &tried).await {
                Ok(placement) => placement,
                Err(error) if failures.is_empty() => {
                    return self.earlier_run(request, error).await;
                }
                Err(error) => return Err(after(request, &failures, error)),
            };
            if matches!(claim, ClaimSlot::Free) {
                *claim = self.claim(request).await?;
                if let ClaimSlot::Recorded(answer) = claim {
                    self.check_key_again(request)?;
                    return Ok(answer.clone());
                }
            }
            self.check_still_valid(request)
                .map_err(|error| after(request, &failures, error))?;
            placement.note_sent();
            tried.push(placement.server.server.clone());

            let end = self.attempt(request, &placement, tally).await;
            drop(placement);
            let Some(failure) = end.failure() else {
                let AttemptEnd::Answered(answer) = end else {
                    return Err(failed(request, &failures));
                };
                return Ok(answer);
            };
            failures.push(failure);
            if quarantine_decision(known_crashes + tally.total()) == QuarantineDecision::Rejected {
                return Err(failed(request, &failures));
            }
            if !self.may_repeat(request, failure, failures.len()) {
                return match end {
                    AttemptEnd::ServerError(answer) => Ok(answer),
                    _ => Err(failed(request, &failures)),
                };
            }
            self.metrics.retries.inc();
        }
    }

    /// The result of an earlier request with the same identity, for one that
    /// finds no slot. Without it, a booking that ran would look as if it had
    /// not.
    async fn earlier_run(
        &self,
        request: &RunRequest,
        error: RequestError,
    ) -> Result<BackendAnswer, RequestError> {
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
            Some(outcome) => match claim_slot(request, identity, outcome)? {
                ClaimSlot::Recorded(answer) => self.check_key_again(request).map(|()| answer),
                ClaimSlot::Free | ClaimSlot::Held(_) => Err(error),
            },
        }
    }

    fn may_repeat(&self, request: &RunRequest, failure: AttemptFailure, attempts: usize) -> bool {
        let now = self.context.clock.instant();
        attempts < MAX_ATTEMPTS
            && failure.may_retry(request.route.kind)
            && request.backend.deadline.remaining(now).is_some()
            && self.budget.borrow_mut().spend()
    }

    async fn attempt(
        &self,
        request: &RunRequest,
        placement: &Placement,
        tally: &mut CrashCounter,
    ) -> AttemptEnd {
        let started = Instant::now();
        let host = PlacedHost {
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
                &host,
            )
            .await;
        let end = match result {
            Ok(answer) if answer.status.is_server_error() => AttemptEnd::ServerError(answer),
            Ok(answer) => AttemptEnd::Answered(answer),
            Err(failure) => AttemptEnd::Failed(failure),
        };
        self.observe(request, placement, end.failure(), started);
        if matches!(
            end.failure(),
            Some(AttemptFailure::ConnectionBroken | AttemptFailure::InvalidResponse)
        ) {
            let shared = self.board.running(&placement.server) > 1;
            let crashed = has_crashed(plan.address, started).await;
            tally.record_broken_connection(BrokenConnection { crashed, shared });
        }
        end
    }

    fn observe(
        &self,
        request: &RunRequest,
        placement: &Placement,
        failure: Option<AttemptFailure>,
        started: Instant,
    ) {
        let latency = started.elapsed();
        // A caller may ask for less time than the route gives. That the server
        // did not make it then says nothing about the server.
        let hasty =
            failure == Some(AttemptFailure::TimedOut) && latency < request.route.timeout / 2;
        if hasty || failure == Some(AttemptFailure::Shed) {
            return;
        }
        if let Some(failure) = failure {
            let answered = matches!(
                failure,
                AttemptFailure::ServerError | AttemptFailure::ResponseTooLarge
            );
            let suspect = answered.then(|| request.fingerprint.short());
            self.board.note_failure(&placement.server, suspect);
        } else {
            self.board.note_success(&placement.server);
        }
        self.context.evidence.note(&AttemptReport {
            service: request.service.clone(),
            version: placement.plan.version.clone(),
            route: request.route.path.clone(),
            failed: failure.is_some(),
            latency,
        });
    }
}

/// The error of a later step after some attempts failed.
fn after(request: &RunRequest, failures: &[AttemptFailure], error: RequestError) -> RequestError {
    if combined_outcome(failures.iter().copied()) == RunOutcome::NotRun {
        error
    } else {
        failed(request, failures)
    }
}

/// What the caller is told when no attempt was answered.
fn failed(request: &RunRequest, failures: &[AttemptFailure]) -> RequestError {
    let outcome = combined_outcome(failures.iter().copied());
    let last = failures.last().copied();
    let error = match (outcome, last) {
        (RunOutcome::NotRun, _) if request.backend.deadline.remaining(Instant::now()).is_none() => {
            too_late(request)
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
        Some(identity) => error.about(&identity.to_string()),
        None => error,
    };
    error.on_idempotent_route(request.is_idempotent())
}
