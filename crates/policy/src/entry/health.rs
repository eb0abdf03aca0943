//! What an instance concludes about a backend server from its answers.
//!
//! Observed answers count more than the server's own health reports, which may
//! be false either way. Slow and failing servers are not excluded but compared
//! at their observed speed, so that they keep getting what they can bear. A
//! server that refuses connections or stays silent is suspended for a while, and
//! the other instances are told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::digest::SuspectReason;

/// Weight of the newest sample in the averages.
pub const SAMPLE_WEIGHT: f64 = 0.25;

/// The time in which the averages return halfway to normal without samples, so
/// that a server that has recovered is tried again.
pub const RECOVERY_HALF_LIFE: Duration = Duration::from_secs(5);

/// The largest slowness that is remembered.
pub const MAX_SLOWNESS: f64 = 12.0;

/// The first suspension; doubles with each one in a row.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// The longest suspension.
pub const MAX_SUSPENSION: Duration = Duration::from_secs(4);

/// Silence, in target latencies, after which a server that owes an answer is
/// not given more: a request on an unknown object with a short queue is answered
/// within it.
pub const UNRESPONSIVE_TARGETS: f64 = 2.5;

/// How long a failed connection is reported to the other instances: until their
/// next but one digest.
pub const FAILURE_REPORT_RETENTION: Duration = Duration::from_secs(2);

/// How long a reported load counts. Reports come with answers, which are rare
/// when the server is slow.
pub const LOAD_REPORT_TTL: Duration = Duration::from_millis(2500);

/// The state of one backend server as seen from one instance.
#[derive(Debug)]
pub struct ServerHealth {
    slowness: f64,
    failure_ratio: f64,
    updated: Instant,
    suspended_until: Option<Instant>,
    suspensions: u32,
    unreachable_at: Option<Instant>,
    is_replaced: bool,
    is_excluded: bool,
    last_activity: Instant,
    in_flight: BTreeMap<u64, Instant>,
    next_ticket: u64,
    reported_peer_load: f64,
    reported_at: Option<Instant>,
    digest_peer_load: f64,
}

/// Identifies a request in progress at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTicket(u64);

impl ServerHealth {
    /// Creates the state of a server with no history.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            slowness: 1.0,
            failure_ratio: 0.0,
            updated: now,
            suspended_until: None,
            suspensions: 0,
            unreachable_at: None,
            is_replaced: false,
            is_excluded: false,
            last_activity: now,
            in_flight: BTreeMap::new(),
            next_ticket: 0,
            reported_peer_load: 0.0,
            reported_at: None,
            digest_peer_load: 0.0,
        }
    }

    fn recover(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let keep = 0.5_f64.powf(passed / RECOVERY_HALF_LIFE.as_secs_f64());
        self.slowness = 1.0 + (self.slowness - 1.0) * keep;
        self.failure_ratio *= keep;
        self.updated = now;
    }

    fn record_failure_sample(&mut self, value: f64, now: Instant) {
        self.recover(now);
        self.failure_ratio += SAMPLE_WEIGHT * (value - self.failure_ratio);
    }

    /// A request was sent.
    pub fn record_sent(&mut self, now: Instant) -> AttemptTicket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.in_flight.insert(ticket, now);
        AttemptTicket(ticket)
    }

    /// The request is no longer in progress, whatever became of it.
    pub fn record_ended(&mut self, ticket: AttemptTicket) {
        self.in_flight.remove(&ticket.0);
    }

    /// Bytes of an answer arrived.
    pub fn record_activity(&mut self, now: Instant) {
        self.last_activity = now;
        self.suspended_until = None;
        self.suspensions = 0;
        self.unreachable_at = None;
    }

    /// A complete answer arrived: the observed and the expected time.
    pub fn record_response(
        &mut self,
        observed: Duration,
        expected: Duration,
        failed: bool,
        now: Instant,
    ) {
        self.record_activity(now);
        self.record_failure_sample(if failed { 1.0 } else { 0.0 }, now);
        if failed {
            return;
        }
        let ratio = observed.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(0.5, MAX_SLOWNESS);
        self.slowness += SAMPLE_WEIGHT * (ratio - self.slowness);
        self.slowness = self.slowness.max(0.7);
    }

    /// The server rejected a request without running it.
    pub fn record_rejection(&mut self, now: Instant) {
        self.record_activity(now);
        self.record_failure_sample(0.6, now);
    }

    /// The connection broke before the answer was complete.
    pub fn record_broken_connection(&mut self, now: Instant) {
        self.record_failure_sample(1.0, now);
    }

    /// No answer came in time.
    pub fn record_timeout(&mut self, observed: Duration, expected: Duration, now: Instant) {
        self.recover(now);
        let ratio = observed.as_secs_f64() / expected.as_secs_f64().max(0.001);
        if ratio > self.slowness {
            self.slowness += 2.0 * SAMPLE_WEIGHT * (ratio.min(MAX_SLOWNESS) - self.slowness);
        }
    }

    /// Another server answers at its address. This one does not come back: it
    /// would have a new entry.
    pub fn mark_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// What the other instances are told of the server, if it is not used.
    #[must_use]
    pub fn suspicion(&self, now: Instant) -> Option<SuspectReason> {
        if self.is_replaced {
            return Some(SuspectReason::Replaced);
        }
        let is_recent = |at| now.saturating_duration_since(at) < FAILURE_REPORT_RETENTION;
        self.unreachable_at
            .is_some_and(is_recent)
            .then_some(SuspectReason::Unreachable)
    }

    /// Whether the other instances' reports exclude the server.
    pub fn set_excluded(&mut self, is_excluded: bool) {
        self.is_excluded = is_excluded;
    }

    /// The server cannot be reached.
    pub fn suspend(&mut self, now: Instant) {
        self.unreachable_at = Some(now);
        let span = MIN_SUSPENSION * 2_u32.pow(self.suspensions.min(3));
        self.suspensions += 1;
        self.suspended_until = Some(now + span.min(MAX_SUSPENSION));
    }

    /// Whether the server is to be avoided now.
    #[must_use]
    pub fn is_suspended(&self, target: Duration, now: Instant) -> bool {
        if self.is_replaced || self.is_excluded {
            return true;
        }
        if self.suspended_until.is_some_and(|until| now < until) {
            return true;
        }
        let silence = target.mul_f64(UNRESPONSIVE_TARGETS);
        self.in_flight.values().min().is_some_and(|oldest| {
            now.saturating_duration_since((*oldest).max(self.last_activity)) > silence
        })
    }

    /// The server reported how many requests it runs and holds.
    pub fn record_reported_load(&mut self, load: f64, now: Instant) {
        let others = (load - self.own_load()).max(0.0);
        self.reported_peer_load = others;
        self.reported_at = Some(now);
    }

    /// The other instances told how many requests they have in progress there.
    pub fn set_peer_load(&mut self, others: f64) {
        self.digest_peer_load = others;
    }

    fn own_load(&self) -> f64 {
        f64::from(u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX))
    }

    /// Requests of this instance in progress there.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_flight.len()
    }

    /// Requests running or waiting there: own ones, and those of others as the
    /// server or the other instances last reported them, whichever is more.
    #[must_use]
    pub fn load(&self, now: Instant) -> f64 {
        let others = self.reported_at.map_or(0.0, |at| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let left = 1.0 - age / LOAD_REPORT_TTL.as_secs_f64();
            self.reported_peer_load * left.max(0.0)
        });
        self.own_load() + others.max(self.digest_peer_load)
    }

    /// Observed time divided by expected time, and the share of failures.
    #[must_use]
    pub fn averages(&self, now: Instant) -> (f64, f64) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let keep = 0.5_f64.powf(passed / RECOVERY_HALF_LIFE.as_secs_f64());
        (
            1.0 + (self.slowness - 1.0) * keep,
            self.failure_ratio * keep,
        )
    }
}
