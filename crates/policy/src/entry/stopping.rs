//! Which requests an instance still sends to servers while it stops.
//!
//! The process ends at a fixed time, whatever is in progress then. Callers learn only
//! gradually that they are to use other instances. Until then most requests are
//! accepted, as long as they are expected to complete in time. After that a request
//! arrives only on connections that carried something before, such as the rest of a long
//! body, and another instance serves it at once. It is accepted only if it certainly
//! completes, as an estimate can be wrong and a request that is cut may have run. The
//! same holds throughout the stop for requests that must not be repeated: once cut, they
//! are lost to their callers, while a rejected one is sent to another instance. And for
//! those that may wait in the queue of their server, where a cut one has not even run.

use std::time::{Duration, Instant};

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    closes_at: Instant,
    ends_at: Instant,
}

impl StopSchedule {
    /// A stop that begins at `started` and takes `timeout` at most. Connections are closed
    /// after `drain_period`, or after half of the timeout if that is shorter.
    #[must_use]
    pub fn new(started: Instant, drain_period: Duration, timeout: Duration) -> Self {
        Self {
            closes_at: started + drain_period.min(timeout / 2),
            ends_at: started + timeout,
        }
    }

    /// The time from which on connections are closed.
    #[must_use]
    pub fn closes_at(&self) -> Instant {
        self.closes_at
    }

    /// The time at which the process ends.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Whether a request may be sent to a server at `now`.
    #[must_use]
    pub fn accepts(&self, request: &StoppingRequest, now: Instant) -> bool {
        let may_be_cut =
            request.repeatable && !request.may_queue && request.received < self.closes_at;
        let longest = if may_be_cut {
            request.expected_latency
        } else {
            request.deadline.saturating_duration_since(now)
        };
        now + longest <= self.ends_at
    }
}

/// A request that is about to be sent during a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoppingRequest {
    /// When it was received completely.
    pub received: Instant,
    /// Whether it may be sent again after it may have run.
    pub repeatable: bool,
    /// Whether the selected server may have no free slot. A request that waits in a queue
    /// when the process ends is lost without any work on it.
    pub may_queue: bool,
    /// The expected latency at the selected server.
    pub expected_latency: Duration,
    /// When it gets a response at the latest.
    pub deadline: Instant,
}
