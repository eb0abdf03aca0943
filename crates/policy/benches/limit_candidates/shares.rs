//! Candidate with transferable shares, using the ledger of this crate.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use tarragonpulley_policy::ids::{IncarnationId, LimitKey};
use tarragonpulley_policy::rights::{
    CounterUpdate, GenerationRecord, LimitPlan, PeerSummaries, RateDecision, ReceiveOutcome,
    RightsLedger, RightsSummary, ShareRequest, plan_reclaim,
};
use tarragonpulley_policy::units::{BurstSize, RequestRate};

use crate::workload::{
    CandidateDyn, Decision, EventQueue, INSTANCES, LimitCandidate, TEAMS, TeamRequest, delay,
    region_of,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that sent no heartbeat for this time is neither asked for shares nor
/// considered in rebalancing.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1500);
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time from the commit of a grant until it is usable: the lifetime of a proof
/// plus a margin.
const GRANT_DELAY: Duration = Duration::from_millis(2600);
/// Maximum number of waiting requests of a team at an instance.
const MAX_WAITING: usize = 16;

#[derive(Clone)]
struct Heartbeat {
    from: usize,
    to: usize,
    update: CounterUpdate,
    summary: BTreeMap<LimitKey, RightsSummary>,
    acknowledged: Option<u64>,
}

enum ShareEvent {
    Tick(usize),
    Heartbeat(Heartbeat),
    HeartbeatResponse(Heartbeat),
    Ask {
        from: usize,
        to: usize,
        team: usize,
        request: ShareRequest,
    },
    AskResponse {
        from: usize,
        to: usize,
        team: usize,
        update: CounterUpdate,
    },
    Refill(usize, usize),
    Deadline(usize, usize, u64),
    Reclaim,
}

struct ShareNode {
    ledger: RightsLedger,
    live: bool,
    peers: PeerSummaries,
    last_heartbeat: BTreeMap<IncarnationId, Instant>,
    near: BTreeSet<IncarnationId>,
    waiting: Vec<VecDeque<u64>>,
    pending_asks: Vec<usize>,
    /// The last applied change of each peer, to acknowledge with the next
    /// heartbeat.
    to_acknowledge: BTreeMap<usize, u64>,
}

struct ShareFleet {
    nodes: Vec<ShareNode>,
    limits: Vec<LimitKey>,
    record: GenerationRecord,
    events: EventQueue<ShareEvent>,
    decisions: Vec<Decision>,
    messages: u64,
}

fn incarnation(instance: usize) -> IncarnationId {
    let text = format!("i{instance:02}#1");
    text.parse().expect("the name is valid")
}

pub(crate) fn make(now: Instant) -> CandidateDyn {
    let limits: Vec<LimitKey> = (0..TEAMS.len())
        .map(|team| {
            let text = format!("team:c/t{team}");
            text.parse().expect("the key is valid")
        })
        .collect();
    let plans = limits.iter().cloned().zip(TEAMS.iter().map(|load| {
        let (rate, burst) = (
            RequestRate::per_second(load.rate),
            BurstSize::new(load.burst),
        );
        LimitPlan::Rate { rate, burst }
    }));
    let plans = plans.collect();
    let record = GenerationRecord {
        number: 1,
        first_holder: incarnation(0),
        reclaims: Vec::new(),
    };
    let mut events = EventQueue::new();
    let nodes = (0..INSTANCES).map(|instance| {
        let mut ledger = RightsLedger::new(incarnation(instance));
        ledger.configure(&plans, now);
        ledger.adopt(&record, now, now);
        let offset = HEARTBEAT_INTERVAL * u32::try_from(instance).unwrap_or(0) / 12;
        events.add(now + offset, ShareEvent::Tick(instance));
        let near = (0..INSTANCES).filter(|n| region_of(*n) == region_of(instance));
        ShareNode {
            ledger,
            live: true,
            peers: BTreeMap::new(),
            last_heartbeat: BTreeMap::new(),
            near: near.map(incarnation).collect(),
            waiting: vec![VecDeque::new(); TEAMS.len()],
            pending_asks: vec![0; TEAMS.len()],
            to_acknowledge: BTreeMap::new(),
        }
    });
    Box::new(ShareFleet {
        nodes: nodes.collect(),
        limits,
        record,
        events,
        decisions: Vec::new(),
        messages: 0,
    })
}

impl ShareFleet {
    fn send(&mut self, now: Instant, from: usize, to: usize, event: ShareEvent) {
        self.messages += 1;
        self.events.add(now + delay(from, to), event);
    }

    fn heartbeat(&mut self, now: Instant, from: usize, to: usize) -> Heartbeat {
        let peer = incarnation(to);
        let node = &mut self.nodes[from];
        Heartbeat {
            from,
            to,
            update: node.ledger.counters_since_ack(&peer),
            summary: node.ledger.summary(now),
            acknowledged: node.to_acknowledge.remove(&to),
        }
    }

    fn tick(&mut self, now: Instant, instance: usize) {
        self.events
            .add(now + HEARTBEAT_INTERVAL, ShareEvent::Tick(instance));
        let node = &mut self.nodes[instance];
        let last_heartbeat = &node.last_heartbeat;
        node.peers
            .retain(|peer, _| now - last_heartbeat[peer] < FAILURE_TIMEOUT);
        node.ledger.rebalance(&node.peers, now);
        for to in (0..INSTANCES).filter(|to| *to != instance) {
            let message = self.heartbeat(now, instance, to);
            self.send(now, instance, to, ShareEvent::Heartbeat(message));
        }
    }

    fn handle_heartbeat(&mut self, now: Instant, message: Heartbeat) {
        let peer = incarnation(message.from);
        let node = &mut self.nodes[message.to];
        if let Some(last_change) = message.acknowledged {
            node.ledger.acknowledge(&peer, last_change);
        }
        node.last_heartbeat.insert(peer.clone(), now);
        node.peers.insert(peer, message.summary);
        self.receive(now, message.from, message.to, &message.update);
    }

    fn receive(&mut self, now: Instant, from: usize, to: usize, update: &CounterUpdate) {
        let node = &mut self.nodes[to];
        let outcome = node
            .ledger
            .receive(&incarnation(from), &update.counters, now);
        if let ReceiveOutcome::Applied { changed } = outcome {
            node.to_acknowledge.insert(from, update.last_change);
            if changed {
                (0..TEAMS.len()).for_each(|team| self.serve(now, to, team));
            }
        }
    }

    /// Admits waiting requests as long as there are tokens.
    fn serve(&mut self, now: Instant, instance: usize, team: usize) {
        let node = &mut self.nodes[instance];
        while let Some(id) = node.waiting[team].front().copied() {
            let outcome = node.ledger.admit_waiting(&self.limits[team], now);
            if outcome != RateDecision::Admitted {
                break;
            }
            node.waiting[team].pop_front();
            self.decisions.push(Decision { id, admitted: true });
        }
    }

    /// Asks peers for shares, unless a response is pending. Returns whether one
    /// is.
    fn ask(&mut self, now: Instant, instance: usize, team: usize) -> bool {
        let node = &mut self.nodes[instance];
        if node.pending_asks[team] > 0 {
            return true;
        }
        let limit = &self.limits[team];
        let Some(request) = node.ledger.share_request(limit, now) else {
            return false;
        };
        let mut missing_shares = request.shares;
        for peer in node.ledger.peers_to_ask(limit, &node.peers, &node.near) {
            let spare = node.peers[&peer][limit].spare;
            let Some(to) = (0..INSTANCES).find(|n| incarnation(*n) == peer) else {
                continue;
            };
            let request = ShareRequest {
                shares: missing_shares,
                ..request
            };
            node.pending_asks[team] += 1;
            self.messages += 1;
            let ask = ShareEvent::Ask {
                from: instance,
                to,
                team,
                request,
            };
            self.events.add(now + delay(instance, to), ask);
            missing_shares = missing_shares.saturating_sub(spare);
            if missing_shares == 0 {
                break;
            }
        }
        node.pending_asks[team] > 0
    }

    fn handle_ask(
        &mut self,
        now: Instant,
        from: usize,
        to: usize,
        team: usize,
        request: &ShareRequest,
    ) {
        let ledger = &mut self.nodes[to].ledger;
        let peer = incarnation(from);
        ledger.transfer_on_request(&peer, &self.limits[team], request, now);
        let update = ledger.counters_since_ack(&peer);
        let response = ShareEvent::AskResponse {
            from: to,
            to: from,
            team,
            update,
        };
        self.send(now, to, from, response);
    }

    fn reclaim(&mut self, now: Instant) {
        let removed = self.nodes.iter().filter(|n| !n.live);
        let removed: BTreeSet<_> = removed.map(|n| n.ledger.incarnation().clone()).collect();
        let live = self.nodes.iter_mut().filter(|n| n.live);
        let reports: BTreeMap<_, _> = live
            .map(|n| (n.ledger.incarnation().clone(), n.ledger.fence(&removed)))
            .collect();
        let recipient = reports.keys().next().cloned();
        let reclaim =
            recipient.map(|recipient| plan_reclaim(&self.record, &removed, &recipient, &reports));
        if let Some(Ok(reclaim)) = reclaim {
            self.record.reclaims.push(reclaim);
        }
        for node in self.nodes.iter_mut().filter(|n| n.live) {
            node.ledger.adopt(&self.record, now + GRANT_DELAY, now);
            node.peers.retain(|peer, _| !removed.contains(peer));
        }
    }

    fn receiver(event: &ShareEvent) -> Option<usize> {
        match event {
            ShareEvent::Tick(n) | ShareEvent::Refill(n, _) | ShareEvent::Deadline(n, _, _) => {
                Some(*n)
            }
            ShareEvent::Heartbeat(message) | ShareEvent::HeartbeatResponse(message) => {
                Some(message.to)
            }
            ShareEvent::Ask { to, .. } | ShareEvent::AskResponse { to, .. } => Some(*to),
            ShareEvent::Reclaim => None,
        }
    }
}

impl LimitCandidate for ShareFleet {
    fn arrive(&mut self, now: Instant, request: &TeamRequest) {
        let (instance, team, id) = (request.instance, request.team, request.id);
        let node = &mut self.nodes[instance];
        let time_to_token = match node.ledger.admit(&self.limits[team], now) {
            RateDecision::Admitted => {
                self.decisions.push(Decision { id, admitted: true });
                return;
            }
            RateDecision::NoToken { time_to_token } => time_to_token,
            RateDecision::Unknown => Duration::MAX,
        };
        let full = node.waiting[team].len() >= MAX_WAITING;
        let refills = time_to_token <= ASK_TIMEOUT;
        if full || !(self.ask(now, instance, team) || refills) {
            self.decisions.push(Decision {
                id,
                admitted: false,
            });
            return;
        }
        self.nodes[instance].waiting[team].push_back(id);
        if refills {
            self.events
                .add(now + time_to_token, ShareEvent::Refill(instance, team));
        }
        let deadline = ShareEvent::Deadline(instance, team, id);
        self.events.add(now + ASK_TIMEOUT, deadline);
    }

    fn next_event(&self) -> Option<Instant> {
        self.events.next()
    }

    fn run_event(&mut self) {
        let Some((now, event)) = self.events.pop() else {
            return;
        };
        if Self::receiver(&event).is_some_and(|to| !self.nodes[to].live) {
            if let ShareEvent::Ask { from, team, .. } = event {
                self.nodes[from].pending_asks[team] -= 1;
            }
            return;
        }
        match event {
            ShareEvent::Tick(instance) => self.tick(now, instance),
            ShareEvent::Heartbeat(message) => {
                let (from, to) = (message.to, message.from);
                self.handle_heartbeat(now, message);
                let response = self.heartbeat(now, from, to);
                self.send(now, from, to, ShareEvent::HeartbeatResponse(response));
            }
            ShareEvent::HeartbeatResponse(message) => self.handle_heartbeat(now, message),
            ShareEvent::Ask {
                from,
                to,
                team,
                request,
            } => self.handle_ask(now, from, to, team, &request),
            ShareEvent::AskResponse {
                from,
                to,
                team,
                update,
            } => {
                self.nodes[to].pending_asks[team] -= 1;
                self.receive(now, from, to, &update);
                if !self.nodes[to].waiting[team].is_empty() {
                    self.ask(now, to, team);
                }
            }
            ShareEvent::Refill(instance, team) => self.serve(now, instance, team),
            ShareEvent::Deadline(instance, team, id) => {
                let waiting = &mut self.nodes[instance].waiting[team];
                if let Some(index) = waiting.iter().position(|other| *other == id) {
                    waiting.remove(index);
                    self.decisions.push(Decision {
                        id,
                        admitted: false,
                    });
                }
            }
            ShareEvent::Reclaim => self.reclaim(now),
        }
    }

    fn kill(&mut self, _now: Instant, instance: usize) {
        self.nodes[instance].live = false;
    }

    fn set_table(&mut self, now: Instant, up: bool) {
        if up {
            let lag = Duration::from_secs(1);
            self.events.add(now + lag, ShareEvent::Reclaim);
        }
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
