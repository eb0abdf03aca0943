//! Answers which instances a caller should connect to.
//!
//! Callers are kept in their data centre, where bytes cost nothing, as long as
//! it has two instances to choose from; otherwise instances of the region are
//! added, so that a caller whose only instance fails has another one at hand.

use std::net::SocketAddr;
use std::time::Duration;

use super::digest::InstanceRecord;
use super::names::{CentreName, RegionName};

/// How long an answer is valid. Callers use some answers three times as long,
/// and a leaving instance serves for about twice this time.
pub const LOOKUP_TTL: Duration = Duration::from_millis(1500);

/// The fewest instances in an answer, if there are as many.
pub const MIN_INSTANCES: usize = 2;

/// The most instances in an answer.
pub const MAX_INSTANCES: usize = 16;

/// The instances for a caller, the nearest data centre first.
pub fn instances_for<'a>(
    region: &RegionName,
    centre: &CentreName,
    ready: impl Iterator<Item = &'a InstanceRecord>,
) -> Vec<SocketAddr> {
    let ready: Vec<&InstanceRecord> = ready.collect();
    let distance = |record: &InstanceRecord| {
        if &record.centre == centre {
            0
        } else if &record.region == region {
            1
        } else {
            2
        }
    };
    let mut answer: Vec<SocketAddr> = Vec::new();
    for wanted in 0..=2 {
        // Another region is used only when the caller's has no instance left.
        if answer.len() >= MIN_INSTANCES || (wanted == 2 && !answer.is_empty()) {
            break;
        }
        let fitting = ready.iter().filter(|record| distance(record) == wanted);
        answer.extend(fitting.map(|record| record.front));
    }
    answer.truncate(MAX_INSTANCES);
    answer
}
