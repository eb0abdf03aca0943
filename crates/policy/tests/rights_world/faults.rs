//! Pauses, deaths, fences, reclaims and generations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{AdoptOutcome, GenerationRecord, RightsLedger, plan_reclaim};

use super::{MARGIN, PROOF_LIFETIME, World, incarnation};

impl World {
    /// The giver dies, everybody fences it, and only then its gift arrives.
    pub(crate) fn die_giving(&mut self, from: usize, to: usize) {
        if from == to || !self.awake(from) || !self.awake(to) {
            return;
        }
        self.hand_over(from, to);
        self.send(from, to, false);
        self.kill(from);
        (0..self.nodes.len()).for_each(|index| self.fence(index));
        let newest = self.messages.len().saturating_sub(1);
        self.deliver(newest, true, true);
        self.reclaim(to);
    }

    /// A process dies with everybody's tokens spent; its shares are reclaimed
    /// and spent as soon as they are usable.
    pub(crate) fn die_spent(&mut self, from: usize, to: usize, limit: &LimitKey) {
        if from == to || !self.awake(from) || !self.awake(to) {
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

    /// A new process finds nobody and begins a generation while the others
    /// are stopped; then they go on.
    pub(crate) fn stop_all(&mut self, index: usize) {
        let others = (0..self.nodes.len()).filter(|other| *other != index);
        others.clone().for_each(|other| self.pause(other));
        self.kill(index);
        self.restart(index);
        self.reclaim(index);
        self.prove(index);
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
            node.taken.clear();
            self.gone.insert(node.ledger.incarnation().clone());
        }
    }

    /// Starts a killed process again, as a new incarnation.
    pub(crate) fn restart(&mut self, index: usize) {
        if self.nodes[index].killed {
            let own = self.nodes[index].ledger.incarnation();
            let next = incarnation(index, own.number + 1);
            let node = &mut self.nodes[index];
            node.ledger = RightsLedger::new(next);
            (node.killed, node.paused, node.proof) = (false, false, None);
            self.configure(index, self.newest_plan);
        }
    }

    /// Reads the generation record.
    pub(crate) fn prove(&mut self, index: usize) {
        let Some((record, usable)) = self.record.clone() else {
            return;
        };
        if !self.awake(index) {
            return;
        }
        let node = &mut self.nodes[index];
        node.proof = Some(self.now);
        let before = node.ledger.generation();
        if before.is_some_and(|number| number < record.number) {
            // Stopped for so long that the deadlines of its requests passed.
            for limits in std::mem::take(&mut node.taken) {
                node.ledger.release_slots(&limits);
            }
        }
        if node.ledger.adopt(&record, usable, self.now) == AdoptOutcome::Fenced {
            self.retire(index);
            let ledger = &mut self.nodes[index].ledger;
            ledger.adopt(&record, usable, self.now);
        }
    }

    /// A process that learns that it is fenced goes on as a new incarnation
    /// and cancels what runs.
    pub(super) fn retire(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for limits in std::mem::take(&mut node.taken) {
            node.ledger.release_slots(&limits);
        }
        let own = node.ledger.incarnation().clone();
        let next = incarnation(index, own.number + 1);
        node.ledger = node.ledger.restarted(next);
        self.gone.insert(own);
    }

    /// A survivor fences every killed or paused incarnation and reports.
    pub(crate) fn fence(&mut self, index: usize) {
        if self.awake(index) {
            let lost = self.lost();
            let report = self.nodes[index].ledger.fence(&lost);
            let own = self.nodes[index].ledger.incarnation().clone();
            self.reports.insert(own, report);
        }
    }

    /// All incarnations of the generation that are killed or paused.
    pub(super) fn lost(&self) -> BTreeSet<IncarnationId> {
        let paused = self.nodes.iter().filter(|n| n.paused && !n.killed);
        let paused = paused.map(|n| n.ledger.incarnation().clone());
        let lost = self.gone.iter().cloned().chain(paused);
        lost.chain(self.dead.iter().cloned()).collect()
    }

    /// Commits a reclaim if every survivor has reported, or a new generation
    /// if there is none.
    pub(crate) fn reclaim(&mut self, recipient: usize) {
        let usable = self.now + PROOF_LIFETIME + MARGIN;
        if !self.awake(recipient) {
            return;
        }
        let own = self.nodes[recipient].ledger.incarnation().clone();
        let Some((record, _)) = &self.record else {
            self.begin_generation(1, own, usable);
            return;
        };
        let survivors = (0..self.nodes.len()).filter(|i| self.awake(*i));
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
        // A resumed process that a survivor still refuses counts as lost.
        let fenced = reports.values().flat_map(|r| r.fenced.iter().cloned());
        let fenced: BTreeSet<_> = fenced.chain(self.lost()).collect();
        if fenced.iter().any(|lost| survivors.contains(lost)) {
            return;
        }
        let Ok(reclaim) = plan_reclaim(record, &fenced, &own, &reports) else {
            return;
        };
        self.dead.extend(reclaim.dead.iter().cloned());
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
        self.dead.clear();
        // A process that is not restarted yet may still be given something.
        let killed = self.nodes.iter().filter(|n| n.killed);
        self.gone = killed.map(|n| n.ledger.incarnation().clone()).collect();
        self.reports.clear();
        self.received.clear();
    }
}
