//! Whether a backend server may have started again since its entry was read.
//!
//! A server that starts again under its id is cold, but its entry says so only when it is
//! read, up to the interval of the reads later. That its process ended is known before, as
//! it refuses connections. From then on the server counts as cold, until its process says
//! that it is not, or one connection has shown a process that runs for longer than servers
//! are cold. A copy of the entries without a later start proves nothing: on a lossy link,
//! or after an outage of the table service, the entry of a process is written late. No
//! clocks of different machines are compared.
//!
//! A server without requests could be down for a moment without any instance trying to
//! reach it. So a few instances near it keep a connection open, which ends with the
//! process.

use std::time::{Duration, Instant};

use super::placement::mix;

/// The time after which a response on a connection from before a sign of an end shows that
/// the process still runs. Earlier, the response may have been under way.
pub const EVIDENCE_DELAY: Duration = Duration::from_millis(200);

/// How long an instance reports to the others that a process ended: three intervals
/// between data centres.
pub const END_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// The number of instances that watch a server over an open connection. One of them may be
/// cut off or restarting itself.
pub const WATCHERS: usize = 2;

/// How far an instance is from a server, the nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerDistance {
    /// In the same data centre.
    SameCentre,
    /// In another data centre of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// An instance that may watch a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchCandidate {
    /// Hash of the instance's name.
    pub instance: u64,
    /// The distance from the server.
    pub distance: ServerDistance,
}

/// Whether the instance `own` is among the [`WATCHERS`] of a server: the nearest, by
/// rendezvous hashing among those at the same distance. `server` is a hash of its id.
pub fn watches_server(
    server: u64,
    own: WatchCandidate,
    others: impl Iterator<Item = WatchCandidate>,
) -> bool {
    let rank = |candidate: WatchCandidate| {
        let score = mix(candidate.instance ^ server);
        (candidate.distance, u64::MAX - score)
    };
    others.filter(|other| rank(*other) < rank(own)).count() < WATCHERS
}

/// Whether another instance's report that a server's process ended at `ended_at` concerns
/// the start that is known here since `known_since`. The other instance may know an earlier
/// start, or a later one that was not read here yet.
#[must_use]
pub fn report_concerns(is_same_start: bool, known_since: Instant, ended_at: Instant) -> bool {
    is_same_start || known_since < ended_at
}

/// Evidence that a process is running.
#[derive(Debug, Clone, Copy)]
struct RunningProcess {
    /// When a connection to it was opened.
    since: Instant,
    /// When that connection was last seen to work.
    seen_at: Instant,
}

/// Follows the process of one server.
#[derive(Debug, Clone, Default)]
pub struct RestartTracker {
    /// The last sign that the process ended, until it turned out to be wrong.
    ended_at: Option<Instant>,
    running: Option<RunningProcess>,
    /// When a process that answered was last asked whether it is cold.
    asked_at: Option<Instant>,
    /// Until when the process was certainly not a later one.
    known_until: Option<Instant>,
}

impl RestartTracker {
    /// Records a sign that the process had ended at `at`. Returns whether that is new: the
    /// process was not in doubt, or was seen to run before `at` and since the last sign.
    pub fn record_end(&mut self, at: Instant) -> bool {
        if self.known_until.is_some_and(|until| at <= until) {
            return false;
        }
        let (was_in_doubt, was_running) = (self.is_in_doubt(), self.running_since().is_some());
        self.ended_at = self.ended_at.max(Some(at));
        !was_in_doubt || was_running && self.running_since().is_none()
    }

    /// Records that a connection which was opened at `since` works at `now`. The earliest
    /// connection since the last sign of an end is kept.
    pub fn record_running(&mut self, since: Instant, now: Instant) {
        if self.running_since().is_none_or(|known| since <= known) {
            self.running = Some(RunningProcess {
                since,
                seen_at: now,
            });
        }
    }

    /// Whether the server may have started again.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.ended_at.is_some()
    }

    /// Whether nothing has shown a running process since the last sign of an end.
    #[must_use]
    pub fn needs_probe(&self) -> bool {
        self.is_in_doubt() && self.running_since().is_none()
    }

    /// Whether no process has said since the last sign of an end whether it is cold.
    #[must_use]
    pub fn needs_answer(&self) -> bool {
        self.is_in_doubt() && self.asked_at <= self.ended_at
    }

    /// Records that a process which was asked at `asked_at` said whether it is cold.
    /// Returns whether the doubt has ended.
    pub fn record_answer(&mut self, asked_at: Instant, is_cold: bool) -> bool {
        self.asked_at = self.asked_at.max(Some(asked_at));
        if is_cold || self.ended_at.is_none_or(|ended_at| asked_at <= ended_at) {
            return false;
        }
        self.ended_at = None;
        self.known_until = Some(asked_at);
        true
    }

    /// Ends the doubt if the process that runs now has been running for longer than servers
    /// are cold. Returns whether the doubt has ended.
    pub fn settle(&mut self, cold_period: Duration, now: Instant) -> bool {
        let Some(since) = self.running_since().filter(|_| self.is_in_doubt()) else {
            return false;
        };
        if now < since + cold_period {
            return false;
        }
        self.ended_at = None;
        self.known_until = self.running.map(|running| running.seen_at);
        true
    }

    /// Since when the process that runs now is known to run, if it has been seen since the
    /// last sign of an end.
    #[must_use]
    pub fn running_since(&self) -> Option<Instant> {
        let ended_at = self.ended_at?;
        let is_later = |running: &RunningProcess| {
            running.since > ended_at || running.seen_at > ended_at + EVIDENCE_DELAY
        };
        Some(self.running.filter(is_later)?.since)
    }
}
