//! Membership of entry instances in the fleet.
//!
//! The platform's list of instances lags, and an unreachable instance may only
//! be partitioned from this one, so neither alone shows that an incarnation has
//! ended. An incarnation counts as removed when its instance is not listed and
//! is unreachable, or when a newer incarnation of the same instance is known.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::freshness::RequiredAttesters;
use crate::ids::{CentreName, IncarnationId, InstanceName};

/// Time without a message after which an incarnation counts as unreachable.
/// Five heartbeat intervals, so that one lost heartbeat does not suffice.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The data centre and the addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberPlace {
    /// Its data centre.
    pub centre: CentreName,
    /// The address for requests of callers.
    pub service_address: SocketAddr,
    /// The address for messages of other instances.
    pub peer_address: SocketAddr,
}

/// An entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMember {
    /// The name of the instance.
    pub instance: InstanceName,
    /// Its data centre and addresses.
    pub place: MemberPlace,
    /// Whether the platform is about to shut it down.
    pub leaving: bool,
}

/// State of an instance in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The instance is running, or at least not known to be removed.
    Live,
    /// The platform is about to shut the instance down.
    Leaving,
    /// The instance is neither listed nor reachable.
    Removed,
}

/// What is known about another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// Its data centre and addresses, from the latest list that contained it or,
    /// if none did, from its first message.
    pub place: MemberPlace,
    /// Whether the latest list contains it.
    pub listed: bool,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
    /// Its newest incarnation that sent a message.
    pub incarnation: Option<IncarnationId>,
    /// When the last message of that incarnation was received.
    pub last_message: Option<Instant>,
}

impl MemberEntry {
    const fn new(place: MemberPlace) -> Self {
        Self {
            place,
            listed: false,
            leaving: false,
            incarnation: None,
            last_message: None,
        }
    }

    /// Whether its last message is younger than [`FAILURE_TIMEOUT`].
    #[must_use]
    pub fn is_reachable(&self, now: Instant) -> bool {
        self.last_message
            .is_some_and(|last| now.saturating_duration_since(last) < FAILURE_TIMEOUT)
    }

    fn is_removed(&self, now: Instant) -> bool {
        !self.listed && !self.is_reachable(now)
    }

    /// The state of the instance.
    #[must_use]
    pub fn state(&self, now: Instant) -> MemberState {
        match (self.is_removed(now), self.leaving) {
            (true, _) => MemberState::Removed,
            (false, true) => MemberState::Leaving,
            (false, false) => MemberState::Live,
        }
    }
}

/// All known instances other than this one.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: InstanceName,
    entries: BTreeMap<InstanceName, MemberEntry>,
    /// Incarnations that were replaced by a newer one, or that are only known
    /// from reports of peers.
    other_incarnations: BTreeSet<IncarnationId>,
    list_read_started: Option<Instant>,
}

impl MemberTable {
    /// Creates the table of the instance `own`, which never has an entry itself.
    #[must_use]
    pub const fn new(own: InstanceName) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            other_incarnations: BTreeSet::new(),
            list_read_started: None,
        }
    }

    /// Records the platform's list, from a read that began at `started`.
    pub fn record_list(&mut self, listed: Vec<ListedMember>, started: Instant) {
        self.list_read_started = Some(started);
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for member in listed {
            if member.instance != self.own {
                self.apply_listed(member);
            }
        }
    }

    fn apply_listed(&mut self, member: ListedMember) {
        let entry = self
            .entries
            .entry(member.instance)
            .or_insert_with(|| MemberEntry::new(member.place.clone()));
        entry.place = member.place;
        entry.listed = true;
        entry.leaving = member.leaving;
    }

    /// Records a message that was received from `incarnation` at `now`. Returns
    /// `false`, and changes nothing, if a newer incarnation of the same instance
    /// is known or the instance is this one.
    pub fn record_message(
        &mut self,
        incarnation: &IncarnationId,
        place: &MemberPlace,
        now: Instant,
    ) -> bool {
        if incarnation.instance == self.own {
            return false;
        }
        let entry = self
            .entries
            .entry(incarnation.instance.clone())
            .or_insert_with(|| MemberEntry::new(place.clone()));
        if let Some(known) = &entry.incarnation {
            if known.number > incarnation.number {
                return false;
            }
            if known.number < incarnation.number {
                self.other_incarnations.insert(known.clone());
            }
        }
        entry.incarnation = Some(incarnation.clone());
        entry.last_message = Some(now);
        self.other_incarnations.remove(incarnation);
        true
    }

    /// Records an incarnation that a peer reports as known.
    pub fn record_reported(&mut self, incarnation: &IncarnationId) {
        if incarnation.instance != self.own && !self.is_newest_known(incarnation) {
            self.other_incarnations.insert(incarnation.clone());
        }
    }

    fn is_newest_known(&self, incarnation: &IncarnationId) -> bool {
        let entry = self.entries.get(&incarnation.instance);
        entry.is_some_and(|entry| entry.incarnation.as_ref() == Some(incarnation))
    }

    /// All known incarnations, including removed ones.
    #[must_use]
    pub fn known_incarnations(&self) -> BTreeSet<IncarnationId> {
        let newest = self.entries.values();
        let newest = newest.filter_map(|entry| entry.incarnation.clone());
        self.other_incarnations
            .iter()
            .cloned()
            .chain(newest)
            .collect()
    }

    /// The other instances in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &MemberEntry)> {
        self.entries.iter()
    }

    /// The entry of another instance.
    #[must_use]
    pub fn get(&self, instance: &InstanceName) -> Option<&MemberEntry> {
        self.entries.get(instance)
    }

    /// Whether the platform's list was read at least once.
    #[must_use]
    pub const fn has_list(&self) -> bool {
        self.list_read_started.is_some()
    }

    /// Whether `incarnation` counts as removed.
    #[must_use]
    pub fn is_removed(&self, incarnation: &IncarnationId, now: Instant) -> bool {
        if incarnation.instance == self.own {
            return false;
        }
        let Some(entry) = self.entries.get(&incarnation.instance) else {
            // It is only known from reports of peers. Whether it was removed
            // cannot be determined without a list.
            return self.has_list();
        };
        match &entry.incarnation {
            Some(known) if known.number > incarnation.number => true,
            _ => self.has_list() && entry.is_removed(now),
        }
    }

    /// The known incarnations that count as removed.
    #[must_use]
    pub fn removed_incarnations(&self, now: Instant) -> BTreeSet<IncarnationId> {
        let mut known = self.known_incarnations();
        known.retain(|incarnation| self.has_list() && self.is_removed(incarnation, now));
        known
    }

    /// The known incarnations that do not count as removed.
    #[must_use]
    pub fn remaining_incarnations(&self, now: Instant) -> BTreeSet<IncarnationId> {
        let removed = self.removed_incarnations(now);
        self.known_incarnations()
            .difference(&removed)
            .cloned()
            .collect()
    }

    /// The incarnations whose attestations proof (c) requires: each listed
    /// instance, and each known incarnation that is not removed. `None` before
    /// the first read of the list, because any number of instances may still be
    /// unknown then.
    #[must_use]
    pub fn required_attesters(&self, now: Instant) -> Option<RequiredAttesters> {
        let list_read_started = self.list_read_started?;
        let incarnations = self.remaining_incarnations(now);
        let uncontacted = self.entries.iter();
        let uncontacted =
            uncontacted.filter(|(_name, entry)| entry.listed && entry.incarnation.is_none());
        Some(RequiredAttesters {
            latest_proof_time: if incarnations.is_empty() {
                list_read_started
            } else {
                now
            },
            incarnations,
            uncontacted: uncontacted
                .map(|(instance, _entry)| instance.clone())
                .collect(),
        })
    }

    /// Evicts removed instances, and incarnations that were replaced or are only
    /// known from reports, once `settled` returns `true` for the incarnation.
    pub fn prune(&mut self, now: Instant, settled: &dyn Fn(&IncarnationId) -> bool) {
        self.other_incarnations
            .retain(|incarnation| !settled(incarnation));
        self.entries.retain(|_instance, entry| {
            let done = entry.incarnation.as_ref().is_none_or(settled);
            !(entry.is_removed(now) && done)
        });
    }
}
