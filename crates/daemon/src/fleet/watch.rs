//! Timeline events for changes of the proof and of peers.

use std::collections::BTreeMap;

use tarragonpulley_policy::ids::{IncarnationId, InstanceName};
use tarragonpulley_policy::membership::MemberState;

use super::core::FleetCore;

/// The last recorded status of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PeerStatus {
    incarnation: Option<IncarnationId>,
    state: MemberState,
    reachable: bool,
}

/// The last recorded status of the proof and the peers, so that only changes are
/// recorded as events.
#[derive(Debug, Default)]
pub(super) struct StateWatch {
    proved: bool,
    peers: BTreeMap<InstanceName, PeerStatus>,
}

impl StateWatch {
    /// Records an event for each change since the last call.
    pub(super) fn record_changes(&mut self, core: &FleetCore) {
        let proved = core.proof_age().is_some();
        if std::mem::replace(&mut self.proved, proved) != proved {
            let kind = if proved { "proof_gained" } else { "proof_lost" };
            core.record_event(kind, &core.revision().to_string(), "");
        }
        let peers = core.peer_statuses();
        for (instance, seen) in &peers {
            if self.peers.get(instance) != Some(seen) {
                core.record_event("peer_seen", instance.as_str(), &describe(seen));
            }
        }
        for instance in self.peers.keys().filter(|name| !peers.contains_key(*name)) {
            core.record_event("peer_forgotten", instance.as_str(), "");
        }
        self.peers = peers;
    }
}

impl FleetCore {
    fn peer_statuses(&self) -> BTreeMap<InstanceName, PeerStatus> {
        let now = self.now();
        let members = self.members.borrow();
        let seen = members.iter().map(|(name, entry)| {
            let seen = PeerStatus {
                incarnation: entry.incarnation.clone(),
                state: entry.state(now),
                reachable: entry.is_reachable(now),
            };
            (name.clone(), seen)
        });
        seen.collect()
    }
}

fn describe(seen: &PeerStatus) -> String {
    let incarnation = seen.incarnation.as_ref();
    let incarnation = incarnation.map_or_else(|| "not heard from".to_owned(), ToString::to_string);
    let state = match seen.state {
        MemberState::Live => "live",
        MemberState::Leaving => "leaving",
        MemberState::Removed => "gone",
    };
    let reachability = if seen.reachable {
        "answering"
    } else {
        "silent"
    };
    format!("{incarnation}, {state}, {reachability}")
}
