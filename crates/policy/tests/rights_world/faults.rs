//! Pauses, crashes, fencing, reclaims and new generations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{AdoptOutcome, GenerationRecord, RightsLedger, plan_reclaim};

use super::{MARGIN, PROOF_LIFETIME, SimulatedFleet, incarnation};

impl SimulatedFleet {
    /// The sender of a transfer crashes, all others fence it, and only then the
    /// transfer arrives.
    pub(crate) fn crash_after_transfer(&mut self, from: usize, to: usize) {
        if from == to || !self.is_running(from) || !self.is_running(to) {
            return;
        }
        self.transfer_all(from, to);
        self.send(from, to, false);
        self.kill(from);
        (0..self.nodes.len()).for_each(|index| self.fence(index));
        let newest = self.messages.len().saturating_sub(1);
        self.deliver(newest, true, true);
        self.reclaim(to);
    }

    /// A process crashes after all nodes spent their tokens. Its shares are
    /// reclaimed and spent as soon as they are usable.
    pub(crate) fn crash_without_tokens(&mut self, from: usize, to: usize, limit: &LimitKey) {
        if from == to || !self.is_running(from) || !self.is_running(to) {
            return;
        }
        let count = self.nodes.len();
        (0..count).for_each(|index| self.flood(index, limit));
        self.kill(from);
        (0..count).for_each(|index| self.fence(index));
        self.reclaim(to);
        self.advance(PROOF_LIFETIME + MARGIN);
        (0..count).for_each(|index| self.flood(index, limit));
    }

    /// A restarted process reaches no other and begins a generation while the
    /// others are paused; then they resume.
    pub(crate) fn pause_others(&mut self, index: usize) {
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        others.clone().for_each(|other| self.pause(other));
        self.kill(index);
        self.restart(index);
        self.reclaim(index);
        self.read_record(index);
        self.advance(PROOF_LIFETIME + MARGIN);
        others.for_each(|other| self.resume(other));
    }

    pub(crate) fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    pub(crate) fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
    }

    pub(crate) fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.killed {
            node.killed = true;
            node.used_slots.clear();
            self.stopped.insert(node.ledger.incarnation().clone());
        }
    }

    /// Restarts a killed process as a new incarnation.
    pub(crate) fn restart(&mut self, index: usize) {
        if self.nodes[index].killed {
            let own = self.nodes[index].ledger.incarnation();
            let next = incarnation(index, own.number + 1);
            let node = &mut self.nodes[index];
            node.ledger = RightsLedger::new(next);
            (node.killed, node.paused, node.proved_at) = (false, false, None);
            self.configure(index, self.newest_plan);
        }
    }

    /// Reads and adopts the generation record, which proves the configuration.
    pub(crate) fn read_record(&mut self, index: usize) {
        let Some((record, usable)) = self.record.clone() else {
            return;
        };
        if !self.is_running(index) {
            return;
        }
        let node = &mut self.nodes[index];
        node.proved_at = Some(self.now);
        let before = node.ledger.generation();
        if before.is_some_and(|number| number < record.number) {
            // It was paused beyond the deadlines of its requests.
            for limits in std::mem::take(&mut node.used_slots) {
                node.ledger.release_slots(&limits);
            }
        }
        if node.ledger.adopt(&record, usable, self.now) == AdoptOutcome::Fenced {
            self.replace_incarnation(index);
            let ledger = &mut self.nodes[index].ledger;
            ledger.adopt(&record, usable, self.now);
        }
    }

    /// Cancels the requests of a process that is fenced, and continues it as a
    /// new incarnation.
    pub(super) fn replace_incarnation(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for limits in std::mem::take(&mut node.used_slots) {
            node.ledger.release_slots(&limits);
        }
        let own = node.ledger.incarnation().clone();
        let next = incarnation(index, own.number + 1);
        node.ledger = node.ledger.restarted(next);
        self.stopped.insert(own);
    }

    /// A running node fences all killed and paused incarnations and reports.
    pub(crate) fn fence(&mut self, index: usize) {
        if self.is_running(index) {
            let unreachable = self.unreachable();
            let report = self.nodes[index].ledger.fence(&unreachable);
            let own = self.nodes[index].ledger.incarnation().clone();
            self.reports.insert(own, report);
        }
    }

    /// All incarnations of the generation that are killed, paused or removed.
    pub(super) fn unreachable(&self) -> BTreeSet<IncarnationId> {
        let paused = self.nodes.iter().filter(|n| n.paused && !n.killed);
        let paused = paused.map(|n| n.ledger.incarnation().clone());
        let unreachable = self.stopped.iter().cloned().chain(paused);
        unreachable.chain(self.removed.iter().cloned()).collect()
    }

    /// Commits a reclaim if all survivors have reported. Begins a new generation
    /// if there is none, or if the recipient is the only survivor and hasn't
    /// adopted the current one.
    pub(crate) fn reclaim(&mut self, recipient: usize) {
        let usable = self.now + PROOF_LIFETIME + MARGIN;
        if !self.is_running(recipient) {
            return;
        }
        let own = self.nodes[recipient].ledger.incarnation().clone();
        let Some((record, _)) = &self.record else {
            self.begin_generation(1, own, usable);
            return;
        };
        let survivors = (0..self.nodes.len()).filter(|i| self.is_running(*i));
        let survivors: BTreeSet<_> = survivors
            .map(|i| self.nodes[i].ledger.incarnation().clone())
            .collect();
        let joined = self.nodes[recipient].ledger.generation() == Some(record.number);
        if survivors.len() == 1 && !joined {
            let number = record.number + 1;
            self.begin_generation(number, own, usable);
            return;
        }
        let reports = self.reports.clone().into_iter();
        let reports: BTreeMap<_, _> = reports.filter(|(r, _)| survivors.contains(r)).collect();
        if reports.len() < survivors.len() {
            return;
        }
        // A resumed process that a survivor has fenced counts as unreachable.
        let fenced = reports.values().flat_map(|r| r.fenced.iter().cloned());
        let fenced: BTreeSet<_> = fenced.chain(self.unreachable()).collect();
        if fenced
            .iter()
            .any(|unreachable| survivors.contains(unreachable))
        {
            return;
        }
        let Ok(reclaim) = plan_reclaim(record, &fenced, &own, &reports) else {
            return;
        };
        self.removed.extend(reclaim.dead.iter().cloned());
        self.reclaims += 1;
        if let Some((record, usable_from)) = &mut self.record {
            record.reclaims.push(reclaim);
            *usable_from = usable;
        }
    }

    pub(super) fn begin_generation(&mut self, number: u64, own: IncarnationId, usable: Instant) {
        let record = GenerationRecord {
            number,
            first_holder: own,
            reclaims: Vec::new(),
        };
        self.record = Some((record, usable));
        self.generations += 1;
        self.removed.clear();
        // Peers may still transfer shares to a process that isn't restarted yet.
        let killed = self.nodes.iter().filter(|n| n.killed);
        self.stopped = killed.map(|n| n.ledger.incarnation().clone()).collect();
        self.reports.clear();
        self.received.clear();
    }
}
