//! Keeps requests to cold backend servers within their rate.
//!
//! The bound holds over all instances in any second. Only as many instances as
//! the bound allows requests send to a cold server, chosen by rendezvous hash
//! of server and instance; each of them leaves a fixed time between its
//! requests. No messages are needed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::names::ServerId;
use super::placement::mix;

/// The part of the bound that is used, as instances may disagree briefly about
/// which instances there are.
pub const USABLE_FRACTION: f64 = 0.75;

/// The time in which an instance sends its allowance for one second. The first
/// request waits for a connection, up to half a second with a lost packet, and
/// the next one does not, so they arrive closer together than they were sent.
pub const SEND_WINDOW: Duration = Duration::from_millis(1600);

/// The bound for one cold server.
#[derive(Debug, Clone, Copy)]
pub struct ColdBound {
    /// Multiplies the server's own rate.
    pub excess: f64,
    /// Added to it, in requests per second.
    pub slack: f64,
}

/// When this instance last sent to each cold server.
#[derive(Debug, Default)]
pub struct ColdLimiter {
    sent: BTreeMap<ServerId, Vec<Instant>>,
}

/// How many requests per second this instance may send to a cold server.
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
    let own_score = mix(own ^ server);
    let rank = instances
        .iter()
        .filter(|other| **other != own && mix(**other ^ server) > own_score)
        .count();
    let count = instances.len().max(1);
    total / count + usize::from(rank < total % count)
}

impl ColdLimiter {
    /// Takes a request if fewer than `allowed` were sent in the last second.
    pub fn try_acquire(&mut self, server: &ServerId, allowed: usize, now: Instant) -> bool {
        if !self.has_room(server, allowed, now) {
            return false;
        }
        let times = self.sent.entry(server.clone()).or_default();
        times.retain(|time| now.saturating_duration_since(*time) < SEND_WINDOW);
        times.push(now);
        true
    }

    /// Whether [`ColdLimiter::try_acquire`] would succeed.
    #[must_use]
    pub fn has_room(&self, server: &ServerId, allowed: usize, now: Instant) -> bool {
        let recent = self.sent.get(server).map_or(0, |times| {
            times
                .iter()
                .filter(|time| now.saturating_duration_since(**time) < SEND_WINDOW)
                .count()
        });
        recent < allowed
    }

    /// Forgets a server that is no longer cold.
    pub fn remove(&mut self, server: &ServerId) {
        self.sent.remove(server);
    }
}
