//! Stops requests that crash each backend server that runs them.
//!
//! A crash counts against the fingerprint of a request when its connection
//! broke before an answer and the server then refused connections. Counts are
//! exchanged between instances, as the caller repeats the request anywhere.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The number of crashes after which a request is refused.
pub const CRASH_LIMIT: u32 = 2;

/// How long a crash is remembered.
pub const CRASH_RETENTION: Duration = Duration::from_mins(1);

/// The most fingerprints that are remembered and reported.
pub const MAX_FINGERPRINTS: usize = 64;

/// Crashes by fingerprint: those seen here, and the others' reports.
#[derive(Debug, Default)]
pub struct CrashTracker {
    own: BTreeMap<u64, (u32, Instant)>,
}

impl CrashTracker {
    /// Counts a crash that this instance saw.
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

    /// The crashes seen here, for the digest.
    #[must_use]
    pub fn report(&self) -> Vec<(u64, u32)> {
        self.own
            .iter()
            .map(|(fingerprint, (count, _))| (*fingerprint, *count))
            .collect()
    }

    /// Whether a request is refused, given the crashes that others reported.
    #[must_use]
    pub fn rejects(&self, fingerprint: u64, reported: u32) -> bool {
        self.own.get(&fingerprint).map_or(0, |(count, _)| *count) + reported >= CRASH_LIMIT
    }
}
