//! Selects the backend server of an attempt among the eligible servers.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::admission::{
    AdmissionDecision, admit, jittered_retry_after, retry_after_pause,
};
use tarragonpulley_policy::entry::names::RegionName;
use tarragonpulley_policy::entry::placement::{
    Placement, PlacementRequest, RegionFractions, ServerView, WorkModel, choose_server,
    expected_latency,
};
use tarragonpulley_policy::entry::send_gate::{HoldReason, SendDecision};
use tarragonpulley_policy::entry::stopping::StoppingRequest;

use super::rejection::Rejection;
use super::shares::FleetShares;
use super::{DEFAULT_RETRY_AFTER, ForwardRequest};
use crate::instance::Instance;
use crate::metrics::PlaceLabel;
use crate::rollout::VersionChoice;
use crate::servers::{Server, ServerRegion};

/// The server selected for an attempt, and the view of it on which the
/// selection was based.
#[derive(Debug)]
pub(super) struct PlacedServer {
    pub(super) server: Rc<Server>,
    pub(super) view: ServerView,
    pub(super) placement: Placement,
    /// The expected times on which the selection was based.
    pub(super) work: WorkModel,
    /// The number of eligible servers.
    pub(super) candidate_count: usize,
}

impl ForwardRequest {
    /// The priority of the request: the team's if it has one, otherwise the
    /// route's.
    fn priority(&self) -> u32 {
        let team = self.team.as_ref().and_then(|team| team.priority);
        team.unwrap_or(self.route.priority)
    }

    /// Whether the request may run in a region.
    fn is_home_region(&self, region: Option<&ServerRegion>) -> bool {
        let within = |home_regions: &BTreeSet<RegionName>| {
            region.is_some_and(|region| home_regions.contains(&region.name))
        };
        self.home_regions.as_ref().is_none_or(within)
    }
}

impl Instance {
    /// Selects a server, or returns the reason for the rejection and the
    /// `Retry-After` for the caller.
    pub(super) fn place(
        &self,
        forward: &ForwardRequest,
        choice: &VersionChoice,
        attempted: &[Rc<Server>],
        now: Instant,
    ) -> Result<PlacedServer, (Rejection, Duration)> {
        let mut candidates = self.candidates(forward, choice, attempted, now);
        if candidates.is_empty() && self.reach.borrow().is_partitioned() {
            let retry_after = self.load_elsewhere().retry_after(rand::random());
            return Err((Rejection::NoServerReachable, retry_after));
        }
        let target = forward.route.target_latency;
        let shares = FleetShares::new(self, forward, now);
        let mut holds: BTreeMap<HoldReason, Option<Instant>> = BTreeMap::new();
        let mut decisions = Vec::with_capacity(candidates.len());
        candidates.retain(|server| {
            let decision = shares.decide(server);
            if let Some((reason, until)) = decision.hold() {
                let earliest = holds.entry(reason).or_insert(until);
                *earliest = (*earliest).min(until);
            }
            let is_candidate = matches!(decision.hold(), None | Some((HoldReason::ColdRate, _)));
            if is_candidate {
                decisions.push(decision);
            }
            is_candidate
        });
        for reason in holds.keys() {
            self.metrics.record_hold(*reason);
        }
        if candidates.is_empty() && !holds.is_empty() {
            return Err(reject_held(&holds, target, now));
        }
        let remaining = forward.deadline.saturating_duration_since(now);
        let default_retry_after = jittered_retry_after(DEFAULT_RETRY_AFTER, rand::random());
        let views: Vec<ServerView> = candidates
            .iter()
            .zip(&decisions)
            .map(|(server, decision)| self.view(forward, server, *decision, now))
            .collect();
        let region_fractions = if forward.home_regions.is_none() {
            self.regions.fractions(&forward.service)
        } else {
            RegionFractions::new()
        };
        let mut request = PlacementRequest::new(forward.object, target, forward.priority());
        (request.work, request.affinity) =
            self.learned_placement(forward, &views, attempted.is_empty(), now);
        let Some(placement) = choose_server(&request, &views, &region_fractions) else {
            return Err((Rejection::NoServer, default_retry_after));
        };
        if placement.saturated {
            return Err((
                Rejection::ServersSaturated,
                jittered_retry_after(target, rand::random()),
            ));
        }
        if let AdmissionDecision::Reject { retry_after } =
            admit(placement.expected_latency, remaining, rand::random())
        {
            return Err((Rejection::NoTimeLeft, retry_after));
        }
        let server = Rc::clone(&candidates[placement.index]);
        let view = views[placement.index];
        // Another instance serves the request at once, while one that is in progress
        // when this process ends is lost. So the longer of the estimates counts.
        let stopping_request = StoppingRequest {
            received: forward.request.received,
            repeatable: forward.route.retryable,
            may_queue: view.load + 1.0 > f64::from(view.slots),
            expected_latency: expected_latency(&view, false, &request.work),
            deadline: forward.deadline,
        };
        if let Some(schedule) = self.stop_schedule.get()
            && !schedule.accepts(&stopping_request, now)
        {
            return Err((Rejection::Stopping, default_retry_after));
        }
        if !shares.acquire(&server).may_send() {
            return Err((Rejection::OnlyColdServers, default_retry_after));
        }
        if view.cold {
            self.log_cold_send(forward, &server, shares.cold_allowance(&server), now);
        }
        let is_owner = placement.rank < placement.owners;
        let place = match (view.known, placement.owners) {
            (_, 2..) if is_owner => "popular",
            (true, _) => "known",
            (false, 0) if forward.object.is_some() => "load",
            (false, 0) => "owner",
            (false, _) if is_owner => "owner",
            (false, _) => "unknown",
        };
        if placement.owners > 0 && !is_owner {
            self.metrics.placement_spills.inc();
        }
        self.metrics
            .placements
            .get_or_create(&PlaceLabel { place })
            .inc();
        Ok(PlacedServer {
            server,
            view,
            placement,
            work: request.work,
            candidate_count: candidates.len(),
        })
    }

    /// Logs a request to a cold server with what decided this instance's share of
    /// the rate. The rate bounds the number of lines.
    fn log_cold_send(
        &self,
        forward: &ForwardRequest,
        server: &Server,
        allowed: usize,
        now: Instant,
    ) {
        let peers = self.peers.borrow();
        let cold_left = server
            .known_cold_until()
            .map(|until| until.saturating_duration_since(now).as_millis());
        self.log.event(
            "cold_send",
            json!({"request": forward.id, "server": server.id().as_str(), "allowed": allowed,
                "sharers": peers.sharer_count(now), "cold_left_ms": cold_left,
                "age_ms": peers.age(now).as_millis()}),
        );
    }

    fn candidates(
        &self,
        forward: &ForwardRequest,
        choice: &VersionChoice,
        attempted: &[Rc<Server>],
        now: Instant,
    ) -> Vec<Rc<Server>> {
        let evacuated_centres = self.evacuated_centres.borrow();
        let servers = self.servers.borrow();
        let (is_partitioned, can_send) = {
            let reach = self.reach.borrow();
            (reach.is_partitioned(), reach.can_send(now))
        };
        let is_reached = |server: &Server| {
            !is_partitioned || (can_send && server.has_connection(forward.max_idle(), &forward.id))
        };
        let may_run = |server: &&Rc<Server>| {
            let entry = server.entry.borrow();
            server.is_available(now)
                && choice.version.as_ref() == Some(&entry.version)
                && !evacuated_centres.contains(&entry.centre)
                && forward.is_home_region(server.region.borrow().as_ref())
                && !attempted.iter().any(|other| Rc::ptr_eq(other, server))
                && is_reached(server)
        };
        servers
            .of_service(&forward.service)
            .iter()
            .filter(may_run)
            .cloned()
            .collect()
    }

    fn view(
        &self,
        forward: &ForwardRequest,
        server: &Server,
        decision: SendDecision,
        now: Instant,
    ) -> ServerView {
        let health = server.health.borrow();
        let (slowness, failure_ratio) = health.averages(now);
        let entry = server.entry.borrow();
        let region = server.region.borrow();
        let cold = server.is_cold(now);
        ServerView {
            hash: server.hash,
            slots: entry.slots,
            load: health.load(now),
            slowness,
            failure_ratio,
            cold,
            in_own_region: region
                .as_ref()
                .is_some_and(|region| region.name == self.peers.borrow().own().region),
            suspended: !decision.may_send()
                || health.is_suspended(forward.route.target_latency, now),
            full: health.is_full(now),
            known: forward
                .object
                .is_some_and(|object| server.knows_object(object, now)),
            region: region.as_ref().map_or(0, |region| region.hash),
        }
    }
}

/// The rejection of a request for which no server is left because of what servers asked
/// for. `holds` has the earliest end by reason.
fn reject_held(
    holds: &BTreeMap<HoldReason, Option<Instant>>,
    target: Duration,
    now: Instant,
) -> (Rejection, Duration) {
    let pauses = [HoldReason::Paused, HoldReason::Returning];
    let paused_until = pauses
        .iter()
        .filter_map(|reason| holds.get(reason).copied()?);
    match paused_until.min() {
        _ if holds.contains_key(&HoldReason::ServerLimit) => (
            Rejection::ServerLimitsReached,
            jittered_retry_after(target, rand::random()),
        ),
        Some(until) => {
            let left = until.saturating_duration_since(now);
            let after = retry_after_pause(left, target, rand::random());
            (Rejection::ServersPaused, after)
        }
        None => (
            Rejection::NoServer,
            jittered_retry_after(DEFAULT_RETRY_AFTER, rand::random()),
        ),
    }
}
