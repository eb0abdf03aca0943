//! Selects the backend server of an attempt among the eligible servers.

use std::cell::OnceCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use tarragonpulley_policy::entry::admission::{AdmissionDecision, admit, jittered_retry_after};
use tarragonpulley_policy::entry::cold::instance_allowance;
use tarragonpulley_policy::entry::names::RegionName;
use tarragonpulley_policy::entry::placement::{
    Placement, RegionFractions, ServerView, choose_server, expected_latency,
};
use tarragonpulley_policy::entry::stopping::StoppingRequest;

use super::named_limits::NamedLimits;
use super::rejection::Rejection;
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
        let named_limits = NamedLimits::new(self, now);
        if !candidates.is_empty() {
            candidates.retain(|server| named_limits.permit(server));
            if candidates.is_empty() {
                return Err((
                    Rejection::ServerLimitsReached,
                    jittered_retry_after(target, rand::random()),
                ));
            }
        }
        let remaining = forward.deadline.saturating_duration_since(now);
        let default_retry_after = jittered_retry_after(DEFAULT_RETRY_AFTER, rand::random());
        let cold_rate = ColdRate::new(self, forward, now);
        let views: Vec<ServerView> = candidates
            .iter()
            .map(|server| self.view(forward, server, &cold_rate, now))
            .collect();
        let region_fractions = if forward.home_regions.is_none() {
            self.regions.fractions(&forward.service)
        } else {
            RegionFractions::new()
        };
        let Some(placement) = choose_server(
            forward.object,
            &views,
            &region_fractions,
            target,
            forward.priority(),
        ) else {
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
            expected_latency: expected_latency(&view, false, target),
            deadline: forward.deadline,
        };
        if let Some(schedule) = self.stop_schedule.get()
            && !schedule.accepts(&stopping_request, now)
        {
            return Err((Rejection::Stopping, default_retry_after));
        }
        let mut cold_limiter = self.cold_limiter.borrow_mut();
        if view.cold {
            let allowed = cold_rate.allowance(&server);
            if !cold_limiter.try_acquire(&server.id(), allowed, now) {
                return Err((Rejection::OnlyColdServers, default_retry_after));
            }
            self.log_cold_send(forward, &server, allowed, now);
        } else {
            cold_limiter.remove(&server.id());
        }
        server.limit.borrow_mut().record_send(now);
        let place = match (view.known, placement.rank) {
            (true, _) => "known",
            (false, 0) => "owner",
            (false, _) => "unknown",
        };
        self.metrics
            .placements
            .get_or_create(&PlaceLabel { place })
            .inc();
        Ok(PlacedServer {
            server,
            view,
            placement,
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
            .cold_until
            .get()
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
        cold_rate: &ColdRate<'_>,
        now: Instant,
    ) -> ServerView {
        let health = server.health.borrow();
        let (slowness, failure_ratio) = health.averages(now);
        let entry = server.entry.borrow();
        let region = server.region.borrow();
        let cold = server.is_cold(now);
        let has_room = !cold
            || self
                .cold_limiter
                .borrow()
                .has_capacity(&entry.id, cold_rate.allowance(server), now);
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
            suspended: !has_room || health.is_suspended(forward.route.target_latency, now),
            known: forward
                .object
                .is_some_and(|object| server.knows_object(object, now)),
            region: region.as_ref().map_or(0, |region| region.hash),
        }
    }
}

/// The rate of requests to cold servers that this instance may use for one request.
struct ColdRate<'a> {
    instance: &'a Instance,
    forward: &'a ForwardRequest,
    now: Instant,
    /// The instances that share the rate; looked up for the first cold server only.
    sharers: OnceCell<Option<Vec<u64>>>,
}

impl<'a> ColdRate<'a> {
    fn new(instance: &'a Instance, forward: &'a ForwardRequest, now: Instant) -> Self {
        Self {
            instance,
            forward,
            now,
            sharers: OnceCell::new(),
        }
    }

    /// The requests per second that this instance may send to a cold server.
    /// The limit is divided among the instances; an instance that does not know
    /// the others yet sends none.
    fn allowance(&self, server: &Server) -> usize {
        let config = &self.forward.config;
        let Some(rule) = config.services.get(&self.forward.service) else {
            return 1;
        };
        let peers = self.instance.peers.borrow();
        let sharers = self
            .sharers
            .get_or_init(|| peers.cold_sharer_hashes(self.now));
        let Some(sharers) = sharers else {
            return 0;
        };
        let limit = self.instance.options.borrow().cold;
        instance_allowance(
            limit,
            rule.cold_rate,
            server.hash,
            peers.own_hash(),
            sharers,
        )
    }
}
