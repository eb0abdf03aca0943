//! A simulated fleet of ledgers that exchange messages in memory, with checks
//! of the invariants in section 5 of the design document.

mod checks;
mod faults;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{
    CounterUpdate, FenceReport, GenerationRecord, LimitPlan, RateDecision, ReceiveOutcome,
    RightsLedger, TOTAL_SHARES,
};
use tarragonpulley_policy::units::{BurstSize, RequestRate, SlotCount};

/// Time for which a read of the record permits admissions, as in section 6 of
/// the design document.
const PROOF_LIFETIME: Duration = Duration::from_millis(2500);
/// Added to [`PROOF_LIFETIME`] before granted shares become usable.
const MARGIN: Duration = Duration::from_millis(100);
const NANOS: u128 = 1_000_000_000;

pub(crate) fn rate(rate: u32, burst: u32) -> LimitPlan {
    LimitPlan::Rate {
        rate: RequestRate::per_second(rate),
        burst: BurstSize::new(burst),
    }
}

pub(crate) fn slots(count: u32) -> LimitPlan {
    LimitPlan::Slots(SlotCount::new(count))
}

pub(crate) fn limit(text: &str) -> LimitKey {
    text.parse().unwrap()
}

pub(crate) fn incarnation(index: usize, number: u64) -> IncarnationId {
    format!("i{index:02}#{number}").parse().unwrap()
}

/// The plans that a run switches between. The second lacks limits that the
/// others have; the third adds one.
pub(crate) fn plans(version: usize) -> BTreeMap<LimitKey, LimitPlan> {
    let sets: [&[(&str, LimitPlan)]; 3] = [
        &[
            ("team:c/large", rate(300, 60)),
            ("team:c/small", rate(20, 2)),
            // Its refill takes longer than the delay of a grant.
            ("team:c/slow", rate(10, 100)),
            ("server:c/s/one", slots(3)),
            ("region:c/north", slots(30)),
        ],
        &[
            ("team:c/large", rate(100, 90)),
            ("server:c/s/one", slots(4)),
            ("region:c/north", slots(17)),
        ],
        &[
            ("team:c/large", rate(200, 30)),
            ("team:c/small", rate(40, 5)),
            ("team:c/slow", rate(10, 100)),
            ("team:c/later", rate(50, 25)),
            ("server:c/s/one", slots(2)),
            ("region:c/north", slots(30)),
        ],
    ];
    let set = sets[version % sets.len()].iter();
    set.map(|(key, plan)| (limit(key), *plan)).collect()
}

fn rate_of(plan: &LimitPlan) -> (u128, u128) {
    match plan {
        LimitPlan::Rate { rate, burst } => (rate.get().into(), burst.get().into()),
        LimitPlan::Slots(_) => (0, 0),
    }
}

/// A token bucket for the whole fleet. An admission that finds it empty
/// violates `admitted <= rate * t + burst` in some time window.
struct FleetBucket {
    level: u128,
    rate: u128,
    burst: u128,
    updated: Instant,
}

impl FleetBucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.updated).as_nanos();
        self.level = (self.level + elapsed * self.rate).min(self.burst * NANOS);
        self.updated = now;
    }
}

pub(crate) struct Node {
    pub(crate) ledger: RightsLedger,
    pub(crate) paused: bool,
    /// The process was killed and isn't restarted yet.
    killed: bool,
    plan: usize,
    proved_at: Option<Instant>,
    used_slots: Vec<Vec<LimitKey>>,
}

struct Message {
    from: IncarnationId,
    to: usize,
    update: CounterUpdate,
}

pub(crate) struct SimulatedFleet {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) admitted: u64,
    pub(crate) rejected: u64,
    pub(crate) reclaims: usize,
    pub(crate) generations: usize,
    messages: Vec<Message>,
    record: Option<(GenerationRecord, Instant)>,
    reports: BTreeMap<IncarnationId, FenceReport>,
    removed: BTreeSet<IncarnationId>,
    stopped: BTreeSet<IncarnationId>,
    /// Received shares by sender, receiver and limit.
    received: BTreeMap<(IncarnationId, IncarnationId, LimitKey), u64>,
    buckets: BTreeMap<LimitKey, FleetBucket>,
    newest_plan: usize,
}

impl SimulatedFleet {
    pub(crate) fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            nodes: Vec::new(),
            admitted: 0,
            rejected: 0,
            reclaims: 0,
            generations: 0,
            messages: Vec::new(),
            record: None,
            reports: BTreeMap::new(),
            removed: BTreeSet::new(),
            stopped: BTreeSet::new(),
            received: BTreeMap::new(),
            buckets: BTreeMap::new(),
            newest_plan: 0,
        };
        for index in 0..count {
            let ledger = RightsLedger::new(incarnation(index, 1));
            fleet.nodes.push(Node {
                ledger,
                paused: false,
                killed: false,
                plan: 0,
                proved_at: None,
                used_slots: Vec::new(),
            });
            fleet.configure(index, 0);
        }
        fleet
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.now += step;
    }

    fn may_spend(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let is_current = |at: Instant| self.now.duration_since(at) < PROOF_LIFETIME;
        !node.paused && !node.killed && node.proved_at.is_some_and(is_current)
    }

    fn is_running(&self, index: usize) -> bool {
        !self.nodes[index].paused && !self.nodes[index].killed
    }

    pub(crate) fn configure(&mut self, index: usize, version: usize) {
        if self.is_running(index) {
            let node = &mut self.nodes[index];
            node.plan = version;
            node.ledger.configure(&plans(version), self.now);
            self.refresh_buckets();
        }
    }

    /// Configures a node with the newest plan. With `begin`, advances the newest
    /// plan first if all nodes have it.
    pub(crate) fn change_plan(&mut self, index: usize, begin: bool) {
        if begin && self.nodes.iter().all(|n| n.plan == self.newest_plan) {
            self.newest_plan += 1;
        }
        self.configure(index, self.newest_plan);
    }

    /// Sets each fleet bucket to the largest rate and burst in force at any
    /// node.
    fn refresh_buckets(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.now);
            (bucket.rate, bucket.burst) = (0, 0);
        }
        for version in self.nodes.iter().map(|n| n.plan) {
            for (limit, plan) in plans(version) {
                let (rate, burst) = rate_of(&plan);
                let bucket = self.buckets.entry(limit).or_insert(FleetBucket {
                    level: burst * NANOS,
                    rate,
                    burst,
                    updated: self.now,
                });
                bucket.rate = bucket.rate.max(rate);
                bucket.burst = bucket.burst.max(burst);
            }
        }
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.now);
        }
    }

    pub(crate) fn admit(&mut self, index: usize, limit: &LimitKey) {
        if !self.may_spend(index) {
            return;
        }
        match self.nodes[index].ledger.admit(limit, self.now) {
            RateDecision::Admitted => {
                self.admitted += 1;
                let bucket = self.buckets.get_mut(limit).unwrap();
                bucket.refill(self.now);
                assert!(
                    bucket.level >= NANOS,
                    "{limit}: admitted more than rate * t + burst"
                );
                bucket.level -= NANOS;
            }
            RateDecision::NoToken { .. } => self.rejected += 1,
            RateDecision::Unknown => {}
        }
    }

    /// Reads the record and spends all tokens of a limit.
    pub(crate) fn flood(&mut self, index: usize, limit: &LimitKey) {
        self.read_record(index);
        let rejected = self.rejected;
        while self.rejected == rejected && self.may_spend(index) {
            let admitted = self.admitted;
            self.admit(index, limit);
            if self.admitted == admitted {
                break;
            }
        }
    }

    pub(crate) fn take_slots(&mut self, index: usize, limits: &[LimitKey]) {
        if !self.may_spend(index) || !self.nodes[index].ledger.take_slots(limits) {
            return;
        }
        let node = &mut self.nodes[index];
        node.used_slots.push(limits.to_vec());
        for limit in limits {
            let Some(LimitPlan::Slots(slots)) = plans(node.plan).get(limit).copied() else {
                panic!("{limit}: took a slot, but the plan has no such slot limit");
            };
            let shares = u128::from(node.ledger.shares(limit));
            let allowed = shares * u128::from(slots.get()) / u128::from(TOTAL_SHARES);
            let running = node.ledger.running(limit);
            assert!(
                u128::from(running) <= allowed,
                "{limit}: {running} slots in use, the shares allow {allowed}"
            );
        }
    }

    pub(crate) fn release(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let (false, Some(limits)) = (node.paused || node.killed, node.used_slots.pop()) {
            node.ledger.release_slots(&limits);
        }
    }

    /// Asks a peer for shares. The response is queued as a message.
    pub(crate) fn ask(&mut self, requester: usize, sender: usize, limit: &LimitKey) {
        if requester == sender || !self.is_running(requester) || !self.is_running(sender) {
            return;
        }
        let own = self.nodes[requester].ledger.incarnation().clone();
        if let Some(request) = self.nodes[requester].ledger.share_request(limit, self.now) {
            let ledger = &mut self.nodes[sender].ledger;
            ledger.transfer_on_request(&own, limit, &request, self.now);
            self.send(sender, requester, false);
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, all: bool) {
        if from == to || !self.is_running(from) {
            return;
        }
        let ledger = &self.nodes[from].ledger;
        let peer = self.nodes[to].ledger.incarnation();
        let mut update = ledger.counters_since_ack(peer);
        if all {
            update.counters = ledger.counters_for(peer);
        }
        let from = ledger.incarnation().clone();
        self.messages.push(Message { from, to, update });
    }

    /// Delivers one of the messages. With `keep`, it stays queued and may be
    /// delivered again.
    pub(crate) fn deliver(&mut self, choice: usize, keep: bool, acknowledge: bool) {
        if self.messages.is_empty() {
            return;
        }
        let choice = choice % self.messages.len();
        let (to, from) = (self.messages[choice].to, self.messages[choice].from.clone());
        if !self.is_running(to) {
            return;
        }
        let update = self.messages[choice].update.clone();
        let ledger = &mut self.nodes[to].ledger;
        let receiver = ledger.incarnation().clone();
        let outcome = ledger.receive(&from, &update.counters, self.now);
        if matches!(outcome, ReceiveOutcome::Applied { .. }) {
            for (limit, counter) in &update.counters {
                let pair = (from.clone(), receiver.clone(), limit.clone());
                self.received.insert(pair, counter.shares);
            }
            let sender = self
                .nodes
                .iter_mut()
                .find(|n| *n.ledger.incarnation() == from);
            if let (true, Some(sender)) = (acknowledge, sender) {
                sender.ledger.acknowledge(&receiver, update.last_change);
            }
        }
        if !keep {
            self.messages.swap_remove(choice);
        }
        let sender = self
            .nodes
            .iter()
            .position(|n| *n.ledger.incarnation() == from);
        if let (ReceiveOutcome::Fenced, true, Some(sender)) = (outcome, acknowledge, sender)
            && self.is_running(sender)
        {
            self.replace_incarnation(sender);
        }
    }

    pub(crate) fn drop_message(&mut self, choice: usize) {
        if !self.messages.is_empty() {
            let choice = choice % self.messages.len();
            self.messages.swap_remove(choice);
        }
    }

    pub(crate) fn rebalance(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let now = self.now;
        let nodes = self.nodes.iter_mut().enumerate();
        let peers = nodes.filter(|(i, n)| *i != index && !n.killed);
        let peers = peers
            .map(|(_, n)| (n.ledger.incarnation().clone(), n.ledger.summary(now)))
            .collect();
        self.nodes[index].ledger.rebalance(&peers, now);
    }

    /// All nodes read the record, rebalance, and deliver their counters to all
    /// others.
    pub(crate) fn heartbeat_round(&mut self) {
        let count = self.nodes.len();
        for index in 0..count {
            self.read_record(index);
            self.rebalance(index);
        }
        for index in 0..count * count {
            self.send(index / count, index % count, false);
            let newest = self.messages.len().saturating_sub(1);
            self.deliver(newest, false, true);
        }
    }

    pub(crate) fn transfer_all(&mut self, from: usize, to: usize) {
        if from != to && self.is_running(from) {
            let peer = self.nodes[to].ledger.incarnation().clone();
            self.nodes[from].ledger.transfer_all(&peer, self.now);
        }
    }
}
