//! Rate limiting of requests to cold backend servers.
//!
//! The limit applies to all instances together in any second. The requests that
//! it permits are divided among the instances.

use std::time::{Duration, Instant};

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

/// The recent requests of this instance to one server. Those from before it was known to
/// be cold count too.
#[derive(Debug, Clone, Default)]
pub struct ColdLimiter {
    recent_sends: SendHistory,
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
    pub fn try_acquire(&mut self, allowed: usize, now: Instant) -> bool {
        let has_capacity = self.has_capacity(allowed, now);
        if has_capacity {
            self.record_send(now);
        }
        has_capacity
    }

    /// Whether [`ColdLimiter::try_acquire`] would succeed.
    #[must_use]
    pub fn has_capacity(&self, allowed: usize, now: Instant) -> bool {
        self.recent_sends(now) < allowed
    }

    /// The number of requests in the last [`SEND_WINDOW`].
    #[must_use]
    pub fn recent_sends(&self, now: Instant) -> usize {
        self.recent_sends.count(SEND_WINDOW, now)
    }

    /// Records a request.
    pub fn record_send(&mut self, now: Instant) {
        self.recent_sends.record(SEND_WINDOW, now);
    }
}
