//! Orderly departure of an instance from the fleet.

use std::time::{Duration, Instant};

use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::ids::IncarnationId;

use super::core::FleetCore;

/// Interval between transfers of the shares of slots that have become free in the
/// meantime.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(50);

impl FleetCore {
    pub(super) fn is_leaving(&self) -> bool {
        let own = self.own().clone();
        self.has_announced_leaving(&own)
    }

    /// Announces that this instance leaves, transfers all its rights and waits for
    /// the acknowledgements, `timeout` at most. Returns whether they have arrived.
    pub(super) async fn leave_within(&self, timeout: Duration) -> bool {
        let own = self.own().clone();
        let fact = FactKey::InstanceLeaving(own.clone());
        self.publish_fact(fact, FactValue::Flag, true);
        self.record_event("instance_leaving", &own.to_string(), "");
        let deadline = self.now() + timeout;
        self.wait_with_timeout(timeout, Self::all_peers_updated)
            .await;
        let updated_at = self.now();
        let successor = self.successor();
        loop {
            let all_transferred = self.transfer_to_successor(successor.as_ref());
            let is_done = |core: &Self| {
                core.all_peers_updated()
                    && core.rights_acknowledged(successor.as_ref())
                    && core.all_heartbeats_since(updated_at)
            };
            let remaining = deadline.saturating_duration_since(self.now());
            let is_done = self
                .wait_with_timeout(remaining.min(TRANSFER_INTERVAL), is_done)
                .await;
            if all_transferred && is_done {
                return true;
            }
            if remaining.is_zero() {
                return false;
            }
            if is_done {
                tokio::time::sleep(remaining.min(TRANSFER_INTERVAL)).await;
            }
        }
    }

    /// Whether each reachable peer has sent a heartbeat after `since`. It contains
    /// the transfers to this instance from before the peer knew that it leaves.
    fn all_heartbeats_since(&self, since: Instant) -> bool {
        let now = self.now();
        let (members, peers) = (self.members.borrow(), self.peers.borrow());
        let mut reachable = members
            .iter()
            .filter(|(_name, entry)| entry.is_reachable(now));
        reachable.all(|(name, _entry)| {
            let sent = peers.get(name).and_then(|peer| peer.heartbeat_at);
            sent.is_some_and(|sent| sent > since)
        })
    }

    /// The peer that receives the rights, in this region if possible.
    fn successor(&self) -> Option<IncarnationId> {
        let near = self.peers_in_region();
        let peers = self.peer_summaries();
        let mut peers: Vec<_> = peers.into_keys().collect();
        peers.sort_by_key(|peer| !near.contains(peer));
        peers.into_iter().next()
    }

    /// Transfers to the successor what can be transferred now. Returns whether
    /// nothing is left.
    fn transfer_to_successor(&self, successor: Option<&IncarnationId>) -> bool {
        let Some(successor) = successor.filter(|_| self.may_spend()) else {
            return true;
        };
        let now = self.now();
        let all_transferred = self.rights.borrow_mut().ledger.transfer_all(successor, now);
        if !self.rights_acknowledged(Some(successor)) {
            self.urgent_rights.set(true);
            self.wake_heartbeats();
        }
        all_transferred
    }

    fn rights_acknowledged(&self, successor: Option<&IncarnationId>) -> bool {
        let rights = self.rights.borrow();
        successor.is_none_or(|successor| {
            rights
                .ledger
                .counters_since_ack(successor)
                .counters
                .is_empty()
        })
    }

    /// Whether each reachable peer has all urgent updates.
    fn all_peers_updated(&self) -> bool {
        let now = self.now();
        let members = self.members.borrow();
        let mut reachable = members
            .iter()
            .filter(|(_name, entry)| entry.is_reachable(now));
        reachable.all(|(name, _entry)| !self.has_urgent_updates_for(name))
    }
}
