//! Leases on rows of the table, as other instances observe them.
//!
//! Clocks of instances are not compared. A lease has lapsed when an observer
//! has seen its row without a change for [`LEASE_TIME`] of its own clock.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A row that does not change for this long has no live holder.
pub const LEASE_TIME: Duration = Duration::from_secs(6);

/// How often a holder renews. Several renewals may be lost before the lease
/// lapses.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1500);

#[derive(Debug, Clone, Copy)]
struct Sighting {
    modified: u64,
    since: Instant,
}

/// What one instance has seen of the leases of others.
#[derive(Debug, Clone, Default)]
pub struct LeaseObserver {
    sightings: BTreeMap<String, Sighting>,
}

impl LeaseObserver {
    /// An observer that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the row was seen with this revision of its last write.
    /// Returns whether its lease has lapsed.
    pub fn note(&mut self, row: &str, modified: u64, now: Instant) -> bool {
        match self.sightings.get(row) {
            Some(seen) if seen.modified == modified => now.duration_since(seen.since) > LEASE_TIME,
            _ => {
                let since = now;
                self.sightings
                    .insert(row.to_owned(), Sighting { modified, since });
                false
            }
        }
    }

    /// Forgets rows that `keep` refuses.
    pub fn retain(&mut self, keep: &dyn Fn(&str) -> bool) {
        self.sightings.retain(|row, _seen| keep(row));
    }

    /// Starts again. Called when the table could not be read: the holders may
    /// have been unable to renew as well.
    pub fn restart(&mut self) {
        self.sightings.clear();
    }
}
