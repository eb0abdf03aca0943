//! Division of a server's rate limit among the instances, without messages.
//!
//! The requests that a limit permits in a window are divided by rendezvous hashing of
//! server and instance, so if there are more instances than permitted requests, only
//! some of them send to the server.

use std::time::{Duration, Instant};

use super::placement::mix;

/// How many of `total` requests to a server this instance may send.
///
/// `server`, `own` and `instances` are hashes of names; `instances` includes `own`.
#[must_use]
pub fn instance_share(total: usize, server: u64, own: u64, instances: &[u64]) -> usize {
    let own_score = mix(own ^ server);
    let rank = instances
        .iter()
        .filter(|other| **other != own && mix(**other ^ server) > own_score)
        .count();
    let count = instances.len().max(1);
    total / count + usize::from(rank < total % count)
}

/// The times of recent requests to one server.
#[derive(Debug, Clone, Default)]
pub struct SendHistory {
    times: Vec<Instant>,
}

impl SendHistory {
    /// The number of requests within `window` before `now`.
    #[must_use]
    pub fn count(&self, window: Duration, now: Instant) -> usize {
        let is_within = |time: &&Instant| now.saturating_duration_since(**time) < window;
        self.times.iter().filter(is_within).count()
    }

    /// Records a request and forgets those before `window`.
    pub fn record(&mut self, window: Duration, now: Instant) {
        self.times
            .retain(|time| now.saturating_duration_since(*time) < window);
        self.times.push(now);
    }
}
