//! Instance lookups: which instances a caller should connect to.
//!
//! Callers stay in their data centre, where traffic is free, if it has at least
//! two ready instances. Otherwise the instances of the region are added, so that
//! a caller has an alternative when its only instance fails.

use std::time::Duration;

use super::digest::InstanceRecord;
use super::names::{CentreName, RegionName};

/// How long a lookup response is valid. Callers use some responses for three times
/// as long. An instance that is shutting down serves for about twice this time.
pub const LOOKUP_TTL: Duration = Duration::from_millis(1500);

/// The number of instances in a response below which more distant ones are added.
pub const MIN_INSTANCES: usize = 2;

/// The maximum number of instances in a response.
pub const MAX_INSTANCES: usize = 16;

/// The instances for a caller, those of its data centre first.
pub fn instances_for<'a>(
    region: &RegionName,
    centre: &CentreName,
    ready: impl Iterator<Item = &'a InstanceRecord>,
) -> Vec<&'a InstanceRecord> {
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
    let mut near: Vec<&InstanceRecord> = Vec::new();
    for current_distance in 0..=2 {
        // Other regions are used only if the caller's has no ready instance.
        if near.len() >= MIN_INSTANCES || (current_distance == 2 && !near.is_empty()) {
            break;
        }
        let fitting = ready
            .iter()
            .filter(|record| distance(record) == current_distance);
        near.extend(fitting);
    }
    near
}
