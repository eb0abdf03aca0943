//! The limits that a configuration sets.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::contract::{RouteKind, ServicePlan};
use crate::ids::{LimitKey, ServerKey, ServiceKey, TeamKey};
use crate::snapshot::ConfigSnapshot;
use crate::units::{BurstSize, RequestRate, SlotCount};

/// Shares of each limit. Divisible by every whole number up to 16, so that a
/// split between that many holders is exact.
pub const TOTAL_SHARES: u64 = 720_720_000;

/// Parts of one token. A token is counted in the same number of parts as a
/// limit has shares, so that `share * burst` is a whole number of parts.
pub(crate) const TOKEN_PARTS: u64 = TOTAL_SHARES;

/// What a limit allows over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitPlan {
    /// Requests over time.
    Rate {
        /// Sustained rate.
        rate: RequestRate,
        /// Requests that may arrive at once on top of the rate.
        burst: BurstSize,
    },
    /// Requests at the same time.
    Slots(SlotCount),
}

/// All limits of a configuration: the rate of each team, the slots of each
/// backend server and the capacity of each region per customer.
#[must_use]
pub fn limit_plans(snapshot: &ConfigSnapshot) -> BTreeMap<LimitKey, LimitPlan> {
    let mut plans = BTreeMap::new();
    for (customer, contract) in &snapshot.contracts {
        for (team, limit) in &contract.teams {
            let key = LimitKey::Team(TeamKey {
                customer: customer.clone(),
                team: team.clone(),
            });
            let (rate, burst) = (limit.rate, limit.burst);
            plans.insert(key, LimitPlan::Rate { rate, burst });
        }
        for (region, plan) in &contract.regions {
            let key = LimitKey::Region(customer.clone(), region.clone());
            plans.insert(key, LimitPlan::Slots(plan.capacity));
        }
        for (service, plan) in &contract.services {
            for (server, plan) in &plan.servers {
                let key = LimitKey::Server(ServerKey {
                    service: ServiceKey {
                        customer: customer.clone(),
                        service: service.clone(),
                    },
                    server: server.clone(),
                });
                plans.insert(key, LimitPlan::Slots(plan.slots));
            }
        }
    }
    plans
}

/// The longest time that a request uses a slot of each limit: the longest
/// timeout of the server's routes. For a region, slow work is left out, as its
/// timeout would keep the whole region from serving after every reclaim; so a
/// region may run over its capacity by the slow work that a paused holder left.
#[must_use]
pub fn max_run_times(snapshot: &ConfigSnapshot) -> BTreeMap<LimitKey, Duration> {
    let longest = |plan: &ServicePlan, slow: bool| {
        let routes = plan.routes.iter();
        let routes = routes.filter(|route| slow || route.kind != RouteKind::Slow);
        routes.map(|route| route.timeout).max().unwrap_or_default()
    };
    let mut times = BTreeMap::new();
    for limit in limit_plans(snapshot).into_keys() {
        let time = match &limit {
            LimitKey::Team(_) => continue,
            LimitKey::Server(server) => {
                let contract = snapshot.contracts.get(&server.service.customer);
                let plan = contract.and_then(|c| c.services.get(&server.service.service));
                plan.map(|plan| longest(plan, true))
            }
            LimitKey::Region(customer, _) => {
                let contract = snapshot.contracts.get(customer);
                let plans = contract.into_iter().flat_map(|c| c.services.values());
                plans.map(|plan| longest(plan, false)).max()
            }
        };
        times.insert(limit, time.unwrap_or_default());
    }
    times
}
