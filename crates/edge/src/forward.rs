//! Handles one request: from the route to the answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::admission::{AdmissionVerdict, admit, spread_retry};
use tarragonpulley_policy::entry::cold::allowance;
use tarragonpulley_policy::entry::config::{RouteRule, TeamRule, TrafficConfig};
use tarragonpulley_policy::entry::names::{RegionName, ServiceName};
use tarragonpulley_policy::entry::placement::{
    CANDIDATES, ServerView, choose, expected_finish, text_hash,
};
use tarragonpulley_policy::entry::quota::QuotaVerdict;

use crate::http::client::{ExchangeError, ExchangeProgress, ServerAnswer, ServerConnection};
use crate::http::message::{CallerReply, CallerRequest, HeaderField, HeaderLookup};
use crate::instance::Instance;
use crate::metrics::{OutcomeLabel, PlaceLabel};
use crate::rollout::VersionChoice;
use crate::servers::{InProgress, Server};

/// Time allowed for a connection to a backend server: two round trips between
/// the farthest regions, with a margin for a busy instance.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);

/// How long a connection may have been idle when it carries a request that must
/// not be repeated. The server may close an idle connection without notice; the
/// request would then end with an unknown outcome.
const UNSAFE_IDLE: Duration = Duration::from_millis(1500);

/// The least time left for which a request is sent to another server.
const MIN_ATTEMPT: Duration = Duration::from_millis(50);

/// Asked of callers when the instance cannot serve them itself now, so that
/// they go to another one.
const ELSEWHERE: Duration = Duration::from_millis(300);

/// Header fields that concern one connection only, or that the instance sets.
const HOP_FIELDS: [&str; 10] = [
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

/// Why an instance answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    NoRequestId,
    NotConfigured,
    NoRoute,
    NoKey,
    KeyNotProved,
    OverLimit,
    NoServer,
    NoTime,
    Saturated,
    CrashesServers,
    Stopping,
    AllShed,
    ColdLimit,
}

impl Refusal {
    fn status(self) -> u16 {
        match self {
            Self::NoRequestId => 400,
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::OverLimit => 429,
            Self::NotConfigured
            | Self::KeyNotProved
            | Self::NoServer
            | Self::NoTime
            | Self::Saturated
            | Self::CrashesServers
            | Self::Stopping
            | Self::AllShed
            | Self::ColdLimit => 503,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::NoRequestId => "no_request_id",
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::NoKey => "unknown_key",
            Self::KeyNotProved => "key_not_proved",
            Self::OverLimit => "over_team_limit",
            Self::NoServer => "no_server",
            Self::NoTime => "no_time_left",
            Self::Saturated => "servers_saturated",
            Self::CrashesServers => "crashes_servers",
            Self::Stopping => "stopping",
            Self::AllShed => "all_servers_shed",
            Self::ColdLimit => "only_cold_servers",
        }
    }
}

/// A request with what was decided about it.
struct ForwardRequest {
    request: CallerRequest,
    id: String,
    route: Rc<RouteRule>,
    team: Option<Rc<TeamRule>>,
    config: Rc<TrafficConfig>,
    service: ServiceName,
    object: Option<u64>,
    caller_deadline: Instant,
    deadline: Instant,
    fingerprint: u64,
}

/// What became of one attempt.
enum AttemptOutcome {
    /// The server's answer is for the caller.
    Answer(ServerAnswer),
    /// The server stated that the request did not run.
    NotRun { answer: ServerAnswer },
    /// The server could not be reached; no byte was sent.
    NotSent,
    /// The server failed after the request was sent.
    Failed { answer: Option<ServerAnswer> },
}

impl Instance {
    /// Handles a request of a caller.
    pub(crate) async fn forward(self: Rc<Self>, request: CallerRequest) -> CallerReply {
        let received = request.received;
        let id = request
            .head
            .text(self.adapter.headers().request_id)
            .unwrap_or_default()
            .to_owned();
        let mut reply = match self.admit_request(request, id.clone()) {
            Ok(forward) => self.run(&forward).await,
            Err((refusal, retry_after)) => self.refuse(&id, refusal, retry_after, json!({})),
        };
        if !id.is_empty()
            && reply
                .fields
                .iter()
                .all(|field| field.name != self.adapter.headers().request_id)
        {
            reply = reply.with_field(self.adapter.headers().request_id, &id);
        }
        self.metrics
            .latency
            .observe(received.elapsed().as_secs_f64());
        reply
    }

    fn refuse(
        &self,
        id: &str,
        refusal: Refusal,
        retry_after: Option<Duration>,
        inputs: serde_json::Value,
    ) -> CallerReply {
        let proof_age = self.proof_age().map(|age| age.as_millis());
        let version = self.config.borrow().as_ref().map(|config| config.version.0);
        self.log.event(
            "refused",
            json!({"request": id, "status": refusal.status(), "reason": refusal.name(),
                "retry_after_ms": retry_after.map(|after| after.as_millis()),
                "config_version": version, "proof_age_ms": proof_age, "inputs": inputs}),
        );
        self.count(refusal.status(), refusal.name());
        let reply = CallerReply::empty(refusal.status());
        match retry_after {
            Some(after) => reply.with_field("Retry-After", &format!("{:.2}", after.as_secs_f64())),
            None => reply,
        }
    }

    fn count(&self, status: u16, reason: &'static str) {
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
    ) -> Result<ForwardRequest, (Refusal, Option<Duration>)> {
        let now = self.now();
        let names = self.adapter.headers();
        let elsewhere = Some(spread_retry(ELSEWHERE, rand::random()));
        if id.is_empty() {
            return Err((Refusal::NoRequestId, None));
        }
        let Some(config) = self.config.borrow().clone() else {
            return Err((Refusal::NotConfigured, elsewhere));
        };
        let proved = self.is_proved();
        let Some(route) = config
            .route(&request.head.host(), request.head.path())
            .cloned()
        else {
            let refusal = if proved {
                Refusal::NoRoute
            } else {
                Refusal::KeyNotProved
            };
            return Err((refusal, if proved { None } else { elsewhere }));
        };
        let team = if route.open {
            None
        } else {
            Some(self.authenticate(&request, &config, proved)?)
        };
        let caller_wait = request
            .head
            .text(names.deadline_ms)
            .and_then(|text| text.parse::<u64>().ok())
            .map_or(route.timeout, Duration::from_millis);
        let caller_deadline = request.received + caller_wait;
        let deadline = caller_deadline.min(request.received + route.timeout);
        if let Some(team) = &team
            && let Some(rate) = team.rate
            && let QuotaVerdict::Beyond { retry_after, share } = self
                .quota
                .borrow_mut()
                .take(&team.name, rate, team.burst, now)
        {
            self.log.event(
                "over_team_limit",
                json!({"request": id, "team": team.name.as_str(), "rate": rate, "burst": team.burst, "share": share}),
            );
            return Err((
                Refusal::OverLimit,
                Some(spread_retry(retry_after, rand::random())),
            ));
        }
        let object = object_of(&request, names.object_cookie).filter(|_| route.sticky);
        let object_hash = object.map(|object| text_hash(&object));
        let part = {
            let mut splits = self.splits.borrow_mut();
            let meter = splits.entry(route.name.clone()).or_default();
            meter.choose(&route.parts, object_hash.unwrap_or_else(rand::random))
        };
        let service = route.parts[part].service.clone();
        self.repeats.borrow_mut().note_request(&service, now);
        let fingerprint = fingerprint(&request, team.as_deref());
        let reported = self.peers.borrow().other_crashes(fingerprint);
        if self.crashes.borrow().refuses(fingerprint, reported) {
            return Err((Refusal::CrashesServers, None));
        }
        Ok(ForwardRequest {
            object: object_hash.map(|object| object ^ text_hash(service.as_str())),
            request,
            id,
            route,
            team,
            config,
            service,
            caller_deadline,
            deadline,
            fingerprint,
        })
    }

    fn authenticate(
        &self,
        request: &CallerRequest,
        config: &TrafficConfig,
        proved: bool,
    ) -> Result<Rc<TeamRule>, (Refusal, Option<Duration>)> {
        let elsewhere = Some(spread_retry(ELSEWHERE, rand::random()));
        if !proved {
            return Err((Refusal::KeyNotProved, elsewhere));
        }
        let field = request.head.text(self.adapter.key_header());
        let key = field.and_then(|field| self.adapter.caller_key(field));
        key.and_then(|key| config.team(key))
            .cloned()
            .ok_or((Refusal::NoKey, None))
    }

    /// Sends the request until an answer is final or the time is over.
    async fn run(&self, forward: &ForwardRequest) -> CallerReply {
        let in_flight = Rc::new(Cell::new(false));
        let attempts = self.attempts(forward, &in_flight);
        match tokio::time::timeout_at(forward.deadline.into(), attempts).await {
            Ok(reply) => reply,
            Err(_elapsed) => {
                self.log.event(
                    "timed_out",
                    json!({"request": forward.id, "route": forward.route.name,
                        "service": forward.service.as_str(), "was_sent": in_flight.get(),
                        "after_ms": forward.request.received.elapsed().as_millis()}),
                );
                self.count(504, "timed_out");
                CallerReply::empty(504)
            }
        }
    }

    async fn attempts(&self, forward: &ForwardRequest, in_flight: &Cell<bool>) -> CallerReply {
        let mut tried: Vec<Rc<Server>> = Vec::new();
        let mut last_failure: Option<ServerAnswer> = None;
        let mut maybe_ran = false;
        let mut sent = 0;
        loop {
            let now = self.now();
            let choice = if tried.is_empty() {
                self.choose_version(&forward.service, now)
            } else {
                self.fallback_version(&forward.service)
            };
            let placed = self.place(forward, &choice, &tried, now);
            let server = match placed {
                Ok(server) => server,
                Err(_) if !tried.is_empty() => {
                    return self.give_up(forward, maybe_ran, last_failure);
                }
                Err((refusal, after)) => {
                    let inputs = json!({"service": forward.service.as_str(), "route": forward.route.name,
                        "left_ms": forward.deadline.saturating_duration_since(now).as_millis()});
                    return self.refuse(&forward.id, refusal, Some(after), inputs);
                }
            };
            let outcome = self.attempt(forward, &server, &choice, in_flight).await;
            let was_sent = !matches!(outcome, AttemptOutcome::NotSent);
            sent += u32::from(was_sent);
            tried.push(Rc::clone(&server));
            match outcome {
                AttemptOutcome::Answer(answer) => return self.pass_on(forward, &server, answer),
                AttemptOutcome::NotRun { .. } | AttemptOutcome::NotSent => {}
                AttemptOutcome::Failed { answer } => {
                    maybe_ran = true;
                    last_failure = answer.or(last_failure);
                    if !forward.route.repeatable {
                        return self.give_up(forward, maybe_ran, last_failure);
                    }
                }
            }
            let left = forward.deadline.saturating_duration_since(self.now());
            let sharing = self.peers.borrow().sharing(self.now());
            let exhausted = sent >= forward.route.max_attempts || tried.len() >= CANDIDATES;
            if exhausted
                || left < MIN_ATTEMPT
                || (was_sent
                    && !self
                        .repeats
                        .borrow_mut()
                        .take(&forward.service, sharing, self.now()))
            {
                return self.give_up(forward, maybe_ran, last_failure);
            }
            if was_sent {
                self.metrics.repeats.inc();
            }
            self.log.event(
                "repeated",
                json!({"request": forward.id, "service": forward.service.as_str(), "after": server.id().as_str(),
                    "was_sent": was_sent, "may_have_run": maybe_ran, "left_ms": left.as_millis()}),
            );
        }
    }

    /// The established version, for a repeat after a failure at any version.
    fn fallback_version(&self, service: &ServiceName) -> VersionChoice {
        let version = self.established_version(service);
        VersionChoice {
            version,
            is_new: false,
            is_trial: false,
        }
    }

    fn give_up(
        &self,
        forward: &ForwardRequest,
        maybe_ran: bool,
        failure: Option<ServerAnswer>,
    ) -> CallerReply {
        if let Some(answer) = failure {
            self.count(answer.head.status, "server_failure");
            self.log.event(
                "server_failure_passed_on",
                json!({"request": forward.id, "status": answer.head.status, "service": forward.service.as_str()}),
            );
            return self.reply_of(answer);
        }
        if !maybe_ran {
            let after = spread_retry(ELSEWHERE, rand::random());
            return self.refuse(
                &forward.id,
                Refusal::AllShed,
                Some(after),
                json!({"service": forward.service.as_str()}),
            );
        }
        self.log.event(
            "failed",
            json!({"request": forward.id, "status": 502, "route": forward.route.name,
                "service": forward.service.as_str(), "repeatable": forward.route.repeatable}),
        );
        self.count(502, "connection_broke");
        CallerReply::empty(502)
    }

    fn pass_on(
        &self,
        forward: &ForwardRequest,
        server: &Server,
        answer: ServerAnswer,
    ) -> CallerReply {
        let status = answer.head.status;
        self.count(status, "server");
        let elapsed = forward.request.received.elapsed().as_millis();
        let line = || {
            json!({"request": forward.id, "status": status, "server": server.id().as_str(),
                "route": forward.route.name, "object": forward.object, "ms": elapsed, "config_version": forward.config.version.0})
        };
        if status < 400 {
            self.log.success("answered", self.now(), line);
        } else {
            self.log.event("answered", line());
        }
        self.reply_of(answer)
    }

    fn reply_of(&self, answer: ServerAnswer) -> CallerReply {
        let names = self.adapter.headers();
        let own = [names.load, names.not_run];
        let fields = answer
            .head
            .fields
            .into_iter()
            .filter(|field| {
                let is = |name: &&str| field.name.eq_ignore_ascii_case(name);
                !HOP_FIELDS.iter().any(|name| is(name)) && !own.iter().any(|name| is(name))
            })
            .collect();
        CallerReply {
            status: answer.head.status,
            fields,
            body: answer.body,
            close: false,
        }
    }

    /// The regions in which the request may run; `None` means all.
    fn is_home(forward: &ForwardRequest, region: Option<&RegionName>) -> bool {
        let within = |homes: &std::collections::BTreeSet<RegionName>| {
            homes.is_empty() || region.is_some_and(|region| homes.contains(region))
        };
        within(&forward.route.homes) && forward.team.as_ref().is_none_or(|team| within(&team.homes))
    }

    fn place(
        &self,
        forward: &ForwardRequest,
        choice: &VersionChoice,
        tried: &[Rc<Server>],
        now: Instant,
    ) -> Result<Rc<Server>, (Refusal, Duration)> {
        let target = forward.route.target_latency;
        let left = forward.deadline.saturating_duration_since(now);
        let evacuated = self.evacuated.borrow();
        let own_region = self.peers.borrow().own().region.clone();
        let servers = self.servers.borrow();
        let candidates: Vec<Rc<Server>> = servers
            .of_service(&forward.service)
            .iter()
            .filter(|server| {
                let entry = server.entry.borrow();
                server.is_open(now)
                    && choice.version.as_ref() == Some(&entry.version)
                    && !evacuated.contains(&entry.centre)
                    && Self::is_home(forward, self.region_of(&entry.centre).as_ref())
                    && !tried.iter().any(|other| Rc::ptr_eq(other, server))
            })
            .cloned()
            .collect();
        let mut gate = self.cold_gate.borrow_mut();
        let views: Vec<ServerView> = candidates
            .iter()
            .map(|server| {
                let health = server.health.borrow();
                let (slowness, failing) = health.averages(now);
                let entry = server.entry.borrow();
                let is_cold = server.is_cold(now);
                let allowed = !is_cold
                    || gate.has_room(&entry.id, self.cold_allowance(forward, server, now), now);
                ServerView {
                    hash: server.hash,
                    slots: entry.slots,
                    load: health.load(now),
                    slowness,
                    failing,
                    cold: is_cold,
                    near: self.region_of(&entry.centre).as_ref() == Some(&own_region),
                    suspended: !allowed || health.is_suspended(target, now),
                    known: forward
                        .object
                        .is_some_and(|object| server.knows(object, now)),
                }
            })
            .collect();
        let Some(placement) = choose(forward.object, &views, target) else {
            return Err((Refusal::NoServer, spread_retry(ELSEWHERE, rand::random())));
        };
        if placement.saturated {
            return Err((Refusal::Saturated, spread_retry(target, rand::random())));
        }
        if let AdmissionVerdict::Reject { retry_after } =
            admit(placement.finish, left, rand::random())
        {
            return Err((Refusal::NoTime, retry_after));
        }
        let server = Rc::clone(&candidates[placement.index]);
        if views[placement.index].cold {
            let allowed = self.cold_allowance(forward, &server, now);
            if !gate.take(&server.id(), allowed, now) {
                return Err((Refusal::ColdLimit, spread_retry(ELSEWHERE, rand::random())));
            }
        } else {
            gate.forget(&server.id());
        }
        let place = match (views[placement.index].known, placement.rank) {
            (true, _) => "known",
            (false, 0) => "owner",
            (false, _) => "unknown",
        };
        self.metrics
            .placements
            .get_or_create(&PlaceLabel { place })
            .inc();
        Ok(server)
    }

    fn cold_allowance(&self, forward: &ForwardRequest, server: &Server, now: Instant) -> usize {
        let Some(rule) = forward.config.services.get(&forward.service) else {
            return 1;
        };
        let bound = self.options.borrow().cold;
        let peers = self.peers.borrow();
        let names: Vec<u64> = peers
            .sharing_names(now)
            .iter()
            .map(|name| text_hash(name.as_str()))
            .collect();
        allowance(
            bound,
            rule.cold_rate,
            server.hash,
            text_hash(peers.own().name.as_str()),
            &names,
        )
    }

    async fn attempt(
        &self,
        forward: &ForwardRequest,
        server: &Rc<Server>,
        choice: &VersionChoice,
        in_flight: &Cell<bool>,
    ) -> AttemptOutcome {
        let now = self.now();
        let is_cold = server.is_cold(now);
        let knows = forward
            .object
            .is_some_and(|object| server.knows(object, now));
        let expected = self.expected_work(server, knows, forward.route.target_latency, now);
        let _in_progress = InProgress::begin(server, now);
        let max_idle = if forward.route.repeatable {
            Duration::MAX
        } else {
            UNSAFE_IDLE
        };
        let pooled = server.take_connection(max_idle);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => match self.connect(forward, server).await {
                Some(connection) => connection,
                None => return AttemptOutcome::NotSent,
            },
        };
        let progress = ExchangeProgress::default();
        let bytes = self.encode_request(forward, server);
        let watch = AttemptWatch {
            instance: self,
            server,
            forward,
            choice,
            expected,
            is_cold,
            started: now,
            done: Cell::new(false),
        };
        in_flight.set(true);
        let id = Some((self.adapter.headers().request_id, forward.id.as_str()));
        let method = forward.request.head.method.as_str();
        let result = connection.exchange(method, &bytes, id, &progress).await;
        watch.done.set(true);
        let observed = self.now().saturating_duration_since(now);
        match result {
            Ok(answer) => {
                let outcome =
                    self.judge(forward, server, choice, answer, observed, expected, is_cold);
                server.return_connection(connection);
                outcome
            }
            Err(error) => self.broken(forward, server, choice, &error, &progress),
        }
    }

    fn expected_work(
        &self,
        server: &Server,
        knows: bool,
        target: Duration,
        now: Instant,
    ) -> Duration {
        let health = server.health.borrow();
        let view = ServerView {
            hash: 0,
            slots: server.entry.borrow().slots,
            load: health.load(now),
            slowness: 1.0,
            failing: 0.0,
            cold: server.is_cold(now),
            near: true,
            suspended: false,
            known: knows,
        };
        expected_finish(&view, knows, target) + Duration::from_millis(20)
    }

    async fn connect(
        &self,
        forward: &ForwardRequest,
        server: &Rc<Server>,
    ) -> Option<ServerConnection> {
        let address = server.entry.borrow().address;
        let left = forward.deadline.saturating_duration_since(self.now());
        self.metrics.connections_opened.inc();
        match ServerConnection::open(address, CONNECT_LIMIT.min(left)).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                let now = self.now();
                server.health.borrow_mut().broke(now);
                server.health.borrow_mut().suspend(now);
                server.drop_connections();
                self.log.event(
                    "connect_failed",
                    json!({"request": forward.id, "server": server.id().as_str(), "reason": error.to_string()}),
                );
                None
            }
        }
    }

    fn encode_request(&self, forward: &ForwardRequest, server: &Server) -> Vec<u8> {
        let names = self.adapter.headers();
        let head = &forward.request.head;
        let named: Vec<String> = head
            .fields
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case("connection"))
            .filter_map(|field| std::str::from_utf8(&field.value).ok())
            .flat_map(|value| value.split(','))
            .map(|token| token.trim().to_ascii_lowercase())
            .collect();
        let replaced = [
            names.deadline_ms,
            names.team,
            names.expected_server,
            self.adapter.key_header(),
            "expect",
        ];
        let left = forward
            .deadline
            .saturating_duration_since(self.now())
            .as_millis()
            .max(1);
        let mut bytes = Vec::with_capacity(512 + forward.request.body.len());
        bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        let mut field = |name: &str, value: &[u8]| {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        };
        for HeaderField { name, value } in &head.fields {
            let is = |other: &&str| name.eq_ignore_ascii_case(other);
            let dropped = HOP_FIELDS.iter().any(|other| is(other))
                || replaced.iter().any(|other| is(other))
                || named.iter().any(|other| name.eq_ignore_ascii_case(other));
            if !dropped {
                field(name, value);
            }
        }
        field(names.deadline_ms, left.to_string().as_bytes());
        field(names.expected_server, server.id().as_str().as_bytes());
        if let Some(team) = &forward.team {
            field(names.team, team.name.as_str().as_bytes());
        }
        let body = &forward.request.body;
        if !body.is_empty()
            || !matches!(head.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS")
        {
            field("Content-Length", body.len().to_string().as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(body);
        bytes
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the inputs of one judgement, each used once"
    )]
    fn judge(
        &self,
        forward: &ForwardRequest,
        server: &Server,
        choice: &VersionChoice,
        answer: ServerAnswer,
        observed: Duration,
        expected: Duration,
        is_cold: bool,
    ) -> AttemptOutcome {
        let now = self.now();
        let names = self.adapter.headers();
        if let Some(load) = answer.head.text(names.load).and_then(reported_load) {
            server.health.borrow_mut().reported(load, now);
        }
        let status = answer.head.status;
        if status == 421 {
            server.health.borrow_mut().suspend(now);
            server.drop_connections();
            self.log_attempt(forward, server, "misdirected", status);
            return AttemptOutcome::NotRun { answer };
        }
        if answer.head.text(names.not_run).is_some() {
            server.health.borrow_mut().shed(now);
            self.log_attempt(forward, server, "shed", status);
            return AttemptOutcome::NotRun { answer };
        }
        let sealed = answer.head.text(names.seal).is_some();
        let matched = answer
            .head
            .text(names.request_id)
            .is_none_or(|id| id == forward.id);
        let failed = status >= 500 || !sealed || !matched;
        server
            .health
            .borrow_mut()
            .answered(observed, expected, failed, now);
        if choice.is_trial && !is_cold {
            self.note_trial(&forward.service, choice.is_new, failed);
        }
        if !failed {
            if let Some(object) = forward.object {
                server.learn(object, now);
            }
            return AttemptOutcome::Answer(answer);
        }
        self.log_attempt(
            forward,
            server,
            if sealed { "server_error" } else { "unsealed" },
            status,
        );
        // An answer that is not the server's own must not reach the caller.
        AttemptOutcome::Failed {
            answer: (sealed && matched).then_some(answer),
        }
    }

    fn log_attempt(&self, forward: &ForwardRequest, server: &Server, result: &str, status: u16) {
        self.log.event(
            "attempt",
            json!({"request": forward.id, "server": server.id().as_str(), "result": result, "status": status}),
        );
    }

    fn broken(
        &self,
        forward: &ForwardRequest,
        server: &Rc<Server>,
        choice: &VersionChoice,
        error: &ExchangeError,
        progress: &ExchangeProgress,
    ) -> AttemptOutcome {
        let now = self.now();
        server.health.borrow_mut().broke(now);
        server.drop_connections();
        if choice.is_trial && !server.is_cold(now) {
            self.note_trial(&forward.service, choice.is_new, true);
        }
        self.log.event(
            "attempt",
            json!({"request": forward.id, "server": server.id().as_str(), "result": "broken",
                "reason": error.to_string(), "sent": progress.sent.get(), "heard": progress.heard.get()}),
        );
        if !progress.sent.get() {
            return AttemptOutcome::NotSent;
        }
        AttemptOutcome::Failed { answer: None }
    }
}

/// Notes that an attempt was given up while the server owed an answer, when the
/// attempt's future is dropped.
struct AttemptWatch<'a> {
    instance: &'a Instance,
    server: &'a Rc<Server>,
    forward: &'a ForwardRequest,
    choice: &'a VersionChoice,
    expected: Duration,
    is_cold: bool,
    started: Instant,
    done: Cell<bool>,
}

impl Drop for AttemptWatch<'_> {
    fn drop(&mut self) {
        if self.done.get() {
            return;
        }
        let now = self.instance.now();
        let observed = now.saturating_duration_since(self.started);
        self.server
            .health
            .borrow_mut()
            .timed_out(observed, self.expected, now);
        let timed_out = now >= self.forward.deadline;
        if timed_out {
            // The connections may have stopped working without a reset.
            self.server.drop_connections();
            if self.choice.is_trial && !self.is_cold {
                self.instance
                    .note_trial(&self.forward.service, self.choice.is_new, true);
            }
        }
        let result = if timed_out {
            "no_answer"
        } else {
            "caller_left"
        };
        let server = self.server.id();
        self.instance.log.event(
            "attempt",
            json!({"request": self.forward.id, "server": server.as_str(), "result": result,
                "ms": observed.as_millis(),
                "caller_left_ms": self.forward.caller_deadline.saturating_duration_since(now).as_millis()}),
        );
    }
}

/// The object that a request is about.
fn object_of(request: &CallerRequest, cookie: &str) -> Option<String> {
    let text = request.head.text("cookie")?;
    text.split(';').find_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (name.trim() == cookie).then(|| value.trim().to_owned())
    })
}

/// Identifies a request that a caller repeats.
fn fingerprint(request: &CallerRequest, team: Option<&TeamRule>) -> u64 {
    let team = team.map_or("", |team| team.name.as_str());
    let body = String::from_utf8_lossy(&request.body);
    text_hash(&format!(
        "{} {} {team} {body}",
        request.head.method, request.head.target
    ))
}

/// Requests running and waiting, from `running,waiting,slots`.
fn reported_load(text: &str) -> Option<f64> {
    let mut numbers = text.split(',').map(|number| number.trim().parse::<f64>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some(running + waiting)
}
