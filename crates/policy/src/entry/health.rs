//! Passive health checks of backend servers.
//!
//! Observed responses take precedence over a server's own health reports, which
//! may be wrong either way. Slow and failing servers are not excluded: placement
//! compares them at their observed speed, so that they still get the load that
//! they can handle. A server that cannot be connected to is suspended for a short
//! time and reported to the other instances; one that stops responding gets no
//! requests until it responds again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::digest::SuspectReason;
use super::reach::ReachTracker;
use super::server_evidence::{ServerEvidence, ServerReport};

/// Weight of the newest sample in the exponential moving averages.
pub const SAMPLE_WEIGHT: f64 = 0.25;

/// The time in which the averages move halfway back to normal without samples, so
/// that a server that has recovered gets requests again.
pub const RECOVERY_HALF_LIFE: Duration = Duration::from_secs(5);

/// Upper bound of a slowness sample.
pub const MAX_SLOWNESS: f64 = 12.0;

/// The length of the first suspension; it doubles with each consecutive one.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// The maximum length of a suspension.
pub const MAX_SUSPENSION: Duration = Duration::from_secs(4);

/// Time without a response, in target latencies, after which a server with
/// requests in progress gets no more. A request on an unknown object that waits
/// in a short queue completes within it.
pub const UNRESPONSIVE_TARGETS: f64 = 2.5;

/// How long a failed connection is reported to the other instances: until the
/// next but one digest.
pub const FAILURE_REPORT_RETENTION: Duration = Duration::from_secs(2);

/// The time over which the weight of a reported load falls to zero. Reports come
/// with responses, which are rare when the server is slow.
pub const LOAD_REPORT_TTL: Duration = Duration::from_millis(2500);

/// The health of one backend server as observed by one instance.
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
    evidence: ServerEvidence,
}

/// Identifies an attempt in progress at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTicket(u64);

impl ServerHealth {
    /// Creates the state of a healthy server without observations.
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
            evidence: ServerEvidence::default(),
        }
    }

    fn recover(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = 0.5_f64.powf(elapsed / RECOVERY_HALF_LIFE.as_secs_f64());
        self.slowness = 1.0 + (self.slowness - 1.0) * decay;
        self.failure_ratio *= decay;
        self.updated = now;
    }

    fn record_failure_sample(&mut self, value: f64, now: Instant) {
        self.recover(now);
        self.failure_ratio += SAMPLE_WEIGHT * (value - self.failure_ratio);
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Instant) -> AttemptTicket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.in_flight.insert(ticket, now);
        AttemptTicket(ticket)
    }

    /// Records that an attempt is no longer in progress, whatever its outcome.
    pub fn record_ended(&mut self, ticket: AttemptTicket) {
        self.in_flight.remove(&ticket.0);
    }

    /// Records that bytes of a response arrived; ends a suspension.
    pub fn record_activity(&mut self, now: Instant) {
        self.last_activity = now;
        self.suspended_until = None;
        self.suspensions = 0;
        self.unreachable_at = None;
    }

    /// Records a complete response with its observed and its expected latency. The
    /// latency of a failure is ignored, so that a server that fails fast does not
    /// look fast.
    pub fn record_response(
        &mut self,
        observed: Duration,
        expected: Duration,
        failed: bool,
        now: Instant,
    ) {
        self.record_activity(now);
        self.record_failure_sample(if failed { 1.0 } else { 0.0 }, now);
        self.evidence.record_accepted();
        if failed {
            return;
        }
        // 1 for servers that do not report the pace of their machine.
        let expected = expected.mul_f64(self.evidence.relative_pace_over(observed));
        let ratio = observed.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let ratio = ratio.clamp(0.5, MAX_SLOWNESS);
        self.slowness += SAMPLE_WEIGHT * (ratio - self.slowness);
        self.slowness = self.slowness.max(0.7);
    }

    /// Records that the server rejected a request without running it, for another
    /// reason than a full queue or for one that it did not report. Counts as 0.6 of a
    /// failure.
    pub fn record_rejection(&mut self, now: Instant) {
        self.record_activity(now);
        self.record_failure_sample(0.6, now);
    }

    /// Records that the connection broke before the response was complete, or
    /// could not be opened.
    pub fn record_broken_connection(&mut self, now: Instant) {
        self.record_failure_sample(1.0, now);
    }

    /// Records that no response arrived within the observed time. Raises the
    /// slowness only, with twice the weight of a response.
    pub fn record_timeout(&mut self, observed: Duration, expected: Duration, now: Instant) {
        self.recover(now);
        let ratio = observed.as_secs_f64() / expected.as_secs_f64().max(0.001);
        if ratio > self.slowness {
            self.slowness += 2.0 * SAMPLE_WEIGHT * (ratio.min(MAX_SLOWNESS) - self.slowness);
        }
    }

    /// Records that another server responds at its address. Permanent: if this
    /// server started again, it would have a new entry.
    pub fn mark_replaced(&mut self) {
        self.is_replaced = true;
    }

    /// The reason why this instance does not use the server, to be reported to the
    /// other instances. That the server is unreachable is reported only if another one
    /// has been reached since.
    #[must_use]
    pub fn suspect_reason(&self, reach: &ReachTracker, now: Instant) -> Option<SuspectReason> {
        if self.is_replaced {
            return Some(SuspectReason::Replaced);
        }
        let is_reported = |at| reach.has_reached_since(at) && self.has_failed_recently(now);
        self.unreachable_at
            .is_some_and(is_reported)
            .then_some(SuspectReason::Unreachable)
    }

    /// Whether a connection to the server failed within [`FAILURE_REPORT_RETENTION`].
    #[must_use]
    pub fn has_failed_recently(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < FAILURE_REPORT_RETENTION;
        self.unreachable_at.is_some_and(is_recent)
    }

    /// Sets whether the reports of the other instances exclude the server. Returns whether
    /// they did before.
    pub fn set_excluded(&mut self, is_excluded: bool) -> bool {
        std::mem::replace(&mut self.is_excluded, is_excluded)
    }

    /// Suspends the server because it cannot be reached.
    pub fn suspend(&mut self, now: Instant) {
        self.unreachable_at = Some(now);
        let duration = MIN_SUSPENSION * 2_u32.pow(self.suspensions.min(3));
        self.suspensions += 1;
        self.suspended_until = Some(now + duration.min(MAX_SUSPENSION));
    }

    /// Ends a suspension: the server could not be reached for another reason than its
    /// own.
    pub fn end_suspension(&mut self) {
        self.suspended_until = None;
        self.suspensions = 0;
        self.unreachable_at = None;
    }

    /// Whether a response has arrived since `at`.
    #[must_use]
    pub fn has_responded_since(&self, at: Instant) -> bool {
        self.last_activity >= at
    }

    /// Whether requests have been in progress without a response for `span`.
    #[must_use]
    pub fn is_silent(&self, span: Duration, now: Instant) -> bool {
        self.in_flight.values().min().is_some_and(|oldest| {
            now.saturating_duration_since((*oldest).max(self.last_activity)) > span
        })
    }

    /// Whether the server should get no requests while others are usable: it is
    /// suspended, replaced, excluded by the other instances, or unresponsive.
    #[must_use]
    pub fn is_suspended(&self, target: Duration, now: Instant) -> bool {
        if self.is_replaced || self.is_excluded {
            return true;
        }
        if self.suspended_until.is_some_and(|until| now < until) {
            return true;
        }
        self.is_silent(target.mul_f64(UNRESPONSIVE_TARGETS), now)
    }

    /// Records a report that came with the response to a request, which still counts as
    /// in progress here.
    pub fn record_report(&mut self, report: &ServerReport, now: Instant) {
        self.reported_peer_load = (report.load() - self.own_load()).max(0.0);
        self.reported_at = Some(now);
        let left = (self.own_load() - 1.0).max(0.0);
        self.evidence.record_report(report, left, now);
    }

    /// Records that the server rejected a request with a report. `work` is the mean work
    /// of its requests. Returns whether it reported a full queue and the pace of its
    /// machine; other rejections are recorded with [`ServerHealth::record_rejection`].
    pub fn record_full(
        &mut self,
        report: &ServerReport,
        slots: u32,
        work: Duration,
        now: Instant,
    ) -> bool {
        let is_full = self.evidence.record_rejection(report, slots, work, now);
        if is_full {
            self.record_activity(now);
        }
        is_full
    }

    /// What the server reported of its load and of the pace of its machine.
    #[must_use]
    pub fn evidence(&self) -> &ServerEvidence {
        &self.evidence
    }

    /// Whether the server gets no request because its queue is full.
    #[must_use]
    pub fn is_full(&self, now: Instant) -> bool {
        self.evidence
            .is_full(self.load(now), self.in_flight.len(), now)
    }

    /// Sets the number of requests of the other instances in progress at the
    /// server, according to their digests.
    pub fn set_peer_load(&mut self, others: f64) {
        self.digest_peer_load = others;
    }

    fn own_load(&self) -> f64 {
        f64::from(u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX))
    }

    /// The number of attempts of this instance in progress at the server.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_flight.len()
    }

    /// The estimated number of requests running or queued at the server: those of
    /// this instance, plus those of the other instances as reported by the server
    /// or by them, whichever is more. If the server reports the pace of its machine,
    /// both are weighted by the age of its report.
    #[must_use]
    pub fn load(&self, now: Instant) -> f64 {
        if self.evidence.is_active() {
            return self.own_load() + self.evidence.others(self.digest_peer_load, now);
        }
        let others = self.reported_at.map_or(0.0, |at| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let left = 1.0 - age / LOAD_REPORT_TTL.as_secs_f64();
            self.reported_peer_load * left.max(0.0)
        });
        self.own_load() + others.max(self.digest_peer_load)
    }

    /// The slowness, which is observed latency divided by expected latency, and
    /// the failure ratio.
    #[must_use]
    pub fn averages(&self, now: Instant) -> (f64, f64) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = 0.5_f64.powf(elapsed / RECOVERY_HALF_LIFE.as_secs_f64());
        let slowness = 1.0 + (self.slowness - 1.0) * decay;
        (
            slowness * self.evidence.relative_pace(now),
            self.failure_ratio * decay,
        )
    }
}
