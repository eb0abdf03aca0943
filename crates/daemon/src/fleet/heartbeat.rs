//! Builds heartbeats, and handles received heartbeats and their responses.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use tarragonpulley_policy::facts::{FactKey, FactValue};
use tarragonpulley_policy::freshness::PeerStatement;
use tarragonpulley_policy::ids::{IncarnationId, InstanceName, LimitKey};
use tarragonpulley_policy::membership::MemberPlace;
use tarragonpulley_policy::rights::RightsSummary;
use tarragonpulley_policy::units::ConfigRevision;
use tarragonpulley_wire::peer::{
    FactEntry, HeartbeatRequest, HeartbeatResponse, MAX_FACTS, PeerResponse, SummaryEntry,
    WireError, counters_from_wire, counters_to_wire, facts_from_wire, incarnations_from_wire,
    summaries_from_wire,
};

use super::core::FleetCore;
use super::peer_record::{PeerRecord, changed_summaries};
use super::peering::{PeerError, rejected};

/// The contents of a sent heartbeat, recorded as delivered when the response arrives.
#[derive(Debug)]
pub(super) struct SentHeartbeat {
    own: IncarnationId,
    /// The incarnation of the receiver that the contents were selected for.
    to: Option<IncarnationId>,
    started: Instant,
    facts_through: u64,
    /// The last change of the transfer counters that it contains.
    last_change: u64,
    summaries: BTreeMap<LimitKey, RightsSummary>,
    known: BTreeSet<IncarnationId>,
    revision: ConfigRevision,
}

impl SentHeartbeat {
    /// The incarnation that sent the heartbeat.
    pub(super) const fn own(&self) -> &IncarnationId {
        &self.own
    }
}

impl FleetCore {
    /// The current statement of this instance about its configuration.
    fn statement(&self) -> PeerStatement {
        let config = self.config.borrow();
        PeerStatement {
            revision: config.freshness.revision(),
            rights: config.freshness.rights(),
            proof_age: config.freshness.proof_age(self.now()),
            ever_proved: config.freshness.was_ever_proved(),
        }
    }

    /// The next heartbeat to a peer.
    pub(super) fn build_heartbeat(&self, to: &InstanceName) -> (HeartbeatRequest, SentHeartbeat) {
        let started = self.now();
        let own = self.own().clone();
        let known = self.members.borrow().known_incarnations();
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(to.clone()).or_default();
        let (facts, facts_through) = self.facts_for(to, peer.acked_facts);
        let acked = known == peer.acked_known;
        let statement = self.statement();
        let mut rights = self.rights.borrow_mut();
        let to = peer.incarnation.clone();
        let update = to.as_ref().map(|to| rights.ledger.counters_since_ack(to));
        let update = update.unwrap_or_default();
        let current = rights.ledger.summary(started);
        drop(rights);
        let summaries = changed_summaries(&current, peer.acked_summaries.as_ref());
        let request = HeartbeatRequest {
            sender: (&own).into(),
            place: (!peer.introduced).then(|| (&self.place).into()),
            statement: statement.into(),
            stamp: self.stamp().into(),
            facts,
            known: if acked {
                Vec::new()
            } else {
                known.iter().map(Into::into).collect()
            },
            counters: counters_to_wire(&update.counters),
            all_summaries: peer.acked_summaries.is_none(),
            summaries: summaries
                .iter()
                .map(|(l, s)| SummaryEntry::new(l, s))
                .collect(),
        };
        let sent = SentHeartbeat {
            own,
            to,
            started,
            facts_through,
            last_change: update.last_change,
            summaries,
            known,
            revision: statement.revision,
        };
        (request, sent)
    }

    /// Facts that changed after `after` and that the peer may lack, and the last
    /// change that they cover. Only the reporter of a server report sends it:
    /// reports change every second, and relaying them would multiply the size of
    /// heartbeats by the number of instances.
    fn facts_for(&self, to: &InstanceName, after: u64) -> (Vec<FactEntry>, u64) {
        let own = self.own().instance.clone();
        let facts = self.facts.borrow();
        let mut through = after;
        let mut entries = Vec::new();
        for (change, key, value) in facts.changed_since(after, MAX_FACTS) {
            through = change;
            let relayed = match key {
                FactKey::ServerReport(_, reporter) => reporter.instance == own,
                FactKey::CrashCount(_, reporter) => reporter.instance != *to,
                _ => true,
            };
            if relayed {
                entries.push(FactEntry::new(key, value));
            }
        }
        (entries, through)
    }

    /// The statement in the response to a peer. It attests no proof to a peer that
    /// lacks urgent facts, such as key withdrawals that are not in the table yet.
    fn statement_for(&self, peer: &InstanceName) -> PeerStatement {
        let mut statement = self.statement();
        let peers = self.peers.borrow();
        let acked = peers.get(peer).map_or(0, |peer| peer.acked_facts);
        if self.urgent_facts.get() > acked {
            statement.proof_age = None;
            statement.ever_proved = false;
        }
        statement
    }

    /// Whether a peer lacks something that must be sent at once.
    pub(super) fn has_urgent_updates_for(&self, instance: &InstanceName) -> bool {
        let peers = self.peers.borrow();
        let Some(peer) = peers.get(instance) else {
            return true;
        };
        self.urgent_facts.get() > peer.acked_facts
            || self.urgent_revision.get() > peer.acked_revision
            || (self.urgent_rights.get() && self.has_unacked_transfers(peer.incarnation.as_ref()))
    }

    /// Whether the peer has transfers that it has not acknowledged.
    fn has_unacked_transfers(&self, to: Option<&IncarnationId>) -> bool {
        let rights = self.rights.borrow();
        to.is_some_and(|to| !rights.ledger.counters_since_ack(to).counters.is_empty())
    }

    /// Whether an accepted change waits for this peer to apply it.
    pub(super) fn is_propagating_to(&self, instance: &InstanceName) -> bool {
        let target = self.propagating.get();
        let peers = self.peers.borrow();
        target > ConfigRevision::default()
            && peers
                .get(instance)
                .is_some_and(|peer| peer.revision < target)
    }

    /// Whether a peer has a newer configuration or rights record than this instance.
    pub(super) fn is_behind(&self, instance: &InstanceName) -> bool {
        let peers = self.peers.borrow();
        let config = self.config.borrow();
        peers.get(instance).is_some_and(|peer| {
            peer.revision > config.freshness.revision() || peer.rights > config.freshness.rights()
        })
    }

    /// Handles the response to a heartbeat.
    pub(super) fn handle_heartbeat_response(
        &self,
        from: &InstanceName,
        response: HeartbeatResponse,
        sent: &SentHeartbeat,
    ) -> Result<(), PeerError> {
        let sender = IncarnationId::try_from(response.sender).map_err(PeerError::Wire)?;
        if sender.instance != *from {
            let reason = format!("the instance at the address of {from} identifies as {sender}");
            return Err(PeerError::Rejected(reason));
        }
        // A response to an earlier incarnation of this process proves nothing.
        if sent.own != *self.own() || self.is_fenced(&sender) {
            return Ok(());
        }
        self.observe_stamp(response.stamp.into());
        let statement = PeerStatement::from(response.statement);
        if !self.record_contact(&sender, None) {
            return Ok(());
        }
        self.record_statement(&sender, &statement);
        self.record_delivered(&sender, sent);
        if response.counters_applied && sent.to.as_ref() == Some(&sender) {
            let mut rights = self.rights.borrow_mut();
            rights.ledger.acknowledge(&sender, sent.last_change);
        }
        let mut config = self.config.borrow_mut();
        config
            .freshness
            .record_peer_response(&sender, statement, sent.started);
        drop(config);
        self.attest();
        self.notify_waiters();
        Ok(())
    }

    /// Tries to prove the configuration by attestation, which the freshness rules
    /// of the policy crate list as proof (c).
    pub(super) fn attest(&self) {
        let required = self.members.borrow().required_attesters(self.now());
        if let Some(required) = required {
            self.config
                .borrow_mut()
                .freshness
                .prove_by_attestation(&required);
        }
    }

    /// Records what a peer has after a delivered heartbeat. Nothing is recorded for a
    /// new incarnation, because it received only the changes since its predecessor's
    /// last heartbeat.
    fn record_delivered(&self, to: &IncarnationId, sent: &SentHeartbeat) {
        if sent.to.as_ref().is_some_and(|known| known != to) {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(to.instance.clone()).or_default();
        peer.acked_facts = peer.acked_facts.max(sent.facts_through);
        peer.introduced = true;
        peer.acked_known.clone_from(&sent.known);
        peer.acked_revision = peer.acked_revision.max(sent.revision);
        let acked = peer.acked_summaries.get_or_insert_default();
        acked.extend(sent.summaries.clone());
    }

    /// Records that it is unknown whether a peer received a heartbeat.
    pub(super) fn record_undelivered(&self, instance: &InstanceName) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(instance) {
            peer.acked_summaries = None;
        }
    }

    /// Records the incarnation and the versions of a peer. The record of a new
    /// incarnation starts empty.
    fn record_statement(&self, sender: &IncarnationId, statement: &PeerStatement) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(sender.instance.clone()).or_default();
        if peer.incarnation.as_ref() != Some(sender) {
            *peer = PeerRecord {
                incarnation: Some(sender.clone()),
                ..PeerRecord::default()
            };
        }
        peer.revision = peer.revision.max(statement.revision);
        peer.rights = peer.rights.max(statement.rights);
    }

    fn record_contact(&self, sender: &IncarnationId, place: Option<&MemberPlace>) -> bool {
        let now = self.now();
        let mut members = self.members.borrow_mut();
        let listed = members
            .get(&sender.instance)
            .map(|entry| entry.place.clone());
        match place.or(listed.as_ref()) {
            Some(place) => members.record_message(sender, place, now),
            None => false,
        }
    }

    /// Makes the next heartbeat to a peer contain the place and all known
    /// incarnations again.
    pub(super) fn reset_introduction(&self, instance: &InstanceName) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(instance.clone()).or_default();
        peer.introduced = false;
        peer.acked_known.clear();
    }

    /// Handles a heartbeat of a peer.
    pub(super) fn serve_heartbeat(
        &self,
        request: HeartbeatRequest,
    ) -> Result<PeerResponse, WireError> {
        let sender = IncarnationId::try_from(request.sender)?;
        let place = request.place.map(MemberPlace::try_from).transpose()?;
        let facts = facts_from_wire(request.facts)?;
        let known = incarnations_from_wire(request.known)?;
        let counters = counters_from_wire(request.counters)?;
        let summaries = summaries_from_wire(request.summaries)?;
        if self.is_fenced(&sender) {
            return Ok(PeerResponse::Fenced);
        }
        if !self.record_contact(&sender, place.as_ref()) {
            return Ok(rejected("the sender is not known here, or was replaced"));
        }
        self.observe_stamp(request.stamp.into());
        let statement = PeerStatement::from(request.statement);
        self.record_statement(&sender, &statement);
        for incarnation in &known {
            self.record_known_incarnation(incarnation);
        }
        self.merge_facts(&sender.instance, facts);
        let counters_applied = self.receive_rights(&sender, &counters);
        self.record_summaries(&sender.instance, summaries, request.all_summaries);
        if self.is_behind(&sender.instance) {
            self.wake_table_reader();
        }
        self.notify_waiters();
        Ok(PeerResponse::Heartbeat(HeartbeatResponse {
            sender: (&*self.own()).into(),
            statement: self.statement_for(&sender.instance).into(),
            stamp: self.stamp().into(),
            counters_applied,
        }))
    }

    fn record_summaries(
        &self,
        from: &InstanceName,
        summaries: BTreeMap<LimitKey, RightsSummary>,
        all: bool,
    ) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(from.clone()).or_default();
        peer.heartbeat_at = Some(self.now());
        if all {
            peer.summaries.clear();
        }
        peer.summaries.extend(summaries);
    }

    /// Merges the facts of a peer, and avoids sending them back to it.
    fn merge_facts(&self, from: &InstanceName, facts: Vec<(FactKey, FactValue)>) {
        let before = self.facts.borrow().last_change();
        for (key, value) in facts {
            let urgent = matches!(key, FactKey::KeyWithdrawn(_) | FactKey::InstanceLeaving(_));
            self.publish_fact(key, value, urgent);
        }
        let after = self.facts.borrow().last_change();
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get_mut(from)
            && peer.acked_facts == before
        {
            peer.acked_facts = after;
        }
    }
}
