//! Rejection of requests that crash the backend servers that run them.
//!
//! A crash is counted for the fingerprint of a request if its connection broke
//! before the response and the server then refused connections. The counts are
//! exchanged between instances, because a caller may retry the request at any of
//! them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The number of crashes from which on a request is rejected.
pub const CRASH_LIMIT: u32 = 2;

/// Time for which the crashes of a fingerprint are kept after the latest one.
pub const CRASH_RETENTION: Duration = Duration::from_mins(1);

/// The maximum number of fingerprints that are kept and reported.
pub const MAX_FINGERPRINTS: usize = 64;

/// The crashes that this instance observed, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashTracker {
    own: BTreeMap<u64, (u32, Instant)>,
}

impl CrashTracker {
    /// Records a crash that this instance observed. New fingerprints beyond
    /// [`MAX_FINGERPRINTS`] are ignored.
    pub fn record(&mut self, fingerprint: u64, now: Instant) {
        self.own
            .retain(|_, (_, time)| now.saturating_duration_since(*time) < CRASH_RETENTION);
        if self.own.len() >= MAX_FINGERPRINTS && !self.own.contains_key(&fingerprint) {
            return;
        }
        let entry = self.own.entry(fingerprint).or_insert((0, now));
        entry.0 += 1;
        entry.1 = now;
    }

    /// The observed crashes by fingerprint, for the digest.
    #[must_use]
    pub fn report(&self) -> Vec<(u64, u32)> {
        self.own
            .iter()
            .map(|(fingerprint, (count, _))| (*fingerprint, *count))
            .collect()
    }

    /// Whether a request is rejected. `reported` is the number of crashes that the
    /// other instances reported.
    #[must_use]
    pub fn rejects(&self, fingerprint: u64, reported: u32) -> bool {
        self.own.get(&fingerprint).map_or(0, |(count, _)| *count) + reported >= CRASH_LIMIT
    }
}
