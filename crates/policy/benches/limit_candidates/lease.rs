//! Candidate with one owner for each limit, which holds a lease in the table.

use std::time::{Duration, Instant};

use crate::score::CentralBucket;
use crate::workload::{
    CandidateDyn, Decision, EventQueue, INSTANCES, LimitCandidate, TEAMS, TeamRequest, delay,
};

const LEASE_DURATION: Duration = Duration::from_secs(3);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

enum LeaseEvent {
    /// A request reaches the owner that its instance has forwarded it to.
    Request {
        request: TeamRequest,
        owner: usize,
    },
    Response(Decision),
    Renewal,
}

struct OwnedLimit {
    owner: usize,
    lease_end: Instant,
    bucket: CentralBucket,
}

struct OwnerLease {
    limits: Vec<OwnedLimit>,
    live: [bool; INSTANCES],
    table_up: bool,
    events: EventQueue<LeaseEvent>,
    decisions: Vec<Decision>,
    messages: u64,
}

pub(crate) fn make(now: Instant) -> CandidateDyn {
    let limits = TEAMS.iter().enumerate().map(|(team, load)| OwnedLimit {
        owner: team % INSTANCES,
        lease_end: now + LEASE_DURATION,
        bucket: CentralBucket::new(load.rate, load.burst, false, now),
    });
    let mut events = EventQueue::new();
    events.add(now + RENEWAL_INTERVAL, LeaseEvent::Renewal);
    Box::new(OwnerLease {
        limits: limits.collect(),
        live: [true; INSTANCES],
        table_up: true,
        events,
        decisions: Vec::new(),
        messages: 0,
    })
}

impl OwnerLease {
    fn decide(&mut self, now: Instant, request: &TeamRequest, owner: usize) -> Decision {
        let limit = &mut self.limits[request.team];
        let valid = limit.owner == owner && now < limit.lease_end;
        Decision {
            id: request.id,
            admitted: valid && limit.bucket.spend(now),
        }
    }

    fn renew(&mut self, now: Instant) {
        self.events.add(now + RENEWAL_INTERVAL, LeaseEvent::Renewal);
        for (team, limit) in self.limits.iter_mut().enumerate() {
            self.messages += 2;
            if !self.table_up {
                continue;
            }
            if self.live[limit.owner] {
                limit.lease_end = now + LEASE_DURATION;
            } else if limit.lease_end <= now {
                let next = (1..INSTANCES).map(|n| (limit.owner + n) % INSTANCES);
                limit.owner = next.into_iter().find(|n| self.live[*n]).unwrap_or(0);
                limit.lease_end = now + LEASE_DURATION;
                let load = TEAMS[team];
                limit.bucket = CentralBucket::new(load.rate, load.burst, false, now);
            }
        }
    }
}

impl LimitCandidate for OwnerLease {
    fn arrive(&mut self, now: Instant, request: &TeamRequest) {
        let owner = self.limits[request.team].owner;
        if owner == request.instance {
            let decision = self.decide(now, request, owner);
            self.decisions.push(decision);
            return;
        }
        self.messages += 1;
        let event = LeaseEvent::Request {
            request: *request,
            owner,
        };
        self.events.add(now + delay(request.instance, owner), event);
    }

    fn next_event(&self) -> Option<Instant> {
        self.events.next()
    }

    fn run_event(&mut self) {
        match self.events.pop() {
            Some((now, LeaseEvent::Request { request, owner })) if self.live[owner] => {
                let decision = self.decide(now, &request, owner);
                self.messages += 1;
                let response_time = now + delay(owner, request.instance);
                self.events
                    .add(response_time, LeaseEvent::Response(decision));
            }
            Some((now, LeaseEvent::Request { request, .. })) => {
                let decision = Decision {
                    id: request.id,
                    admitted: false,
                };
                self.events
                    .add(now + REQUEST_TIMEOUT, LeaseEvent::Response(decision));
            }
            Some((_, LeaseEvent::Response(decision))) => self.decisions.push(decision),
            Some((now, LeaseEvent::Renewal)) => self.renew(now),
            None => {}
        }
    }

    fn kill(&mut self, _now: Instant, instance: usize) {
        self.live[instance] = false;
    }

    fn set_table(&mut self, _now: Instant, up: bool) {
        self.table_up = up;
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
