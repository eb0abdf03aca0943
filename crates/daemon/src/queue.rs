//! Fair queue of requests that wait for a slot.
//!
//! Each service has a queue with one bounded lane per team, served round
//! robin. A team that sends too many requests delays only its own.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};
use std::rc::Rc;

use tarragonpulley_policy::ids::{CustomerName, ServiceKey, TeamKey};
use tokio::sync::Notify;

/// Maximum waiting requests of one team for one service.
const MAX_TEAM_WAITERS: usize = 64;

/// Maximum waiting requests on this instance. A waiting request holds its body
/// in memory.
const MAX_WAITERS: usize = 512;

/// The waiting team, or `None` for callers of open routes.
type LaneKey = Option<TeamKey>;

#[derive(Debug)]
struct Waiter {
    number: u64,
    woken: bool,
    wake: Rc<Notify>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    lanes: BTreeMap<LaneKey, VecDeque<Waiter>>,
    /// The lane of the request that was woken last, where the round robin goes on.
    last_woken: Option<LaneKey>,
}

impl ServiceQueue {
    fn wake_one(&mut self) {
        let not_woken = |lane: &VecDeque<Waiter>| lane.iter().position(|waiter| !waiter.woken);
        let after = self.last_woken.clone();
        let next = {
            let later = after
                .iter()
                .flat_map(|last_woken| self.lanes.range((Excluded(last_woken), Unbounded)));
            later
                .chain(self.lanes.iter())
                .find_map(|(key, lane)| not_woken(lane).map(|index| (key.clone(), index)))
        };
        let Some((key, index)) = next else { return };
        if let Some(waiter) = self
            .lanes
            .get_mut(&key)
            .and_then(|lane| lane.get_mut(index))
        {
            waiter.woken = true;
            waiter.wake.notify_one();
        }
        self.last_woken = Some(key);
    }
}

#[derive(Debug, Default)]
struct QueueState {
    services: BTreeMap<ServiceKey, ServiceQueue>,
    waiting: usize,
    next_number: u64,
}

/// The queues of all services on this instance.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    state: RefCell<QueueState>,
}

impl WaitQueue {
    /// Whether requests wait for a service.
    pub(crate) fn has_waiters(&self, service: &ServiceKey) -> bool {
        self.state.borrow().services.contains_key(service)
    }

    /// Joins the queue of a service. Returns `None` if the team's lane or the
    /// instance is at its limit.
    pub(crate) fn join(
        self: &Rc<Self>,
        service: &ServiceKey,
        team: Option<&TeamKey>,
    ) -> Option<WaitTicket> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let lane_key = team.cloned();
        let queue = state.services.get(service);
        let lane = queue.and_then(|queue| queue.lanes.get(&lane_key));
        if state.waiting >= MAX_WAITERS || lane.map_or(0, VecDeque::len) >= MAX_TEAM_WAITERS {
            return None;
        }
        let number = state.next_number;
        state.next_number += 1;
        state.waiting += 1;
        let wake = Rc::new(Notify::new());
        let queue = state.services.entry(service.clone()).or_default();
        queue
            .lanes
            .entry(lane_key.clone())
            .or_default()
            .push_back(Waiter {
                number,
                woken: false,
                wake: Rc::clone(&wake),
            });
        Some(WaitTicket {
            queue: Rc::clone(self),
            service: service.clone(),
            lane: lane_key,
            number,
            wake,
        })
    }

    /// Wakes the next waiting request of a service.
    pub(crate) fn wake(&self, service: &ServiceKey) {
        if let Some(queue) = self.state.borrow_mut().services.get_mut(service) {
            queue.wake_one();
        }
    }

    /// Wakes the next waiting request of each service of a customer, because
    /// these share the capacity of a region.
    pub(crate) fn wake_customer(&self, customer: &CustomerName) {
        let mut state = self.state.borrow_mut();
        let services = state.services.iter_mut();
        for (_, queue) in services.filter(|(service, _)| service.customer == *customer) {
            queue.wake_one();
        }
    }
}

/// A place in the queue, released when dropped.
#[derive(Debug)]
pub(crate) struct WaitTicket {
    queue: Rc<WaitQueue>,
    service: ServiceKey,
    lane: LaneKey,
    number: u64,
    wake: Rc<Notify>,
}

impl WaitTicket {
    /// Waits until this request may look for a slot.
    pub(crate) async fn wait_turn(&self) {
        self.wake.notified().await;
    }

    /// Waits again at the same place after a turn without a free slot.
    pub(crate) fn wait_again(&self) {
        let mut state = self.queue.state.borrow_mut();
        let queue = state.services.get_mut(&self.service);
        let lane = queue.and_then(|queue| queue.lanes.get_mut(&self.lane));
        let waiter = lane.and_then(|lane| lane.iter_mut().find(|w| w.number == self.number));
        if let Some(waiter) = waiter {
            waiter.woken = false;
        }
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        let mut state = self.queue.state.borrow_mut();
        let state = &mut *state;
        let Some(queue) = state.services.get_mut(&self.service) else {
            return;
        };
        let mut unused_turn = false;
        if let Some(lane) = queue.lanes.get_mut(&self.lane) {
            if let Some(index) = lane.iter().position(|w| w.number == self.number) {
                unused_turn = lane.remove(index).is_some_and(|waiter| waiter.woken);
                state.waiting = state.waiting.saturating_sub(1);
            }
            if lane.is_empty() {
                queue.lanes.remove(&self.lane);
            }
        }
        if queue.lanes.is_empty() {
            state.services.remove(&self.service);
        } else if unused_turn {
            // The slot for which this request was woken may still be free.
            queue.wake_one();
        }
    }
}
