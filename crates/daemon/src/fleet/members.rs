//! The views of the entry instances for lookups and operators.

use tarragonpulley_policy::facts::FactKey;
use tarragonpulley_policy::ids::{IncarnationId, InstanceName};
use tarragonpulley_policy::membership::{MemberEntry, MemberState};
use tarragonpulley_policy::units::ConfigRevision;

use super::core::FleetCore;
use crate::interfaces::{MemberSource, MemberView};

impl FleetCore {
    pub(super) fn has_announced_leaving(&self, incarnation: &IncarnationId) -> bool {
        let key = FactKey::InstanceLeaving(incarnation.clone());
        self.facts.borrow().get(&key).is_some()
    }

    fn own_view(&self) -> MemberView {
        let own = self.own().clone();
        MemberView {
            leaving: self.has_announced_leaving(&own),
            instance: own.instance.clone(),
            centre: self.place.centre.clone(),
            service_address: self.place.service_address,
            reachable: true,
            revision: self.revision(),
            incarnation: Some(own),
        }
    }

    fn view_of(&self, instance: &InstanceName, entry: &MemberEntry) -> MemberView {
        let now = self.now();
        let stated = entry.incarnation.as_ref();
        let leaving = stated.is_some_and(|incarnation| self.has_announced_leaving(incarnation));
        MemberView {
            incarnation: entry.incarnation.clone(),
            instance: instance.clone(),
            centre: entry.place.centre.clone(),
            service_address: entry.place.service_address,
            reachable: entry.is_reachable(now),
            leaving: leaving || entry.state(now) == MemberState::Leaving,
            revision: self.revision_of(instance),
        }
    }

    fn revision_of(&self, instance: &InstanceName) -> ConfigRevision {
        let peers = self.peers.borrow();
        peers
            .get(instance)
            .map(|peer| peer.revision)
            .unwrap_or_default()
    }
}

impl MemberSource for FleetCore {
    fn members(&self) -> Vec<MemberView> {
        let now = self.now();
        let table = self.members.borrow();
        let members = table
            .iter()
            .filter(|(_name, entry)| entry.state(now) != MemberState::Removed);
        let mut views: Vec<MemberView> = members
            .map(|(instance, entry)| self.view_of(instance, entry))
            .collect();
        views.push(self.own_view());
        views.sort_by(|a, b| a.instance.cmp(&b.instance));
        views
    }
}
