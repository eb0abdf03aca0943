//! The state of backend servers and the choice between two of them.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::{Duration, Instant};

use crate::facts::ServerReport;
use crate::ids::{IncarnationId, ServerKey, ServerName};

/// A server that started less than this ago gets only part of its slots, since
/// its caches are cold.
pub const COLD_RAMP: Duration = Duration::from_secs(20);

/// A report that is older than this says nothing about health or load.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);

/// Failures in a row, as seen by this instance, after which a server gets no
/// work whatever its health answers say.
const FAILURES_TO_SUSPEND: u32 = 3;

/// How long such a server gets no work. After it, one request tries again.
const SUSPENSION: Duration = Duration::from_secs(2);

/// How long a server's own word that it is leaving outweighs health answers,
/// which may be out of date.
const LEAVING_MEMORY: Duration = Duration::from_secs(30);

/// Random numbers. Tests pass a seeded source.
pub trait RandomSource: Debug {
    /// A number below `bound`, which is not zero.
    fn below(&mut self, bound: usize) -> usize;
}

/// What the choice knows about a server at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerState {
    /// Whether probes and own requests find it healthy.
    pub healthy: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests of this instance that run on it.
    pub running: u32,
    /// Requests running on it as it last reported.
    pub load: u32,
    /// How long it has been up, or `None` when that is not known.
    pub uptime: Option<Duration>,
}

impl Default for ServerState {
    fn default() -> Self {
        Self {
            healthy: true,
            leaving: false,
            running: 0,
            load: 0,
            uptime: None,
        }
    }
}

impl ServerState {
    /// Whether the server may get one more request from this instance.
    ///
    /// The reported load counts only while the server is cold. Later the
    /// fleet's slot limit guards it, and the report may be out of date.
    pub(super) fn takes_work(&self, slots: u32) -> bool {
        let cold = self.uptime.is_some_and(|uptime| uptime < COLD_RAMP);
        let busy = if cold {
            self.running.max(self.load)
        } else {
            self.running
        };
        self.healthy && !self.leaving && busy < usable_slots(slots, self.uptime)
    }
}

/// Instances that share the connection limit of a server. A fleet has at most
/// 12 today; slots split exactly into up to 16.
const CONNECTION_SHARERS: u32 = 16;

/// Old and new connections may be open at the same time while the old ones
/// are being replaced.
const CONNECTION_GENERATIONS: u32 = 2;

/// The connections that one instance may have to a server in ordinary use.
/// Requests beyond them would wait for a connection after their last check.
#[must_use]
pub fn connection_share(connections: u32) -> u32 {
    (connections / CONNECTION_SHARERS / CONNECTION_GENERATIONS).max(1)
}

/// The slots that a server of this uptime may use: a share that grows
/// linearly over [`COLD_RAMP`], and at least one.
#[must_use]
pub fn usable_slots(slots: u32, uptime: Option<Duration>) -> u32 {
    match uptime {
        Some(uptime) if uptime < COLD_RAMP => {
            let part = u128::from(slots) * uptime.as_millis() / COLD_RAMP.as_millis();
            u32::try_from(part).unwrap_or(slots).max(1)
        }
        _ => slots,
    }
}

/// A server that may be chosen.
#[derive(Debug)]
pub(super) struct CandidateServer<'a> {
    pub(super) name: &'a ServerName,
    pub(super) state: ServerState,
}

/// Orders a group by repeated choice of the better of two random servers.
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
                (state.running, state.load)
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
    seen: Instant,
}

/// What an instance has learnt about one server.
#[derive(Debug, Clone, Default)]
struct ServerView {
    reports: BTreeMap<IncarnationId, StoredReport>,
    running: u32,
    failures: u32,
    /// The request that failed last, if the fault may be its own.
    failed: Option<u64>,
    suspended_until: Option<Instant>,
    /// When the server itself said that it is leaving.
    left_at: Option<Instant>,
}

impl ServerView {
    fn recent(&self, now: Instant) -> impl Iterator<Item = &StoredReport> {
        self.reports
            .values()
            .filter(move |stored| now.duration_since(stored.seen) < REPORT_LIFETIME)
    }

    fn has_left(&self, now: Instant) -> bool {
        self.left_at
            .is_some_and(|left| now.duration_since(left) < LEAVING_MEMORY)
    }

    fn state(&self, now: Instant) -> ServerState {
        let newest = self.recent(now).max_by_key(|stored| stored.seen);
        let suspended = self.suspended_until.is_some_and(|until| now < until);
        // One of two probers may be cut off from a server that is well.
        let healthy = newest.is_none() || self.recent(now).any(|stored| stored.report.healthy);
        ServerState {
            healthy: healthy && !suspended,
            leaving: self.has_left(now) || self.recent(now).any(|stored| stored.report.leaving),
            running: self.running,
            load: newest.map_or(0, |stored| stored.report.load),
            uptime: newest.map(|stored| stored.report.uptime + now.duration_since(stored.seen)),
        }
    }
}

/// What an instance has learnt about all servers.
#[derive(Debug, Clone, Default)]
pub struct StateTable {
    servers: BTreeMap<ServerKey, ServerView>,
}

impl StateTable {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the report of an instance, unless it has been seen.
    pub fn note_report(
        &mut self,
        server: &ServerKey,
        reporter: &IncarnationId,
        report: &ServerReport,
        now: Instant,
    ) {
        let view = self.servers.entry(server.clone()).or_default();
        let known = view.reports.get(reporter);
        if known.is_some_and(|stored| stored.report.sequence >= report.sequence) {
            return;
        }
        // A server that started after it said that it leaves is a new one.
        let started = view.left_at.map(|left| now.duration_since(left));
        if !report.leaving && started.is_some_and(|since| report.uptime < since) {
            view.left_at = None;
        }
        let stored = StoredReport {
            report: report.clone(),
            seen: now,
        };
        view.reports.insert(reporter.clone(), stored);
    }

    /// Notes that the server itself said that it is leaving.
    pub fn note_leaving(&mut self, server: &ServerKey, now: Instant) {
        self.servers.entry(server.clone()).or_default().left_at = Some(now);
    }

    /// Notes the start of a request of this instance.
    pub fn note_start(&mut self, server: &ServerKey) {
        self.servers.entry(server.clone()).or_default().running += 1;
    }

    /// Notes the end of a request of this instance.
    pub fn note_end(&mut self, server: &ServerKey) {
        if let Some(view) = self.servers.get_mut(server) {
            view.running = view.running.saturating_sub(1);
        }
    }

    /// Notes an answer of the server.
    pub fn note_success(&mut self, server: &ServerKey) {
        if let Some(view) = self.servers.get_mut(server) {
            view.failures = 0;
            view.failed = None;
            view.suspended_until = None;
        }
    }

    /// Notes a failure of the server. Failures in a row suspend it, even when
    /// its health answers say that it is well.
    ///
    /// `suspect` is the fingerprint of a request whose own fault it may be. Such
    /// a request that is repeated counts once.
    pub fn note_failure(&mut self, server: &ServerKey, suspect: Option<u64>, now: Instant) {
        let view = self.servers.entry(server.clone()).or_default();
        if suspect.is_some() && view.failed == suspect {
            return;
        }
        view.failed = suspect;
        view.failures += 1;
        if view.failures >= FAILURES_TO_SUSPEND {
            view.suspended_until = Some(now + SUSPENSION);
        }
    }

    /// The state of a server.
    #[must_use]
    pub fn state(&self, server: &ServerKey, now: Instant) -> ServerState {
        self.servers
            .get(server)
            .map(|view| view.state(now))
            .unwrap_or_default()
    }

    /// Drops servers that `keep` refuses.
    pub fn retain(&mut self, keep: &dyn Fn(&ServerKey) -> bool) {
        self.servers.retain(|server, _view| keep(server));
    }
}
