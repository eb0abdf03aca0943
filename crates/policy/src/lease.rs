//! Detection of expired leases on table rows.
//!
//! Clocks of different instances are not compared. An observer treats a lease
//! as expired when the row has not changed for [`LEASE_TTL`] by the observer's
//! own monotonic clock.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time without a write after which a lease expires and its holder is taken as
/// failed.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// Time between two renewals by the holder. A quarter of [`LEASE_TTL`], so that
/// a lease survives several lost renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1500);

#[derive(Debug, Clone, Copy)]
struct RowObservation {
    mod_revision: u64,
    first_seen: Instant,
}

/// Tracks when each leased row was last seen to change.
#[derive(Debug, Clone, Default)]
pub struct LeaseObserver {
    observations: BTreeMap<String, RowObservation>,
}

impl LeaseObserver {
    /// Creates an observer without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the revision of the last write to a row, as read at `now`.
    /// Returns whether the lease on the row has expired.
    pub fn record_revision(&mut self, row: &str, mod_revision: u64, now: Instant) -> bool {
        match self.observations.get(row) {
            Some(seen) if seen.mod_revision == mod_revision => {
                now.duration_since(seen.first_seen) > LEASE_TTL
            }
            _ => {
                let first_seen = now;
                self.observations.insert(
                    row.to_owned(),
                    RowObservation {
                        mod_revision,
                        first_seen,
                    },
                );
                false
            }
        }
    }

    /// Removes the observations of rows for which `keep` returns `false`.
    pub fn retain(&mut self, keep: &dyn Fn(&str) -> bool) {
        self.observations.retain(|row, _seen| keep(row));
    }

    /// Removes all observations. Called when a read of the table fails, since
    /// the lease holders may have been unable to renew as well.
    pub fn reset(&mut self) {
        self.observations.clear();
    }
}
