//! Route matching and selection of the backend server for a request.

mod path;
mod server_state;
mod share;

pub use path::{PathError, RequestTarget, RouteMatch, match_route};
pub use server_state::{
    RandomSource, SLOW_START_WINDOW, ServerState, ServerStateTable, connection_share, usable_slots,
};
pub use share::{MoveSide, MoveStepId, ShareCounter, TrafficPlan, traffic_plan};

use server_state::CandidateServer;

use std::collections::BTreeMap;

use crate::contract::{CustomerContract, ServicePlan};
use crate::ids::{CentreName, CustomerName, ServerName};
use crate::snapshot::{ConfigSnapshot, DrainTarget};

/// Inputs to the selection of a backend server.
#[derive(Debug)]
pub struct SelectionInput<'a> {
    /// The configuration in force when the request is routed.
    pub snapshot: &'a ConfigSnapshot,
    /// The contract of the customer that the request is for.
    pub contract: &'a CustomerContract,
    /// The service that the request is for, from `contract`.
    pub service: &'a ServicePlan,
    /// The data centre of this instance.
    pub local_centre: &'a CentreName,
    /// The known state of each server. A server without an entry counts as
    /// healthy, warm and idle.
    pub states: &'a BTreeMap<ServerName, ServerState>,
    /// Servers with an earlier attempt of this request; they are ranked last.
    pub tried: &'a [ServerName],
    /// How the moves of the service divide its traffic.
    pub plan: &'a TrafficPlan,
    /// The side of the move that the request is assigned to.
    pub side: MoveSide,
}

/// Ranks all servers that may run a request, best first: servers in the data
/// centre of this instance, then those in its region, then all others. Within
/// each of these groups the order follows from the power of two random choices.
#[must_use]
pub fn rank_servers(input: &SelectionInput<'_>, random: &mut dyn RandomSource) -> Vec<ServerName> {
    let mut groups: BTreeMap<(u8, u8), Vec<CandidateServer<'_>>> = BTreeMap::new();
    for (name, plan) in &input.service.servers {
        let state = input.states.get(name).cloned().unwrap_or_default();
        if !input.plan.allows(input.side, input.local_centre, plan)
            || plan.leaving
            || is_drained(input.snapshot, &input.contract.customer, &plan.centre)
            || !state.accepts_request(plan.slots.get().min(connection_share(plan.connections)))
        {
            continue;
        }
        let tried = u8::from(input.tried.contains(name));
        let rank = if input.plan.prefers(input.side, input.local_centre, plan) {
            0
        } else {
            1 + locality_rank(input.contract, input.local_centre, &plan.centre)
        };
        groups
            .entry((tried, rank))
            .or_default()
            .push(CandidateServer { name, state });
    }
    groups
        .into_values()
        .flat_map(|group| server_state::two_choice_order(group, random))
        .collect()
}

fn locality_rank(
    contract: &CustomerContract,
    local_centre: &CentreName,
    centre: &CentreName,
) -> u8 {
    let region = contract.region_of(local_centre);
    if local_centre == centre {
        0
    } else if region.is_some() && region == contract.region_of(centre) {
        1
    } else {
        2
    }
}

fn is_drained(snapshot: &ConfigSnapshot, customer: &CustomerName, centre: &CentreName) -> bool {
    let target = DrainTarget::Centre(customer.clone(), centre.clone());
    snapshot.drains.contains(&target)
}
