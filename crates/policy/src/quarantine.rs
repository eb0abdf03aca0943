//! Quarantine of requests that crash backend servers.
//!
//! A crash is counted against the fingerprint of the request. A request is
//! rejected once the sum of the counts of all instances reaches
//! [`QUARANTINE_CRASHES`].

use std::collections::BTreeMap;
use std::fmt;

use sha2::{Digest, Sha256};

use crate::facts::{FactKey, FactValue};
use crate::ids::ServiceKey;

/// Number of crashes from which on a request is rejected, so that it does not
/// cause a third crash.
pub const QUARANTINE_CRASHES: u64 = 2;

/// The SHA-256 digest of a request: its service, method, target and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestFingerprint([u8; 32]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request. Each part is hashed with its length
    /// first, so that moving bytes between parts changes the digest.
    #[must_use]
    pub fn new(service: &ServiceKey, method: &str, target: &str, body: &[u8]) -> Self {
        let service = service.to_string();
        let mut hasher = Sha256::new();
        for part in [
            service.as_bytes(),
            method.as_bytes(),
            target.as_bytes(),
            body,
        ] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// The first 64 bits of the digest, which key the crash counts.
    #[must_use]
    pub const fn short(&self) -> u64 {
        let b = &self.0;
        u64::from_be_bytes([b[0], b[1], b[2], b[3], b[4], b[5], b[6], b[7]])
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Decision whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// No crash is known; the request may run.
    Clear,
    /// The request may run, but at most once at a time on this instance, because
    /// the next crash leads to quarantine.
    Suspect,
    /// The request is in quarantine and is rejected.
    Rejected,
}

/// Decides about a request by the number of crashes counted against it.
#[must_use]
pub const fn quarantine_decision(crashes: u64) -> QuarantineDecision {
    match crashes {
        0 => QuarantineDecision::Clear,
        1..QUARANTINE_CRASHES => QuarantineDecision::Suspect,
        _ => QuarantineDecision::Rejected,
    }
}

/// Sums the crash counts of all instances for one fingerprint.
#[must_use]
pub fn total_crashes(facts: &[(FactKey, FactValue)], fingerprint: u64) -> u64 {
    facts
        .iter()
        .filter_map(|fact| match fact {
            (FactKey::CrashCount(of, _), FactValue::Count(count)) if *of == fingerprint => {
                Some(*count)
            }
            _ => None,
        })
        .sum()
}

/// A connection to a server that broke before a complete response was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenConnection {
    /// Whether the server crashed: it refuses connections or has restarted.
    pub crashed: bool,
    /// Whether the server was also running other requests of this instance.
    pub shared: bool,
}

/// Counts the crashes during the attempts of one request.
///
/// A server may crash because of another request that runs on it at the same
/// time. Such a shared crash is ignored if the request succeeds in a later
/// attempt, so that a frequent harmless request is not quarantined for crashes
/// that others cause.
#[derive(Debug, Clone, Copy, Default)]
pub struct CrashCounter {
    unshared: u64,
    shared: u64,
}

impl CrashCounter {
    /// Records a broken connection, and counts it if the server crashed.
    pub const fn record_broken_connection(&mut self, report: BrokenConnection) {
        match (report.crashed, report.shared) {
            (true, true) => self.shared += 1,
            (true, false) => self.unshared += 1,
            (false, _) => {}
        }
    }

    /// All crashes so far, shared or not. They decide about further attempts.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.unshared + self.shared
    }

    /// The number of crashes to count against the fingerprint once the request
    /// has `succeeded` or failed.
    #[must_use]
    pub const fn counted_crashes(&self, succeeded: bool) -> u64 {
        if succeeded {
            self.unshared
        } else {
            self.total()
        }
    }
}

/// Numbers of running requests on this instance by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct RunningFingerprints {
    running: BTreeMap<u64, u32>,
}

impl RunningFingerprints {
    /// Counts a request as running. Returns `false`, and counts nothing, if it
    /// is not [`QuarantineDecision::Clear`] and already runs.
    pub fn try_begin(&mut self, fingerprint: u64, decision: QuarantineDecision) -> bool {
        let running = self.running.entry(fingerprint).or_default();
        if *running > 0 && decision != QuarantineDecision::Clear {
            return false;
        }
        *running += 1;
        true
    }

    /// Ends a run that [`RunningFingerprints::try_begin`] counted.
    pub fn end(&mut self, fingerprint: u64) {
        if let Some(running) = self.running.get_mut(&fingerprint) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running.remove(&fingerprint);
            }
        }
    }
}
