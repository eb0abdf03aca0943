//! The tokens of one holder of a rate limit.
//!
//! A token is counted in parts: one request costs [`TOKEN_PARTS`] parts, so
//! the cap `share * burst` and every transfer are whole numbers of parts.

use std::time::{Duration, Instant};

use super::plan::TOKEN_PARTS;
use crate::units::{BurstSize, RequestRate};

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Rate and burst of the fleet, and the share of one holder.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateShare {
    pub(crate) rate: RequestRate,
    pub(crate) burst: BurstSize,
    pub(crate) shares: u64,
}

impl RateShare {
    /// The highest level in parts. Less than 2^62, as shares are below 2^30.
    pub(crate) fn cap(&self) -> u64 {
        self.shares * u64::from(self.burst.get())
    }

    fn parts_per_second(&self) -> u128 {
        u128::from(self.shares) * u128::from(self.rate.get())
    }
}

/// A level that refills with time.
#[derive(Debug, Clone, Default)]
pub(crate) struct RateBucket {
    level: u64,
    /// Refill below one part, in parts of a billionth.
    remainder: u128,
    updated: Option<Instant>,
}

impl RateBucket {
    pub(crate) const fn level(&self) -> u64 {
        self.level
    }

    /// Adds the refill since the last call. Call it before any change of
    /// rate, burst or shares, with the values that held until `now`.
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

    /// Drops what is above the cap.
    pub(crate) fn clamp(&mut self, share: &RateShare) {
        if self.level >= share.cap() {
            self.level = share.cap();
            self.remainder = 0;
        }
    }

    /// Drops all tokens. Refill starts over at the next call.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Spends one token, if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        let left = self.level.checked_sub(TOKEN_PARTS);
        self.level = left.unwrap_or(self.level);
        left.is_some()
    }

    /// Adds received tokens; what is above the cap is lost.
    pub(crate) fn add(&mut self, parts: u128, share: &RateShare) {
        let parts = u64::try_from(parts).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(parts);
        self.clamp(share);
    }

    /// Takes tokens out for a peer.
    pub(crate) fn remove(&mut self, parts: u64) {
        assert!(
            parts <= self.level,
            "gave {parts} token parts of a level of {}",
            self.level
        );
        self.level -= parts;
    }

    /// How long the refill takes to make up one token.
    pub(crate) fn time_to_token(&self, share: &RateShare) -> Duration {
        let missing = u128::from(TOKEN_PARTS.saturating_sub(self.level));
        if share.cap() < TOKEN_PARTS || share.parts_per_second() == 0 {
            return Duration::MAX;
        }
        let nanos = (missing * NANOS_PER_SECOND).div_ceil(share.parts_per_second());
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
