//! Leaving the fleet.

use std::time::{Duration, Instant};

use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::IncarnationId;

use super::core::FleetCore;

/// Time between two attempts to hand over the shares of slots that have become
/// free since.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(50);

impl FleetCore {
    pub(super) fn is_leaving(&self) -> bool {
        let own = self.own().clone();
        self.states_leaving(&own)
    }

    /// Tells the peers that this instance leaves, gives them all its rights and
    /// waits for their acknowledgement, `limit` at most.
    pub(super) async fn leave_within(&self, limit: Duration) -> bool {
        let own = self.own().clone();
        let fact = FactKey::InstanceLeaving(own.clone());
        self.state_fact(fact, FactValue::Flag, true);
        self.record_event("instance_leaving", &own.to_string(), "");
        let end = self.now() + limit;
        self.wait_at_most(limit, Self::all_told).await;
        let told_at = self.now();
        let heir = self.heir();
        loop {
            let emptied = self.hand_over(heir.as_ref());
            let done = |core: &Self| {
                core.all_told()
                    && core.rights_acknowledged(heir.as_ref())
                    && core.all_heard_since(told_at)
            };
            let left = end.saturating_duration_since(self.now());
            let done = self.wait_at_most(left.min(HANDOVER_INTERVAL), done).await;
            if emptied && done {
                return true;
            }
            if left.is_zero() {
                return false;
            }
            if done {
                tokio::time::sleep(left.min(HANDOVER_INTERVAL)).await;
            }
        }
    }

    /// Whether each answering peer has sent a heartbeat since `told`. It brings
    /// what the peer gave this instance before it knew that it leaves.
    fn all_heard_since(&self, told: Instant) -> bool {
        let now = self.now();
        let (members, peers) = (self.members.borrow(), self.peers.borrow());
        let mut answering = members
            .iter()
            .filter(|(_name, entry)| entry.is_reachable(now));
        answering.all(|(name, _entry)| {
            let sent = peers.get(name).and_then(|peer| peer.heartbeat_at);
            sent.is_some_and(|sent| sent > told)
        })
    }

    /// The peer that takes the rights: one of this region if possible.
    fn heir(&self) -> Option<IncarnationId> {
        let near = self.near_peers();
        let peers = self.peer_summaries();
        let mut peers: Vec<_> = peers.into_keys().collect();
        peers.sort_by_key(|peer| !near.contains(peer));
        peers.into_iter().next()
    }

    /// Gives the heir what can be given now; returns whether nothing is left.
    fn hand_over(&self, heir: Option<&IncarnationId>) -> bool {
        let Some(heir) = heir.filter(|_| self.may_spend()) else {
            return true;
        };
        let now = self.now();
        let emptied = self.rights.borrow_mut().ledger.transfer_all(heir, now);
        if !self.rights_acknowledged(Some(heir)) {
            self.urgent_rights.set(true);
            self.wake_heartbeats();
        }
        emptied
    }

    fn rights_acknowledged(&self, heir: Option<&IncarnationId>) -> bool {
        let rights = self.rights.borrow();
        heir.is_none_or(|heir| rights.ledger.counters_since_ack(heir).counters.is_empty())
    }

    /// Whether each answering peer has heard the urgent facts.
    fn all_told(&self) -> bool {
        let now = self.now();
        let members = self.members.borrow();
        let mut answering = members
            .iter()
            .filter(|(_name, entry)| entry.is_reachable(now));
        answering.all(|(name, _entry)| !self.has_news_for(name))
    }
}
