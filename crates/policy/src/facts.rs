//! Facts that instances tell each other.
//!
//! A fact is a small statement under a key: the health of a backend server, a
//! count of crashes, a withdrawn key. Each has an owner or grows only, so facts
//! merge in any order and may be repeated or delayed. A [`FactStore`] numbers
//! its changes, so that a heartbeat carries only what a peer has not seen.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{IncarnationId, ServerKey, ServiceKey, VersionName};
use crate::snapshot::KeyDigest;

/// What a fact is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactKey {
    /// What an instance found about a backend server.
    ServerReport(ServerKey, IncarnationId),
    /// Crashes of backend servers that an instance saw under one request
    /// fingerprint.
    CrashCount(u64, IncarnationId),
    /// A version showed faults; the fact is never taken back.
    VersionFault(ServiceKey, VersionName),
    /// A key was withdrawn; the fact is never taken back.
    KeyWithdrawn(KeyDigest),
    /// An instance is draining; the fact is never taken back.
    InstanceLeaving(IncarnationId),
}

/// What is stated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FactValue {
    /// The latest report of a backend server; a higher sequence replaces a
    /// lower one.
    Server(ServerReport),
    /// A count that only grows.
    Count(u64),
    /// True once stated.
    Latched,
    /// True once stated, with the reason given first.
    LatchedBecause(String),
}

/// What an instance found about a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// Grows with each report of the same reporter.
    pub sequence: u64,
    /// Whether the server answered as healthy.
    pub healthy: bool,
    /// Whether the server says that it is leaving.
    pub leaving: bool,
    /// Requests running on the server as it reports them.
    pub load: u32,
    /// How long the server has been up as it reports it.
    pub uptime: Duration,
}

impl FactValue {
    /// Whether `self` adds to `known`.
    fn replaces(&self, known: &Self) -> bool {
        match (self, known) {
            (Self::Server(new), Self::Server(old)) => new.sequence > old.sequence,
            (Self::Count(new), Self::Count(old)) => new > old,
            _ => false,
        }
    }
}

#[derive(Debug, Clone)]
struct StoredFact {
    value: FactValue,
    change: u64,
}

/// All facts that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct FactStore {
    facts: BTreeMap<FactKey, StoredFact>,
    changes: BTreeMap<u64, FactKey>,
    last_change: u64,
}

impl FactStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a fact. Returns whether it was news.
    pub fn merge(&mut self, key: FactKey, value: FactValue) -> bool {
        if let Some(known) = self.facts.get(&key) {
            if !value.replaces(&known.value) {
                return false;
            }
            self.changes.remove(&known.change);
        }
        self.last_change += 1;
        self.changes.insert(self.last_change, key.clone());
        let change = self.last_change;
        self.facts.insert(key, StoredFact { value, change });
        true
    }

    /// The value under `key`.
    #[must_use]
    pub fn get(&self, key: &FactKey) -> Option<&FactValue> {
        self.facts.get(key).map(|fact| &fact.value)
    }

    /// All facts in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&FactKey, &FactValue)> {
        self.facts.iter().map(|(key, fact)| (key, &fact.value))
    }

    /// The number of the newest change.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Up to `most` facts that changed after `change`, oldest change first,
    /// each with the number of its change.
    pub fn changed_since(
        &self,
        change: u64,
        most: usize,
    ) -> impl Iterator<Item = (u64, &FactKey, &FactValue)> {
        self.changes
            .range(change.saturating_add(1)..)
            .take(most)
            .filter_map(|(number, key)| self.get(key).map(|value| (*number, key, value)))
    }

    /// Drops the reports and counts of incarnations that are gone.
    pub fn forget(&mut self, gone: &IncarnationId) {
        let stale = |key: &FactKey| match key {
            FactKey::ServerReport(_, reporter) => reporter == gone,
            FactKey::InstanceLeaving(instance) => instance == gone,
            FactKey::CrashCount(..) | FactKey::VersionFault(..) | FactKey::KeyWithdrawn(_) => false,
        };
        let changes = &mut self.changes;
        self.facts.retain(|key, fact| {
            let keep = !stale(key);
            if !keep {
                changes.remove(&fact.change);
            }
            keep
        });
    }
}
