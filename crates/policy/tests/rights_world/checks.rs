//! The checks of shares and slots, and the end of a run.

use std::collections::BTreeSet;

use tarragonpulley_policy::ids::LimitKey;
use tarragonpulley_policy::rights::{LimitPlan, TOTAL_SHARES};

use super::{MARGIN, Node, PROOF_LIFETIME, World, plans};

impl World {
    /// Shares that are held or on their way, per limit.
    pub(crate) fn shares_in_play(&self, limit: &LimitKey) -> u64 {
        let number = self.record.as_ref().map(|(record, _)| record.number);
        let live: Vec<_> = self
            .nodes
            .iter()
            .map(|n| &n.ledger)
            .filter(|l| l.generation() == number && !self.dead.contains(l.incarnation()))
            .collect();
        let mut sum = 0;
        for giver in &live {
            sum += giver.shares(limit);
            for taker in &live {
                let given = giver.counters_for(taker.incarnation()).get(limit).copied();
                let pair = (
                    giver.incarnation().clone(),
                    taker.incarnation().clone(),
                    limit.clone(),
                );
                let received = self.received.get(&pair).copied().unwrap_or(0);
                sum += given.map_or(0, |g| g.shares).saturating_sub(received);
            }
        }
        sum
    }

    /// Checks shares and slots after every step.
    pub(crate) fn check(&self) {
        let versions = 0..3;
        let limits: BTreeSet<_> = versions.flat_map(|v| plans(v).into_keys()).collect();
        for limit in limits {
            let shares = self.shares_in_play(&limit);
            assert!(
                shares <= TOTAL_SHARES,
                "{limit}: {shares} shares are in play"
            );
            self.check_slots(&limit);
        }
    }

    fn check_slots(&self, limit: &LimitKey) {
        let versions = 0..=self.newest_plan;
        let counts = versions.filter_map(|v| match plans(v).get(limit) {
            Some(LimitPlan::Slots(slots)) => Some(slots.get()),
            _ => None,
        });
        // Requests that run outlive a plan that shrinks, so the largest plan
        // of the run is the bound here; `take_slots` asserts the current one.
        let Some(most) = counts.max() else {
            return;
        };
        let usable = self.record.as_ref().map(|(_, usable)| *usable);
        // The margin of an award or a generation covers the deadline of a
        // request that a paused incarnation started before.
        let number = self.record.as_ref().map(|(record, _)| record.number);
        let ended = |n: &Node| {
            let lost =
                self.dead.contains(n.ledger.incarnation()) || n.ledger.generation() != number;
            lost && usable.is_some_and(|at| self.now >= at)
        };
        let nodes = self.nodes.iter().filter(|n| !n.killed && !ended(n));
        let running: u32 = nodes.map(|n| n.ledger.running(limit)).sum();
        assert!(
            running <= most,
            "{limit}: {running} slots of {most} are running"
        );
    }

    /// Brings everybody back, delivers everything and reclaims what the dead
    /// held. Afterwards no share may be missing.
    pub(crate) fn settle(&mut self) {
        let count = self.nodes.len();
        self.messages.clear();
        for index in 0..count {
            self.resume(index);
            self.restart(index);
        }
        if self.record.is_none() {
            self.reclaim(0);
        }
        for _ in 0..3 {
            self.newest_plan += 1;
            for index in 0..count {
                self.prove(index);
                self.configure(index, self.newest_plan);
            }
            for index in 0..count {
                self.fence(index);
            }
            let reports = std::mem::take(&mut self.reports);
            let fenced: BTreeSet<_> = reports.into_values().flat_map(|r| r.fenced).collect();
            for index in 0..count {
                if fenced.contains(self.nodes[index].ledger.incarnation()) {
                    self.retire(index);
                    self.prove(index);
                    self.configure(index, self.newest_plan);
                }
            }
            (0..count).for_each(|index| self.fence(index));
            self.reclaim(0);
            self.advance(PROOF_LIFETIME + MARGIN);
            for index in 0..count {
                self.prove(index);
                self.nodes[index].ledger.tick(self.now);
            }
        }
        for index in 0..count * count {
            self.send(index / count, index % count, false);
            self.deliver(0, false, true);
        }
        self.check();
    }
}
