//! Whether this instance reaches any backend server.
//!
//! An instance can lose its links to all servers while callers, the store and the
//! other instances still reach it. Its callers are better off elsewhere, and what it
//! observes says nothing about the servers. A failed connection alone may be the
//! server's fault, and servers that do not respond may be busy; both are only a reason
//! to probe others. An instance is partitioned once two rounds of probes have failed.

use std::time::{Duration, Instant};

/// The number of servers that are probed in the first round, and while partitioned.
pub const FIRST_PROBES: usize = 2;

/// The number of servers that are probed in the round that confirms a partition.
pub const CONFIRMING_PROBES: usize = 4;

/// The number of rounds that must fail.
pub const MIN_FAILED_ROUNDS: u32 = 2;

/// A failed connection is no reason for a probe so soon after a successful one.
pub const REACHED_RECENTLY: Duration = Duration::from_millis(100);

/// Time without any response after which servers with requests in progress count as
/// silent. Longer than most requests on known objects take.
pub const SILENCE: Duration = Duration::from_millis(600);

/// The number of silent servers that is a reason for a probe.
pub const MIN_SILENT_SERVERS: usize = 2;

/// Minimum time between two probes because of silence.
pub const SILENCE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time since the last response in which open connections count as working.
pub const OPEN_CONNECTIONS_WORK: Duration = Duration::from_secs(2);

/// A change of what this instance believes about its links to the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// No server is reached.
    Partitioned,
    /// Servers are reached again.
    Restored,
}

/// What is known about the links of this instance to the servers.
#[derive(Debug, Default)]
pub struct ReachTracker {
    reached_at: Option<Instant>,
    responded_at: Option<Instant>,
    doubted_since: Option<Instant>,
    failed_rounds: u32,
    is_partitioned: bool,
}

impl ReachTracker {
    /// Whether no server is reached.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.is_partitioned
    }

    /// Whether requests can be sent: on any connection, or while partitioned on open ones
    /// if servers go on responding on these.
    #[must_use]
    pub fn can_send(&self, now: Instant) -> bool {
        let has_responded = self.responded_at > self.doubted_since
            && is_within(self.responded_at, OPEN_CONNECTIONS_WORK, now);
        !self.is_partitioned || has_responded
    }

    /// Whether a connection to some server was opened after `at`. What failed before
    /// then is the fault of the server, not of this instance's links.
    #[must_use]
    pub fn has_reached_since(&self, at: Instant) -> bool {
        !self.is_partitioned && self.reached_at.is_some_and(|reached| reached > at)
    }

    /// Records that a connection to a server was opened.
    pub fn record_reached(&mut self, now: Instant) -> Option<ReachChange> {
        self.reached_at = Some(now);
        self.end_doubt()
    }

    fn end_doubt(&mut self) -> Option<ReachChange> {
        self.doubted_since = None;
        self.failed_rounds = 0;
        std::mem::take(&mut self.is_partitioned).then_some(ReachChange::Restored)
    }

    /// Records that a server responded. Open connections may work while new ones fail,
    /// so this does not end a partition.
    pub fn record_response(&mut self, now: Instant) {
        self.responded_at = Some(now);
    }

    /// Records that a connection to a server could not be opened.
    pub fn record_failure(&mut self, now: Instant) {
        if !is_within(self.reached_at, REACHED_RECENTLY, now) {
            self.doubted_since.get_or_insert(now);
        }
    }

    /// Records that a request sent at `started` has timed out.
    pub fn record_timeout(&mut self, started: Instant, now: Instant) {
        if self.responded_at.max(self.reached_at) < Some(started) {
            self.doubted_since.get_or_insert(now);
        }
    }

    /// Records how many servers have had requests in progress for [`SILENCE`] without a
    /// response.
    pub fn record_silent_servers(&mut self, count: usize, now: Instant) {
        let has_heard = is_within(self.responded_at, SILENCE, now)
            || is_within(self.reached_at, SILENCE_PROBE_INTERVAL, now);
        if count >= MIN_SILENT_SERVERS && !has_heard {
            self.doubted_since.get_or_insert(now);
        }
    }

    /// The number of servers to probe now.
    #[must_use]
    pub fn due_probes(&self) -> usize {
        match (
            self.is_partitioned,
            self.doubted_since.is_some(),
            self.failed_rounds,
        ) {
            (false, false, _) => 0,
            (true, _, _) | (false, true, 0) => FIRST_PROBES,
            (false, true, _) => CONFIRMING_PROBES,
        }
    }

    /// Records that none of the probed servers was reached.
    pub fn record_failed_round(&mut self) -> Option<ReachChange> {
        self.failed_rounds = self.failed_rounds.saturating_add(1);
        let is_change = !self.is_partitioned && self.failed_rounds >= MIN_FAILED_ROUNDS;
        self.is_partitioned |= is_change;
        is_change.then_some(ReachChange::Partitioned)
    }

    /// Records that there is no server to probe.
    pub fn record_no_servers(&mut self) -> Option<ReachChange> {
        self.end_doubt()
    }
}

fn is_within(at: Option<Instant>, span: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < span)
}
