//! Rate limiting of requests to cold backend servers.
//!
//! The limit applies to all instances together in any second. The requests that
//! it permits are divided among the instances.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::names::ServerId;
use super::share::{SendHistory, instance_share};

/// The fraction of the bound that is used. The margin covers short periods in
/// which instances disagree about the membership of the fleet.
pub const USABLE_FRACTION: f64 = 0.75;

/// The sliding window in which an instance sends its allowance for one second.
/// Longer than a second, because requests arrive closer together than they were
/// sent: the first one waits for a connection, up to half a second if a packet is
/// lost, and the next one does not.
pub const SEND_WINDOW: Duration = Duration::from_millis(1600);

/// Time after the start of an instance in which it sends nothing to cold servers. An
/// earlier process of the same name may have used its allowance right before it
/// ended; this covers the second in which those requests count.
pub const STARTUP_PAUSE: Duration = Duration::from_secs(1);

/// The bound for one cold server.
#[derive(Debug, Clone, Copy)]
pub struct ColdBound {
    /// Factor on the configured rate of the service's cold servers.
    pub excess: f64,
    /// Added to the product, in requests per second.
    pub slack: f64,
}

/// The recent send times of this instance for each cold server.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    recent_sends: BTreeMap<ServerId, SendHistory>,
}

/// How many requests per [`SEND_WINDOW`] this instance may send to a cold server.
///
/// `rate` is in requests per second. `server`, `own` and `instances` are hashes
/// of names; `instances` includes `own`.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the bound is a small positive number"
)]
pub fn instance_allowance(
    bound: ColdBound,
    rate: f64,
    server: u64,
    own: u64,
    instances: &[u64],
) -> usize {
    let total = ((rate * bound.excess + bound.slack) * USABLE_FRACTION).max(1.0) as usize;
    instance_share(total, server, own, instances)
}

impl ColdLimiter {
    /// Records a request and returns `true` if fewer than `allowed` were sent in
    /// the last [`SEND_WINDOW`].
    pub fn try_acquire(&mut self, server: &ServerId, allowed: usize, now: Instant) -> bool {
        if !self.has_capacity(server, allowed, now) {
            return false;
        }
        let history = self.recent_sends.entry(server.clone()).or_default();
        history.record(SEND_WINDOW, now);
        true
    }

    /// Whether [`ColdLimiter::try_acquire`] would succeed.
    #[must_use]
    pub fn has_capacity(&self, server: &ServerId, allowed: usize, now: Instant) -> bool {
        let recent = self.recent_sends.get(server);
        recent.map_or(0, |history| history.count(SEND_WINDOW, now)) < allowed
    }

    /// Removes the state of a server that is no longer cold.
    pub fn remove(&mut self, server: &ServerId) {
        self.recent_sends.remove(server);
    }
}
