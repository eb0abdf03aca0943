//! What an instance answers on each of its addresses.

use std::rc::Rc;

use futures_util::future::{FutureExt, LocalBoxFuture};
use serde_json::json;
use tarragonpulley_policy::entry::config::CallerLimits;
use tarragonpulley_policy::entry::digest::InstanceState;
use tarragonpulley_policy::entry::directory::{LOOKUP_TTL, instances_for};
use tarragonpulley_policy::entry::names::{CentreName, RegionName};

use crate::http::message::{CallerReply, CallerRequest};
use crate::http::server::RequestHandler;
use crate::instance::Instance;

/// Requests of callers.
pub(crate) struct FrontHandler(pub(crate) Rc<Instance>);

impl RequestHandler for FrontHandler {
    fn handle(&self, request: CallerRequest) -> LocalBoxFuture<'static, CallerReply> {
        Rc::clone(&self.0).forward(request).boxed_local()
    }

    fn limits(&self) -> CallerLimits {
        self.0
            .config
            .borrow()
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits)
    }
}

/// Readiness checks, look-ups and metrics.
pub(crate) struct ServiceHandler(pub(crate) Rc<Instance>);

impl ServiceHandler {
    fn answer(&self, request: &CallerRequest) -> CallerReply {
        let instance = &self.0;
        let lookup = instance.adapter.lookup();
        let path = request.head.path();
        if path == instance.adapter.ready_path() {
            let ready = instance.state() == InstanceState::Ready;
            return CallerReply::empty(if ready { 200 } else { 503 });
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
            return CallerReply::empty(200)
                .with_body("text/plain; version=1.0.0", instance.metrics.text());
        }
        CallerReply::empty(404)
    }
}

/// The path of the metrics.
pub(crate) const METRICS_PATH: &str = "/metrics";

impl RequestHandler for ServiceHandler {
    fn handle(&self, request: CallerRequest) -> LocalBoxFuture<'static, CallerReply> {
        std::future::ready(self.answer(&request)).boxed_local()
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

impl Instance {
    fn look_up(&self, region: &str, centre: &str) -> CallerReply {
        let now = self.now();
        let (Ok(region), Ok(centre)) = (region.parse::<RegionName>(), centre.parse::<CentreName>())
        else {
            return CallerReply::empty(400);
        };
        let peers = self.peers.borrow();
        let own_ready = self.state() == InstanceState::Ready;
        let own = own_ready.then(|| peers.own());
        let mut instances = instances_for(&region, &centre, peers.ready(now).chain(own));
        if instances.is_empty() && !self.leaving.get() {
            instances.push(peers.own().front);
        }
        if instances.is_empty() {
            self.log.event(
                "lookup_refused",
                json!({"region": region.as_str(), "reason": "no instance is ready"}),
            );
            return CallerReply::empty(503);
        }
        let (media_type, body) = self.adapter.lookup_answer(&instances, LOOKUP_TTL);
        CallerReply::empty(200).with_body(media_type, body)
    }
}
