//! Requests to `/{customer}/{service}/{path}`: checks the head, reads the body
//! and passes the request to the pipeline.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, TRANSFER_ENCODING};
use actix_http::{HttpMessage, Request, Response};
use bytes::Bytes;
use tarragonpulley_policy::claim::ClaimIdentity;
use tarragonpulley_policy::contract::{RouteKind, RoutePlan};
use tarragonpulley_policy::credential::{KeyDecision, bearer_key, check_key};
use tarragonpulley_policy::ids::{CustomerName, ServiceKey, TeamKey};
use tarragonpulley_policy::quarantine::RequestFingerprint;
use tarragonpulley_policy::retry::RequestDeadline;
use tarragonpulley_policy::routing::{RequestTarget, RouteMatch, match_route};
use tarragonpulley_policy::snapshot::KeyDigest;

use super::{
    AuthenticatedCaller, FinishedRequest, RunningGuard, ServiceFrontend, authorization,
    backend_response, finish, job_response,
};
use crate::errors::{ErrorKind, RequestError};
use crate::headers;
use crate::http_server::read_body;
use crate::pipeline::CheckedRequest;
use crate::upstream::{BackendRequest, DEADLINE_HEADER};

const IDENTITY_HEADER: &str = "idempotency-key";

/// A request whose head passed all checks.
struct CheckedHead {
    target: RequestTarget,
    route: RoutePlan,
    caller: Option<AuthenticatedCaller>,
    identity: Option<ClaimIdentity>,
}

fn rejection(kind: ErrorKind, message: impl Into<String>) -> RequestError {
    RequestError::new(kind, message)
}

impl ServiceFrontend {
    pub(super) async fn respond_to_request(
        self: &Rc<Self>,
        mut request: Request,
        id: &str,
    ) -> (FinishedRequest, Option<TeamKey>) {
        let mut running = self.start_request();
        let head = match self.check_head(&request) {
            Ok(head) => head,
            Err(error) => return (finish(Err(error), id), None),
        };
        let team = head.caller.as_ref().map(|caller| caller.team.clone());
        let payload = request.take_payload();
        let max_bytes = head.route.max_body.get();
        let result = match self
            .receive_body(&request, payload, max_bytes, team.clone(), &mut running)
            .await
        {
            Ok(body) => {
                let prepared = self.prepare(&request, head, body, id);
                self.run(prepared, running).await
            }
            Err(error) => Err(error),
        };
        (finish(result, id), team)
    }

    fn check_head(&self, request: &Request) -> Result<CheckedHead, RequestError> {
        let target = RequestTarget::parse(request.path())
            .map_err(|error| rejection(ErrorKind::MalformedRequest, error.to_string()))?;
        let snapshot = self.context.config.snapshot();
        let contract = snapshot.contracts.get(&target.customer);
        let service = contract.and_then(|c| c.services.get(&target.service));
        let no_route = || rejection(ErrorKind::NoRoute, "no route has this path");
        let method = request.method().as_str();
        let route = match match_route(service.ok_or_else(no_route)?, method, &target.path) {
            RouteMatch::Found(route) => route.clone(),
            RouteMatch::NotFound => return Err(no_route()),
            RouteMatch::MethodNotAllowed => {
                let message = format!("the route does not allow {method}");
                return Err(rejection(ErrorKind::MethodNotAllowed, message));
            }
        };
        let caller = if route.open {
            None
        } else {
            Some(self.authenticate(request.headers(), Some(&target.customer))?)
        };
        let identity = match (&caller, route.kind) {
            (Some(caller), RouteKind::Once) => {
                Some(claim_identity(request.headers(), &caller.team, &target)?)
            }
            _ => None,
        };
        Ok(CheckedHead {
            target,
            route,
            caller,
            identity,
        })
    }

    /// Returns the team of the API key in the headers. If `customer` is given,
    /// the key must belong to it.
    pub(super) fn authenticate(
        &self,
        headers: &HeaderMap,
        customer: Option<&CustomerName>,
    ) -> Result<AuthenticatedCaller, RequestError> {
        let unknown = || rejection(ErrorKind::UnknownKey, "the request has no valid key");
        let key = authorization(headers)
            .and_then(bearer_key)
            .ok_or_else(unknown)?;
        let digest = KeyDigest::of_key(key);
        // Without a proof, a key that is unknown here may have been granted
        // recently.
        if self.context.config.proof() == crate::interfaces::ProofState::Missing {
            return Err(self.pipeline.not_ready_error());
        }
        let snapshot = self.context.config.snapshot();
        let withdrawn = self.context.config.is_withdrawn(&digest);
        let owner = snapshot.keys.get(&digest);
        let customer = customer
            .or(owner.map(|grant| &grant.team.customer))
            .ok_or_else(unknown)?;
        match check_key(&snapshot, &digest, withdrawn, customer) {
            KeyDecision::Team(team) => Ok(AuthenticatedCaller { team, key: digest }),
            KeyDecision::Unknown => Err(unknown()),
            KeyDecision::WrongCustomer => {
                let message = format!("the key does not belong to customer {customer}");
                Err(rejection(ErrorKind::WrongCustomer, message))
            }
        }
    }

    async fn receive_body(
        &self,
        request: &Request,
        payload: actix_http::Payload,
        max_bytes: u64,
        team: Option<TeamKey>,
        running: &mut RunningGuard,
    ) -> Result<Bytes, RequestError> {
        let declared = request.headers().get("content-length");
        let declared = declared.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if declared.is_some_and(|length| length > max_bytes) {
            let message = format!("the request body is larger than {max_bytes} bytes");
            return Err(rejection(ErrorKind::BodyTooLarge, message));
        }
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let expected = declared.unwrap_or(if chunked { max_bytes } else { 0 });
        let memory = self.body_memory.reserve(team, expected);
        running.body = Some(memory.ok_or_else(|| {
            let message = "the bodies of running requests take all memory";
            rejection(ErrorKind::NoCapacity, message)
        })?);
        read_body(payload, max_bytes, self.limits.body_timeout).await
    }

    fn prepare(
        &self,
        request: &Request,
        head: CheckedHead,
        body: Bytes,
        id: &str,
    ) -> CheckedRequest {
        let service = ServiceKey {
            customer: head.target.customer,
            service: head.target.service,
        };
        let target = match request.uri().query() {
            Some(query) => format!("{}?{query}", head.target.path),
            None => head.target.path,
        };
        let requested = request.headers().get(DEADLINE_HEADER);
        let requested = requested.and_then(|value| value.to_str().ok()?.parse().ok());
        let now = self.context.clock.instant();
        let timeout = head.route.timeout;
        let deadline = RequestDeadline::new(now, timeout, requested.map(Duration::from_millis));
        let method = request.method().clone();
        let (team, key) = head.caller.map(|caller| (caller.team, caller.key)).unzip();
        CheckedRequest {
            fingerprint: RequestFingerprint::new(&service, method.as_str(), &target, &body),
            service,
            team,
            key,
            identity: head.identity,
            backend: BackendRequest {
                method,
                route: head.route.path.clone(),
                target,
                headers: headers::for_backend(request.headers()),
                body,
                request_id: id.to_owned(),
                deadline,
                max_response_bytes: head.route.max_response.get(),
                idempotent: head.route.kind != RouteKind::Once,
            },
            route: head.route,
        }
    }

    async fn run(
        &self,
        request: CheckedRequest,
        running: RunningGuard,
    ) -> Result<Response<BoxBody>, RequestError> {
        self.pipeline.admit(&request).await?;
        match request.route.kind {
            RouteKind::Slow => {
                let job = self.jobs.accept(&request).await?;
                Ok(job_response(&job))
            }
            RouteKind::Idempotent => {
                let response = self.pipeline.run(&request).await?;
                Ok(backend_response(response))
            }
            RouteKind::Once => {
                // Runs in its own task, so that it completes and its result is
                // recorded even if the caller disconnects.
                let pipeline = Rc::clone(&self.pipeline);
                let task = actix_rt::spawn(async move {
                    let result = pipeline.run(&request).await;
                    drop(running);
                    result
                });
                let response = task.await.unwrap_or_else(|error| {
                    log::error!("a request ended without a result: {error}");
                    let message = "the request ended without a result";
                    Err(rejection(ErrorKind::BackendFailed, message))
                })?;
                Ok(backend_response(response))
            }
        }
    }
}

fn claim_identity(
    headers: &HeaderMap,
    team: &TeamKey,
    target: &RequestTarget,
) -> Result<ClaimIdentity, RequestError> {
    let key = headers.get(IDENTITY_HEADER).and_then(|v| v.to_str().ok());
    let key = key.ok_or_else(|| {
        let message = "this route needs an idempotency-key header";
        rejection(ErrorKind::MalformedRequest, message)
    })?;
    ClaimIdentity::new(team.clone(), target.service.clone(), key)
        .map_err(|error| rejection(ErrorKind::MalformedRequest, error.to_string()))
}
