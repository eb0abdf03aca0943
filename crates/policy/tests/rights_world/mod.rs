//! Ledgers that exchange messages in memory, and the checks of section 5.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{
    AdoptOutcome, CounterUpdate, FenceReport, GenerationRecord, LimitPlan, ReceiveOutcome,
    RightsLedger, RightsOutcome, TOTAL_SHARES, plan_reclaim,
};
use tarragonpulley_policy::units::{BurstSize, RequestRate, SlotCount};

/// How long a proof lasts, as in section 6.
const PROOF_LIFETIME: Duration = Duration::from_millis(2500);
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

/// The plans that a run switches between. The second lacks a limit that the
/// others have; the third adds one.
pub(crate) fn plans(version: usize) -> BTreeMap<LimitKey, LimitPlan> {
    let sets: [&[(&str, LimitPlan)]; 3] = [
        &[
            ("team:c/large", rate(300, 60)),
            ("team:c/small", rate(20, 2)),
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

/// A single bucket for the whole fleet: an admission that it cannot pay breaks
/// `admitted <= rate * t + burst` in some window.
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
    /// The process is gone for good; only its incarnation is remembered.
    killed: bool,
    plan: usize,
    proof: Option<Instant>,
    taken: Vec<Vec<LimitKey>>,
}

struct Message {
    from: IncarnationId,
    to: usize,
    update: CounterUpdate,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    pub(crate) reclaims: usize,
    pub(crate) generations: usize,
    messages: Vec<Message>,
    record: Option<(GenerationRecord, Instant)>,
    reports: BTreeMap<IncarnationId, FenceReport>,
    dead: BTreeSet<IncarnationId>,
    gone: BTreeSet<IncarnationId>,
    /// Shares received by pair and limit.
    received: BTreeMap<(IncarnationId, IncarnationId, LimitKey), u64>,
    buckets: BTreeMap<LimitKey, FleetBucket>,
    newest_plan: usize,
}

impl World {
    pub(crate) fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            nodes: Vec::new(),
            admitted: 0,
            refused: 0,
            reclaims: 0,
            generations: 0,
            messages: Vec::new(),
            record: None,
            reports: BTreeMap::new(),
            dead: BTreeSet::new(),
            gone: BTreeSet::new(),
            received: BTreeMap::new(),
            buckets: BTreeMap::new(),
            newest_plan: 0,
        };
        for index in 0..count {
            let ledger = RightsLedger::new(incarnation(index, 1));
            world.nodes.push(Node {
                ledger,
                paused: false,
                killed: false,
                plan: 0,
                proof: None,
                taken: Vec::new(),
            });
            world.configure(index, 0);
        }
        world
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.now += step;
    }

    fn may_spend(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let proved = |at: Instant| self.now.duration_since(at) < PROOF_LIFETIME;
        !node.paused && !node.killed && node.proof.is_some_and(proved)
    }

    fn awake(&self, index: usize) -> bool {
        !self.nodes[index].paused && !self.nodes[index].killed
    }

    pub(crate) fn configure(&mut self, index: usize, version: usize) {
        if self.awake(index) {
            let node = &mut self.nodes[index];
            node.plan = version;
            node.ledger.configure(&plans(version), self.now);
            self.refresh_buckets();
        }
    }

    /// Starts or goes on with the spread of the newest plan.
    pub(crate) fn change_plan(&mut self, index: usize, begin: bool) {
        if begin && self.nodes.iter().all(|n| n.plan == self.newest_plan) {
            self.newest_plan += 1;
        }
        self.configure(index, self.newest_plan);
    }

    /// Sets each fleet bucket to the largest plan in force anywhere.
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
            RightsOutcome::Granted => {
                self.admitted += 1;
                let bucket = self.buckets.get_mut(limit).unwrap();
                bucket.refill(self.now);
                assert!(
                    bucket.level >= NANOS,
                    "{limit}: admitted more than rate * t + burst"
                );
                bucket.level -= NANOS;
            }
            RightsOutcome::Short { .. } => self.refused += 1,
            RightsOutcome::Unknown => {}
        }
    }

    pub(crate) fn take(&mut self, index: usize, limits: &[LimitKey]) {
        if !self.may_spend(index) || !self.nodes[index].ledger.take_slots(limits) {
            return;
        }
        let node = &mut self.nodes[index];
        node.taken.push(limits.to_vec());
        for limit in limits {
            let Some(LimitPlan::Slots(slots)) = plans(node.plan).get(limit).copied() else {
                panic!("{limit}: took a slot of no limit");
            };
            let shares = u128::from(node.ledger.shares(limit));
            let allowed = shares * u128::from(slots.get()) / u128::from(TOTAL_SHARES);
            let running = node.ledger.running(limit);
            assert!(
                u128::from(running) <= allowed,
                "{limit}: {running} slots run, the shares allow {allowed}"
            );
        }
    }

    pub(crate) fn release(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let (false, Some(limits)) = (node.paused || node.killed, node.taken.pop()) {
            node.ledger.release_slots(&limits);
        }
    }

    /// An ask; the answer travels as a message.
    pub(crate) fn ask(&mut self, asker: usize, giver: usize, limit: &LimitKey) {
        if asker == giver || !self.awake(asker) || !self.awake(giver) {
            return;
        }
        let own = self.nodes[asker].ledger.own().clone();
        if let Some(want) = self.nodes[asker].ledger.want(limit, self.now) {
            let ledger = &mut self.nodes[giver].ledger;
            ledger.give(&own, limit, &want, self.now);
            self.send(giver, asker, false);
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, all: bool) {
        if from == to || !self.awake(from) {
            return;
        }
        let ledger = &self.nodes[from].ledger;
        let peer = self.nodes[to].ledger.own();
        let mut update = ledger.counters_since_ack(peer);
        if all {
            update.counters = ledger.counters_for(peer);
        }
        let from = ledger.own().clone();
        self.messages.push(Message { from, to, update });
    }

    /// Delivers any message, and keeps it for a repeat if `keep`.
    pub(crate) fn deliver(&mut self, choice: usize, keep: bool, acknowledge: bool) {
        if self.messages.is_empty() {
            return;
        }
        let choice = choice % self.messages.len();
        let (to, from) = (self.messages[choice].to, self.messages[choice].from.clone());
        if !self.awake(to) {
            return;
        }
        let update = self.messages[choice].update.clone();
        let ledger = &mut self.nodes[to].ledger;
        let receiver = ledger.own().clone();
        let outcome = ledger.receive(&from, &update.counters, self.now);
        if matches!(outcome, ReceiveOutcome::Applied { .. }) {
            for (limit, counter) in &update.counters {
                let pair = (from.clone(), receiver.clone(), limit.clone());
                self.received.insert(pair, counter.shares);
            }
            let sender = self.nodes.iter_mut().find(|n| *n.ledger.own() == from);
            if let (true, Some(sender)) = (acknowledge, sender) {
                sender.ledger.acknowledge(&receiver, update.mark);
            }
        }
        if !keep {
            self.messages.swap_remove(choice);
        }
        let sender = self.nodes.iter().position(|n| *n.ledger.own() == from);
        if let (ReceiveOutcome::Fenced, true, Some(sender)) = (outcome, acknowledge, sender)
            && self.awake(sender)
        {
            self.retire(sender);
        }
    }

    pub(crate) fn lose(&mut self, choice: usize) {
        if !self.messages.is_empty() {
            let choice = choice % self.messages.len();
            self.messages.swap_remove(choice);
        }
    }

    pub(crate) fn rebalance(&mut self, index: usize) {
        if !self.awake(index) {
            return;
        }
        let now = self.now;
        let nodes = self.nodes.iter_mut().enumerate();
        let peers = nodes.filter(|(i, n)| *i != index && !n.killed);
        let peers = peers
            .map(|(_, n)| (n.ledger.own().clone(), n.ledger.summary(now)))
            .collect();
        self.nodes[index].ledger.rebalance(&peers, now);
    }

    /// Everybody proves its configuration, rebalances, and hears from all.
    pub(crate) fn round(&mut self) {
        let count = self.nodes.len();
        for index in 0..count {
            self.prove(index);
            self.rebalance(index);
        }
        for index in 0..count * count {
            self.send(index / count, index % count, false);
            let newest = self.messages.len().saturating_sub(1);
            self.deliver(newest, false, true);
        }
    }

    pub(crate) fn hand_over(&mut self, from: usize, to: usize) {
        if from != to && self.awake(from) {
            let peer = self.nodes[to].ledger.own().clone();
            self.nodes[from].ledger.hand_over(&peer, self.now);
        }
    }

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
            self.gone.insert(node.ledger.own().clone());
        }
    }

    /// Starts a killed process again, as a new incarnation.
    pub(crate) fn restart(&mut self, index: usize) {
        if self.nodes[index].killed {
            let own = self.nodes[index].ledger.own();
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
    fn retire(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for limits in std::mem::take(&mut node.taken) {
            node.ledger.release_slots(&limits);
        }
        let own = node.ledger.own().clone();
        let next = incarnation(index, own.number + 1);
        node.ledger = node.ledger.restarted(next);
        self.gone.insert(own);
    }

    /// A survivor fences every killed or paused incarnation and reports.
    pub(crate) fn fence(&mut self, index: usize) {
        if self.awake(index) {
            let lost = self.lost();
            let report = self.nodes[index].ledger.fence(&lost);
            let own = self.nodes[index].ledger.own().clone();
            self.reports.insert(own, report);
        }
    }

    /// All incarnations of the generation that are killed or paused.
    fn lost(&self) -> BTreeSet<IncarnationId> {
        let paused = self.nodes.iter().filter(|n| n.paused && !n.killed);
        let paused = paused.map(|n| n.ledger.own().clone());
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
        let own = self.nodes[recipient].ledger.own().clone();
        let Some((record, _)) = &self.record else {
            self.begin_generation(1, own, usable);
            return;
        };
        let survivors = (0..self.nodes.len()).filter(|i| self.awake(*i));
        let survivors: BTreeSet<_> = survivors
            .map(|i| self.nodes[i].ledger.own().clone())
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

    fn begin_generation(&mut self, number: u64, own: IncarnationId, usable: Instant) {
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
        self.gone = killed.map(|n| n.ledger.own().clone()).collect();
        self.reports.clear();
        self.received.clear();
    }

    /// Shares that are held or on their way, per limit.
    pub(crate) fn shares_in_play(&self, limit: &LimitKey) -> u64 {
        let number = self.record.as_ref().map(|(record, _)| record.number);
        let live: Vec<_> = self
            .nodes
            .iter()
            .map(|n| &n.ledger)
            .filter(|l| l.generation() == number && !self.dead.contains(l.own()))
            .collect();
        let mut sum = 0;
        for giver in &live {
            sum += giver.shares(limit);
            for taker in &live {
                let given = giver.counters_for(taker.own()).get(limit).copied();
                let pair = (giver.own().clone(), taker.own().clone(), limit.clone());
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
            let lost = self.dead.contains(n.ledger.own()) || n.ledger.generation() != number;
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
                if fenced.contains(self.nodes[index].ledger.own()) {
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
