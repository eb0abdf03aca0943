//! Which entry instances there are.
//!
//! The platform's list lags, and a silent instance may only be cut off, so
//! neither is enough to call an incarnation gone. It is gone when the list does
//! not show its instance and it does not answer, or when a newer incarnation
//! has its name.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::freshness::RequiredSet;
use crate::ids::{CentreName, IncarnationId, InstanceName};

/// An incarnation that has been silent for this long does not answer. Five
/// heartbeat intervals, so that one lost heartbeat does not count as silence.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Where an instance is and how it is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberPlace {
    /// Its data centre.
    pub centre: CentreName,
    /// Where callers reach it.
    pub service_address: SocketAddr,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
}

/// An instance as the platform's list shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMember {
    /// Its name.
    pub instance: InstanceName,
    /// Its place.
    pub place: MemberPlace,
    /// Whether it is about to be stopped.
    pub leaving: bool,
}

/// Whether an instance takes part in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It is running, or at least not known to be gone.
    Live,
    /// It is about to stop.
    Leaving,
    /// It has ended.
    Gone,
}

/// An instance as this table knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// Its place: from the list, or else from its own messages.
    pub place: MemberPlace,
    /// Whether the newest list shows it.
    pub listed: bool,
    /// Whether the list calls it leaving.
    pub leaving: bool,
    /// Its newest incarnation, once heard from.
    pub incarnation: Option<IncarnationId>,
    /// When the newest incarnation was heard from last.
    pub heard: Option<Instant>,
}

impl MemberEntry {
    const fn new(place: MemberPlace) -> Self {
        Self {
            place,
            listed: false,
            leaving: false,
            incarnation: None,
            heard: None,
        }
    }

    /// Whether it was heard from lately.
    #[must_use]
    pub fn answers(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < SILENCE_LIMIT)
    }

    fn gone(&self, now: Instant) -> bool {
        !self.listed && !self.answers(now)
    }

    /// Its state.
    #[must_use]
    pub fn state(&self, now: Instant) -> MemberState {
        match (self.gone(now), self.leaving) {
            (true, _) => MemberState::Gone,
            (false, true) => MemberState::Leaving,
            (false, false) => MemberState::Live,
        }
    }
}

/// All other instances that this one knows of.
#[derive(Debug, Clone)]
pub struct MemberTable {
    own: InstanceName,
    entries: BTreeMap<InstanceName, MemberEntry>,
    /// Incarnations that were replaced, or that only others heard from.
    others: BTreeSet<IncarnationId>,
    list_read: Option<Instant>,
}

impl MemberTable {
    /// Creates the table of the instance `own`, which is never an entry.
    #[must_use]
    pub const fn new(own: InstanceName) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            others: BTreeSet::new(),
            list_read: None,
        }
    }

    /// Takes over a reading of the platform's list that began at `started`.
    pub fn list_read(&mut self, listed: Vec<ListedMember>, started: Instant) {
        self.list_read = Some(started);
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for member in listed {
            if member.instance != self.own {
                self.take_listed(member);
            }
        }
    }

    fn take_listed(&mut self, member: ListedMember) {
        let entry = self
            .entries
            .entry(member.instance)
            .or_insert_with(|| MemberEntry::new(member.place.clone()));
        entry.place = member.place;
        entry.listed = true;
        entry.leaving = member.leaving;
    }

    /// Notes a message of `incarnation` at `now`. Returns `false`, and changes
    /// nothing, when a newer incarnation of the same instance is known or the
    /// instance is this one.
    pub fn heard(
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
                self.others.insert(known.clone());
            }
        }
        entry.incarnation = Some(incarnation.clone());
        entry.heard = Some(now);
        self.others.remove(incarnation);
        true
    }

    /// Notes an incarnation that a peer knows of.
    pub fn heard_of(&mut self, incarnation: &IncarnationId) {
        if incarnation.instance != self.own && !self.knows(incarnation) {
            self.others.insert(incarnation.clone());
        }
    }

    fn knows(&self, incarnation: &IncarnationId) -> bool {
        let entry = self.entries.get(&incarnation.instance);
        entry.is_some_and(|entry| entry.incarnation.as_ref() == Some(incarnation))
    }

    /// Every incarnation that this table knows of, gone or not.
    #[must_use]
    pub fn known(&self) -> BTreeSet<IncarnationId> {
        let newest = self.entries.values();
        let newest = newest.filter_map(|entry| entry.incarnation.clone());
        self.others.iter().cloned().chain(newest).collect()
    }

    /// The other instances, in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &MemberEntry)> {
        self.entries.iter()
    }

    /// One other instance.
    #[must_use]
    pub fn get(&self, instance: &InstanceName) -> Option<&MemberEntry> {
        self.entries.get(instance)
    }

    /// Whether the platform's list was ever read.
    #[must_use]
    pub const fn list_known(&self) -> bool {
        self.list_read.is_some()
    }

    /// Whether `incarnation` is gone.
    #[must_use]
    pub fn is_gone(&self, incarnation: &IncarnationId, now: Instant) -> bool {
        if incarnation.instance == self.own {
            return false;
        }
        let Some(entry) = self.entries.get(&incarnation.instance) else {
            // Only others heard from it. Without a list nothing shows its end.
            return self.list_known();
        };
        match &entry.incarnation {
            Some(known) if known.number > incarnation.number => true,
            _ => self.list_known() && entry.gone(now),
        }
    }

    /// The known incarnations that are gone.
    #[must_use]
    pub fn gone(&self, now: Instant) -> BTreeSet<IncarnationId> {
        let mut known = self.known();
        known.retain(|incarnation| self.list_known() && self.is_gone(incarnation, now));
        known
    }

    /// The known incarnations that are not gone.
    #[must_use]
    pub fn present(&self, now: Instant) -> BTreeSet<IncarnationId> {
        let gone = self.gone(now);
        self.known().difference(&gone).cloned().collect()
    }

    /// Whose attestations proof (c) needs: each listed instance, and each
    /// incarnation heard from that is not gone. `None` before the list was
    /// read, because any number of instances may be missing then.
    #[must_use]
    pub fn required(&self, now: Instant) -> Option<RequiredSet> {
        let list_read = self.list_read?;
        let incarnations = self.present(now);
        let unheard = self.entries.iter();
        let unheard = unheard.filter(|(_name, entry)| entry.listed && entry.incarnation.is_none());
        Some(RequiredSet {
            latest: if incarnations.is_empty() {
                list_read
            } else {
                now
            },
            incarnations,
            unheard: unheard.map(|(instance, _entry)| instance.clone()).collect(),
        })
    }

    /// Drops instances that are gone, and what is known of replaced ones, once
    /// `settled` accepts them.
    pub fn prune(&mut self, now: Instant, settled: &dyn Fn(&IncarnationId) -> bool) {
        self.others.retain(|incarnation| !settled(incarnation));
        self.entries.retain(|_instance, entry| {
            let done = entry.incarnation.as_ref().is_none_or(settled);
            !(entry.gone(now) && done)
        });
    }
}
