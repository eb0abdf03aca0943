//! One attempt: sends a request to a backend server and classifies the result.

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::admission::RejectionLoad;
use tarragonpulley_policy::entry::placement::{ServerView, expected_latency};
use tarragonpulley_policy::entry::send_gate::SendDecision;
use tarragonpulley_policy::entry::server_evidence::{MachinePace, ServerReport};
use tarragonpulley_policy::entry::usage::WindowNumber;

use super::asked::MISDIRECTED;
use super::place::PlacedServer;
use super::shares::FleetShares;
use super::{ForwardRequest, HOP_BY_HOP_FIELDS};
use crate::crashes::CrashSuspect;
use crate::http::client::{
    ExchangeError, ExchangeProgress, RequestBytes, ServerConnection, ServerResponse,
};
use crate::http::message::{HeaderField, HeaderLookup, MAX_JOINED_BODY_BYTES};
use crate::instance::Instance;
use crate::rollout::VersionChoice;
use crate::servers::{InFlightRequest, Server};

/// Timeout for connecting to a backend server: two round trips between the
/// farthest regions, with a margin for a busy instance.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// The maximum idle time of a pooled connection that carries a request which
/// must not be retried. The server may close an idle connection without notice;
/// the outcome of the request would then be unknown.
const MAX_UNSAFE_IDLE: Duration = Duration::from_millis(1500);

/// Time of an attempt that is not work at the server.
const TRANSPORT_OVERHEAD: Duration = Duration::from_millis(20);

impl ForwardRequest {
    /// The maximum idle time of a pooled connection that may carry the request.
    pub(super) fn max_idle(&self) -> Duration {
        if self.route.retryable {
            Duration::MAX
        } else {
            MAX_UNSAFE_IDLE
        }
    }
}

/// The result of one attempt.
pub(super) enum AttemptOutcome {
    /// The server's response is to be sent to the caller.
    Response(ServerResponse),
    /// The server stated that the request did not run.
    NotRun(RejectionLoad),
    /// No byte of the request was sent.
    NotSent,
    /// The server failed after the request was sent. `response` is the server's
    /// own error response, if there was one.
    Failed { response: Option<ServerResponse> },
}

/// A request in progress at one server. When dropped before it completes, it
/// records a timeout or that the caller left.
pub(super) struct ServerAttempt<'a> {
    pub(super) instance: &'a Instance,
    pub(super) forward: &'a ForwardRequest,
    placed: &'a PlacedServer,
    choice: &'a VersionChoice,
    expected: Duration,
    /// The pace of the server's machine in the last report before the attempt, and the
    /// age of that report.
    reported_pace: Option<(MachinePace, Duration)>,
    started: Instant,
    completed: Cell<bool>,
    /// The window in which the request was counted as sent.
    usage_window: Cell<Option<WindowNumber>>,
}

impl<'a> ServerAttempt<'a> {
    pub(super) fn new(
        instance: &'a Instance,
        forward: &'a ForwardRequest,
        placed: &'a PlacedServer,
        choice: &'a VersionChoice,
    ) -> Self {
        let healthy_view = ServerView {
            slowness: 1.0,
            failure_ratio: 0.0,
            in_own_region: true,
            ..placed.view
        };
        let expected = expected_latency(&healthy_view, healthy_view.known, &placed.work);
        let started = instance.now();
        let reported_pace = {
            let health = placed.server.health.borrow();
            let evidence = health.evidence();
            evidence.reported_pace().zip(evidence.report_age(started))
        };
        Self {
            instance,
            forward,
            placed,
            choice,
            expected: expected + TRANSPORT_OVERHEAD,
            reported_pace,
            started,
            completed: Cell::new(true),
            usage_window: Cell::new(None),
        }
    }

    pub(super) fn server(&self) -> &Rc<Server> {
        &self.placed.server
    }

    /// Sends the request and waits for the response.
    pub(super) async fn run(&self, exchange_started: &Cell<bool>) -> AttemptOutcome {
        let server = self.server();
        let _in_flight_request = InFlightRequest::begin(server, self.started);
        let pooled = server.take_connection(self.forward.max_idle(), &self.forward.id);
        let was_pooled = pooled.is_some();
        let Some(connection) = self.connect_unless_pooled(pooled).await else {
            return AttemptOutcome::NotSent;
        };
        if !self.may_still_send() {
            return AttemptOutcome::NotSent;
        }
        let progress = ExchangeProgress::default();
        let result = self.exchange(connection, exchange_started, &progress).await;
        // The server may have closed the connection while it was idle.
        let is_stale = was_pooled && result.is_err() && !progress.received.get();
        if is_stale && self.may_retry_stale(&progress) {
            server.close_idle_connections();
            self.instance.request_probe(server);
            let connection = self.connect_unless_pooled(None).await;
            let Some(connection) = connection.filter(|_| self.may_send_again(&progress)) else {
                return self.handle_broken_connection(&ExchangeError::Closed, &progress);
            };
            let fresh = ExchangeProgress::default();
            return match self.exchange(connection, exchange_started, &fresh).await {
                Ok(response) => self.classify_response(response),
                Err(error) => self.handle_broken_connection(&error, &fresh),
            };
        }
        match result {
            Ok(response) => self.classify_response(response),
            Err(error) => self.handle_broken_connection(&error, &progress),
        }
    }

    /// Whether the request may be sent again to the same server after a reused
    /// connection turned out to be closed.
    fn may_retry_stale(&self, progress: &ExchangeProgress) -> bool {
        if !progress.sent.get() {
            return true;
        }
        let now = self.instance.now();
        let sharer_count = self.instance.peers.borrow().sharer_count(now);
        self.forward.route.retryable
            && self.instance.retry_budget.borrow_mut().try_acquire(
                &self.forward.service,
                sharer_count,
                now,
            )
    }

    /// Whether the request may be sent on the connection that is open now.
    fn may_still_send(&self) -> bool {
        self.is_permitted(self.shares().decide_acquired(self.server()))
    }

    /// The same for the second connection. A request that may have arrived over the first
    /// one counts once more.
    fn may_send_again(&self, first: &ExchangeProgress) -> bool {
        if !first.sent.get() {
            return self.may_still_send();
        }
        self.is_permitted(self.shares().acquire(self.server()))
    }

    fn shares(&self) -> FleetShares<'_> {
        FleetShares::new(self.instance, self.forward, self.instance.now())
    }

    fn is_permitted(&self, decision: SendDecision) -> bool {
        if let Some((reason, _)) = decision.hold() {
            self.instance.metrics.record_hold(reason);
            self.log("not_sent", &json!({"reason": reason.name()}));
            return false;
        }
        if let Err(rejection) = self.instance.check_still_permitted(self.forward) {
            self.log("not_sent", &json!({"reason": rejection.name()}));
            return false;
        }
        true
    }

    async fn exchange(
        &self,
        mut connection: ServerConnection,
        exchange_started: &Cell<bool>,
        progress: &ExchangeProgress,
    ) -> Result<ServerResponse, ExchangeError> {
        let head = self.encode();
        let body = &self.forward.request.body;
        let request = RequestBytes {
            head: &head,
            body: if is_joined(body) { &[] } else { body },
        };
        let id = Some((
            self.instance.adapter.headers().request_id,
            self.forward.id.as_str(),
        ));
        let method = self.forward.request.head.method.as_str();
        exchange_started.set(true);
        self.completed.set(false);
        self.usage_window.set(
            self.instance
                .record_usage_sent(self.forward.team.as_deref()),
        );
        let budget = &self.instance.response_budget;
        let result = connection
            .exchange(method, request, id, progress, budget)
            .await;
        self.completed.set(true);
        if !progress.sent.get() {
            self.take_back_usage();
        }
        if result.is_ok() {
            self.instance.record_running(self.server(), &connection);
            self.server().return_connection(connection);
        }
        result
    }

    /// Takes back the count of a request that did not run.
    fn take_back_usage(&self) {
        if let Some(window) = self.usage_window.take() {
            let team = self.forward.team.as_deref();
            self.instance.record_usage_not_run(team, window);
        }
    }

    async fn connect_unless_pooled(
        &self,
        pooled: Option<ServerConnection>,
    ) -> Option<ServerConnection> {
        if pooled.is_some() {
            return pooled;
        }
        let instance = self.instance;
        if instance.reach.borrow().is_partitioned() {
            return None;
        }
        let server = self.server();
        let address = server.entry.borrow().address;
        let remaining = self
            .forward
            .deadline
            .saturating_duration_since(instance.now());
        instance.metrics.connections_opened.inc();
        let opened = instance.now();
        match ServerConnection::open(address, CONNECT_TIMEOUT.min(remaining)).await {
            Ok(connection) => {
                instance.warm.record_connection(
                    &self.placed.view,
                    instance.now().saturating_duration_since(opened),
                );
                instance.record_reached();
                instance.record_running(server, &connection);
                Some(connection)
            }
            Err(error) => {
                let now = instance.now();
                instance.record_not_reached();
                server.health.borrow_mut().record_broken_connection(now);
                server.health.borrow_mut().suspend(now);
                server.close_idle_connections();
                self.log("not_connected", &json!({"reason": error.to_string()}));
                // A request with little time left says nothing about the server.
                if remaining >= CONNECT_TIMEOUT || error.kind() != ErrorKind::TimedOut {
                    instance.suspect_restart(server, &error);
                }
                None
            }
        }
    }

    /// The request as it is written to the server, without hop-by-hop fields and without
    /// a long body.
    fn encode(&self) -> Vec<u8> {
        let forward = self.forward;
        let server = self.server();
        let names = self.instance.adapter.headers();
        let head = &forward.request.head;
        let connection_tokens: Vec<String> = head
            .fields
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case("connection"))
            .filter_map(|field| std::str::from_utf8(&field.value).ok())
            .flat_map(|value| value.split(','))
            .map(|token| token.trim().to_ascii_lowercase())
            .collect();
        let replaced_fields = [
            names.deadline_ms,
            names.team,
            names.expected_server,
            self.instance.adapter.key_header(),
            "expect",
        ];
        let remaining = forward
            .deadline
            .saturating_duration_since(self.instance.now())
            .as_millis()
            .max(1);
        let body = &forward.request.body;
        let mut bytes = Vec::with_capacity(512 + body.len().min(MAX_JOINED_BODY_BYTES));
        bytes.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        let mut field = |name: &str, value: &[u8]| {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        };
        for HeaderField { name, value } in &head.fields {
            let is_field = |other: &&str| name.eq_ignore_ascii_case(other);
            let is_dropped = HOP_BY_HOP_FIELDS.iter().any(&is_field)
                || replaced_fields.iter().any(is_field)
                || connection_tokens
                    .iter()
                    .any(|other| name.eq_ignore_ascii_case(other));
            if !is_dropped {
                field(name, value);
            }
        }
        field(names.deadline_ms, remaining.to_string().as_bytes());
        field(names.expected_server, server.id().as_str().as_bytes());
        if let Some(team) = &forward.team {
            field(names.team, team.name.as_str().as_bytes());
        }
        if !body.is_empty()
            || !matches!(head.method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS")
        {
            field("Content-Length", body.len().to_string().as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        if is_joined(body) {
            bytes.extend_from_slice(body);
        }
        bytes
    }

    fn classify_response(&self, response: ServerResponse) -> AttemptOutcome {
        let now = self.instance.now();
        let observed = now.saturating_duration_since(self.started);
        self.instance.reach.borrow_mut().record_response(now);
        let names = self.instance.adapter.headers();
        let server = self.server();
        let status = response.head.status;
        let report = self.record_report(&response, now);
        let asks_for_pause = self.record_asked(&response, now);
        if status == MISDIRECTED || response.head.text(names.not_run).is_some() {
            self.take_back_usage();
        }
        if status == MISDIRECTED {
            server.health.borrow_mut().mark_replaced();
            server.close_idle_connections();
            self.log("misdirected", &json!({"status": status}));
            return AttemptOutcome::NotRun(RejectionLoad::Full);
        }
        if response.head.text(names.not_run).is_some() {
            let slots = server.entry.borrow().slots;
            let work = self.placed.work.queued;
            let mut health = server.health.borrow_mut();
            if asks_for_pause {
                health.record_activity(now);
            } else if !report.is_some_and(|report| health.record_full(&report, slots, work, now)) {
                health.record_rejection(now);
            }
            let is_held = health.is_full(now);
            drop(health);
            let load = RejectionLoad::new(report.map(|report| report.load()), slots);
            self.instance
                .metrics
                .record_rejection(load, report.is_some());
            let reported = response.head.text(names.load);
            self.log(
                "shed",
                &json!({"status": status, "reported_load": reported, "is_held": is_held}),
            );
            return AttemptOutcome::NotRun(load);
        }
        let sealed = response.head.text(names.seal).is_some();
        let matched = response
            .head
            .text(names.request_id)
            .is_none_or(|id| id == self.forward.id);
        let failed = status >= 500 || !sealed || !matched;
        if asks_for_pause {
            server.health.borrow_mut().record_activity(now);
        } else {
            server
                .health
                .borrow_mut()
                .record_response(observed, self.expected, failed, now);
            self.record_evidence(failed);
            self.record_accepted(now);
        }
        if !failed {
            self.instance.record_served(self.forward.fingerprint);
            self.instance
                .learn_from_response(self.forward, self.placed, observed);
            if let Some(object) = self.forward.object {
                server.record_object(object, now);
            }
            return AttemptOutcome::Response(response);
        }
        self.log(
            if sealed { "server_error" } else { "unsealed" },
            &json!({"status": status}),
        );
        // A response that lacks the server's seal or belongs to another request
        // must not reach the caller.
        AttemptOutcome::Failed {
            response: (sealed && matched).then_some(response),
        }
    }

    /// Records the server's report of its load; `None` if there is none that can be used.
    fn record_report(&self, response: &ServerResponse, now: Instant) -> Option<ServerReport> {
        let text = response.head.text(self.instance.adapter.headers().load)?;
        match text.parse::<ServerReport>() {
            Ok(report) => {
                let mut health = self.server().health.borrow_mut();
                health.record_report(&report, now);
                Some(report)
            }
            Err(error) => {
                self.log(
                    "report_ignored",
                    &json!({"value": text, "reason": error.to_string()}),
                );
                None
            }
        }
    }

    fn handle_broken_connection(
        &self,
        error: &ExchangeError,
        progress: &ExchangeProgress,
    ) -> AttemptOutcome {
        let server = self.server();
        server
            .health
            .borrow_mut()
            .record_broken_connection(self.instance.now());
        server.close_idle_connections();
        self.record_evidence(true);
        self.log(
            "broken",
            &json!({"reason": error.to_string(), "sent": progress.sent.get(), "heard": progress.received.get()}),
        );
        if !progress.sent.get() {
            return AttemptOutcome::NotSent;
        }
        if !progress.received.get() {
            self.instance.request_probe(server);
            self.instance.report_crash_suspect(CrashSuspect {
                request: self.forward.id.clone(),
                fingerprint: self.forward.fingerprint,
                address: server.entry.borrow().address,
                server: server.incarnation,
            });
        }
        AttemptOutcome::Failed { response: None }
    }

    /// Records the outcome for the rollout in progress. Cold servers are left
    /// out: they are slow whatever their version, so that their outcomes say
    /// nothing about it.
    fn record_evidence(&self, failed: bool) {
        if self.choice.in_rollout && !self.placed.view.cold {
            self.instance
                .record_rollout_outcome(&self.forward.service, self.choice.is_new, failed);
        }
    }

    /// The inputs of the placement, for the log.
    pub(super) fn inputs(&self) -> serde_json::Value {
        let view = &self.placed.view;
        let work = &self.placed.work;
        let mut inputs = json!({"rank": self.placed.placement.rank, "owners": self.placed.placement.owners,
            "allowed": self.placed.candidate_count, "known": view.known, "cold": view.cold,
            "known_work_ms": work.known.as_millis(), "unknown_work_ms": work.unknown.as_millis(),
            "queued_work_ms": work.queued.as_millis(),
            "load": view.load, "slots": view.slots, "slowness": view.slowness, "failing": view.failure_ratio,
            "expected_ms": self.expected.as_millis()});
        if let Some((pace, age)) = self.reported_pace {
            inputs["pace"] = json!(pace.to_string());
            inputs["report_age_ms"] = json!(age.as_millis());
        }
        inputs
    }

    pub(super) fn log(&self, result: &str, details: &serde_json::Value) {
        let observed = self.instance.now().saturating_duration_since(self.started);
        self.instance.log.event(
            "attempt",
            json!({"request": self.forward.id, "server": self.server().id().as_str(), "result": result,
                "ms": observed.as_millis(), "details": details, "inputs": self.inputs()}),
        );
    }
}

impl Drop for ServerAttempt<'_> {
    fn drop(&mut self) {
        if self.completed.get() {
            return;
        }
        let now = self.instance.now();
        let observed = now.saturating_duration_since(self.started);
        let server = self.server();
        server
            .health
            .borrow_mut()
            .record_timeout(observed, self.expected, now);
        let timed_out = now >= self.forward.deadline;
        if timed_out {
            self.instance.record_unanswered(self.started);
            // The connections may have failed without a reset.
            server.close_idle_connections();
            self.instance.probe_silent(server, self.started);
            self.record_evidence(true);
        }
        let remaining = self
            .forward
            .caller_deadline
            .saturating_duration_since(now)
            .as_millis();
        let stop = self.instance.stop_schedule.get();
        let result = if timed_out {
            "no_answer"
        } else if stop.is_some_and(|stop| now >= stop.ends_at()) {
            "ended_at_stop"
        } else {
            "caller_left"
        };
        self.log(result, &json!({"caller_left_ms": remaining}));
    }
}

/// Whether a body is written together with its head.
fn is_joined(body: &[u8]) -> bool {
    body.len() <= MAX_JOINED_BODY_BYTES
}
