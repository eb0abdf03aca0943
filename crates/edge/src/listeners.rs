//! The request handlers of the instance's addresses.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{FutureExt, LocalBoxFuture};
use serde_json::json;
use tarragonpulley_policy::entry::config::CallerLimits;
use tarragonpulley_policy::entry::digest::InstanceState;
use tarragonpulley_policy::entry::directory::{LOOKUP_TTL, instances_for};
use tarragonpulley_policy::entry::names::{CentreName, RegionName};

use crate::http::account::{ClientAccount, ClientGroup, ClientRefusal};
use crate::http::budget::BufferBudget;
use crate::http::message::{CallerRequest, CallerResponse, RequestHead};
use crate::http::server::RequestHandler;
use crate::instance::Instance;
use crate::metrics::RefusalLabel;

/// Handles requests of callers.
pub(crate) struct CallerHandler(pub(crate) Rc<Instance>);

impl RequestHandler for CallerHandler {
    fn handle(&self, request: CallerRequest) -> LocalBoxFuture<'static, CallerResponse> {
        Rc::clone(&self.0).forward(request).boxed_local()
    }

    fn limits(&self) -> CallerLimits {
        self.0
            .config
            .borrow()
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits)
    }

    fn body_budget(&self) -> Rc<BufferBudget> {
        Rc::clone(&self.0.request_budget)
    }

    fn account(&self) -> Rc<ClientAccount> {
        Rc::clone(&self.0.clients)
    }

    fn group(&self) -> ClientGroup {
        ClientGroup::Callers
    }

    fn reject_body(&self, head: &RequestHead) -> CallerResponse {
        self.0.reject_body(head)
    }

    fn reject_request(&self, head: &RequestHead) -> CallerResponse {
        self.0.reject_request(head)
    }

    fn record_refusal(&self, refusal: ClientRefusal) {
        self.0.record_client_refusal(refusal);
    }

    fn record_panic(&self, reason: &str) {
        self.0.record_panic("request", reason);
    }
}

/// Handles readiness checks, lookups and metrics.
pub(crate) struct ManagementHandler {
    pub(crate) instance: Rc<Instance>,
    pub(crate) group: ClientGroup,
}

impl ManagementHandler {
    fn respond(&self, request: &CallerRequest) -> CallerResponse {
        let instance = &self.instance;
        let lookup = instance.adapter.lookup();
        let path = request.head.path();
        if path == instance.adapter.ready_path() {
            let is_ready = instance.is_offered();
            return CallerResponse::empty(if is_ready { 200 } else { 503 });
        }
        if path == lookup.path {
            let region = request.head.query(lookup.region).unwrap_or_default();
            let centre = request.head.query(lookup.centre).unwrap_or_default();
            return instance.look_up(region, centre);
        }
        if path == METRICS_PATH {
            let age = instance
                .proof_age()
                .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
            instance.metrics.proof_age_ms.set(age);
            let held = i64::try_from(instance.response_budget.used()).unwrap_or(i64::MAX);
            instance.metrics.response_bytes.set(held);
            instance.record_client_use();
            return CallerResponse::empty(200)
                .with_body("text/plain; version=1.0.0", instance.metrics.text());
        }
        CallerResponse::empty(404)
    }
}

/// The shortest time between two log lines on refusals for the same reason.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) const METRICS_PATH: &str = "/metrics";

impl RequestHandler for ManagementHandler {
    fn handle(&self, request: CallerRequest) -> LocalBoxFuture<'static, CallerResponse> {
        std::future::ready(self.respond(&request)).boxed_local()
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    fn body_budget(&self) -> Rc<BufferBudget> {
        Rc::clone(&self.instance.request_budget)
    }

    fn account(&self) -> Rc<ClientAccount> {
        Rc::clone(&self.instance.clients)
    }

    fn group(&self) -> ClientGroup {
        self.group
    }

    fn reject_body(&self, _head: &RequestHead) -> CallerResponse {
        CallerResponse::empty(503)
    }

    fn reject_request(&self, _head: &RequestHead) -> CallerResponse {
        CallerResponse::empty(503)
    }

    fn record_refusal(&self, refusal: ClientRefusal) {
        self.instance.record_client_refusal(refusal);
    }

    fn record_panic(&self, reason: &str) {
        self.instance.record_panic("management request", reason);
    }
}

impl Instance {
    /// Counts a refusal, and logs one of each reason in a second.
    fn record_client_refusal(&self, refusal: ClientRefusal) {
        let reason = refusal.name();
        let label = RefusalLabel { reason };
        self.metrics.client_refusals.get_or_create(&label).inc();
        let now = self.now();
        let mut logged = self.logged_refusals.borrow_mut();
        let (last, count) = logged.entry(refusal).or_insert((None, 0));
        *count += 1;
        if last.is_some_and(|last| now.saturating_duration_since(last) < REFUSAL_LOG_INTERVAL) {
            return;
        }
        *last = Some(now);
        let count = std::mem::take(count);
        self.log.event(
            "clients_refused",
            json!({"reason": reason, "count": count, "connections": self.clients.connections(),
                "memory_in_use": self.clients.used()}),
        );
    }

    /// Sets the metrics of what clients hold.
    fn record_client_use(&self) {
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let clients = &self.clients;
        self.metrics.client_bytes.set(gauge(clients.used()));
        let connections = gauge(clients.connections());
        self.metrics.client_connections.set(connections);
    }

    /// Whether lookups may name this instance.
    fn is_offered(&self) -> bool {
        match self.state() {
            InstanceState::Ready => true,
            InstanceState::Partitioned => self.peers.borrow().ready(self.now()).next().is_none(),
            InstanceState::Unready | InstanceState::Leaving => false,
        }
    }

    fn look_up(&self, region: &str, centre: &str) -> CallerResponse {
        let now = self.now();
        let (Ok(region), Ok(centre)) = (region.parse::<RegionName>(), centre.parse::<CentreName>())
        else {
            return CallerResponse::empty(400);
        };
        let peers = self.peers.borrow();
        let mut near = Vec::new();
        // Where nobody reaches a server, the instances are as good as each other.
        for state in [InstanceState::Ready, InstanceState::Partitioned] {
            if near.is_empty() {
                let own = (self.state() == state).then(|| peers.own());
                let offered = peers.in_state(state, now).chain(own);
                near = instances_for(&region, &centre, offered);
            }
        }
        let mut instances = self.lookup_addresses(&near, now);
        if instances.is_empty() && !self.leaving.get() {
            instances.push(peers.own().front);
        }
        if instances.is_empty() {
            self.log.event(
                "lookup_refused",
                json!({"region": region.as_str(), "reason": "no instance is ready"}),
            );
            return CallerResponse::empty(503);
        }
        let (media_type, body) = self.adapter.lookup_response(&instances, LOOKUP_TTL);
        CallerResponse::empty(200).with_body(media_type, body)
    }
}
