//! The service port: look-ups, requests and slow work.
//!
//! # Drain
//!
//! A stopping instance ends in this order, so that no request is cut:
//!
//! 1. State `FactKey::InstanceLeaving`, so that look-ups name other instances,
//!    and keep serving for the longest validity of a look-up.
//! 2. `HttpServerHandle::drain` of the service port.
//! 3. Wait for [`ServiceFrontend::is_idle`]: requests that run at most once go
//!    on without their caller, and results of claims are still being written.
//!    Bound this wait: while the table is down it does not end. Claims without
//!    a result are then "outcome unknown".
//! 4. [`ServiceFrontend::stop_loops`]: probes, lease renewals and claim writes
//!    end. Jobs that are held here are taken over by other instances.
//! 5. Give away shares and tokens, then stop the peer port.

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

use crate::backends::BackendBoard;
use crate::border::{InstanceContext, RequestHandler};
use crate::claims::ClaimWriter;
use crate::errors::{ErrorKind, OUTCOME_HEADER, REQUEST_ID_HEADER, RequestError, json_response};
use crate::headers;
use crate::jobs::{JobService, JobView, POLL_AFTER};
use crate::metrics::RequestMetrics;
use crate::pipeline::RequestPipeline;
use crate::probe;
use crate::tasks::LoopGuard;
use crate::upstream::BackendAnswer;
use lookup::BlockCache;
use memory::{BodyGuard, BodyMemory};

/// Longest time for a caller to send a request body.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Memory for the bodies of running requests. An instance has little memory,
/// and a single body may have 8 MiB.
const BODY_BYTES: u64 = 48 * 1024 * 1024;

/// Bounds that the settings may change.
#[derive(Debug, Clone)]
pub(crate) struct FrontendLimits {
    /// Longest time for a caller to send a request body.
    pub(crate) body_time: Duration,
    /// Most bytes that the bodies of all running requests may take.
    pub(crate) body_bytes: u64,
}

impl Default for FrontendLimits {
    fn default() -> Self {
        Self {
            body_time: BODY_TIME,
            body_bytes: BODY_BYTES,
        }
    }
}

/// The request path of an instance.
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

/// Counts a request as running, with the memory of its body, until dropped.
struct RunningGuard {
    frontend: Rc<ServiceFrontend>,
    body: Option<BodyGuard>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let running = &self.frontend.running;
        running.set(running.get().saturating_sub(1));
        self.body = None;
    }
}

/// A caller that showed a valid key.
#[derive(Debug, Clone)]
struct KnownCaller {
    team: TeamKey,
    key: KeyDigest,
}

/// How a request ended, for the answer and the metrics.
struct RequestEnd {
    response: Response<BoxBody>,
    outcome: &'static str,
    refusal: Option<&'static str>,
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
    /// Starts the request path: its metrics are registered in `registry`, and
    /// its loops run until [`ServiceFrontend::stop_loops`] or until
    /// the last clone of the handler is dropped.
    pub(crate) fn start(
        context: InstanceContext,
        limits: FrontendLimits,
        registry: &mut Registry,
    ) -> FrontendHandler {
        let metrics = RequestMetrics::register(registry);
        let facts = Rc::clone(&context.facts);
        let board = Rc::new(BackendBoard::new(facts, Rc::clone(&context.clock)));
        let (claims, mut loops) = ClaimWriter::start(&context, metrics.clone());
        let pipeline =
            RequestPipeline::new(context.clone(), metrics.clone(), Rc::clone(&board), claims);
        loops.extend(probe::start(
            &context,
            board,
            Rc::clone(&pipeline),
            metrics.clone(),
        ));
        let (jobs, guards) = JobService::start(&context, Rc::clone(&pipeline), metrics.clone());
        loops.extend(guards);
        let body_memory = BodyMemory::new(limits.body_bytes);
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

    /// Whether no request runs and every claim has its result in the table.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.get() == 0 && self.pipeline.is_settled()
    }

    /// Ends the background loops. Call it when [`ServiceFrontend::is_idle`].
    pub(crate) fn stop_loops(&self) {
        self.loops.borrow_mut().clear();
    }

    fn begin(self: &Rc<Self>) -> RunningGuard {
        self.running.set(self.running.get() + 1);
        RunningGuard {
            frontend: Rc::clone(self),
            body: None,
        }
    }

    async fn answer(
        self: Rc<Self>,
        request: Request,
        peer: Option<SocketAddr>,
    ) -> Response<BoxBody> {
        let path = request.path().to_owned();
        if path == "/v1/lookup" {
            self.metrics.lookups.inc();
            return self
                .answer_lookup(&request, peer)
                .unwrap_or_else(|error| error.into_response(None));
        }
        let started = Instant::now();
        let id = self.pipeline.next_request_id();
        let (end, team) = match path.strip_prefix("/v1/jobs/") {
            Some(job) => {
                let mut team = None;
                let result = self.answer_job(&request, job, &mut team).await;
                (finish(result, &id), team)
            }
            None => self.answer_request(request, &id).await,
        };
        self.metrics
            .record_request(end.outcome, end.refusal, team.as_ref(), started.elapsed());
        end.response
    }

    async fn answer_job(
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
        match self.jobs.view(job, &caller.team).await? {
            JobView::Open => Ok(job_response(job)),
            JobView::Done(answer) => Ok(backend_response(answer)),
        }
    }
}

fn job_response(job: &str) -> Response<BoxBody> {
    let wait = u64::try_from(POLL_AFTER.as_millis()).unwrap_or(u64::MAX);
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

fn backend_response(answer: BackendAnswer) -> Response<BoxBody> {
    let mut response = Response::with_body(answer.status, BoxBody::new(answer.body));
    *response.headers_mut() = headers::for_caller(&answer.headers);
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    response
}

/// Completes an answer with the identity of its request.
fn finish(result: Result<Response<BoxBody>, RequestError>, id: &str) -> RequestEnd {
    match result {
        Ok(mut response) => {
            if let Ok(value) = HeaderValue::try_from(id) {
                response.headers_mut().insert(REQUEST_ID_HEADER, value);
            }
            let ran = response.headers().contains_key(OUTCOME_HEADER);
            RequestEnd {
                response,
                outcome: if ran { "ran" } else { "accepted" },
                refusal: None,
            }
        }
        Err(error) => RequestEnd {
            outcome: error.outcome.name(),
            refusal: Some(error.kind.name()),
            response: error.into_response(Some(id)),
        },
    }
}

fn authorization(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()
}

impl FrontendHandler {
    /// The frontend itself.
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
        Box::pin(Rc::clone(&self.0).answer(request, peer))
    }
}
