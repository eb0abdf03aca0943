//! Tests of the decisions of an entry instance, with a manual clock and without
//! sockets.

mod admission;
mod canary;
mod crashes;
mod duty;
mod fleet_limits;
mod fleet_simulation;
mod instances;
mod learned_work;
mod link_load;
mod load_simulation;
mod named_limits;
mod placement;
mod reach;
mod regions;
mod restart;
mod send_gate;
mod server_evidence;
mod servers;
mod simulation;
mod stopping;
mod team_shares;
mod usage;
mod usage_simulation;
mod warm_servers;

use std::time::{Duration, Instant};

/// The time `millis` milliseconds after the start of a test.
fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}
