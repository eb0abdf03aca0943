//! State of backend servers, and the power-of-two-choices order among them.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::{Duration, Instant};

use crate::facts::ServerReport;
use crate::ids::{IncarnationId, ServerKey, ServerName};

/// Time after its start for which a server gets only a growing fraction of its
/// slots, because its caches are cold.
pub const SLOW_START_WINDOW: Duration = Duration::from_secs(20);

/// Age from which a report no longer counts for health or load.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Consecutive failures seen by this instance after which it ejects a server,
/// regardless of the server's health check responses.
const EJECTION_FAILURES: u32 = 3;

/// Time for which an ejected server gets no requests. After it, one more
/// failure ejects the server again.
const EJECTION_TIME: Duration = Duration::from_secs(2);

/// Time for which a server's own report that it is leaving takes precedence
/// over health check responses, which may be out of date.
const LEAVING_RETENTION: Duration = Duration::from_secs(30);

/// A source of random numbers. Tests pass a seeded one.
pub trait RandomSource: Debug {
    /// Returns a number below `bound`, which must not be zero.
    fn below(&mut self, bound: usize) -> usize;
}

/// The state of a server at one moment, as seen by this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerState {
    /// Whether health checks and the requests of this instance find it healthy.
    pub healthy: bool,
    /// Whether it is leaving and must get no new requests.
    pub leaving: bool,
    /// Requests of this instance that are running on it.
    pub running: u32,
    /// Requests running on it, from all instances, as of its latest report.
    pub reported_load: u32,
    /// Time since its start, or `None` if no recent report gives it.
    pub uptime: Option<Duration>,
}

impl Default for ServerState {
    fn default() -> Self {
        Self {
            healthy: true,
            leaving: false,
            running: 0,
            reported_load: 0,
            uptime: None,
        }
    }
}

impl ServerState {
    /// Whether the server may get one more request from this instance.
    ///
    /// The reported load counts only during the slow start. After that the
    /// fleet-wide slot limit protects the server, and a report may be out of
    /// date.
    pub(super) fn accepts_request(&self, slots: u32) -> bool {
        let cold = self.uptime.is_some_and(|uptime| uptime < SLOW_START_WINDOW);
        let occupied = if cold {
            self.running.max(self.reported_load)
        } else {
            self.running
        };
        self.healthy && !self.leaving && occupied < usable_slots(slots, self.uptime)
    }
}

/// Number of instances that the connection limit of a server is divided among.
/// A fleet has at most 12 instances; the bound is 16 because slots divide
/// exactly into up to 16 shares.
const MAX_SHARING_INSTANCES: u32 = 16;

/// Old and new connections may be open at the same time while the old ones
/// are being replaced, so only half of the limit is used.
const CONNECTION_GENERATIONS: u32 = 2;

/// Connections that one instance may have to a server in ordinary use.
/// Further requests would wait for a connection after the last check of their
/// preconditions.
#[must_use]
pub fn connection_share(connections: u32) -> u32 {
    (connections / MAX_SHARING_INSTANCES / CONNECTION_GENERATIONS).max(1)
}

/// The slots that a server with this uptime may use: a fraction that grows
/// linearly over [`SLOW_START_WINDOW`], and at least one.
#[must_use]
pub fn usable_slots(slots: u32, uptime: Option<Duration>) -> u32 {
    match uptime {
        Some(uptime) if uptime < SLOW_START_WINDOW => {
            let fraction = u128::from(slots) * uptime.as_millis() / SLOW_START_WINDOW.as_millis();
            u32::try_from(fraction).unwrap_or(slots).max(1)
        }
        _ => slots,
    }
}

/// A server that may get the request.
#[derive(Debug)]
pub(super) struct CandidateServer<'a> {
    pub(super) name: &'a ServerName,
    pub(super) state: ServerState,
}

/// Orders a group by repeatedly taking the less loaded of two random servers.
pub(super) fn two_choice_order(
    mut group: Vec<CandidateServer<'_>>,
    random: &mut dyn RandomSource,
) -> Vec<ServerName> {
    let mut order = Vec::with_capacity(group.len());
    while !group.is_empty() {
        let first = random.below(group.len());
        let mut best = first;
        if group.len() > 1 {
            let second = (first + 1 + random.below(group.len() - 1)) % group.len();
            let key = |index: usize| {
                let state = &group[index].state;
                (state.running, state.reported_load)
            };
            if key(second) < key(first) {
                best = second;
            }
        }
        order.push(group.swap_remove(best).name.clone());
    }
    order
}

#[derive(Debug, Clone)]
struct StoredReport {
    report: ServerReport,
    received_at: Instant,
}

/// Reports and own observations of one server.
#[derive(Debug, Clone, Default)]
struct ServerObservations {
    reports: BTreeMap<IncarnationId, StoredReport>,
    running: u32,
    consecutive_failures: u32,
    /// Fingerprint of the request that failed last, if the request itself may
    /// be the cause.
    last_suspect: Option<u64>,
    ejected_until: Option<Instant>,
    /// When the server itself last reported that it is leaving.
    leaving_reported_at: Option<Instant>,
}

impl ServerObservations {
    fn fresh_reports(&self, now: Instant) -> impl Iterator<Item = &StoredReport> {
        self.reports
            .values()
            .filter(move |stored| now.duration_since(stored.received_at) < REPORT_TTL)
    }

    fn has_reported_leaving(&self, now: Instant) -> bool {
        self.leaving_reported_at
            .is_some_and(|reported_at| now.duration_since(reported_at) < LEAVING_RETENTION)
    }

    fn state(&self, now: Instant) -> ServerState {
        let latest = self
            .fresh_reports(now)
            .max_by_key(|stored| stored.received_at);
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        // One report of good health is enough: another reporter may be
        // partitioned from a healthy server.
        let healthy =
            latest.is_none() || self.fresh_reports(now).any(|stored| stored.report.healthy);
        ServerState {
            healthy: healthy && !ejected,
            leaving: self.has_reported_leaving(now)
                || self.fresh_reports(now).any(|stored| stored.report.leaving),
            running: self.running,
            reported_load: latest.map_or(0, |stored| stored.report.load),
            uptime: latest
                .map(|stored| stored.report.uptime + now.duration_since(stored.received_at)),
        }
    }
}

/// Reports and own observations of all servers, kept by one instance.
#[derive(Debug, Clone, Default)]
pub struct ServerStateTable {
    servers: BTreeMap<ServerKey, ServerObservations>,
}

impl ServerStateTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the report of an instance. A report with a sequence number that
    /// is not above the stored one is ignored.
    pub fn record_report(
        &mut self,
        server: &ServerKey,
        reporter: &IncarnationId,
        report: &ServerReport,
        now: Instant,
    ) {
        let observed = self.servers.entry(server.clone()).or_default();
        let known = observed.reports.get(reporter);
        if known.is_some_and(|stored| stored.report.sequence >= report.sequence) {
            return;
        }
        // A server that started after the leaving report is a new process.
        let started = observed
            .leaving_reported_at
            .map(|reported_at| now.duration_since(reported_at));
        if !report.leaving && started.is_some_and(|since| report.uptime < since) {
            observed.leaving_reported_at = None;
        }
        let stored = StoredReport {
            report: report.clone(),
            received_at: now,
        };
        observed.reports.insert(reporter.clone(), stored);
    }

    /// Records that the server itself reported that it is leaving.
    pub fn record_leaving(&mut self, server: &ServerKey, now: Instant) {
        self.servers
            .entry(server.clone())
            .or_default()
            .leaving_reported_at = Some(now);
    }

    /// Counts a request of this instance as running on the server.
    pub fn record_start(&mut self, server: &ServerKey) {
        self.servers.entry(server.clone()).or_default().running += 1;
    }

    /// Stops counting one request of this instance as running on the server.
    pub fn record_end(&mut self, server: &ServerKey) {
        if let Some(observed) = self.servers.get_mut(server) {
            observed.running = observed.running.saturating_sub(1);
        }
    }

    /// Records a response of the server, which ends a row of failures and an
    /// ejection.
    pub fn record_success(&mut self, server: &ServerKey) {
        if let Some(observed) = self.servers.get_mut(server) {
            observed.consecutive_failures = 0;
            observed.last_suspect = None;
            observed.ejected_until = None;
        }
    }

    /// Records a failure of the server. Consecutive failures eject it, even when
    /// its health check responses are good.
    ///
    /// `suspect` is the fingerprint of the request, if the request itself may be
    /// the cause. Consecutive failures of the same such request count once.
    pub fn record_failure(&mut self, server: &ServerKey, suspect: Option<u64>, now: Instant) {
        let observed = self.servers.entry(server.clone()).or_default();
        if suspect.is_some() && observed.last_suspect == suspect {
            return;
        }
        observed.last_suspect = suspect;
        observed.consecutive_failures += 1;
        if observed.consecutive_failures >= EJECTION_FAILURES {
            observed.ejected_until = Some(now + EJECTION_TIME);
        }
    }

    /// The state of a server at `now`. An unknown server counts as healthy,
    /// warm and idle.
    #[must_use]
    pub fn state(&self, server: &ServerKey, now: Instant) -> ServerState {
        self.servers
            .get(server)
            .map(|observed| observed.state(now))
            .unwrap_or_default()
    }

    /// Removes servers for which `keep` returns false.
    pub fn retain(&mut self, keep: &dyn Fn(&ServerKey) -> bool) {
        self.servers.retain(|server, _observed| keep(server));
    }
}
