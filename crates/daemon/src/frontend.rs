//! The service port: lookups, requests and jobs.
//!
//! # Shutdown
//!
//! An instance shuts down in this order, so that no request is cut off:
//!
//! 1. Publish `FactKey::InstanceLeaving`, so that lookups return other
//!    instances, and keep serving for the longest validity of a lookup.
//! 2. Call `HttpServerHandle::drain` on the service port.
//! 3. Wait for [`ServiceFrontend::is_idle`]: requests that run at most once
//!    continue without their caller, and results of claims are still being
//!    written. Set a timeout, because the wait does not end while the table is
//!    unavailable. Claims without a result then read as "outcome unknown".
//! 4. Call [`ServiceFrontend::stop_loops`], which ends probes, lease renewals
//!    and claim writes. Other instances take over the jobs held here.
//! 5. Transfer shares and tokens to other instances, then close the peer port.

mod lookup;
pub(crate) mod memory;
mod request;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderValue, LOCATION, RETRY_AFTER};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use futures_util::future::LocalBoxFuture;
use prometheus_client::registry::Registry;
use serde::Serialize;
use tarragonpulley_policy::ids::TeamKey;
use tarragonpulley_policy::snapshot::KeyDigest;

use crate::backends::BackendStates;
use crate::claims::ClaimWriter;
use crate::errors::{ErrorKind, OUTCOME_HEADER, REQUEST_ID_HEADER, RequestError, json_response};
use crate::headers;
use crate::interfaces::{InstanceContext, RequestHandler};
use crate::jobs::{JobService, JobStatus, POLL_INTERVAL};
use crate::metrics::RequestMetrics;
use crate::pipeline::RequestPipeline;
use crate::probe;
use crate::tasks::LoopGuard;
use crate::upstream::BackendResponse;
use lookup::BlockCache;
use memory::{BodyMemory, BodyReservation};

/// Default time in which a caller must send a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Default memory for the bodies of running requests, in bytes. An instance has
/// little memory, and a single body may have 8 MiB.
const MAX_BODY_MEMORY: u64 = 48 * 1024 * 1024;

/// Limits of the service port.
#[derive(Debug, Clone)]
pub(crate) struct FrontendLimits {
    /// Time in which a caller must send a request body.
    pub(crate) body_timeout: Duration,
    /// Maximum bytes for the bodies of all running requests.
    pub(crate) max_body_memory: u64,
}

impl Default for FrontendLimits {
    fn default() -> Self {
        Self {
            body_timeout: BODY_TIMEOUT,
            max_body_memory: MAX_BODY_MEMORY,
        }
    }
}

/// Handles the requests of the service port.
#[derive(Debug)]
pub(crate) struct ServiceFrontend {
    context: InstanceContext,
    pipeline: Rc<RequestPipeline>,
    jobs: Rc<JobService>,
    metrics: RequestMetrics,
    limits: FrontendLimits,
    blocks: RefCell<BlockCache>,
    running: Cell<usize>,
    body_memory: Rc<BodyMemory>,
    loops: RefCell<Vec<LoopGuard>>,
}

/// Counts a request as running and holds the memory of its body until dropped.
struct RunningGuard {
    frontend: Rc<ServiceFrontend>,
    body: Option<BodyReservation>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let running = &self.frontend.running;
        running.set(running.get().saturating_sub(1));
        self.body = None;
    }
}

/// A caller that sent a valid API key.
#[derive(Debug, Clone)]
struct AuthenticatedCaller {
    team: TeamKey,
    key: KeyDigest,
}

/// The response to a request, and its outcome for the metrics.
struct FinishedRequest {
    response: Response<BoxBody>,
    outcome: &'static str,
    rejection: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct JobBody<'a> {
    job: &'a str,
    state: &'static str,
    retry_after_ms: u64,
}

/// The handler of the service port. Clones share the same state.
#[derive(Debug, Clone)]
pub(crate) struct FrontendHandler(Rc<ServiceFrontend>);

impl ServiceFrontend {
    /// Starts the frontend and registers its metrics in `registry`. Its loops
    /// run until [`ServiceFrontend::stop_loops`] is called or the last clone of
    /// the handler is dropped.
    pub(crate) fn start(
        context: InstanceContext,
        limits: FrontendLimits,
        registry: &mut Registry,
    ) -> FrontendHandler {
        let metrics = RequestMetrics::register(registry);
        let facts = Rc::clone(&context.facts);
        let backends = Rc::new(BackendStates::new(facts, Rc::clone(&context.clock)));
        let (claims, mut loops) = ClaimWriter::start(&context, metrics.clone());
        let pipeline = RequestPipeline::new(
            context.clone(),
            metrics.clone(),
            Rc::clone(&backends),
            claims,
        );
        loops.extend(probe::start(
            &context,
            backends,
            Rc::clone(&pipeline),
            metrics.clone(),
        ));
        let (jobs, guards) = JobService::start(&context, Rc::clone(&pipeline), metrics.clone());
        loops.extend(guards);
        let body_memory = BodyMemory::new(limits.max_body_memory);
        FrontendHandler(Rc::new(Self {
            context,
            pipeline,
            jobs,
            metrics,
            limits,
            blocks: RefCell::default(),
            running: Cell::new(0),
            body_memory,
            loops: RefCell::new(loops),
        }))
    }

    /// Whether no request is running and the results of all claims are in the
    /// table.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.get() == 0 && self.pipeline.is_flushed()
    }

    /// Stops the background loops. Call it once [`ServiceFrontend::is_idle`]
    /// holds.
    pub(crate) fn stop_loops(&self) {
        self.loops.borrow_mut().clear();
    }

    fn start_request(self: &Rc<Self>) -> RunningGuard {
        self.running.set(self.running.get() + 1);
        RunningGuard {
            frontend: Rc::clone(self),
            body: None,
        }
    }

    async fn respond(
        self: Rc<Self>,
        request: Request,
        peer: Option<SocketAddr>,
    ) -> Response<BoxBody> {
        let path = request.path().to_owned();
        if path == "/v1/lookup" {
            self.metrics.lookups.inc();
            return self
                .respond_to_lookup(&request, peer)
                .unwrap_or_else(|error| error.into_response(None));
        }
        let started = Instant::now();
        let id = self.pipeline.next_request_id();
        let (end, team) = match path.strip_prefix("/v1/jobs/") {
            Some(job) => {
                let mut team = None;
                let result = self.respond_to_job_query(&request, job, &mut team).await;
                (finish(result, &id), team)
            }
            None => self.respond_to_request(request, &id).await,
        };
        self.metrics
            .record_request(end.outcome, end.rejection, team.as_ref(), started.elapsed());
        end.response
    }

    async fn respond_to_job_query(
        &self,
        request: &Request,
        job: &str,
        team: &mut Option<TeamKey>,
    ) -> Result<Response<BoxBody>, RequestError> {
        if request.method() != actix_http::Method::GET {
            let message = "a job is read with GET";
            return Err(RequestError::new(ErrorKind::MethodNotAllowed, message));
        }
        let caller = self.authenticate(request.headers(), None)?;
        *team = Some(caller.team.clone());
        match self.jobs.status(job, &caller.team).await? {
            JobStatus::Open => Ok(job_response(job)),
            JobStatus::Done(response) => Ok(backend_response(response)),
        }
    }
}

fn job_response(job: &str) -> Response<BoxBody> {
    let wait = u64::try_from(POLL_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    let body = JobBody {
        job,
        state: "open",
        retry_after_ms: wait,
    };
    let mut response = json_response(StatusCode::ACCEPTED, &body);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::try_from(format!("/v1/jobs/{job}")) {
        headers.insert(LOCATION, value);
    }
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

fn backend_response(backend: BackendResponse) -> Response<BoxBody> {
    let mut response = Response::with_body(backend.status, BoxBody::new(backend.body));
    *response.headers_mut() = headers::for_caller(&backend.headers);
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    response
}

/// Adds the request ID to a response and extracts the outcome.
fn finish(result: Result<Response<BoxBody>, RequestError>, id: &str) -> FinishedRequest {
    match result {
        Ok(mut response) => {
            if let Ok(value) = HeaderValue::try_from(id) {
                response.headers_mut().insert(REQUEST_ID_HEADER, value);
            }
            let ran = response.headers().contains_key(OUTCOME_HEADER);
            FinishedRequest {
                response,
                outcome: if ran { "ran" } else { "accepted" },
                rejection: None,
            }
        }
        Err(error) => FinishedRequest {
            outcome: error.outcome.name(),
            rejection: Some(error.kind.name()),
            response: error.into_response(Some(id)),
        },
    }
}

fn authorization(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()
}

impl FrontendHandler {
    /// The frontend behind this handler.
    pub(crate) fn frontend(&self) -> &ServiceFrontend {
        &self.0
    }
}

impl RequestHandler for FrontendHandler {
    fn handle(
        &self,
        request: Request,
        peer: Option<SocketAddr>,
    ) -> LocalBoxFuture<'_, Response<BoxBody>> {
        Box::pin(Rc::clone(&self.0).respond(request, peer))
    }
}
