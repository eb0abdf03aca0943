//! Decisions of an entry instance, with a clock moved by hand and no sockets.

mod admission;
mod fleet_limits;
mod fleet_player;
mod instances;
mod load_player;
mod placement;
mod played;
mod regions;
mod servers;
mod trial;

use std::time::{Duration, Instant};

/// A time after the start of a test.
fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}
