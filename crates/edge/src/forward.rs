//! Forwards a caller's request to a backend server and returns the response.

mod asked;
mod attempt;
mod learned;
mod place;
mod rejection;
mod shares;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::admission::{RejectionLoad, jittered_retry_after};
use tarragonpulley_policy::entry::config::{
    KeyMatch, RouteMatch, RouteRule, TeamRule, TrafficConfig,
};
use tarragonpulley_policy::entry::names::{RegionName, ServiceName};
use tarragonpulley_policy::entry::placement::{MAX_CANDIDATES, text_hash};

pub(crate) use self::attempt::CONNECT_TIMEOUT;
use self::attempt::{AttemptOutcome, ServerAttempt};
use self::rejection::Rejection;
use crate::http::client::ServerResponse;
use crate::http::message::{CallerRequest, CallerResponse, HeaderLookup, RequestHead};
use crate::instance::Instance;
use crate::metrics::OutcomeLabel;
use crate::rollout::VersionChoice;
use crate::servers::Server;

/// The minimum time left before the deadline for which a retry is started.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// `Retry-After` for callers whose request this instance cannot forward now, so
/// that they use another instance.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The number of bytes of a body by which copies of a request are recognised.
const MAX_FINGERPRINT_BYTES: usize = 16 * 1024;

/// Header fields that concern one connection only, or that the instance sets.
const HOP_BY_HOP_FIELDS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "proxy-connection",
];

/// An admitted request with its route, team, service and deadlines.
struct ForwardRequest {
    request: CallerRequest,
    id: String,
    route: Rc<RouteRule>,
    team: Option<Rc<TeamRule>>,
    config: Rc<TrafficConfig>,
    service: ServiceName,
    /// The regions in which the request must run; `None` if it may run in any
    /// region.
    home_regions: Option<BTreeSet<RegionName>>,
    object: Option<u64>,
    caller_deadline: Instant,
    deadline: Instant,
    /// The deadline by the proof clock, which also counts the time in which the
    /// machine is suspended.
    proof_deadline: Instant,
    fingerprint: u64,
}

impl Instance {
    /// Handles a request of a caller.
    pub(crate) async fn forward(self: Rc<Self>, request: CallerRequest) -> CallerResponse {
        let received = request.received;
        let id = request
            .head
            .text(self.adapter.headers().request_id)
            .unwrap_or_default()
            .to_owned();
        let mut response = match self.admit_request(request, id.clone()) {
            Ok(forward) => self.run_within_team_limit(&forward).await,
            Err((rejection, retry_after)) => self.reject(&id, rejection, retry_after, &json!({})),
        };
        if !id.is_empty()
            && response
                .fields
                .iter()
                .all(|field| field.name != self.adapter.headers().request_id)
        {
            response = response.with_field(self.adapter.headers().request_id, &id);
        }
        self.metrics
            .latency
            .observe(received.elapsed().as_secs_f64());
        self.record_passed_on(response.body.len(), self.now());
        response
    }

    /// Rejects a request whose body does not fit the memory that is left. Another instance
    /// may have more, and this one again once a request in progress ends.
    pub(crate) fn reject_body(&self, head: &RequestHead) -> CallerResponse {
        let inputs = json!({"length": head.text("content-length"),
            "memory_in_use": self.request_budget.used()});
        self.reject_unhandled(head, Rejection::NoMemory, &inputs)
    }

    /// Rejects a request beyond the number that may be in progress.
    pub(crate) fn reject_request(&self, head: &RequestHead) -> CallerResponse {
        self.reject_unhandled(head, Rejection::TooManyRequests, &json!({}))
    }

    /// Rejects a request that is not handled.
    fn reject_unhandled(
        &self,
        head: &RequestHead,
        rejection: Rejection,
        inputs: &serde_json::Value,
    ) -> CallerResponse {
        let field = self.adapter.headers().request_id;
        let id = head.text(field).unwrap_or_default();
        let after = jittered_retry_after(DEFAULT_RETRY_AFTER, rand::random());
        let response = self.reject(id, rejection, Some(after), inputs);
        if id.is_empty() {
            return response;
        }
        response.with_field(field, id)
    }

    fn reject(
        &self,
        id: &str,
        rejection: Rejection,
        retry_after: Option<Duration>,
        inputs: &serde_json::Value,
    ) -> CallerResponse {
        let proof_age = self.proof_age().map(|age| age.as_millis());
        let version = self.config.borrow().as_ref().map(|config| config.version.0);
        self.log.event(
            "refused",
            json!({"request": id, "status": rejection.status(), "reason": rejection.name(),
                "retry_after_ms": retry_after.map(|after| after.as_millis()),
                "config_version": version, "proof_age_ms": proof_age, "inputs": inputs}),
        );
        self.count_outcome(rejection.status(), rejection.name());
        let mut response = CallerResponse::empty(rejection.status());
        // Callers open their next connection elsewhere.
        response.close = rejection == Rejection::NoServerReachable;
        match retry_after {
            Some(after) => {
                response.with_field("Retry-After", &format!("{:.2}", after.as_secs_f64()))
            }
            None => response,
        }
    }

    fn count_outcome(&self, status: u16, reason: &'static str) {
        let label = OutcomeLabel {
            status: status.into(),
            reason,
        };
        self.metrics.outcomes.get_or_create(&label).inc();
    }

    fn admit_request(
        &self,
        request: CallerRequest,
        id: String,
    ) -> Result<ForwardRequest, (Rejection, Option<Duration>)> {
        let now = self.now();
        let names = self.adapter.headers();
        let default_retry_after = Some(jittered_retry_after(DEFAULT_RETRY_AFTER, rand::random()));
        if id.is_empty() {
            return Err((Rejection::NoRequestId, None));
        }
        let Some(config) = self.config.borrow().clone() else {
            return Err((Rejection::NotConfigured, default_retry_after));
        };
        let config_is_recent = self.has_recent_proof();
        let route = match config.route(&request.head.host(), request.head.path()) {
            RouteMatch::Rule(route) => Rc::clone(route),
            RouteMatch::Unusable(_) => {
                return Err((Rejection::RouteUnusable, default_retry_after));
            }
            RouteMatch::None if config_is_recent => return Err((Rejection::NoRoute, None)),
            RouteMatch::None => return Err((Rejection::KeyNotProved, default_retry_after)),
        };
        let team = if route.is_public {
            None
        } else {
            Some(self.authenticate(&request, &config, config_is_recent)?)
        };
        let caller_timeout = request
            .head
            .text(names.deadline_ms)
            .and_then(|text| text.parse::<u64>().ok())
            .map_or(route.timeout, Duration::from_millis);
        let caller_deadline = request.received + caller_timeout;
        let deadline = caller_deadline.min(request.received + route.timeout);
        let proof_deadline = self.proof_now() + deadline.saturating_duration_since(now);
        let object = affinity_object(&request, names.object_cookie).filter(|_| route.has_affinity);
        let object_hash = object.map(|object| text_hash(&object));
        let destination = {
            let mut splitters = self.splitters.borrow_mut();
            let splitter = splitters.entry(route.name.clone()).or_default();
            splitter.choose(
                &route.destinations,
                object_hash.unwrap_or_else(rand::random),
            )
        };
        let service = route.destinations[destination].service.clone();
        self.retry_budget.borrow_mut().record_request(&service, now);
        let fingerprint = fingerprint(&request, team.as_deref());
        if self.rejects_crashing(fingerprint) {
            return Err((Rejection::CrashesServers, None));
        }
        Ok(ForwardRequest {
            home_regions: effective_home_regions(&route, team.as_deref()),
            object: object_hash.map(|object| object ^ text_hash(service.as_str())),
            request,
            id,
            route,
            team,
            config,
            service,
            caller_deadline,
            deadline,
            proof_deadline,
            fingerprint,
        })
    }

    fn authenticate(
        &self,
        request: &CallerRequest,
        config: &TrafficConfig,
        config_is_recent: bool,
    ) -> Result<Rc<TeamRule>, (Rejection, Option<Duration>)> {
        let default_retry_after = Some(jittered_retry_after(DEFAULT_RETRY_AFTER, rand::random()));
        if !config_is_recent {
            return Err((Rejection::KeyNotProved, default_retry_after));
        }
        let field = request.head.text(self.adapter.key_header());
        let key = field.and_then(|field| self.adapter.caller_key(field));
        match key.map_or(KeyMatch::None, |key| config.team(key)) {
            KeyMatch::Team(team) => Ok(Rc::clone(team)),
            KeyMatch::Unusable => Err((Rejection::TeamUnusable, default_retry_after)),
            KeyMatch::None => Err((Rejection::UnknownKey, None)),
        }
    }

    /// Whether a request may still be sent to a server. It was admitted some time
    /// ago, and the process may have been paused since: the deadline, the proof of
    /// its key and the configuration are checked again.
    fn check_still_permitted(&self, forward: &ForwardRequest) -> Result<(), Rejection> {
        if self.proof_now() >= forward.proof_deadline {
            return Err(Rejection::NoTimeLeft);
        }
        if forward.route.is_public {
            return Ok(());
        }
        if !self.has_recent_proof() {
            return Err(Rejection::KeyNotProved);
        }
        let current = self.config.borrow();
        let is_unchanged = current
            .as_ref()
            .is_some_and(|config| Rc::ptr_eq(config, &forward.config));
        if is_unchanged {
            return Ok(());
        }
        let key = forward
            .request
            .head
            .text(self.adapter.key_header())
            .and_then(|field| self.adapter.caller_key(field));
        let team = match (key, current.as_ref()) {
            (Some(key), Some(config)) => config.team(key),
            _ => KeyMatch::None,
        };
        match (team, &forward.team) {
            (KeyMatch::Team(team), Some(admitted)) if team.name == admitted.name => Ok(()),
            (KeyMatch::Unusable, _) => Err(Rejection::TeamUnusable),
            _ => Err(Rejection::UnknownKey),
        }
    }

    async fn run_within_team_limit(&self, forward: &ForwardRequest) -> CallerResponse {
        if !self.reach.borrow().can_send(self.now()) {
            return self.reject_unreachable(forward);
        }
        let wait = match &forward.team {
            Some(team) => self.acquire_token(team).await,
            None => None,
        };
        if let Some(wait) = wait {
            let inputs = forward.team.as_ref().map(|team| {
                json!({"team": team.name.as_str(), "rate": team.rate, "burst": team.burst,
                    "next_token_ms": wait.as_millis()})
            });
            let after = jittered_retry_after(wait, rand::random());
            return self.reject(
                &forward.id,
                Rejection::OverTeamLimit,
                Some(after),
                &inputs.unwrap_or_default(),
            );
        }
        self.regions
            .record(&forward.service, forward.home_regions.as_ref(), self.now());
        self.run_with_timeout(forward).await
    }

    /// Rejects a request because this instance reaches no server.
    fn reject_unreachable(&self, forward: &ForwardRequest) -> CallerResponse {
        let load = self.load_elsewhere();
        self.reject(
            &forward.id,
            Rejection::NoServerReachable,
            Some(load.retry_after(rand::random())),
            &json!({"service": forward.service.as_str(),
                "others_ready": load == RejectionLoad::HasFreeSlots}),
        )
    }

    /// Makes attempts until a response is final, the deadline passes or the process ends.
    async fn run_with_timeout(&self, forward: &ForwardRequest) -> CallerResponse {
        let exchange_started = Rc::new(Cell::new(false));
        let attempts = self.run_attempts(forward, &exchange_started);
        let attempts = tokio::time::timeout_at(forward.deadline.into(), attempts);
        let result = tokio::select! {
            biased;
            result = attempts => Some(result),
            () = self.stop_ended.notified() => None,
        };
        match result {
            Some(Ok(response)) => response,
            None => self.end_at_stop(forward, exchange_started.get()),
            Some(Err(_elapsed)) => {
                self.log.event(
                    "timed_out",
                    json!({"request": forward.id, "route": forward.route.name,
                        "service": forward.service.as_str(), "was_sent": exchange_started.get(),
                        "after_ms": forward.request.received.elapsed().as_millis()}),
                );
                self.count_outcome(504, "timed_out");
                CallerResponse::empty(504)
            }
        }
    }

    /// The response to a request that is still in progress when the process ends. Without
    /// one, the responses to the requests behind it on its connection would be lost too.
    fn end_at_stop(&self, forward: &ForwardRequest, was_sent: bool) -> CallerResponse {
        if !was_sent {
            let after = jittered_retry_after(DEFAULT_RETRY_AFTER, rand::random());
            return self.reject(&forward.id, Rejection::Stopping, Some(after), &json!({}));
        }
        self.log.event(
            "ended_at_stop",
            json!({"request": forward.id, "route": forward.route.name, "repeatable": forward.route.retryable,
                "after_ms": forward.request.received.elapsed().as_millis()}),
        );
        self.count_outcome(504, "stopped");
        CallerResponse::empty(504)
    }

    async fn run_attempts(
        &self,
        forward: &ForwardRequest,
        exchange_started: &Cell<bool>,
    ) -> CallerResponse {
        let mut attempted: Vec<Rc<Server>> = Vec::new();
        let mut last_failure: Option<ServerResponse> = None;
        let mut may_have_run = false;
        let mut rejection_load = RejectionLoad::Full;
        let (mut placements, mut sent) = (0, 0);
        loop {
            let now = self.now();
            if let Err(rejection) = self.check_still_permitted(forward) {
                if may_have_run {
                    break;
                }
                let after = (rejection != Rejection::UnknownKey)
                    .then(|| jittered_retry_after(DEFAULT_RETRY_AFTER, rand::random()));
                return self.reject(&forward.id, rejection, after, &json!({}));
            }
            let choice = if placements == 0 {
                self.choose_version(&forward.service, now)
            } else {
                self.fallback_version(&forward.service)
            };
            let placed = match self.place(forward, &choice, &attempted, now) {
                Ok(placed) => placed,
                Err(_) if placements > 0 => break,
                Err((rejection, after)) => {
                    let inputs = json!({"service": forward.service.as_str(), "route": forward.route.name,
                        "left_ms": forward.deadline.saturating_duration_since(now).as_millis()});
                    return self.reject(&forward.id, rejection, Some(after), &inputs);
                }
            };
            let attempt = ServerAttempt::new(self, forward, &placed, &choice);
            let outcome = attempt.run(exchange_started).await;
            let was_sent = !matches!(outcome, AttemptOutcome::NotSent);
            sent += u32::from(was_sent);
            placements += 1;
            // A server that rejected the request with free slots may accept it
            // now, and it is the one with affinity for the object. All others
            // are excluded from further attempts.
            if !matches!(outcome, AttemptOutcome::NotRun(RejectionLoad::HasFreeSlots)) {
                attempted.push(Rc::clone(&placed.server));
            }
            match outcome {
                AttemptOutcome::Response(response) => {
                    return self.forward_response(forward, &placed.server, &attempt, response);
                }
                AttemptOutcome::NotRun(load) => rejection_load = load,
                AttemptOutcome::NotSent => {}
                AttemptOutcome::Failed { response } => {
                    may_have_run = true;
                    last_failure = response.or(last_failure);
                    if !forward.route.retryable {
                        break;
                    }
                }
            }
            let remaining = forward.deadline.saturating_duration_since(self.now());
            let sharer_count = self.peers.borrow().sharer_count(self.now());
            let exhausted = sent >= forward.route.max_attempts || placements >= MAX_CANDIDATES;
            if exhausted
                || remaining < MIN_ATTEMPT_TIME
                || (was_sent
                    && !self.retry_budget.borrow_mut().try_acquire(
                        &forward.service,
                        sharer_count,
                        self.now(),
                    ))
            {
                break;
            }
            if was_sent {
                self.metrics.retries.inc();
            }
            self.log.event(
                "repeated",
                json!({"request": forward.id, "service": forward.service.as_str(), "after": placed.server.id().as_str(),
                    "was_sent": was_sent, "may_have_run": may_have_run, "left_ms": remaining.as_millis()}),
            );
        }
        self.respond_after_failure(forward, may_have_run, rejection_load, last_failure)
    }

    /// The established version, which a retry uses after a failure at any
    /// version.
    fn fallback_version(&self, service: &ServiceName) -> VersionChoice {
        let version = self.established_version(service);
        VersionChoice {
            version,
            is_new: false,
            in_rollout: false,
        }
    }

    fn respond_after_failure(
        &self,
        forward: &ForwardRequest,
        may_have_run: bool,
        rejection_load: RejectionLoad,
        failure: Option<ServerResponse>,
    ) -> CallerResponse {
        if let Some(response) = failure {
            self.count_outcome(response.head.status, "server_failure");
            self.log.event(
                "server_failure_passed_on",
                json!({"request": forward.id, "status": response.head.status, "service": forward.service.as_str()}),
            );
            return self.caller_response(response);
        }
        if !may_have_run && self.reach.borrow().is_partitioned() {
            return self.reject_unreachable(forward);
        }
        if !may_have_run {
            return self.reject(
                &forward.id,
                Rejection::AllServersShed,
                Some(rejection_load.retry_after(rand::random())),
                &json!({"service": forward.service.as_str(),
                    "has_room": rejection_load == RejectionLoad::HasFreeSlots}),
            );
        }
        self.log.event(
            "failed",
            json!({"request": forward.id, "status": 502, "route": forward.route.name,
                "service": forward.service.as_str(), "repeatable": forward.route.retryable}),
        );
        self.count_outcome(502, "connection_broke");
        CallerResponse::empty(502)
    }

    fn forward_response(
        &self,
        forward: &ForwardRequest,
        server: &Server,
        attempt: &ServerAttempt<'_>,
        response: ServerResponse,
    ) -> CallerResponse {
        let status = response.head.status;
        self.count_outcome(status, "server");
        let elapsed = forward.request.received.elapsed().as_millis();
        let line = || {
            json!({"request": forward.id, "status": status, "server": server.id().as_str(),
                "team": forward.team.as_ref().map(|team| team.name.as_str()), "route": forward.route.name, "object": forward.object, "ms": elapsed,
                "config_version": forward.config.version.0, "inputs": attempt.inputs()})
        };
        if status < 400 {
            self.log.success("answered", self.now(), line);
        } else {
            self.log.event("answered", line());
        }
        self.caller_response(response)
    }

    fn caller_response(&self, response: ServerResponse) -> CallerResponse {
        let names = self.adapter.headers();
        let internal_fields = [names.load, names.not_run];
        let fields = response
            .head
            .fields
            .into_iter()
            .filter(|field| {
                let is_field = |name: &&str| field.name.eq_ignore_ascii_case(name);
                !HOP_BY_HOP_FIELDS.iter().any(&is_field) && !internal_fields.iter().any(is_field)
            })
            .collect();
        CallerResponse {
            status: response.head.status,
            fields,
            body: response.body,
            close: false,
            share: Some(Rc::new(response.share)),
        }
    }
}

/// The affinity key of a request: the object that its cookie names.
fn affinity_object(request: &CallerRequest, cookie: &str) -> Option<String> {
    let text = request.head.text("cookie")?;
    text.split(';').find_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (name.trim() == cookie).then(|| value.trim().to_owned())
    })
}

/// The regions in which requests of a route and a team must run: those that
/// both allow. `None` if neither restricts them.
fn effective_home_regions(
    route: &RouteRule,
    team: Option<&TeamRule>,
) -> Option<BTreeSet<RegionName>> {
    let team = team
        .map(|team| &team.home_regions)
        .filter(|home_regions| !home_regions.is_empty());
    let route = Some(&route.home_regions).filter(|home_regions| !home_regions.is_empty());
    match (route, team) {
        (Some(route), Some(team)) => Some(route.intersection(team).cloned().collect()),
        (one, other) => one.or(other).cloned(),
    }
}

/// Hash that is equal for all copies of a request that a caller sends again,
/// used to recognise requests that crash servers.
fn fingerprint(request: &CallerRequest, team: Option<&TeamRule>) -> u64 {
    let team = team.map_or("", |team| team.name.as_str());
    let body = &request.body[..request.body.len().min(MAX_FINGERPRINT_BYTES)];
    let body = String::from_utf8_lossy(body);
    text_hash(&format!(
        "{} {} {team} {body}",
        request.head.method, request.head.target
    ))
}
