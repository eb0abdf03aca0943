//! Rejection of requests that crash the backend servers that run them.
//!
//! A server that crashes takes all requests in progress with it, and only one of them may
//! be the cause. A crash counts for the fingerprint of a request if its connection broke
//! before the response and the server then refused connections. One crash counts once,
//! however many copies of the request were in progress, and whichever instances saw it. A
//! request that a server completes is not the cause of any: its crashes no longer count.
//!
//! Instances exchange what they saw, because a caller may retry a request at any of them.
//! While a request is rejected, one instance sends it from time to time to find out
//! whether it still crashes servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::digest::ServerIncarnation;

/// The number of crashes from which on a request is rejected.
pub const CRASH_LIMIT: usize = 2;

/// Time for which the crashes of a fingerprint are kept after the latest one.
pub const CRASH_RETENTION: Duration = Duration::from_mins(1);

/// Time from the latest crash to the next trial, by the number of crashes beyond
/// [`CRASH_LIMIT`]. After these trials a request is rejected until its crashes are
/// forgotten. The users' rules allow three after the third crash.
pub const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(4),
    Duration::from_secs(15),
    Duration::from_secs(45),
];

/// The maximum number of fingerprints that are kept and reported.
pub const MAX_FINGERPRINTS: usize = 64;

/// A crash in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request that was in progress.
    pub fingerprint: u64,
    /// The server that crashed.
    pub server: ServerIncarnation,
    /// Milliseconds from the crash to the digest.
    pub age_ms: u32,
}

/// A request in a digest that was served although servers had crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedReport {
    /// The request.
    pub fingerprint: u64,
    /// Milliseconds from the response to the digest.
    pub age_ms: u32,
}

/// What the other instances know of one fingerprint.
#[derive(Debug, Clone, Default)]
pub struct ReportedCrashes {
    crashes: BTreeMap<ServerIncarnation, Instant>,
    served_at: Option<Instant>,
    /// The largest number of crashes that an instance reported which does not name the
    /// servers.
    unnamed: usize,
}

impl ReportedCrashes {
    /// Whether no crash was reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.unnamed == 0
    }

    /// Adds a crash in a digest received at `received_at`.
    pub fn add_crash(&mut self, report: &CrashReport, received_at: Instant) {
        if let Some(at) = age_to_time(report.age_ms, received_at) {
            let known = self.crashes.entry(report.server).or_insert(at);
            *known = at.max(*known);
        }
    }

    /// Adds a response in a digest received at `received_at`.
    pub fn add_served(&mut self, report: &ServedReport, received_at: Instant) {
        self.served_at = self.served_at.max(age_to_time(report.age_ms, received_at));
    }

    /// Adds a number of crashes of servers that are not named.
    pub fn add_unnamed(&mut self, count: u32) {
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        self.unnamed = self.unnamed.max(count);
    }
}

fn age_to_time(age_ms: u32, received_at: Instant) -> Option<Instant> {
    received_at.checked_sub(Duration::from_millis(age_ms.into()))
}

fn time_to_age(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

/// What this instance saw of one fingerprint.
#[derive(Debug, Default)]
struct OwnCrashes {
    crashes: BTreeMap<ServerIncarnation, Instant>,
    served_at: Option<Instant>,
    trial_at: Option<Instant>,
}

impl OwnCrashes {
    fn counted(&self) -> impl Iterator<Item = (&ServerIncarnation, &Instant)> {
        let is_counted = |(_, at): &(&ServerIncarnation, &Instant)| Some(**at) > self.served_at;
        self.crashes.iter().filter(is_counted)
    }

    fn latest(&self) -> Option<Instant> {
        let times = self.crashes.values().copied();
        times.chain(self.served_at).chain(self.trial_at).max()
    }
}

/// The crashes that this instance observed, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashTracker {
    own: BTreeMap<u64, OwnCrashes>,
}

impl CrashTracker {
    /// Records a crash of a server that this instance observed. New fingerprints beyond
    /// [`MAX_FINGERPRINTS`] are ignored.
    pub fn record(&mut self, fingerprint: u64, server: ServerIncarnation, now: Instant) {
        if let Some(own) = self.entry(fingerprint, now) {
            own.crashes.insert(server, now);
        }
    }

    /// Whether this instance saw a crash with a request in progress.
    #[must_use]
    pub fn knows(&self, fingerprint: u64) -> bool {
        self.own.contains_key(&fingerprint)
    }

    fn entry(&mut self, fingerprint: u64, now: Instant) -> Option<&mut OwnCrashes> {
        self.own.retain(|_, own| {
            let is_recent = |at| now.saturating_duration_since(at) < CRASH_RETENTION;
            own.latest().is_some_and(is_recent)
        });
        if self.own.len() >= MAX_FINGERPRINTS && !self.own.contains_key(&fingerprint) {
            return None;
        }
        Some(self.own.entry(fingerprint).or_default())
    }

    /// Records that a server completed a request. `reported` is what the other instances
    /// know of it.
    pub fn record_served(&mut self, fingerprint: u64, reported: &ReportedCrashes, now: Instant) {
        let is_suspected = self.knows(fingerprint) || !reported.is_empty();
        if is_suspected && let Some(own) = self.entry(fingerprint, now) {
            own.served_at = Some(now);
        }
    }

    /// The number of crashes by fingerprint, for instances that do not know the servers.
    #[must_use]
    pub fn counts(&self, now: Instant) -> Vec<(u64, u32)> {
        let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
        for report in self.crash_reports(now) {
            *counts.entry(report.fingerprint).or_default() += 1;
        }
        counts.into_iter().collect()
    }

    /// The crashes that this instance observed, for the digest.
    #[must_use]
    pub fn crash_reports(&self, now: Instant) -> Vec<CrashReport> {
        let report = |(fingerprint, own): (&u64, &OwnCrashes)| -> Vec<CrashReport> {
            own.counted()
                .filter(|(_, at)| now.saturating_duration_since(**at) < CRASH_RETENTION)
                .map(|(server, at)| CrashReport {
                    fingerprint: *fingerprint,
                    server: *server,
                    age_ms: time_to_age(*at, now),
                })
                .collect()
        };
        self.own.iter().flat_map(report).collect()
    }

    /// The requests that this instance saw served, for the digest.
    #[must_use]
    pub fn served_reports(&self, now: Instant) -> Vec<ServedReport> {
        let report = |(fingerprint, own): (&u64, &OwnCrashes)| {
            let served_at = own
                .served_at
                .filter(|at| now.saturating_duration_since(*at) < CRASH_RETENTION)?;
            Some(ServedReport {
                fingerprint: *fingerprint,
                age_ms: time_to_age(served_at, now),
            })
        };
        self.own.iter().filter_map(report).collect()
    }

    /// Whether a request is rejected. `reported` is what the other instances know of it.
    /// `makes_trials` says whether this is the instance that finds out whether the request
    /// still crashes servers; a request that is let through for that counts as one.
    pub fn rejects(
        &mut self,
        fingerprint: u64,
        reported: &ReportedCrashes,
        makes_trials: bool,
        now: Instant,
    ) -> bool {
        let own = self.own.get(&fingerprint);
        let served_at = own.and_then(|own| own.served_at).max(reported.served_at);
        let own_crashes = own.into_iter().flat_map(|own| &own.crashes);
        let crashes: Vec<(&ServerIncarnation, &Instant)> = own_crashes
            .chain(&reported.crashes)
            .filter(|(_, at)| Some(**at) > served_at)
            .collect();
        let latest = crashes.iter().map(|(_, at)| **at).max();
        let is_recent = |at| now.saturating_duration_since(at) < CRASH_RETENTION;
        let servers: BTreeSet<&ServerIncarnation> = if latest.is_some_and(is_recent) {
            crashes.iter().map(|(server, _)| *server).collect()
        } else {
            BTreeSet::new()
        };
        let unnamed = if served_at.is_some() {
            0
        } else {
            reported.unnamed
        };
        let count = servers.len().max(unnamed);
        if count < CRASH_LIMIT {
            return false;
        }
        let trial_at = own.and_then(|own| own.trial_at);
        let waits_since = latest.max(trial_at);
        let is_due = TRIAL_DELAYS
            .get(count - CRASH_LIMIT)
            .zip(waits_since)
            .is_some_and(|(delay, since)| now >= since + *delay);
        if !makes_trials || !is_due {
            return true;
        }
        match self.entry(fingerprint, now) {
            Some(own) => {
                own.trial_at = Some(now);
                false
            }
            None => true,
        }
    }
}
