//! One owner for each limit, which holds a lease in the table.

use std::time::{Duration, Instant};

use crate::score::CentralBucket;
use crate::workload::{
    CandidateDyn, EventQueue, INSTANCES, LimitCandidate, TEAMS, TeamRequest, Verdict, delay,
};

const LEASE_TIME: Duration = Duration::from_secs(3);
const RENEWAL: Duration = Duration::from_secs(1);
const ASK_DEADLINE: Duration = Duration::from_millis(150);

enum LeaseEvent {
    /// A request reaches the owner that its instance knows.
    Asked {
        request: TeamRequest,
        owner: usize,
    },
    Answered(Verdict),
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
    verdicts: Vec<Verdict>,
    messages: u64,
}

pub(crate) fn make(now: Instant) -> CandidateDyn {
    let limits = TEAMS.iter().enumerate().map(|(team, load)| OwnedLimit {
        owner: team % INSTANCES,
        lease_end: now + LEASE_TIME,
        bucket: CentralBucket::new(load.rate, load.burst, false, now),
    });
    let mut events = EventQueue::new();
    events.add(now + RENEWAL, LeaseEvent::Renewal);
    Box::new(OwnerLease {
        limits: limits.collect(),
        live: [true; INSTANCES],
        table_up: true,
        events,
        verdicts: Vec::new(),
        messages: 0,
    })
}

impl OwnerLease {
    fn decide(&mut self, now: Instant, request: &TeamRequest, owner: usize) -> Verdict {
        let limit = &mut self.limits[request.team];
        let valid = limit.owner == owner && now < limit.lease_end;
        Verdict {
            id: request.id,
            admitted: valid && limit.bucket.spend(now),
        }
    }

    fn renew(&mut self, now: Instant) {
        self.events.add(now + RENEWAL, LeaseEvent::Renewal);
        for (team, limit) in self.limits.iter_mut().enumerate() {
            self.messages += 2;
            if !self.table_up {
                continue;
            }
            if self.live[limit.owner] {
                limit.lease_end = now + LEASE_TIME;
            } else if limit.lease_end <= now {
                let next = (1..INSTANCES).map(|n| (limit.owner + n) % INSTANCES);
                limit.owner = next.into_iter().find(|n| self.live[*n]).unwrap_or(0);
                limit.lease_end = now + LEASE_TIME;
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
            let verdict = self.decide(now, request, owner);
            self.verdicts.push(verdict);
            return;
        }
        self.messages += 1;
        let event = LeaseEvent::Asked {
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
            Some((now, LeaseEvent::Asked { request, owner })) if self.live[owner] => {
                let verdict = self.decide(now, &request, owner);
                self.messages += 1;
                let back = now + delay(owner, request.instance);
                self.events.add(back, LeaseEvent::Answered(verdict));
            }
            Some((now, LeaseEvent::Asked { request, .. })) => {
                let verdict = Verdict {
                    id: request.id,
                    admitted: false,
                };
                self.events
                    .add(now + ASK_DEADLINE, LeaseEvent::Answered(verdict));
            }
            Some((_, LeaseEvent::Answered(verdict))) => self.verdicts.push(verdict),
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

    fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
