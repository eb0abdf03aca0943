//! Which route a request takes and which backend server runs it.

mod choice;
mod path;
mod share;

pub use choice::{
    COLD_RAMP, RandomSource, ServerState, StateTable, connection_share, usable_slots,
};
pub use path::{PathError, RequestTarget, RouteMatch, match_route};
pub use share::{MoveStep, ShareCounter, ShareTurn, SteeringPlan, steering_plan};

use choice::CandidateServer;

use std::collections::BTreeMap;

use crate::contract::{CustomerContract, ServicePlan};
use crate::ids::{CentreName, CustomerName, ServerName};
use crate::snapshot::{ConfigSnapshot, DrainTarget};

/// What the choice of a backend server depends on.
#[derive(Debug)]
pub struct ChoiceInput<'a> {
    /// The configuration.
    pub snapshot: &'a ConfigSnapshot,
    /// The contract of the customer.
    pub contract: &'a CustomerContract,
    /// The service.
    pub service: &'a ServicePlan,
    /// The data centre of this instance.
    pub home: &'a CentreName,
    /// What is known about each server. A missing one counts as healthy, warm
    /// and idle.
    pub states: &'a BTreeMap<ServerName, ServerState>,
    /// Servers that this request has tried already; they come last.
    pub tried: &'a [ServerName],
    /// What moves ask for.
    pub plan: &'a SteeringPlan,
    /// Whether it is this request's turn to go to the target of a move.
    pub turn: ShareTurn,
}

/// All servers that may run a request, best first: data centre of the
/// instance, then its region, then the rest. Within each of these groups, the
/// better of two random servers comes first, again and again.
#[must_use]
pub fn choose_servers(input: &ChoiceInput<'_>, random: &mut dyn RandomSource) -> Vec<ServerName> {
    let mut groups: BTreeMap<(u8, u8), Vec<CandidateServer<'_>>> = BTreeMap::new();
    for (name, plan) in &input.service.servers {
        let state = input.states.get(name).cloned().unwrap_or_default();
        if !input.plan.allows(input.turn, input.home, plan)
            || plan.leaving
            || is_drained(input.snapshot, &input.contract.customer, &plan.centre)
            || !state.takes_work(plan.slots.get().min(connection_share(plan.connections)))
        {
            continue;
        }
        let tried = u8::from(input.tried.contains(name));
        let rank = if input.plan.prefers(input.turn, input.home, plan) {
            0
        } else {
            1 + distance(input.contract, input.home, &plan.centre)
        };
        groups
            .entry((tried, rank))
            .or_default()
            .push(CandidateServer { name, state });
    }
    groups
        .into_values()
        .flat_map(|group| choice::two_choice_order(group, random))
        .collect()
}

fn distance(contract: &CustomerContract, home: &CentreName, centre: &CentreName) -> u8 {
    let region = contract.region_of(home);
    if home == centre {
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
