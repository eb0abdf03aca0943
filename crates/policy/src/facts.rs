//! Facts that instances replicate to each other in heartbeats.
//!
//! A fact is a small value under a key, such as the health of a backend server,
//! a crash count or a withdrawn key. Each fact has a single writer or only
//! grows, so merging is commutative and idempotent: facts may arrive in any
//! order, late or more than once. A [`FactStore`] numbers its changes, so that a
//! heartbeat carries only the facts that a peer has not received.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{IncarnationId, ServerKey, ServiceKey, VersionName};
use crate::snapshot::KeyDigest;

/// The subject of a fact.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactKey {
    /// The state of a backend server as probed by an instance.
    ServerReport(ServerKey, IncarnationId),
    /// Crashes of backend servers that an instance counted against the short
    /// fingerprint of a request.
    CrashCount(u64, IncarnationId),
    /// A version of a service is faulty. Sticky: never cleared.
    VersionFault(ServiceKey, VersionName),
    /// A key was withdrawn. Sticky: never cleared.
    KeyWithdrawn(KeyDigest),
    /// An incarnation is draining. Sticky: never cleared.
    InstanceLeaving(IncarnationId),
}

/// The value of a fact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FactValue {
    /// The latest report about a backend server. A report with a higher sequence
    /// number replaces one with a lower number.
    Server(ServerReport),
    /// A grow-only counter; the higher count wins.
    Count(u64),
    /// A sticky flag: set by its presence and never cleared.
    Flag,
    /// A sticky flag with the reason that was recorded first.
    FlagWithReason(String),
}

/// The state of a backend server as probed by one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// Sequence number, which increases with each report of the same instance.
    pub sequence: u64,
    /// Whether the server counts as healthy.
    pub healthy: bool,
    /// Whether the server reports that it is about to shut down.
    pub leaving: bool,
    /// The number of running requests that the server reports.
    pub load: u32,
    /// Time since the start of the server, as it reports it.
    pub uptime: Duration,
}

impl FactValue {
    /// Whether `self` is newer than `known`.
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

/// All facts that an instance has published or received.
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

    /// Merges a fact. Returns whether it is new or replaced the known value.
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

    /// The number of the latest change; zero for an empty store.
    #[must_use]
    pub const fn last_change(&self) -> u64 {
        self.last_change
    }

    /// At most `max_facts` facts that changed after `change`, oldest change
    /// first, each with its change number.
    pub fn changed_since(
        &self,
        change: u64,
        max_facts: usize,
    ) -> impl Iterator<Item = (u64, &FactKey, &FactValue)> {
        self.changes
            .range(change.saturating_add(1)..)
            .take(max_facts)
            .filter_map(|(number, key)| self.get(key).map(|value| (*number, key, value)))
    }

    /// Removes the server reports and the leaving flag of an incarnation that is
    /// no longer a member. Its crash counts stay.
    pub fn remove_incarnation(&mut self, incarnation: &IncarnationId) {
        let stale = |key: &FactKey| match key {
            FactKey::ServerReport(_, reporter) => reporter == incarnation,
            FactKey::InstanceLeaving(leaving) => leaving == incarnation,
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
