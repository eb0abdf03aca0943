//! Bounds what clients hold: connections, memory and requests in progress.
//!
//! One account for all listeners of a process. When something new does not fit,
//! the connections that make the least progress are closed: idle ones first, then
//! those that send or read slowly for what they hold. Connections with requests in
//! progress whose caller reads are not closed, but for those of the management listeners:
//! their requests take no time, so one that is busy for long sends them ahead.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// The memory of a connection without its buffers: its task, socket and entry here.
const CONNECTION_BYTES: usize = 8 * 1024;

/// A message or response that began less than this ago is not closed for slowness, so
/// that a crowd cannot push out callers in the middle of an ordinary request.
const MIN_SLOW_TIME: Duration = Duration::from_secs(1);

/// The part of the memory that only management requests may use.
const MANAGEMENT_MEMORY_DIVISOR: usize = 16;

/// What clients of a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Connections of callers.
    pub connections: usize,
    /// Connections of each management listener: readiness, lookups, metrics.
    pub management_connections: usize,
    /// Requests in progress, each with a connection to a server.
    pub requests: usize,
    /// The memory of all connections with their requests and responses, in bytes.
    pub memory_bytes: usize,
}

/// The listener of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientGroup {
    Callers,
    Readiness,
    Lookups,
    Metrics,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientActivity {
    /// No request is expected to be complete soon.
    Idle,
    /// A part of a request has arrived.
    Receiving,
    /// A response is written.
    Sending,
    /// Requests are in progress.
    Working,
}

/// Why something of a client was closed or rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientRefusal {
    IdleConnection,
    SlowRequest,
    SlowReader,
    TooManyConnections,
    TooManyRequests,
    NoMemory,
}

impl ClientRefusal {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::IdleConnection => "idle_connection",
            Self::SlowRequest => "slow_request",
            Self::SlowReader => "slow_reader",
            Self::TooManyConnections => "too_many_connections",
            Self::TooManyRequests => "too_many_requests",
            Self::NoMemory => "no_memory",
        }
    }
}

/// What the clients of a process hold.
#[derive(Debug)]
pub(crate) struct ClientAccount {
    limits: ClientLimits,
    members: RefCell<BTreeMap<u64, Rc<MemberState>>>,
    /// The connections of each listener.
    counts: RefCell<BTreeMap<ClientGroup, usize>>,
    next_id: Cell<u64>,
    used: Cell<usize>,
    requests: Cell<usize>,
}

#[derive(Debug)]
struct MemberState {
    group: ClientGroup,
    opened: Instant,
    activity: Cell<ClientActivity>,
    /// When the activity began.
    since: Cell<Instant>,
    /// The bytes received or sent since.
    moved: Cell<usize>,
    /// The bytes of the connection, of its buffers and of its requests.
    held: Cell<usize>,
    closed: Cell<Option<ClientRefusal>>,
    close_requested: Notify,
}

impl MemberState {
    /// The position in the order in which connections are closed, lowest first; `None` if
    /// this one is not closed.
    fn rank(&self, now: Instant) -> Option<(ClientActivity, f64)> {
        let age = now.saturating_duration_since(self.since.get());
        match self.activity.get() {
            ClientActivity::Idle => Some((ClientActivity::Idle, -age.as_secs_f64())),
            ClientActivity::Working => self.rank_busy(now),
            ClientActivity::Receiving | ClientActivity::Sending if age < MIN_SLOW_TIME => {
                self.rank_busy(now)
            }
            // The two share one order.
            ClientActivity::Receiving | ClientActivity::Sending => {
                let (held, moved) = (self.held.get(), self.moved.get() + 1);
                #[expect(clippy::cast_precision_loss, reason = "an order, not a size")]
                let slowness = age.as_secs_f64() * held as f64 / moved as f64;
                Some((ClientActivity::Receiving, -slowness))
            }
        }
    }
}

impl MemberState {
    /// The same for a connection that makes progress: the one that has been open longest.
    fn rank_busy(&self, now: Instant) -> Option<(ClientActivity, f64)> {
        let age = now.saturating_duration_since(self.opened);
        let may_close = self.group != ClientGroup::Callers && age >= MIN_SLOW_TIME;
        may_close.then(|| (ClientActivity::Working, -age.as_secs_f64()))
    }
}

impl ClientAccount {
    pub(crate) fn new(limits: ClientLimits) -> Rc<Self> {
        Rc::new(Self {
            limits,
            members: RefCell::default(),
            counts: RefCell::default(),
            next_id: Cell::new(0),
            used: Cell::new(0),
            requests: Cell::new(0),
        })
    }

    /// The memory that is in use, in bytes.
    pub(crate) fn used(&self) -> usize {
        self.used.get()
    }

    /// The open connections.
    pub(crate) fn connections(&self) -> usize {
        self.members.borrow().len()
    }

    /// Adds a connection, closing another one if there are too many. `None` if none of
    /// them may be closed.
    pub(crate) fn open(self: &Rc<Self>, group: ClientGroup, now: Instant) -> Option<ClientMember> {
        let limit = match group {
            ClientGroup::Callers => self.limits.connections,
            _ => self.limits.management_connections,
        };
        let count = self.counts.borrow().get(&group).copied().unwrap_or(0);
        if count >= limit && !self.close_one(Some(group), None, now) {
            return None;
        }
        if !self.make_room(CONNECTION_BYTES, group, None, now) {
            return None;
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let state = Rc::new(MemberState {
            group,
            opened: now,
            activity: Cell::new(ClientActivity::Idle),
            since: Cell::new(now),
            moved: Cell::new(0),
            held: Cell::new(CONNECTION_BYTES),
            closed: Cell::new(None),
            close_requested: Notify::new(),
        });
        self.members.borrow_mut().insert(id, Rc::clone(&state));
        *self.counts.borrow_mut().entry(group).or_default() += 1;
        self.used.set(self.used.get() + CONNECTION_BYTES);
        Some(ClientMember {
            account: Rc::clone(self),
            id,
            state,
            buffered: Cell::new(0),
        })
    }

    fn memory_limit(&self, group: ClientGroup) -> usize {
        let limit = self.limits.memory_bytes;
        match group {
            ClientGroup::Callers => limit - limit / MANAGEMENT_MEMORY_DIVISOR,
            _ => limit,
        }
    }

    /// Closes connections until `bytes` more fit. Returns whether they do.
    fn make_room(&self, bytes: usize, group: ClientGroup, but: Option<u64>, now: Instant) -> bool {
        let limit = self.memory_limit(group);
        while self.used.get() + bytes > limit {
            if !self.close_one(None, but, now) {
                return false;
            }
        }
        true
    }

    /// Asks the connection that comes first in the order to close. What it holds counts as
    /// free at once: its task ends when it runs next.
    fn close_one(&self, group: Option<ClientGroup>, but: Option<u64>, now: Instant) -> bool {
        let members = self.members.borrow();
        let first = members
            .iter()
            .filter(|(id, state)| {
                Some(**id) != but && group.is_none_or(|group| group == state.group)
            })
            .filter_map(|(id, state)| state.rank(now).map(|rank| (rank, *id)))
            .min_by(|(first, _), (second, _)| {
                first.0.cmp(&second.0).then(first.1.total_cmp(&second.1))
            });
        let Some((_, id)) = first else {
            return false;
        };
        drop(members);
        let Some(state) = self.remove(id) else {
            return false;
        };
        state.closed.set(Some(match state.activity.get() {
            ClientActivity::Idle => ClientRefusal::IdleConnection,
            ClientActivity::Sending => ClientRefusal::SlowReader,
            ClientActivity::Receiving | ClientActivity::Working => ClientRefusal::SlowRequest,
        }));
        state.close_requested.notify_one();
        true
    }

    /// Removes a connection with what it holds.
    fn remove(&self, id: u64) -> Option<Rc<MemberState>> {
        let state = self.members.borrow_mut().remove(&id)?;
        if let Some(count) = self.counts.borrow_mut().get_mut(&state.group) {
            *count -= 1;
        }
        self.used.set(self.used.get() - state.held.replace(0));
        Some(state)
    }
}

/// The entry of a connection; removed when dropped.
#[derive(Debug)]
pub(crate) struct ClientMember {
    account: Rc<ClientAccount>,
    id: u64,
    state: Rc<MemberState>,
    /// The bytes of the buffers for the request that is being received.
    buffered: Cell<usize>,
}

impl ClientMember {
    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) -> ClientRefusal {
        loop {
            if let Some(refusal) = self.state.closed.get() {
                return refusal;
            }
            self.state.close_requested.notified().await;
        }
    }

    /// Records what the connection does, unless it has been doing so.
    pub(crate) fn set_activity(&self, activity: ClientActivity, since: Instant) {
        if self.state.activity.replace(activity) != activity {
            self.state.since.set(since);
            self.state.moved.set(0);
        }
    }

    /// Begins an activity anew, as after each message.
    pub(crate) fn restart_activity(&self, activity: ClientActivity, since: Instant) {
        self.state.activity.set(activity);
        self.state.since.set(since);
        self.state.moved.set(0);
    }

    /// Counts bytes that were received or sent.
    pub(crate) fn record_moved(&self, bytes: usize) {
        self.state.moved.set(self.state.moved.get() + bytes);
    }

    /// Changes the size of the buffers. Returns `false`, and changes nothing, if they do
    /// not fit.
    pub(crate) fn resize_buffers(&self, bytes: usize, now: Instant) -> bool {
        let before = self.buffered.replace(bytes);
        self.change(before, bytes);
        let fits = bytes <= before || self.fits(now);
        if !fits {
            self.buffered.set(before);
            self.change(bytes, before);
        }
        fits
    }

    fn fits(&self, now: Instant) -> bool {
        let group = self.state.group;
        self.account.make_room(0, group, Some(self.id), now)
    }

    /// Counts a request that is about to be handled; `None` if it does not fit.
    pub(crate) fn begin_request(&self, bytes: usize, now: Instant) -> Option<RequestCharge> {
        let charge = RequestCharge {
            account: Rc::clone(&self.account),
            state: Rc::clone(&self.state),
            bytes: Cell::new(0),
            is_in_progress: Cell::new(false),
        };
        charge.resize(bytes);
        self.fits(now).then_some(charge)
    }

    fn change(&self, before: usize, after: usize) {
        change_held(&self.account, &self.state, before, after);
    }
}

/// Changes what a connection holds. One that is to be closed is not counted any more.
fn change_held(account: &ClientAccount, state: &MemberState, before: usize, after: usize) {
    if state.closed.get().is_none() {
        state.held.set(state.held.get() + after - before);
        account.used.set(account.used.get() + after - before);
    }
}

impl Drop for ClientMember {
    fn drop(&mut self) {
        drop(self.account.remove(self.id));
        // Requests that are dropped later release nothing any more.
        if self.state.closed.get().is_none() {
            self.state.closed.set(Some(ClientRefusal::IdleConnection));
        }
    }
}

/// What a request holds until its response is written.
#[derive(Debug)]
pub(crate) struct RequestCharge {
    account: Rc<ClientAccount>,
    state: Rc<MemberState>,
    bytes: Cell<usize>,
    is_in_progress: Cell<bool>,
}

impl RequestCharge {
    /// Counts the request as in progress. Returns `false` if there are too many.
    /// Management requests need no server, and are not counted.
    pub(crate) fn begin_progress(&self) -> bool {
        if self.state.group != ClientGroup::Callers {
            return true;
        }
        if self.account.requests.get() >= self.account.limits.requests {
            return false;
        }
        self.account.requests.set(self.account.requests.get() + 1);
        self.is_in_progress.set(true);
        true
    }

    /// The request has its response, which holds `bytes`.
    pub(crate) fn complete(&self, bytes: usize, now: Instant) {
        self.end_progress();
        self.resize(bytes);
        // The response is kept in any case. Others make room for it.
        self.account.make_room(0, self.state.group, None, now);
    }

    fn resize(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        change_held(&self.account, &self.state, before, bytes);
    }

    fn end_progress(&self) {
        if self.is_in_progress.replace(false) {
            self.account.requests.set(self.account.requests.get() - 1);
        }
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        self.end_progress();
        self.resize(0);
    }
}
