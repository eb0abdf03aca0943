//! Placement: chooses a backend server and takes one of its slots.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tarragonpulley_policy::contract::{CustomerContract, ServerPlan, ServicePlan};
use tarragonpulley_policy::facts::FactKey;
use tarragonpulley_policy::ids::{LimitKey, ServerKey, ServerName, ServiceKey};
use tarragonpulley_policy::routing::{
    MoveSide, MoveStepId, SelectionInput, TrafficPlan, rank_servers, traffic_plan,
};

use super::{CheckedRequest, RequestPipeline, deadline_passed_error};
use crate::backends::InFlightGuard;
use crate::errors::{ErrorKind, RequestError};
use crate::interfaces::SlotGuard;

/// Fraction of the remaining time that a request may wait for a slot. The rest
/// is kept for running it.
const QUEUE_TIME_NUMERATOR: u32 = 3;
const QUEUE_TIME_DENOMINATOR: u32 = 4;

/// Timeout of one request for slots to other instances.
const SLOT_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Minimum interval between two requests for slots.
const MIN_SLOT_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum servers for which one request asks for slots.
const MAX_SLOT_REQUEST_SERVERS: usize = 3;

/// A chosen server with a slot, which is released on drop.
#[derive(Debug)]
pub(super) struct Placement {
    pipeline: Rc<RequestPipeline>,
    pub(super) server: ServerKey,
    pub(super) plan: ServerPlan,
    slot: Option<Box<dyn SlotGuard>>,
    _running: InFlightGuard,
    side: MoveSide,
    step: Option<MoveStepId>,
    sent: bool,
}

impl Placement {
    /// Counts the request in the traffic shares of moves.
    pub(super) fn mark_sent(&mut self) {
        if !self.sent {
            self.sent = true;
            let mut shares = self.pipeline.shares.borrow_mut();
            if let Some(counter) = shares.get_mut(&self.server.service) {
                counter.record_sent(self.side, self.step.as_ref());
            }
        }
    }

    /// Takes another slot of the same server for a hedged attempt.
    pub(super) fn take_hedge_slot(&self) -> Option<Box<dyn SlotGuard>> {
        let snapshot = self.pipeline.context.config.snapshot();
        let contract = snapshot.contracts.get(&self.server.service.customer)?;
        let limits = slot_limits(contract, &self.server, &self.plan);
        self.pipeline.context.rights.take_slots(&limits)
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if !self.sent {
            let mut shares = self.pipeline.shares.borrow_mut();
            if let Some(counter) = shares.get_mut(&self.server.service) {
                counter.release(self.side, self.step.as_ref());
            }
        }
        self.slot = None;
        self.pipeline
            .queue
            .wake_customer(&self.server.service.customer);
    }
}

/// The limits of which one request to a server uses a slot each.
fn slot_limits(
    contract: &CustomerContract,
    server: &ServerKey,
    plan: &ServerPlan,
) -> Vec<LimitKey> {
    let mut limits = vec![LimitKey::Server(server.clone())];
    if let Some(region) = contract.region_of(&plan.centre) {
        let customer = server.service.customer.clone();
        limits.push(LimitKey::Region(customer, region.clone()));
    }
    limits
}

impl RequestPipeline {
    /// Waits for a server with a free slot.
    ///
    /// # Errors
    ///
    /// The rejection if no slot becomes free in time; nothing was sent.
    pub(super) async fn place(
        self: &Rc<Self>,
        request: &CheckedRequest,
        tried: &[ServerName],
    ) -> Result<Placement, RequestError> {
        self.check_proof()?;
        if !self.queue.has_waiters(&request.service)
            && let Some(placement) = self.place_now(&request.service, tried)
        {
            return Ok(placement);
        }
        let now = self.context.clock.instant();
        let left = request.backend.deadline.remaining(now);
        let queue_timeout = left.ok_or_else(|| deadline_passed_error(request))?
            * QUEUE_TIME_NUMERATOR
            / QUEUE_TIME_DENOMINATOR;
        let ticket = self
            .queue
            .join(&request.service, request.team.as_ref())
            .ok_or_else(|| no_capacity("too many requests of the team are waiting"))?;
        if self
            .requesting_slots
            .borrow_mut()
            .insert(request.service.clone())
        {
            actix_rt::spawn(Rc::clone(self).request_slots_while_waiting(request.service.clone()));
        }
        let search = async {
            loop {
                ticket.wait_turn().await;
                if let Some(placement) = self.place_now(&request.service, tried) {
                    return placement;
                }
                ticket.wait_again();
            }
        };
        let found = actix_rt::time::timeout(queue_timeout, search).await;
        drop(ticket);
        found.map_err(|_elapsed| {
            // Report a lost proof, key or deadline first: without a proof no
            // slot may be taken, even if one is free.
            let cause = self.check_still_valid(request).err();
            cause.unwrap_or_else(|| no_capacity("no backend server has a free slot"))
        })
    }

    fn place_now(self: &Rc<Self>, service: &ServiceKey, tried: &[ServerName]) -> Option<Placement> {
        let snapshot = self.context.config.snapshot();
        let contract = snapshot.contracts.get(&service.customer)?;
        let service_plan = contract.services.get(&service.service)?;
        let plan = self.current_steering(service, service_plan);
        let side = {
            let mut shares = self.shares.borrow_mut();
            shares.entry(service.clone()).or_default().reserve(&plan)
        };
        let choice = |side| (side, self.server_order(service, tried, &plan, side));
        let mut choices = vec![choice(side)];
        if side == MoveSide::Target {
            choices.push(choice(MoveSide::Source));
        }
        for (chosen, servers) in choices {
            for name in servers {
                let Some(server_plan) = service_plan.servers.get(&name) else {
                    continue;
                };
                let server = ServerKey {
                    service: service.clone(),
                    server: name,
                };
                let limits = slot_limits(contract, &server, server_plan);
                if let Some(slot) = self.context.rights.take_slots(&limits) {
                    if chosen != side {
                        self.release_turn(service, side, &plan);
                    }
                    let running = self.backends.start_request(&server);
                    return Some(Placement {
                        pipeline: Rc::clone(self),
                        server,
                        plan: server_plan.clone(),
                        slot: Some(slot),
                        _running: running,
                        side: chosen,
                        step: plan.step().cloned(),
                        sent: false,
                    });
                }
            }
        }
        self.release_turn(service, side, &plan);
        None
    }

    fn release_turn(&self, service: &ServiceKey, side: MoveSide, plan: &TrafficPlan) {
        if let Some(counter) = self.shares.borrow_mut().get_mut(service) {
            counter.release(side, plan.step());
        }
    }

    fn current_steering(&self, service: &ServiceKey, plan: &ServicePlan) -> TrafficPlan {
        let snapshot = self.context.config.snapshot();
        let has_fault = |version: &_| {
            let key = FactKey::VersionFault(service.clone(), Clone::clone(version));
            self.context.facts.get(&key).is_some()
        };
        let now = self.context.clock.system();
        let shift_fault = self.context.evidence.is_shift_harmful(service);
        traffic_plan(
            &snapshot,
            service,
            &plan.version,
            &has_fault,
            shift_fault,
            now,
        )
    }

    fn server_order(
        &self,
        service: &ServiceKey,
        tried: &[ServerName],
        plan: &TrafficPlan,
        side: MoveSide,
    ) -> Vec<ServerName> {
        let snapshot = self.context.config.snapshot();
        let Some(contract) = snapshot.contracts.get(&service.customer) else {
            return Vec::new();
        };
        let Some(service_plan) = contract.services.get(&service.service) else {
            return Vec::new();
        };
        let states = self.backends.states(service, service_plan);
        let input = SelectionInput {
            snapshot: &snapshot,
            contract,
            service: service_plan,
            local_centre: &self.context.centre,
            states: &states,
            tried,
            plan,
            side,
        };
        rank_servers(&input, &mut *self.random.borrow_mut())
    }

    /// Requests slots from other instances while requests wait for a service.
    async fn request_slots_while_waiting(self: Rc<Self>, service: ServiceKey) {
        while self.queue.has_waiters(&service) {
            let limits = self.limits_to_request(&service);
            let deadline = Instant::now() + SLOT_REQUEST_TIMEOUT;
            if limits.is_empty() {
                actix_rt::time::sleep(SLOT_REQUEST_TIMEOUT).await;
            } else {
                self.context.rights.request_slots(limits, deadline).await;
                actix_rt::time::sleep(MIN_SLOT_REQUEST_INTERVAL).await;
            }
            self.queue.wake(&service);
        }
        self.requesting_slots.borrow_mut().remove(&service);
    }

    fn limits_to_request(&self, service: &ServiceKey) -> Vec<LimitKey> {
        let snapshot = self.context.config.snapshot();
        let contract = snapshot.contracts.get(&service.customer);
        let service_plan = contract.and_then(|c| c.services.get(&service.service));
        let (Some(contract), Some(service_plan)) = (contract, service_plan) else {
            return Vec::new();
        };
        let plan = self.current_steering(service, service_plan);
        let servers = self.server_order(service, &[], &plan, MoveSide::Source);
        let mut limits = Vec::new();
        for name in servers.into_iter().take(MAX_SLOT_REQUEST_SERVERS) {
            if let Some(server_plan) = service_plan.servers.get(&name) {
                let server = ServerKey {
                    service: service.clone(),
                    server: name,
                };
                limits.extend(slot_limits(contract, &server, server_plan));
            }
        }
        limits.sort();
        limits.dedup();
        limits
    }
}

fn no_capacity(message: &str) -> RequestError {
    RequestError::new(ErrorKind::NoCapacity, message)
}
