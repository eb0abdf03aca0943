//! Checks of shares and slots, and the recovery at the end of a run.

use std::collections::BTreeSet;

use tarragonpulley_policy::ids::LimitKey;
use tarragonpulley_policy::rights::{LimitPlan, TOTAL_SHARES};

use super::{MARGIN, Node, PROOF_LIFETIME, SimulatedFleet, plans};

impl SimulatedFleet {
    /// Shares of a limit that are held or in flight.
    pub(crate) fn shares_in_circulation(&self, limit: &LimitKey) -> u64 {
        let number = self.record.as_ref().map(|(record, _)| record.number);
        let live: Vec<_> = self
            .nodes
            .iter()
            .map(|n| &n.ledger)
            .filter(|l| l.generation() == number && !self.removed.contains(l.incarnation()))
            .collect();
        let mut sum = 0;
        for sender in &live {
            sum += sender.shares(limit);
            for receiver in &live {
                let given = sender
                    .counters_for(receiver.incarnation())
                    .get(limit)
                    .copied();
                let pair = (
                    sender.incarnation().clone(),
                    receiver.incarnation().clone(),
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
            let shares = self.shares_in_circulation(&limit);
            assert!(
                shares <= TOTAL_SHARES,
                "{limit}: {shares} shares in circulation"
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
        // Running requests outlive a reduction of the plan, so the largest plan
        // of the run is the maximum here; `take_slots` asserts the current one.
        let Some(max_slots) = counts.max() else {
            return;
        };
        let usable = self.record.as_ref().map(|(_, usable)| *usable);
        // The delay of a grant or a generation covers the deadline of requests
        // that a paused incarnation started before.
        let number = self.record.as_ref().map(|(record, _)| record.number);
        let ended = |n: &Node| {
            let removed =
                self.removed.contains(n.ledger.incarnation()) || n.ledger.generation() != number;
            removed && usable.is_some_and(|at| self.now >= at)
        };
        let nodes = self.nodes.iter().filter(|n| !n.killed && !ended(n));
        let running: u32 = nodes.map(|n| n.ledger.running(limit)).sum();
        assert!(
            running <= max_slots,
            "{limit}: {running} of {max_slots} slots in use"
        );
    }

    /// Resumes and restarts all nodes, reclaims the shares of removed
    /// incarnations and delivers all counters. No share may be missing
    /// afterwards.
    pub(crate) fn recover_all(&mut self) {
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
                self.read_record(index);
                self.configure(index, self.newest_plan);
            }
            for index in 0..count {
                self.fence(index);
            }
            let reports = std::mem::take(&mut self.reports);
            let fenced: BTreeSet<_> = reports.into_values().flat_map(|r| r.fenced).collect();
            for index in 0..count {
                if fenced.contains(self.nodes[index].ledger.incarnation()) {
                    self.replace_incarnation(index);
                    self.read_record(index);
                    self.configure(index, self.newest_plan);
                }
            }
            (0..count).for_each(|index| self.fence(index));
            self.reclaim(0);
            self.advance(PROOF_LIFETIME + MARGIN);
            for index in 0..count {
                self.read_record(index);
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
