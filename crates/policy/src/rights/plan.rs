//! The fleet-wide limits of a configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::contract::{RouteKind, ServicePlan};
use crate::ids::{LimitKey, ServerKey, ServiceKey, TeamKey};
use crate::snapshot::ConfigSnapshot;
use crate::units::{BurstSize, RequestRate, SlotCount};

/// The number of shares of each limit. It is divisible by every integer up to
/// 16, so that a split between that many holders is exact.
pub const TOTAL_SHARES: u64 = 720_720_000;

/// The number of parts of one token. It equals the number of shares of a
/// limit, so that the cap `shares * burst` is a whole number of parts.
pub(crate) const TOKEN_PARTS: u64 = TOTAL_SHARES;

/// A limit of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitPlan {
    /// A token bucket for requests.
    Rate {
        /// Sustained rate.
        rate: RequestRate,
        /// Size of the bucket: requests that may exceed the rate at once.
        burst: BurstSize,
    },
    /// Maximum number of concurrent requests.
    Slots(SlotCount),
}

/// The limits of a configuration: the rate of each team, the slots of each
/// backend server, and each customer's capacity in each region.
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

/// The maximum time for which a request uses a slot of each limit: the longest
/// timeout of the service's routes, or of all services of a region's customer.
///
/// Slow routes don't count for a region, because their timeouts would make the
/// whole region unavailable after every reclaim. A region may therefore exceed
/// its capacity by the slow requests that a paused holder left running.
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
