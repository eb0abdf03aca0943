//! The limits that a configuration sets.

use std::collections::BTreeMap;

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
pub fn limits_of(snapshot: &ConfigSnapshot) -> BTreeMap<LimitKey, LimitPlan> {
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
