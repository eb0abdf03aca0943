//! Requests that crash the backend servers that run them.
//!
//! A crash is counted against the fingerprint of the request. Counts of all
//! instances add up; from [`QUARANTINE_CRASHES`] on the request is refused.

use std::collections::BTreeMap;
use std::fmt;

use sha2::{Digest, Sha256};

use crate::facts::{FactKey, FactValue};
use crate::ids::ServiceKey;

/// Crashes from which on a request is refused, so that there is no third one.
pub const QUARANTINE_CRASHES: u64 = 2;

/// The digest of a request: method, target and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestFingerprint([u8; 32]);

impl RequestFingerprint {
    /// The fingerprint of a request. Each part is preceded by its length, so
    /// that parts cannot run into each other.
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

    /// The short form under which crashes are counted.
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

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// No crash is known.
    Clear,
    /// One more crash leads to quarantine, so at most one run at a time.
    Suspect,
    /// It is refused.
    Refused,
}

/// Judges a request by the crashes counted against it.
#[must_use]
pub const fn judge(crashes: u64) -> QuarantineVerdict {
    match crashes {
        0 => QuarantineVerdict::Clear,
        1..QUARANTINE_CRASHES => QuarantineVerdict::Suspect,
        _ => QuarantineVerdict::Refused,
    }
}

/// Adds up the counts of all instances for one fingerprint.
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

/// What is known about a connection that broke before a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakReport {
    /// Whether the server refused connections or started again.
    pub crashed: bool,
    /// Whether other requests of this instance ran on the server.
    pub shared: bool,
}

/// The crashes of one request while it is being attempted.
///
/// A server may crash because of another request that runs on it. A crash that
/// was shared is held back and dropped when the request then succeeds, so that
/// a frequent lookup is not quarantined for its neighbours.
#[derive(Debug, Clone, Copy, Default)]
pub struct CrashTally {
    certain: u64,
    shared: u64,
}

impl CrashTally {
    /// Notes a broken connection.
    pub const fn note(&mut self, report: BreakReport) {
        match (report.crashed, report.shared) {
            (true, true) => self.shared += 1,
            (true, false) => self.certain += 1,
            (false, _) => {}
        }
    }

    /// Crashes so far, which limit further attempts.
    #[must_use]
    pub const fn so_far(&self) -> u64 {
        self.certain + self.shared
    }

    /// Crashes to count against the request at its end.
    #[must_use]
    pub const fn to_count(&self, succeeded: bool) -> u64 {
        if succeeded {
            self.certain
        } else {
            self.so_far()
        }
    }
}

/// Suspect requests that are running on this instance.
#[derive(Debug, Clone, Default)]
pub struct SuspectList {
    running: BTreeMap<u64, u32>,
}

impl SuspectList {
    /// Starts a run, unless it is a suspect that runs already.
    pub fn begin(&mut self, fingerprint: u64, verdict: QuarantineVerdict) -> bool {
        let running = self.running.entry(fingerprint).or_default();
        if *running > 0 && verdict != QuarantineVerdict::Clear {
            return false;
        }
        *running += 1;
        true
    }

    /// Ends a run.
    pub fn end(&mut self, fingerprint: u64) {
        if let Some(running) = self.running.get_mut(&fingerprint) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running.remove(&fingerprint);
            }
        }
    }
}
