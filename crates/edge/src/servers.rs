//! The known backend servers, their health and their connection pools.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tarragonpulley_policy::entry::config::ServerEntry;
use tarragonpulley_policy::entry::digest::{
    ServerIncarnation, ServerKey, ServerTag, SuspectReason,
};
use tarragonpulley_policy::entry::health::{AttemptTicket, ServerHealth};
use tarragonpulley_policy::entry::names::{
    CentreName, RegionName, ServerId, ServiceName, VersionName,
};
use tarragonpulley_policy::entry::placement::text_hash;
use tarragonpulley_policy::entry::reach::ReachTracker;
use tarragonpulley_policy::entry::restart::{END_REPORT_PERIOD, RestartTracker};
use tarragonpulley_policy::entry::send_gate::SendGate;
use tarragonpulley_policy::entry::server_limit::{LimitRate, LimitReport};

use crate::http::client::ServerConnection;

/// Time for which an object counts as known to a server. Longer than the time
/// in which other objects displace it at the usual rates.
const KNOWN_OBJECT_TTL: Duration = Duration::from_secs(30);

/// The maximum number of objects recorded for a server.
const MAX_KNOWN_OBJECTS: usize = 64;

/// The number of requests in a row on known objects that took as long as on unknown ones,
/// after which the server is taken to have lost what it knew.
const MAX_FORGOTTEN_IN_ROW: u8 = 8;

/// The maximum number of idle connections in the pool of a server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Time after which a server without an entry is no longer looked at.
const REMOVED_RETENTION: Duration = Duration::from_secs(5);

/// How long what is known of a server without an entry is kept: as long as a cut may last
/// in which the server cannot renew it.
const ABSENT_RETENTION: Duration = Duration::from_mins(1);

/// The maximum number of servers that are remembered as leaving.
const MAX_LEAVING_SERVERS: usize = 4096;

/// How long a server that said that it is leaving is reported to the other instances:
/// three intervals between data centres.
const LEAVING_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// How long it is reported to the other instances that a server's process is cold: three
/// intervals between data centres.
const COLD_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// The difference up to which two statements may mean the same cold time: digests and
/// health responses are on their way for up to about so long.
const COLD_TIME_TOLERANCE: Duration = Duration::from_millis(500);

/// The region of a server's data centre, from the settings.
#[derive(Debug)]
pub(crate) struct ServerRegion {
    pub(crate) name: RegionName,
    /// Hash of the name.
    pub(crate) hash: u64,
}

impl From<RegionName> for ServerRegion {
    fn from(name: RegionName) -> Self {
        Self {
            hash: text_hash(name.as_str()),
            name,
        }
    }
}

/// Whether a server may have started again since its entry was read, and what this instance
/// does to find out.
#[derive(Debug, Default)]
pub(crate) struct RestartState {
    pub(crate) tracker: RefCell<RestartTracker>,
    /// Whether this instance or another one reports that the process ended.
    pub(crate) is_end_reported: Cell<bool>,
    /// Whether a request got no response, so that the process may have ended.
    pub(crate) needs_probe: Cell<bool>,
    /// Whether this instance is to watch the server over an open connection.
    pub(crate) is_to_watch: Cell<bool>,
    /// Whether a task of this instance does so.
    pub(crate) is_watched: Cell<bool>,
    /// Whether this instance is asking the server whether it is cold.
    pub(crate) is_asked: Cell<bool>,
    /// Whether the last question was repeated, as its connection broke.
    pub(crate) is_ask_retried: Cell<bool>,
    /// When this instance last began to ask it.
    pub(crate) probed_at: Cell<Option<Instant>>,
}

/// One backend server from its start on; a restarted server is a new value.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) entry: RefCell<ServerEntry>,
    pub(crate) hash: u64,
    /// `None` if the settings do not name its data centre.
    pub(crate) region: RefCell<Option<ServerRegion>>,
    pub(crate) health: RefCell<ServerHealth>,
    /// What the server has asked for.
    pub(crate) gate: RefCell<SendGate>,
    pub(crate) incarnation: ServerIncarnation,
    /// Until when the copy contained all changes in which this start was first read.
    pub(crate) known_since: Instant,
    /// The limit that the last log line named.
    pub(crate) logged_limit: Cell<Option<LimitRate>>,
    /// Until when the server is cold by its entry.
    pub(crate) cold_until: Cell<Option<Instant>>,
    /// Until when its process said that it is cold. The entry may be that of an earlier one.
    stated_cold_until: Cell<Option<Instant>>,
    pub(crate) restart: RestartState,
    /// Whether a later start of the server has replaced this value in the set. Attempts in
    /// progress still hold it.
    pub(crate) is_replaced: Cell<bool>,
    /// The time from which on the server gets no requests, as its entry was
    /// removed.
    pub(crate) removed_at: Cell<Option<Instant>>,
    known_objects: RefCell<BTreeMap<u64, Instant>>,
    /// The last requests in a row on objects that the server had forgotten.
    forgotten_in_row: Cell<u8>,
    pool: RefCell<Vec<ServerConnection>>,
}

impl Server {
    fn new(entry: ServerEntry, region: Option<RegionName>, read_at: Instant, now: Instant) -> Self {
        Self {
            region: RefCell::new(region.map(ServerRegion::from)),
            hash: text_hash(entry.id.as_str()),
            cold_until: Cell::new(cold_until(&entry, now)),
            stated_cold_until: Cell::default(),
            restart: RestartState::default(),
            removed_at: Cell::new(None),
            is_replaced: Cell::new(false),
            health: RefCell::new(ServerHealth::new(now)),
            gate: RefCell::default(),
            incarnation: ServerIncarnation::new(entry.id.as_str(), entry.started),
            known_since: read_at,
            logged_limit: Cell::default(),
            known_objects: RefCell::default(),
            forgotten_in_row: Cell::default(),
            pool: RefCell::default(),
            entry: RefCell::new(entry),
        }
    }

    pub(crate) fn id(&self) -> ServerId {
        self.entry.borrow().id.clone()
    }

    /// Whether the server is cold, or may be because it may have started again.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.known_cold_until().is_some_and(|until| now < until)
            || self.restart.tracker.borrow().is_in_doubt()
    }

    /// Until when the server is cold by its entry and by what its process said.
    pub(crate) fn known_cold_until(&self) -> Option<Instant> {
        self.cold_until.get().max(self.stated_cold_until.get())
    }

    /// Records that the server's process said that it is cold until a time. A shorter time
    /// does not end a longer one. Returns whether the server was not known to be cold, or
    /// for clearly less time.
    pub(crate) fn extend_cold(&self, until: Instant, now: Instant) -> bool {
        let known = self.known_cold_until().filter(|known| now < *known);
        let stated = self.stated_cold_until.get();
        self.stated_cold_until.set(stated.max(Some(until)));
        known.is_none_or(|known| until > known + COLD_TIME_TOLERANCE)
    }

    /// Whether new requests may be sent to the server.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        !self.entry.borrow().draining
            && self.removed_at.get().is_none_or(|at| now < at)
            && !self.gate.borrow().is_leaving()
    }

    /// Whether the server responded to a request for the object recently.
    pub(crate) fn knows_object(&self, object: u64, now: Instant) -> bool {
        self.known_objects
            .borrow()
            .get(&object)
            .is_some_and(|at| now.saturating_duration_since(*at) < KNOWN_OBJECT_TTL)
    }

    /// Records whether the server turned out to know an object that counted as known.
    /// Returns whether it has now lost what it knew.
    pub(crate) fn record_recall(&self, was_known: bool) -> bool {
        if was_known {
            self.forgotten_in_row.set(0);
            return false;
        }
        let count = self.forgotten_in_row.get() + 1;
        let has_lost = count >= MAX_FORGOTTEN_IN_ROW;
        self.forgotten_in_row.set(if has_lost { 0 } else { count });
        if has_lost {
            self.known_objects.borrow_mut().clear();
        }
        has_lost
    }

    pub(crate) fn record_object(&self, object: u64, now: Instant) {
        let mut known = self.known_objects.borrow_mut();
        known.insert(object, now);
        if known.len() > MAX_KNOWN_OBJECTS
            && let Some(oldest) = known
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(object, _)| *object)
        {
            known.remove(&oldest);
        }
    }

    /// Takes the most recently used idle connection that is still usable and has
    /// not carried an attempt of the request with this id.
    pub(crate) fn take_connection(&self, max_idle: Duration, id: &str) -> Option<ServerConnection> {
        let mut pool = self.pool.borrow_mut();
        while let Some(index) = pool.iter().rposition(|pooled| !pooled.has_carried(id)) {
            let connection = pool.remove(index);
            if connection.is_usable(max_idle) {
                return Some(connection);
            }
        }
        None
    }

    /// Whether [`Server::take_connection`] would return a connection.
    pub(crate) fn has_connection(&self, max_idle: Duration, id: &str) -> bool {
        let is_fit =
            |pooled: &ServerConnection| !pooled.has_carried(id) && pooled.is_usable(max_idle);
        self.pool.borrow().iter().any(is_fit)
    }

    pub(crate) fn return_connection(&self, connection: ServerConnection) {
        let mut pool = self.pool.borrow_mut();
        if pool.len() < MAX_IDLE_CONNECTIONS && connection.is_usable(Duration::MAX) {
            pool.push(connection);
        }
    }

    /// Closes idle connections that are no longer usable, which would otherwise
    /// hold descriptors until the server is used again.
    fn close_unusable_connections(&self) {
        self.pool
            .borrow_mut()
            .retain(|connection| connection.is_usable(Duration::MAX));
    }

    /// Closes all idle connections. After a failure of one connection the
    /// others may have failed too.
    pub(crate) fn close_idle_connections(&self) {
        self.pool.borrow_mut().clear();
    }
}

fn cold_until(entry: &ServerEntry, now: Instant) -> Option<Instant> {
    (!entry.cold_remaining.is_zero()).then(|| now + entry.cold_remaining)
}

/// Counts a request as in flight at a server until dropped.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    server: Rc<Server>,
    ticket: AttemptTicket,
}

impl InFlightRequest {
    pub(crate) fn begin(server: &Rc<Server>, now: Instant) -> Self {
        let ticket = server.health.borrow_mut().record_sent(now);
        Self {
            server: Rc::clone(server),
            ticket,
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.server.health.borrow_mut().record_ended(self.ticket);
    }
}

/// What an entry changed in a [`ServerSet`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EntryChange {
    /// Nothing that is logged.
    Unlogged,
    /// The server is new or has an entry again, or its version or draining state changed.
    Changed,
    /// The server started again under the same id.
    Restarted(ReplacedStart),
}

/// What this instance did with a server whose restart it did not know of yet.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ReplacedStart {
    /// When the earlier process started, in milliseconds since the Unix epoch.
    pub(crate) started: Option<i64>,
    /// The requests that were recently sent to it. Some may have reached the later
    /// process.
    pub(crate) recent_sends: usize,
    pub(crate) in_progress: usize,
}

/// All backend servers by id and by service.
#[derive(Debug, Default)]
pub(crate) struct ServerSet {
    servers: BTreeMap<ServerId, Rc<Server>>,
    by_service: BTreeMap<ServiceName, Vec<Rc<Server>>>,
    /// Servers whose entries have been gone for longer than [`REMOVED_RETENTION`]. An entry
    /// that returns continues what is known.
    absent: BTreeMap<ServerId, Rc<Server>>,
    /// Servers that said that they are leaving, and when this instance last heard it from
    /// them. Kept when their entries go: a restored table may contain these again.
    leaving: BTreeMap<ServerIncarnation, Option<Instant>>,
    /// Servers of which this instance has seen that their process ended, and when. Kept
    /// when they start again: others may read the new entry later.
    ended: BTreeMap<ServerKey, EndedStart>,
    /// Servers whose process told this instance that it is cold, and until when, while that
    /// is reported to the others.
    cold: BTreeMap<ServerKey, ColdReport>,
}

/// What a server's process told this instance.
#[derive(Debug, Clone, Copy)]
struct ColdReport {
    at: Instant,
    cold_until: Instant,
}

/// The end of a server's process, as this instance has seen it.
#[derive(Debug, Clone, Copy)]
struct EndedStart {
    incarnation: ServerIncarnation,
    at: Instant,
}

impl ServerSet {
    /// Adds or updates a server from its entry, in a copy that contains all changes until
    /// `read_at`. After a restart under the same id only what may concern the new process
    /// is kept.
    pub(crate) fn update(
        &mut self,
        entry: ServerEntry,
        region: Option<RegionName>,
        read_at: Instant,
        now: Instant,
    ) -> EntryChange {
        let mut change = EntryChange::Changed;
        if let Some(server) = self.absent.remove(&entry.id) {
            self.servers.insert(entry.id.clone(), server);
            self.rebuild_service_index();
        }
        let earlier = self.servers.get(&entry.id).cloned();
        if let Some(server) = &earlier {
            let known = server.entry.borrow().clone();
            let same_place = known.address == entry.address && known.service == entry.service;
            // A late write of a process that has ended, or a server whose clock was set
            // back: nothing says that it is warm.
            let is_earlier_start = entry.started.is_some() && entry.started < known.started;
            if same_place && is_earlier_start {
                server.restart.tracker.borrow_mut().record_end(now);
            }
            if same_place && (known.started == entry.started || is_earlier_start) {
                let was_removed = server.removed_at.take().is_some();
                if let Some(until) = cold_until(&entry, now) {
                    server.cold_until.set(Some(until));
                }
                let changed = known.draining != entry.draining
                    || known.version != entry.version
                    || is_earlier_start
                    || was_removed;
                *server.entry.borrow_mut() = entry;
                *server.region.borrow_mut() = region.map(ServerRegion::from);
                return if changed {
                    EntryChange::Changed
                } else {
                    EntryChange::Unlogged
                };
            }
            server.close_idle_connections();
            server.is_replaced.set(true);
            change = EntryChange::Restarted(ReplacedStart {
                started: known.started,
                recent_sends: server.gate.borrow().cold().recent_sends(now),
                in_progress: server.health.borrow().in_progress(),
            });
        }
        let mut server = Server::new(entry, region, read_at, now);
        if let Some(earlier) = earlier {
            let tracker = earlier.restart.tracker.borrow();
            let gate = earlier.gate.borrow().after_restart(tracker.running_since());
            server.gate = RefCell::new(gate);
            // The new entry may be an old one that arrived late, of a process that ended too.
            if earlier.entry.borrow().address == server.entry.borrow().address {
                server.restart.tracker = RefCell::new(tracker.clone());
                server
                    .stated_cold_until
                    .set(earlier.stated_cold_until.get());
            }
        }
        if self.leaving.contains_key(&server.incarnation) {
            server.gate.borrow_mut().record_leaving(now);
        } else if server.gate.borrow().is_leaving() {
            self.record_leaving(server.incarnation, now);
        }
        self.servers.insert(server.id(), Rc::new(server));
        self.rebuild_service_index();
        change
    }

    /// Assigns the regions of all servers again, after a change of the
    /// settings.
    pub(crate) fn update_regions(&self, regions: &BTreeMap<CentreName, RegionName>) {
        for server in self.servers.values() {
            let region = regions.get(&server.entry.borrow().centre).cloned();
            *server.region.borrow_mut() = region.map(ServerRegion::from);
        }
    }

    /// Marks a server as removed from a time on; of several times the earliest
    /// counts.
    pub(crate) fn mark_removed(&mut self, id: &ServerId, at: Instant) {
        if let Some(server) = self.servers.get(id) {
            let earlier = server.removed_at.get().map_or(at, |known| known.min(at));
            server.removed_at.set(Some(earlier));
        }
    }

    /// Records that a server said to this instance that it is leaving.
    pub(crate) fn record_leaving(&mut self, server: ServerIncarnation, now: Instant) {
        self.leaving.insert(server, Some(now));
        self.limit_leaving();
    }

    /// Adds servers that said to other instances that they are leaving. Returns those
    /// that were not known to be.
    pub(crate) fn add_reported_leaving(
        &mut self,
        reported: &BTreeSet<ServerIncarnation>,
    ) -> Vec<Rc<Server>> {
        let is_known = |server: &ServerIncarnation| self.leaving.contains_key(server);
        if reported.iter().all(is_known) {
            return Vec::new();
        }
        for server in reported {
            self.leaving.entry(*server).or_insert(None);
        }
        self.limit_leaving();
        let is_new = |server: &&Rc<Server>| {
            reported.contains(&server.incarnation) && !server.gate.borrow().is_leaving()
        };
        self.servers.values().filter(is_new).cloned().collect()
    }

    /// Forgets the servers of which this was heard the longest ago.
    fn limit_leaving(&mut self) {
        while self.leaving.len() > MAX_LEAVING_SERVERS {
            let oldest = self.leaving.iter().min_by_key(|(_, heard_at)| **heard_at);
            let Some(oldest) = oldest.map(|(server, _)| *server) else {
                return;
            };
            self.leaving.remove(&oldest);
        }
    }

    /// The servers that recently said to this instance that they are leaving, for the
    /// digest.
    pub(crate) fn leaving_reports(&self, now: Instant) -> Vec<ServerIncarnation> {
        let is_recent =
            |heard_at: &Instant| now.saturating_duration_since(*heard_at) < LEAVING_REPORT_PERIOD;
        self.leaving
            .iter()
            .filter(|(_, heard_at)| heard_at.as_ref().is_some_and(is_recent))
            .map(|(server, _)| *server)
            .collect()
    }

    /// The servers that may have started again.
    pub(crate) fn in_doubt(&self) -> Vec<Rc<Server>> {
        let is_in_doubt = |server: &&Rc<Server>| server.restart.tracker.borrow().is_in_doubt();
        self.servers.values().filter(is_in_doubt).cloned().collect()
    }

    pub(crate) fn of_key(&self, key: ServerKey) -> Option<Rc<Server>> {
        self.find(|server| ServerKey::new(server.hash) == key)
    }

    pub(crate) fn of_incarnation(&self, incarnation: ServerIncarnation) -> Option<Rc<Server>> {
        self.find(|server| server.incarnation == incarnation)
    }

    fn find(&self, is_sought: impl Fn(&Server) -> bool) -> Option<Rc<Server>> {
        let mut servers = self.servers.values();
        servers.find(|server| is_sought(server)).cloned()
    }

    /// Records that this instance has seen that a server's process ended.
    pub(crate) fn record_ended(&mut self, server: &Server, now: Instant) {
        self.ended
            .retain(|_, ended| now.saturating_duration_since(ended.at) < END_REPORT_PERIOD);
        let ended = EndedStart {
            incarnation: server.incarnation,
            at: now,
        };
        self.ended.insert(ServerKey::new(server.hash), ended);
    }

    /// Records that the known process of a server did not end. That an earlier one ended is
    /// still reported.
    pub(crate) fn take_back_ended(&mut self, server: &Server) {
        let is_of_known = |ended: &EndedStart| ended.incarnation == server.incarnation;
        let key = ServerKey::new(server.hash);
        if self.ended.get(&key).is_some_and(is_of_known) {
            self.ended.remove(&key);
        }
    }

    /// The servers whose process has ended recently, and for how long, for the digest.
    pub(crate) fn ended_reports(
        &self,
        now: Instant,
    ) -> Vec<(ServerKey, ServerIncarnation, Duration)> {
        let age = |ended: &EndedStart| now.saturating_duration_since(ended.at);
        self.ended
            .iter()
            .map(|(server, ended)| (*server, ended.incarnation, age(ended)))
            .filter(|(_, _, age)| *age < END_REPORT_PERIOD)
            .collect()
    }

    /// Records that a server's process told this instance until when it is cold, so that
    /// the others are told.
    pub(crate) fn record_cold(&mut self, server: &Server, cold_until: Instant, now: Instant) {
        self.cold
            .retain(|_, report| now.saturating_duration_since(report.at) < COLD_REPORT_PERIOD);
        let report = ColdReport {
            at: now,
            cold_until,
        };
        self.cold.insert(ServerKey::new(server.hash), report);
    }

    /// The servers whose process said that it is cold, and for how much longer, for the
    /// digest.
    pub(crate) fn cold_reports(&self, now: Instant) -> Vec<(ServerKey, Duration)> {
        self.cold
            .iter()
            .filter(|(_, report)| now.saturating_duration_since(report.at) < COLD_REPORT_PERIOD)
            .map(|(server, report)| (*server, report.cold_until.saturating_duration_since(now)))
            .filter(|(_, left)| !left.is_zero())
            .collect()
    }

    /// Closes the unusable idle connections of all servers.
    pub(crate) fn close_unusable_connections(&self) {
        for server in self.servers.values() {
            server.close_unusable_connections();
        }
    }

    /// Sets servers aside that were removed some seconds ago, and drops them later.
    pub(crate) fn expire_removed(&mut self, now: Instant) {
        let is_removed_for = |server: &Server, span| {
            let removed_at = server.removed_at.get();
            removed_at.is_some_and(|at| now.saturating_duration_since(at) >= span)
        };
        self.absent
            .retain(|_, server| !is_removed_for(server, ABSENT_RETENTION));
        let removed: Vec<(ServerId, Rc<Server>)> = self
            .servers
            .extract_if(.., |_, server| is_removed_for(server, REMOVED_RETENTION))
            .collect();
        if removed.is_empty() {
            return;
        }
        for (_, server) in &removed {
            server.close_idle_connections();
        }
        self.absent.extend(removed);
        self.rebuild_service_index();
    }

    /// A server that is without an entry.
    pub(crate) fn without_entry(&self, id: &ServerId, now: Instant) -> Option<Rc<Server>> {
        let server = self.servers.get(id).or_else(|| self.absent.get(id))?;
        let is_gone = server.removed_at.get().is_some_and(|at| at <= now);
        is_gone.then(|| Rc::clone(server))
    }

    fn rebuild_service_index(&mut self) {
        self.by_service.clear();
        for server in self.servers.values() {
            let service = server.entry.borrow().service.clone();
            self.by_service
                .entry(service)
                .or_default()
                .push(Rc::clone(server));
        }
    }

    pub(crate) fn of_service(&self, service: &ServiceName) -> &[Rc<Server>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.servers.values()
    }

    /// This instance's requests in flight by server, for the digest.
    pub(crate) fn loads(&self) -> Vec<(ServerTag, u8)> {
        let load = |server: &Rc<Server>| {
            let count = server.health.borrow().in_progress();
            (
                ServerTag::new(server.hash),
                u8::try_from(count).unwrap_or(u8::MAX),
            )
        };
        self.servers
            .values()
            .map(load)
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// The servers that this instance suspects, for the digest.
    pub(crate) fn suspects(
        &self,
        reach: &ReachTracker,
        now: Instant,
    ) -> Vec<(ServerTag, SuspectReason)> {
        let suspect = |server: &Rc<Server>| {
            let reason = server.health.borrow().suspect_reason(reach, now)?;
            Some((ServerTag::new(server.hash), reason))
        };
        self.servers.values().filter_map(suspect).collect()
    }

    /// The limits that servers stated to this instance, for the digest.
    pub(crate) fn limit_reports(&self, now: Instant) -> Vec<LimitReport> {
        let report = |server: &Rc<Server>| {
            let gate = server.gate.borrow();
            gate.limit().report(ServerTag::new(server.hash), now)
        };
        self.servers.values().filter_map(report).collect()
    }

    /// The number of servers with requests in progress for `span` without a response.
    pub(crate) fn count_silent(&self, span: Duration, now: Instant) -> usize {
        let is_silent = |server: &&Rc<Server>| server.health.borrow().is_silent(span, now);
        self.servers.values().filter(is_silent).count()
    }

    /// Servers that show whether this instance reaches any: random ones, half of them in
    /// its own region if there are enough, and those that did not fail lately first.
    /// Servers that asked for a pause are left out.
    pub(crate) fn probe_targets(
        &self,
        count: usize,
        own_region: &RegionName,
        now: Instant,
    ) -> Vec<Rc<Server>> {
        let mut ranked: Vec<(bool, u64, &Rc<Server>)> = self
            .servers
            .values()
            .filter(|server| server.is_available(now))
            .filter(|server| server.gate.borrow().paused_until(now).is_none())
            .map(|server| {
                let has_failed = server.health.borrow().has_failed_recently(now);
                (has_failed, rand::random(), server)
            })
            .collect();
        ranked.sort_unstable_by_key(|(has_failed, order, _)| (*has_failed, *order));
        let is_near = |server: &Server| {
            let region = server.region.borrow();
            region
                .as_ref()
                .is_some_and(|region| region.name == *own_region)
        };
        let (near, far): (Vec<&Rc<Server>>, Vec<&Rc<Server>>) = ranked
            .iter()
            .map(|(_, _, server)| *server)
            .partition(|server| is_near(server));
        let near_count = near.len().min(count - (count / 2).min(far.len()));
        near.into_iter()
            .take(near_count)
            .chain(far)
            .take(count)
            .cloned()
            .collect()
    }

    pub(crate) fn get(&self, id: &ServerId) -> Option<&Rc<Server>> {
        self.servers.get(id)
    }

    pub(crate) fn services(&self) -> impl Iterator<Item = (&ServiceName, &[Rc<Server>])> {
        self.by_service
            .iter()
            .map(|(service, servers)| (service, servers.as_slice()))
    }

    /// The number of available servers of a service by version.
    pub(crate) fn versions(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> BTreeMap<VersionName, usize> {
        let mut versions = BTreeMap::new();
        for server in self
            .of_service(service)
            .iter()
            .filter(|server| server.is_available(now))
        {
            *versions
                .entry(server.entry.borrow().version.clone())
                .or_insert(0) += 1;
        }
        versions
    }
}
