//! The token bucket of one holder of a rate limit.
//!
//! Levels are counted in parts of a token. A request costs [`TOKEN_PARTS`]
//! parts, which makes the cap `shares * burst` and every transfer a whole
//! number of parts.

use std::time::{Duration, Instant};

use super::plan::TOKEN_PARTS;
use crate::units::{BurstSize, RequestRate};

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Rate and burst of the whole fleet, with the shares of one holder.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateShare {
    pub(crate) rate: RequestRate,
    pub(crate) burst: BurstSize,
    pub(crate) shares: u64,
}

impl RateShare {
    /// The maximum level in parts. It is less than 2^62, because shares are
    /// below 2^30.
    pub(crate) fn cap(&self) -> u64 {
        self.shares * u64::from(self.burst.get())
    }

    fn parts_per_second(&self) -> u128 {
        u128::from(self.shares) * u128::from(self.rate.get())
    }
}

/// A token bucket without a rate of its own: each call passes the share.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateBucket {
    level: u64,
    /// The refill that doesn't make a whole part yet, in billionths of a part.
    remainder: u128,
    updated: Option<Instant>,
}

impl RateBucket {
    pub(crate) const fn level(&self) -> u64 {
        self.level
    }

    /// Adds the refill since the last call. Must be called before a change of
    /// rate, burst or shares, with the values that were in force until `now`.
    pub(crate) fn refill(&mut self, share: &RateShare, now: Instant) {
        let updated = self.updated.unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated);
        self.updated = Some(updated.max(now));
        let refill = elapsed
            .as_nanos()
            .saturating_mul(share.parts_per_second())
            .saturating_add(self.remainder);
        let parts = u64::try_from(refill / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(parts);
        self.remainder = refill % NANOS_PER_SECOND;
        self.clamp(share);
    }

    /// Discards tokens above the cap.
    pub(crate) fn clamp(&mut self, share: &RateShare) {
        if self.level >= share.cap() {
            self.level = share.cap();
            self.remainder = 0;
        }
    }

    /// Discards all tokens. The next call of [`refill`](Self::refill) adds
    /// nothing and restarts the clock.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Spends one token. Returns false if there is less than one.
    pub(crate) fn spend(&mut self) -> bool {
        let left = self.level.checked_sub(TOKEN_PARTS);
        self.level = left.unwrap_or(self.level);
        left.is_some()
    }

    /// Adds received token parts. The excess over the cap is discarded.
    pub(crate) fn add(&mut self, parts: u128, share: &RateShare) {
        let parts = u64::try_from(parts).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(parts);
        self.clamp(share);
    }

    /// Removes token parts that are transferred to a peer.
    pub(crate) fn remove(&mut self, parts: u64) {
        assert!(
            parts <= self.level,
            "cannot transfer {parts} token parts from a level of {}",
            self.level
        );
        self.level -= parts;
    }

    /// Time until the refill completes one token. [`Duration::MAX`] if the
    /// share never holds a whole token or doesn't refill.
    pub(crate) fn time_to_token(&self, share: &RateShare) -> Duration {
        let missing = u128::from(TOKEN_PARTS.saturating_sub(self.level));
        if share.cap() < TOKEN_PARTS || share.parts_per_second() == 0 {
            return Duration::MAX;
        }
        let nanos = (missing * NANOS_PER_SECOND).div_ceil(share.parts_per_second());
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
