//! Applies what was learned to the placement of a request, and learns from its response.

use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::placement::{ObjectAffinity, ServerView, WorkModel, text_hash};
use tarragonpulley_policy::entry::popular_objects::{ObjectDemand, ObjectOwners};
use tarragonpulley_policy::entry::work_estimate::{ObjectRelation, RouteWork, WorkSample};

use super::ForwardRequest;
use super::place::PlacedServer;
use crate::instance::Instance;

/// The slowness from which on a server's responses do not show what it remembers.
const MAX_RECALL_SLOWNESS: f64 = 1.5;

/// The maximum number of owners that requests are sent to. Each further owner has to warm
/// a copy of its own after every change of the servers.
const USED_OWNERS: usize = 1;

impl Instance {
    /// The expected times of a request, and how its object is placed. `is_first` says that
    /// the request was not attempted before.
    pub(super) fn learned_placement(
        &self,
        forward: &ForwardRequest,
        views: &[ServerView],
        is_first: bool,
        now: Instant,
    ) -> (WorkModel, ObjectAffinity) {
        let (service, route) = (&forward.service, &forward.route);
        let target = route.target_latency;
        let mut estimates = self.warm.estimates.borrow_mut();
        if is_first {
            estimates.record_request(service, &route.name, target, now);
        }
        let work = estimates.model(service, &route.name, target, now);
        let prior = WorkModel::for_target(target);
        let Some(object) = forward.object else {
            return (prior, ObjectAffinity::SINGLE_OWNER);
        };
        let demand = ObjectDemand {
            service_rate: self.region_rate(service, now),
            known_work: work.known,
            slots: views.iter().map(|view| view.slots).max().unwrap_or(1),
        };
        let mut objects = self.warm.objects.borrow_mut();
        if is_first {
            objects.record_request(service, object, now);
        }
        let owners = if estimates.has_gain(service, &route.name) {
            match objects.owners(service, object, &demand, now) {
                ObjectOwners::Owners(count) => ObjectOwners::Owners(count.min(USED_OWNERS)),
                ObjectOwners::ByLoad => ObjectOwners::ByLoad,
            }
        } else {
            ObjectOwners::ByLoad
        };
        let instance = text_hash(self.peers.borrow().own().name.as_str());
        (prior, ObjectAffinity { owners, instance })
    }

    /// Learns from a response how long the work took, and whether the server still knew
    /// the object.
    pub(super) fn learn_from_response(
        &self,
        forward: &ForwardRequest,
        placed: &PlacedServer,
        observed: Duration,
    ) {
        let placement = &placed.placement;
        let is_owner = placement.rank < placement.owners;
        let relation = match forward.object {
            Some(_) if !placed.view.known && is_owner => ObjectRelation::Owner,
            Some(_) if !placed.view.known => ObjectRelation::Other,
            _ => ObjectRelation::Known,
        };
        let distance = placed.work.region_round_trip;
        let Some(sample) = WorkSample::new(&placed.view, relation, observed, distance) else {
            return;
        };
        let (service, route) = (&forward.service, &forward.route.name);
        let mut estimates = self.warm.estimates.borrow_mut();
        let gained_before = estimates.has_gain(service, route);
        estimates.record_sample(service, route, sample);
        let has_gain = estimates.has_gain(service, route);
        if has_gain != gained_before {
            self.log.event(
                "affinity_changed",
                json!({"service": service.as_str(), "route": route, "gains": has_gain,
                    "known_work_ms": placed.work.known.as_millis(),
                    "unknown_work_ms": placed.work.unknown.as_millis()}),
            );
        }
        let Some(object) = forward.object else {
            return;
        };
        if placed.view.slowness >= MAX_RECALL_SLOWNESS {
            return;
        }
        let boundary = RouteWork::from(placed.work).boundary();
        let was_known = sample.time < boundary;
        if placed.view.known && placed.server.record_recall(was_known) {
            self.log.event(
                "server_forgot",
                json!({"server": placed.server.id().as_str(), "service": service.as_str(),
                    "ms": observed.as_millis(), "boundary_ms": boundary.as_millis()}),
            );
        }
        if !is_owner {
            return;
        }
        let now = self.now();
        let rate = self.region_rate(service, now);
        let mut objects = self.warm.objects.borrow_mut();
        objects.record_owner_response(service, object, rate, was_known, now);
    }
}
