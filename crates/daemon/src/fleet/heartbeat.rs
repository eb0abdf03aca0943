//! What heartbeats carry, and what becomes of it.

use std::collections::BTreeSet;
use std::time::Instant;

use tarragonpulley_policy::facts::FactKey;
use tarragonpulley_policy::freshness::{PeerStatement, RightsVersion};
use tarragonpulley_policy::ids::{IncarnationId, InstanceName};
use tarragonpulley_policy::membership::MemberPlace;
use tarragonpulley_policy::units::ConfigRevision;
use tarragonpulley_wire::peer::{
    FactEntry, HeartbeatAnswer, HeartbeatRequest, MAX_FACTS, PeerAnswer, WireError, read_facts,
    read_incarnations,
};

use super::core::FleetCore;
use super::peering::{PeerError, refused};

/// What this instance knows about a peer, and what the peer has of it.
#[derive(Debug, Default)]
pub(super) struct PeerRecord {
    /// Its incarnation when it answered last.
    pub(super) incarnation: Option<IncarnationId>,
    pub(super) revision: ConfigRevision,
    pub(super) rights: RightsVersion,
    /// The newest change of the fact store that it has.
    acked_facts: u64,
    /// Whether it knows this instance's place.
    introduced: bool,
    /// The incarnations that it was told of.
    told_known: BTreeSet<IncarnationId>,
    /// The revision that it was told of.
    told_revision: ConfigRevision,
}

/// What a heartbeat carried, to be noted once it is answered.
#[derive(Debug)]
pub(super) struct SentHeartbeat {
    own: IncarnationId,
    /// The receiver's incarnation that the contents were chosen for.
    to: Option<IncarnationId>,
    started: Instant,
    facts_through: u64,
    known: BTreeSet<IncarnationId>,
    revision: ConfigRevision,
}

impl FleetCore {
    /// What this instance says about its configuration now.
    fn statement(&self) -> PeerStatement {
        let config = self.config.borrow();
        PeerStatement {
            revision: config.freshness.revision(),
            rights: config.freshness.rights(),
            proof_age: config.freshness.proof(self.now()),
            based: config.freshness.is_based(),
        }
    }

    /// The next heartbeat to a peer.
    pub(super) fn build_heartbeat(&self, to: &InstanceName) -> (HeartbeatRequest, SentHeartbeat) {
        let started = self.now();
        let own = self.own().clone();
        let known = self.members.borrow().known();
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(to.clone()).or_default();
        let (facts, facts_through) = self.facts_for(to, peer.acked_facts);
        let told = known == peer.told_known;
        let statement = self.statement();
        let request = HeartbeatRequest {
            sender: (&own).into(),
            place: (!peer.introduced).then(|| (&self.place).into()),
            statement: statement.into(),
            stamp: self.stamp().into(),
            facts,
            known: if told {
                Vec::new()
            } else {
                known.iter().map(Into::into).collect()
            },
            counters: Vec::new(),
            all_summaries: false,
            summaries: Vec::new(),
        };
        let sent = SentHeartbeat {
            own,
            to: peer.incarnation.clone(),
            started,
            facts_through,
            known,
            revision: statement.revision,
        };
        (request, sent)
    }

    /// Facts after a change that a peer may lack, and the change that they
    /// reach to. Server reports go only from their reporter: they change every
    /// second, and relaying them would multiply the heartbeats' size by the
    /// number of instances.
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

    /// Whether a peer lacks something that it should get at once.
    pub(super) fn has_news_for(&self, instance: &InstanceName) -> bool {
        let peers = self.peers.borrow();
        let Some(peer) = peers.get(instance) else {
            return true;
        };
        self.urgent_facts.get() > peer.acked_facts
            || self.urgent_revision.get() > peer.told_revision
    }

    /// Whether an accepted change waits for this peer to have it.
    pub(super) fn is_spreading_to(&self, instance: &InstanceName) -> bool {
        let target = self.spreading.get();
        let peers = self.peers.borrow();
        target > ConfigRevision::default()
            && peers
                .get(instance)
                .is_some_and(|peer| peer.revision < target)
    }

    /// Whether a peer has a newer configuration or rights record.
    pub(super) fn is_behind(&self, instance: &InstanceName) -> bool {
        let peers = self.peers.borrow();
        let config = self.config.borrow();
        peers.get(instance).is_some_and(|peer| {
            peer.revision > config.freshness.revision() || peer.rights > config.freshness.rights()
        })
    }

    /// Takes over the answer to a heartbeat.
    pub(super) fn take_heartbeat_answer(
        &self,
        from: &InstanceName,
        answer: HeartbeatAnswer,
        sent: &SentHeartbeat,
    ) -> Result<(), PeerError> {
        let sender = IncarnationId::try_from(answer.sender).map_err(PeerError::Wire)?;
        if sender.instance != *from {
            let reason = format!("the address of {from} answers as {sender}");
            return Err(PeerError::Refused(reason));
        }
        // An answer to an earlier incarnation of this process proves nothing.
        if sent.own != *self.own() || self.is_fenced(&sender) {
            return Ok(());
        }
        self.observe_stamp(answer.stamp.into());
        let statement = PeerStatement::from(answer.statement);
        if !self.note_heard(&sender, None) {
            return Ok(());
        }
        self.note_statement(&sender, &statement);
        self.note_delivered(&sender, sent);
        let mut config = self.config.borrow_mut();
        config
            .freshness
            .peer_answered(&sender, statement, sent.started);
        drop(config);
        self.attest();
        self.progressed();
        Ok(())
    }

    /// Tries proof (c).
    pub(super) fn attest(&self) {
        let required = self.members.borrow().required(self.now());
        if let Some(required) = required {
            self.config.borrow_mut().freshness.attest(&required);
        }
    }

    /// Notes what a peer has now. A new incarnation got only the news for its
    /// predecessor, so it counts as having nothing.
    fn note_delivered(&self, to: &IncarnationId, sent: &SentHeartbeat) {
        if sent.to.as_ref().is_some_and(|known| known != to) {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(to.instance.clone()).or_default();
        peer.acked_facts = peer.acked_facts.max(sent.facts_through);
        peer.introduced = true;
        peer.told_known.clone_from(&sent.known);
        peer.told_revision = peer.told_revision.max(sent.revision);
    }

    /// Notes which incarnation of a peer speaks. A new one knows nothing.
    fn note_statement(&self, sender: &IncarnationId, statement: &PeerStatement) {
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

    fn note_heard(&self, sender: &IncarnationId, place: Option<&MemberPlace>) -> bool {
        let now = self.now();
        let mut members = self.members.borrow_mut();
        let listed = members
            .get(&sender.instance)
            .map(|entry| entry.place.clone());
        match place.or(listed.as_ref()) {
            Some(place) => members.heard(sender, place, now),
            None => false,
        }
    }

    /// Has the next heartbeat to a peer state everything again.
    pub(super) fn introduce_again(&self, instance: &InstanceName) {
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(instance.clone()).or_default();
        peer.introduced = false;
        peer.told_known.clear();
    }

    /// Serves a heartbeat of a peer.
    pub(super) fn serve_heartbeat(
        &self,
        request: HeartbeatRequest,
    ) -> Result<PeerAnswer, WireError> {
        let sender = IncarnationId::try_from(request.sender)?;
        let place = request.place.map(MemberPlace::try_from).transpose()?;
        let facts = read_facts(request.facts)?;
        let known = read_incarnations(request.known)?;
        if self.is_fenced(&sender) {
            return Ok(PeerAnswer::Fenced);
        }
        if !self.note_heard(&sender, place.as_ref()) {
            return Ok(refused("the sender is not known here, or was replaced"));
        }
        self.observe_stamp(request.stamp.into());
        let statement = PeerStatement::from(request.statement);
        self.note_statement(&sender, &statement);
        let mut members = self.members.borrow_mut();
        for incarnation in &known {
            members.heard_of(incarnation);
        }
        drop(members);
        self.merge_facts(&sender.instance, facts);
        if self.is_behind(&sender.instance) {
            self.wake_table_reader();
        }
        self.progressed();
        Ok(PeerAnswer::Heartbeat(HeartbeatAnswer {
            sender: (&*self.own()).into(),
            statement: self.statement().into(),
            stamp: self.stamp().into(),
            counters_applied: false,
        }))
    }

    /// Merges facts of a peer. What it just sent need not go back to it.
    fn merge_facts(
        &self,
        from: &InstanceName,
        facts: Vec<(FactKey, tarragonpulley_policy::facts::FactValue)>,
    ) {
        let before = self.facts.borrow().last_change();
        for (key, value) in facts {
            let urgent = matches!(key, FactKey::KeyWithdrawn(_) | FactKey::InstanceLeaving(_));
            self.state_fact(key, value, urgent);
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
