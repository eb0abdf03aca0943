//! Servers that may have started again since their entry was read: the signs of it, and
//! what ends the doubt.

use std::collections::BTreeMap;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tarragonpulley_policy::entry::digest::{
    InstanceDigest, InstanceRecord, SectionTag, ServerIncarnation, ServerKey,
};
use tarragonpulley_policy::entry::names::{CentreName, RegionName, ServerId};
use tarragonpulley_policy::entry::placement::text_hash;
use tarragonpulley_policy::entry::restart::{
    ServerDistance, WATCHERS, WatchCandidate, report_concerns, watches_server,
};

use crate::forward::CONNECT_TIMEOUT;
use crate::http::client::ServerConnection;
use crate::instance::Instance;
use crate::metrics::DoubtLabel;
use crate::mirror::TableMirror;
use crate::servers::Server;
use crate::table::TableKind;

/// Interval of the check whether doubts have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// One of this many checks probes servers of which no running process was seen.
const CHECKS_PER_PROBE: u32 = 2;

/// One of this many checks decides which servers this instance watches.
const CHECKS_PER_WATCH: u32 = 4;

/// Interval of the check whether a server is still to be watched.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two connections of a watch that do not last.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The shortest time between two digests that are sent for reports of ended and cold
/// processes.
const REPORT_GAP: Duration = Duration::from_millis(100);

/// The shortest time between two probes of a server. Failed requests to any server request
/// a check, and a full server rejects each question.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of probes that a check begins.
const MAX_PROBES: usize = 16;

/// A short time in digests, in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireMillis(u16);

impl From<Duration> for WireMillis {
    fn from(span: Duration) -> Self {
        Self(u16::try_from(span.as_millis()).unwrap_or(u16::MAX))
    }
}

impl From<WireMillis> for Duration {
    fn from(span: WireMillis) -> Self {
        Self::from_millis(span.0.into())
    }
}

fn is_network_failure(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}

/// The instances that may watch servers, at one moment.
#[derive(Debug)]
struct WatcherView {
    own: WatcherPlace,
    others: Vec<WatcherPlace>,
    /// The number of instances in each data centre.
    counts: BTreeMap<CentreName, usize>,
}

/// An instance and its location.
#[derive(Debug)]
struct WatcherPlace {
    /// Hash of the instance's name.
    hash: u64,
    centre: CentreName,
    region: RegionName,
}

impl From<&InstanceRecord> for WatcherPlace {
    fn from(record: &InstanceRecord) -> Self {
        Self {
            hash: text_hash(record.name.as_str()),
            centre: record.centre.clone(),
            region: record.region.clone(),
        }
    }
}

impl WatcherView {
    fn new<'a>(own: &InstanceRecord, others: impl Iterator<Item = &'a InstanceRecord>) -> Self {
        let own = WatcherPlace::from(own);
        let others: Vec<WatcherPlace> = others.map(WatcherPlace::from).collect();
        let mut counts = BTreeMap::new();
        for place in others.iter().chain([&own]) {
            *counts.entry(place.centre.clone()).or_default() += 1;
        }
        Self {
            own,
            others,
            counts,
        }
    }

    /// Whether this instance is to watch a server.
    fn own_watches(&self, server: &Server) -> bool {
        let (entry, region) = (server.entry.borrow(), server.region.borrow());
        let is_near = self.own.centre == entry.centre;
        let near_count = self.counts.get(&entry.centre).copied().unwrap_or(0);
        if !is_near && near_count >= WATCHERS {
            return false;
        }
        let candidate = |place: &WatcherPlace| WatchCandidate {
            instance: place.hash,
            distance: match &*region {
                _ if place.centre == entry.centre => ServerDistance::SameCentre,
                Some(region) if region.name == place.region => ServerDistance::SameRegion,
                _ => ServerDistance::OtherRegion,
            },
        };
        let others = self.others.iter().map(candidate);
        watches_server(server.hash, candidate(&self.own), others)
    }
}

/// Marks a server as being asked whether it is cold, until dropped.
#[derive(Debug)]
struct AskGuard {
    server: Rc<Server>,
}

impl AskGuard {
    fn new(server: Rc<Server>, now: Instant) -> Self {
        server.restart.needs_probe.set(false);
        server.restart.is_asked.set(true);
        server.restart.probed_at.set(Some(now));
        Self { server }
    }
}

impl Drop for AskGuard {
    fn drop(&mut self) {
        self.server.restart.is_asked.set(false);
    }
}

/// Marks a server as watched until dropped.
#[derive(Debug)]
struct WatchGuard {
    server: Rc<Server>,
}

impl WatchGuard {
    fn new(server: Rc<Server>) -> Self {
        server.restart.is_watched.set(true);
        Self { server }
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.server.restart.is_watched.set(false);
    }
}

/// The section of a digest with the servers whose process has ended.
#[derive(Debug, Serialize, Deserialize)]
struct EndedSection {
    /// The last value is the age of the report.
    servers: Vec<(ServerKey, ServerIncarnation, WireMillis)>,
}

impl Instance {
    /// Records that no connection to a server could be opened, so that its process may
    /// have ended. That it refuses connections is reported to the other instances; without
    /// a response, the network may have failed on the way from here. Errors of this
    /// instance say nothing about the server.
    pub(crate) fn suspect_restart(&self, server: &Server, error: &io::Error) {
        let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
        if !is_refused && !is_network_failure(error) {
            return;
        }
        let now = self.now();
        let is_new = self.suspect(server, now);
        if is_new {
            // A process that was seen since the last report has ended too.
            server.restart.is_end_reported.set(false);
        }
        let is_reported = is_refused
            && server.restart.tracker.borrow().is_in_doubt()
            && !self.reach.borrow().is_partitioned()
            && !server.restart.is_end_reported.replace(true);
        if is_reported {
            let mut servers = self.servers.borrow_mut();
            servers.record_ended(server, now);
            self.restart_reported.notify_one();
        }
        if is_new || is_reported {
            self.log.event(
                "restart_suspected",
                json!({"server": server.id().as_str(), "reason": error.to_string(),
                    "is_reported": is_reported}),
            );
        }
    }

    /// Records that the other instances report that they cannot reach a server, so that its
    /// process may have ended.
    pub(crate) fn suspect_unreachable(&self, server: &Server) {
        self.suspect_because(server, "unreachable for others");
    }

    /// Has a server probed that left a request from `started` without a response until now,
    /// unless another response arrived in the second half of that time.
    pub(crate) fn probe_silent(&self, server: &Server, started: Instant) {
        let half_time = started + self.now().saturating_duration_since(started) / 2;
        if !server.health.borrow().has_responded_since(half_time) {
            self.request_probe(server);
        }
    }

    /// Has a server probed at once, as a request to it got no response. The network and busy
    /// servers cause that too.
    pub(crate) fn request_probe(&self, server: &Server) {
        if !self.cold_period(server).is_zero() {
            server.restart.needs_probe.set(true);
            self.probe_requested.notify_one();
        }
    }

    /// Records that a server whose entry returns may have started again without one, in
    /// which time no instance watched it. A connection that worked in that time does not
    /// show which process runs now.
    pub(crate) fn suspect_after_absence(&self, id: &ServerId) {
        let absent = self.servers.borrow().without_entry(id, self.now());
        if let Some(server) = absent {
            self.suspect_because(&server, "the entry was gone");
        }
    }

    /// Records and logs a sign that the process of a server may have ended.
    fn suspect_because(&self, server: &Server, reason: &str) {
        if self.suspect(server, self.now()) {
            self.log.event(
                "restart_suspected",
                json!({"server": server.id().as_str(), "reason": reason}),
            );
        }
    }

    /// Records a sign that the process of a server had ended at `at`. Returns whether the
    /// server may have started again because of it.
    fn suspect(&self, server: &Server, at: Instant) -> bool {
        let is_new = !self.cold_period(server).is_zero() && {
            let mut tracker = server.restart.tracker.borrow_mut();
            tracker.record_end(at)
        };
        if is_new {
            self.count_doubt("suspected");
        }
        is_new
    }

    /// Records that a connection to a server works.
    pub(crate) fn record_running(&self, server: &Server, connection: &ServerConnection) {
        let mut tracker = server.restart.tracker.borrow_mut();
        tracker.record_running(connection.opened_at(), self.now());
    }

    /// How long servers of the same service are cold after a start.
    pub(crate) fn cold_period(&self, server: &Server) -> Duration {
        let config = self.config.borrow();
        let rule = config
            .as_ref()
            .and_then(|config| config.services.get(&server.entry.borrow().service));
        rule.map_or(Duration::ZERO, |rule| rule.cold_period)
    }

    pub(crate) fn count_doubt(&self, change: &'static str) {
        let label = DoubtLabel { change };
        self.metrics.restart_doubts.get_or_create(&label).inc();
    }

    /// Ends doubts, and probes the servers of which no running process was seen, until the
    /// process ends.
    pub(crate) async fn watch_restarts(self: Rc<Self>) {
        for check in 1_u32.. {
            let is_requested = tokio::select! {
                () = self.probe_requested.notified() => true,
                () = actix_rt::time::sleep(CHECK_INTERVAL) => false,
            };
            let doubted = self.servers.borrow().in_doubt();
            self.settle_doubts(&doubted);
            let is_due = is_requested || check.is_multiple_of(CHECKS_PER_PROBE);
            if is_due && !self.reach.borrow().is_partitioned() {
                self.probe_processes();
            }
            if check.is_multiple_of(CHECKS_PER_WATCH) {
                self.update_watches();
            } else if self.has_new_servers.get() {
                self.begin_watches();
            }
        }
    }

    fn settle_doubts(&self, doubted: &[Rc<Server>]) {
        if doubted.is_empty() {
            return;
        }
        let now = self.now();
        for server in doubted {
            let cold_period = self.cold_period(server);
            let mut tracker = server.restart.tracker.borrow_mut();
            let has_ended = tracker.settle(cold_period, now);
            drop(tracker);
            if has_ended {
                self.rule_out_restart(server);
            }
        }
    }

    /// Records that a server is no longer in doubt, as its process is not cold.
    pub(crate) fn rule_out_restart(&self, server: &Server) {
        self.servers.borrow_mut().take_back_ended(server);
        server.restart.is_end_reported.set(false);
        self.count_doubt("ruled_out");
        self.log
            .event("restart_ruled_out", json!({"server": server.id().as_str()}));
    }

    /// The time up to which the copy of the servers' entries contains all changes of the
    /// table service. A time in which the machine was suspended makes it seem older than it
    /// is.
    pub(crate) fn servers_copied_at(&self) -> Option<Instant> {
        let mirrors = self.mirrors.borrow();
        let proof = mirrors
            .get(&TableKind::Servers)
            .and_then(TableMirror::last_proof)?;
        let age = self.proof_now().saturating_duration_since(proof);
        self.now().checked_sub(age)
    }

    /// Probes servers whose process may have ended, a part of them at random if there are
    /// many.
    fn probe_processes(self: &Rc<Self>) {
        let now = self.now();
        let needs_probe = |server: &&Rc<Server>| {
            server.is_available(now)
                && !server.restart.is_asked.get()
                && server
                    .restart
                    .probed_at
                    .get()
                    .is_none_or(|at| now >= at + MIN_PROBE_INTERVAL)
                && self.needs_probe(server)
        };
        let mut targets: Vec<Rc<Server>> = {
            let servers = self.servers.borrow();
            servers.all().filter(needs_probe).cloned().collect()
        };
        targets.shuffle(&mut rand::rng());
        for server in targets.into_iter().take(MAX_PROBES) {
            let probe = Rc::clone(self).probe_process(AskGuard::new(server, now));
            actix_rt::spawn(probe);
        }
    }

    fn needs_probe(&self, server: &Server) -> bool {
        let tracker = server.restart.tracker.borrow();
        server.restart.needs_probe.get()
            || tracker.needs_probe()
            || tracker.needs_answer() && self.health_path(server).is_some()
    }

    /// Asks a server's process whether it is cold. A server may refuse new connections
    /// while open ones work.
    async fn probe_process(self: Rc<Self>, guard: AskGuard) {
        let server = &guard.server;
        let connection = match self.open_to_process(server).await {
            Ok(connection) => Some(connection),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                server.take_connection(Duration::MAX, "")
            }
            Err(_silent) => None,
        };
        if let Some(connection) = connection {
            self.ask_process(server, connection).await;
        }
    }

    /// Opens a connection to learn whether the server's process runs.
    async fn open_to_process(&self, server: &Server) -> io::Result<ServerConnection> {
        let address = server.entry.borrow().address;
        self.metrics.connections_opened.inc();
        let result = ServerConnection::open(address, CONNECT_TIMEOUT).await;
        match &result {
            Ok(connection) => self.record_running(server, connection),
            Err(error) => self.suspect_restart(server, error),
        }
        result
    }

    /// Decides which servers this instance watches, and starts to watch them.
    fn update_watches(self: &Rc<Self>) {
        let watchers = {
            let peers = self.peers.borrow();
            WatcherView::new(peers.own(), peers.ready(self.now()))
        };
        for server in self.servers.borrow().all() {
            server.restart.is_to_watch.set(false);
        }
        self.start_watches(&watchers);
    }

    /// Starts to watch servers that are new here, if this instance is to do so whichever
    /// other instances are ready. Right after a start it has not heard from them yet.
    fn begin_watches(self: &Rc<Self>) {
        let watchers = {
            let peers = self.peers.borrow();
            if peers.sharer_hashes(self.now()).is_none() {
                return;
            }
            WatcherView::new(peers.own(), peers.known_instances())
        };
        self.start_watches(&watchers);
    }

    /// Watches the servers that are this instance's to watch among `watchers`, with those
    /// that it watches already.
    fn start_watches(self: &Rc<Self>, watchers: &WatcherView) {
        self.has_new_servers.set(false);
        let now = self.now();
        for server in self.servers.borrow().all() {
            let is_to_watch = server.is_available(now)
                && !self.cold_period(server).is_zero()
                && watchers.own_watches(server);
            if !is_to_watch {
                continue;
            }
            server.restart.is_to_watch.set(true);
            if !server.restart.is_watched.get() {
                let guard = WatchGuard::new(Rc::clone(server));
                let watch = Rc::clone(self).watch_server(guard);
                actix_rt::spawn(watch);
            }
        }
    }

    /// Keeps a connection to a server open while this instance is to watch it. When it
    /// ends, the next one shows whether the process did.
    async fn watch_server(self: Rc<Self>, guard: WatchGuard) {
        let server = &guard.server;
        let is_to_watch = || {
            server.restart.is_to_watch.get()
                && !server.is_replaced.get()
                && server.is_available(self.now())
        };
        while is_to_watch() {
            let opened = self.now();
            if !self.reach.borrow().is_partitioned()
                && let Ok(connection) = self.open_to_process(server).await
            {
                let closed = connection.closed();
                let mut closed = pin!(closed);
                while is_to_watch()
                    && tokio::time::timeout(WATCH_CHECK_INTERVAL, &mut closed)
                        .await
                        .is_err()
                {}
                // The next connection may reach the process right before its end.
                if is_to_watch() {
                    self.request_probe(server);
                }
            }
            let lasted = self.now().saturating_duration_since(opened);
            actix_rt::time::sleep(WATCH_RETRY_DELAY.saturating_sub(lasted)).await;
        }
    }

    /// Has digests sent when there are new reports, until the process ends. Servers often
    /// end together, so reports that follow each other share a digest.
    pub(crate) async fn send_restart_reports(self: Rc<Self>) {
        loop {
            self.restart_reported.notified().await;
            self.digest_requested.notify_one();
            actix_rt::time::sleep(REPORT_GAP).await;
        }
    }

    /// The section of the digest with the servers whose process has ended.
    pub(crate) fn encode_ended_section(&self, now: Instant) -> Option<Vec<u8>> {
        let reports = self.servers.borrow().ended_reports(now);
        if reports.is_empty() {
            return None;
        }
        let servers = reports
            .into_iter()
            .map(|(server, incarnation, age)| (server, incarnation, age.into()))
            .collect();
        self.encode_section(&EndedSection { servers })
    }

    /// Records the servers whose process another instance reports as ended.
    pub(crate) fn receive_ended(&self, digest: &InstanceDigest, now: Instant) {
        let reporter = &digest.record.name;
        let Some(section) = self.read_section::<EndedSection>(digest, SectionTag::ENDED_SERVERS)
        else {
            return;
        };
        for (key, incarnation, age) in section.servers {
            let server = self.servers.borrow().of_key(key);
            let at = now.checked_sub(age.into()).unwrap_or(now);
            let is_concerned = |server: &Rc<Server>| {
                report_concerns(server.incarnation == incarnation, server.known_since, at)
            };
            let Some(server) = server
                .filter(is_concerned)
                .filter(|server| self.suspect(server, at))
            else {
                continue;
            };
            server.restart.is_end_reported.set(true);
            self.log.event(
                "restart_suspected",
                json!({"server": server.id().as_str(), "reporter": reporter.as_str()}),
            );
            // The delegate passes the report on to the other data centres at once.
            if self.peers.borrow().is_delegate(now) {
                self.restart_reported.notify_one();
            }
        }
    }
}
