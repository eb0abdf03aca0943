//! Processing of one request after its head and body have been checked.
//!
//! The steps run in this order (section 8 of the design): team rate limit,
//! quarantine check, choice of a server with a free slot, claim, final
//! validity check, send, response check. The steps before (head, route,
//! authentication, proof of the configuration) are in `frontend`.

mod attempt;
mod place;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::RngExt;
use rand::rngs::SmallRng;
use tarragonpulley_policy::claim::{ClaimIdentity, RecordedResponse};
use tarragonpulley_policy::contract::{RouteKind, RoutePlan};
use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::{LimitKey, ServiceKey, TeamKey};
use tarragonpulley_policy::quarantine::{
    CrashCounter, QuarantineDecision, RequestFingerprint, RunningFingerprints, quarantine_decision,
    total_crashes,
};
use tarragonpulley_policy::retry::{RetryBudget, RunOutcome};
use tarragonpulley_policy::routing::{RandomSource, ShareCounter};
use tarragonpulley_policy::snapshot::KeyDigest;

use crate::backends::BackendStates;
use crate::claims::{ClaimOutcome, ClaimResolution, ClaimWriter, HeldClaim};
use crate::errors::{ErrorKind, RequestError};
use crate::headers;
use crate::interfaces::{AdmitOutcome, InstanceContext, ProofState};
use crate::metrics::RequestMetrics;
use crate::queue::WaitQueue;
use crate::upstream::{BackendRequest, BackendResponse, UpstreamPool};

/// Maximum wait for a rate limit token from another instance.
const ADMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum response body stored in a claim row. A retry of a request with a
/// larger response gets an error which states that the request ran.
const MAX_RECORDED_BODY_BYTES: usize = 128 * 1024;

/// A request whose head passed all checks.
#[derive(Debug, Clone)]
pub(crate) struct CheckedRequest {
    pub(crate) service: ServiceKey,
    pub(crate) route: RoutePlan,
    /// The caller's team, or `None` on open routes.
    pub(crate) team: Option<TeamKey>,
    /// Digest of the API key sent with the request.
    pub(crate) key: Option<KeyDigest>,
    /// Set on routes whose requests run at most once.
    pub(crate) identity: Option<ClaimIdentity>,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) backend: BackendRequest,
}

impl CheckedRequest {
    fn is_idempotent(&self) -> bool {
        self.route.kind != RouteKind::Once
    }
}

/// Random numbers from a generator seeded by the operating system.
struct ThreadRandom(SmallRng);

impl fmt::Debug for ThreadRandom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ThreadRandom").finish_non_exhaustive()
    }
}

impl RandomSource for ThreadRandom {
    fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound.max(1))
    }
}

/// Sends requests to backend servers.
#[derive(Debug)]
pub(crate) struct RequestPipeline {
    pub(crate) context: InstanceContext,
    pub(crate) metrics: RequestMetrics,
    backends: Rc<BackendStates>,
    upstream: UpstreamPool,
    queue: Rc<WaitQueue>,
    claims: Rc<ClaimWriter>,
    retry_budget: RefCell<RetryBudget>,
    shares: RefCell<BTreeMap<ServiceKey, ShareCounter>>,
    running_fingerprints: RefCell<RunningFingerprints>,
    random: RefCell<ThreadRandom>,
    next_request: Cell<u64>,
    /// Services for which a task is requesting slots from other instances.
    requesting_slots: RefCell<BTreeSet<ServiceKey>>,
}

impl RequestPipeline {
    pub(crate) fn new(
        context: InstanceContext,
        metrics: RequestMetrics,
        backends: Rc<BackendStates>,
        claims: Rc<ClaimWriter>,
    ) -> Rc<Self> {
        Rc::new(Self {
            context,
            upstream: UpstreamPool::new(metrics.clone()),
            metrics,
            backends,
            queue: Rc::default(),
            claims,
            retry_budget: RefCell::default(),
            shares: RefCell::default(),
            running_fingerprints: RefCell::default(),
            random: RefCell::new(ThreadRandom(rand::make_rng())),
            next_request: Cell::new(0),
            requesting_slots: RefCell::default(),
        })
    }

    /// Removes state and connections of servers that are in no contract.
    pub(crate) fn remove_unconfigured(&self) {
        let snapshot = self.context.config.snapshot();
        self.backends.remove_unconfigured(&snapshot);
        self.upstream
            .retain(&|server| crate::backends::find_server(&snapshot, server).is_some());
    }

    /// Returns a request ID that is unique in the fleet.
    pub(crate) fn next_request_id(&self) -> String {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        let own = &self.context.incarnation;
        format!("{}.{}.{number:x}", own.instance, own.number)
    }

    /// Whether the results of all claims have been written to the table.
    pub(crate) fn is_flushed(&self) -> bool {
        self.claims.is_flushed()
    }

    /// Takes a token from the team's rate limit.
    ///
    /// # Errors
    ///
    /// The rejection; the request did not run.
    pub(crate) async fn admit(&self, request: &CheckedRequest) -> Result<(), RequestError> {
        let Some(team) = &request.team else {
            return Ok(());
        };
        let limit = LimitKey::Team(team.clone());
        let latest = self.context.clock.instant() + ADMIT_TIMEOUT;
        let deadline = latest.min(request.backend.deadline.instant());
        match self.context.rights.admit(limit, deadline).await {
            AdmitOutcome::Admitted => Ok(()),
            AdmitOutcome::Exceeded { retry_after } => {
                let message = format!("team {team} is over its rate");
                Err(RequestError::new(ErrorKind::RateExceeded, message)
                    .with_retry_after(retry_after))
            }
            AdmitOutcome::NotReady => Err(self.not_ready_error()),
        }
    }

    /// The rejection while this instance may not use its rights, because it is
    /// draining or has no proof.
    pub(crate) fn not_ready_error(&self) -> RequestError {
        let own = &self.context.incarnation.instance;
        let members = self.context.members.members();
        if members.iter().any(|m| m.instance == *own && m.leaving) {
            RequestError::new(ErrorKind::Draining, "this instance is stopping")
        } else {
            let message = "this instance has no proof that its configuration is current";
            RequestError::new(ErrorKind::ConfigurationNotProved, message)
        }
    }

    /// Rejects the request while the configuration is not proved current. Open
    /// routes need the proof too, since slots and server states are shared by
    /// the fleet.
    fn check_proof(&self) -> Result<(), RequestError> {
        match self.context.config.proof() {
            ProofState::Proved(_) => Ok(()),
            ProofState::Missing => Err(self.not_ready_error()),
        }
    }

    /// Checks what may have changed while the request waited: the proof, the
    /// key and the deadline.
    ///
    /// # Errors
    ///
    /// The rejection; the request did not run.
    pub(crate) fn check_still_valid(&self, request: &CheckedRequest) -> Result<(), RequestError> {
        self.recheck_key(request)?;
        let now = self.context.clock.instant();
        if request.backend.deadline.remaining(now).is_none() {
            return Err(deadline_passed_error(request));
        }
        Ok(())
    }

    /// Checks the proof and the key, also before a recorded response is returned.
    fn recheck_key(&self, request: &CheckedRequest) -> Result<(), RequestError> {
        self.check_proof()?;
        if let Some(key) = &request.key {
            let snapshot = self.context.config.snapshot();
            let withdrawn = self.context.config.is_withdrawn(key);
            let known = snapshot.keys.get(key);
            if withdrawn || known.is_none_or(|grant| grant.withdrawn) {
                return Err(RequestError::new(
                    ErrorKind::UnknownKey,
                    "the key was withdrawn while the request waited",
                ));
            }
        }
        Ok(())
    }

    /// Runs an admitted request.
    ///
    /// # Errors
    ///
    /// The error for the caller if no server returned a response to forward.
    pub(crate) async fn run(
        self: &Rc<Self>,
        request: &CheckedRequest,
    ) -> Result<BackendResponse, RequestError> {
        if let Some(identity) = &request.identity
            && self.claims.should_fail_fast(identity)
        {
            return Err(table_unavailable_error());
        }
        self.retry_budget.borrow_mut().deposit();
        let _running = self.track_fingerprint(request)?;
        let mut claim = RequestClaim::NotHeld;
        let mut crashes_seen = CrashCounter::default();
        let result = self
            .run_attempts(request, &mut claim, &mut crashes_seen)
            .await;
        self.count_crashes(request, crashes_seen.counted_crashes(result.is_ok()));
        if let RequestClaim::Held(held) = claim {
            held.resolve(claim_resolution(&result));
        }
        result
    }

    fn crash_count(&self, fingerprint: u64) -> u64 {
        let of = |key: &FactKey| matches!(key, FactKey::CrashCount(f, _) if *f == fingerprint);
        total_crashes(&self.context.facts.select(&of), fingerprint)
    }

    fn track_fingerprint(
        self: &Rc<Self>,
        request: &CheckedRequest,
    ) -> Result<FingerprintGuard, RequestError> {
        let fingerprint = request.fingerprint.short();
        let decision = quarantine_decision(self.crash_count(fingerprint));
        if decision == QuarantineDecision::Rejected {
            return Err(quarantined_error());
        }
        if !self
            .running_fingerprints
            .borrow_mut()
            .try_begin(fingerprint, decision)
        {
            let message = "an equal request that may have crashed a backend server is running";
            return Err(RequestError::new(ErrorKind::NoCapacity, message));
        }
        Ok(FingerprintGuard {
            pipeline: Rc::clone(self),
            fingerprint,
        })
    }

    fn count_crashes(&self, request: &CheckedRequest, crashes: u64) {
        if crashes == 0 {
            return;
        }
        let fingerprint = request.fingerprint.short();
        let key = FactKey::CrashCount(fingerprint, self.context.incarnation.clone());
        let known = match self.context.facts.get(&key) {
            Some(FactValue::Count(count)) => count,
            _ => 0,
        };
        self.metrics.crashes.inc_by(crashes);
        self.context
            .facts
            .publish(key, FactValue::Count(known + crashes), true);
        let detail = format!("{} crashes on this instance", known + crashes);
        self.context
            .events
            .record("request_crash", &request.service.to_string(), &detail);
    }

    /// Claims the identity of a request that must run at most once.
    async fn claim(&self, request: &CheckedRequest) -> Result<RequestClaim, RequestError> {
        let Some(identity) = &request.identity else {
            return Ok(RequestClaim::NotHeld);
        };
        let fingerprint = request.fingerprint.to_string();
        let deadline = request.backend.deadline.instant();
        let outcome = self.claims.acquire(identity, &fingerprint, deadline).await;
        claim_from_outcome(request, identity, outcome)
    }
}

/// Converts the outcome of a claim to the claim state or the error of its request.
fn claim_from_outcome(
    request: &CheckedRequest,
    identity: &ClaimIdentity,
    outcome: ClaimOutcome,
) -> Result<RequestClaim, RequestError> {
    match outcome {
        ClaimOutcome::Held(held) => Ok(RequestClaim::Held(held)),
        ClaimOutcome::Recorded(response) => {
            replayed_response(identity, &response).map(RequestClaim::Recorded)
        }
        ClaimOutcome::Reused => {
            let message = format!("identity {identity} belongs to another request");
            Err(RequestError::new(ErrorKind::IdentityReused, message))
        }
        ClaimOutcome::StillRunning => {
            let message = format!("request {identity} is running");
            Err(RequestError::new(ErrorKind::StillRunning, message))
        }
        ClaimOutcome::Unknown => {
            let message = format!("outcome unknown: request {identity} may have run");
            Err(RequestError::new(ErrorKind::BackendFailed, message))
        }
        ClaimOutcome::TableUnavailable => Err(RequestError::new(
            ErrorKind::TableUnavailable,
            "the request could not be claimed and was not sent",
        )),
        ClaimOutcome::DeadlinePassed => Err(deadline_passed_error(request)),
    }
}

/// The claim state of a request during its attempts.
enum RequestClaim {
    /// No claim is needed, or none is held yet.
    NotHeld,
    Held(HeldClaim),
    /// An earlier request with this identity got this response.
    Recorded(BackendResponse),
}

/// Removes the request's fingerprint from the running ones when dropped.
struct FingerprintGuard {
    pipeline: Rc<RequestPipeline>,
    fingerprint: u64,
}

impl Drop for FingerprintGuard {
    fn drop(&mut self) {
        self.pipeline
            .running_fingerprints
            .borrow_mut()
            .end(self.fingerprint);
    }
}

fn quarantined_error() -> RequestError {
    let message = "equal requests have crashed backend servers";
    RequestError::new(ErrorKind::Quarantined, message)
}

fn table_unavailable_error() -> RequestError {
    let message = "the request could not be claimed and was not sent";
    RequestError::new(ErrorKind::TableUnavailable, message)
}

/// The rejection of a request that was not sent before its deadline.
fn deadline_passed_error(request: &CheckedRequest) -> RequestError {
    RequestError::new(
        ErrorKind::DeadlinePassed,
        "the deadline passed before the request was sent",
    )
    .with_outcome(RunOutcome::NotRun)
    .with_idempotent_route(request.is_idempotent())
}

fn claim_resolution(result: &Result<BackendResponse, RequestError>) -> ClaimResolution {
    match result {
        Ok(response) => ClaimResolution::Responded(recorded_response(response)),
        Err(error) if error.outcome == RunOutcome::NotRun => ClaimResolution::NotRun,
        Err(_) => ClaimResolution::Unknown,
    }
}

fn recorded_response(response: &BackendResponse) -> RecordedResponse {
    let forwarded = headers::for_caller(&response.headers);
    let headers = forwarded
        .iter()
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect();
    let body =
        (response.body.len() <= MAX_RECORDED_BODY_BYTES).then(|| STANDARD.encode(&response.body));
    RecordedResponse {
        status: response.status.as_u16(),
        headers,
        body,
    }
}

/// Rebuilds the backend server's response from the one recorded in the claim.
fn replayed_response(
    identity: &ClaimIdentity,
    response: &RecordedResponse,
) -> Result<BackendResponse, RequestError> {
    let ran = |detail: &str| {
        let message = format!("request {identity} ran; {detail}");
        RequestError::new(ErrorKind::BackendFailed, message).with_outcome(RunOutcome::Ran)
    };
    let body = response
        .body
        .as_ref()
        .ok_or_else(|| ran("its answer was too large to keep"))?;
    let body = STANDARD
        .decode(body)
        .map_err(|_error| ran("its recorded answer is damaged"))?;
    BackendResponse::from_parts(response.status, &response.headers, body.into())
        .ok_or_else(|| ran("its recorded answer is damaged"))
}
