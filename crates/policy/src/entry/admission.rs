//! Decides at once whether a request can still be served in time.
//!
//! Load answered: bursts and mass failures in which the queues of all servers
//! of an object are longer than the time that the caller or the operator
//! allows. Such a request is rejected before it is sent, so that the rejection
//! can state truthfully that it has not run, with the time after which the
//! queue has drained to where it fits.
//!
//! Also answered: a service whose servers reject a part of all requests although
//! they have room, more than may be repeated. Its callers may return at once.

use std::time::Duration;

/// How far the expected finish may exceed the time left before a request is
/// rejected. Estimates of the work are within about this factor.
pub const ESTIMATE_TOLERANCE: f64 = 1.25;

/// The shortest time after which a rejected caller is asked to return.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The longest time after which a rejected caller is asked to return.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// The time after which a caller is asked to return when a server with free slots
/// rejected its request. Nothing has to drain; the pause only keeps returning
/// callers apart.
pub const FREE_SLOTS_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The time after which a caller is asked to return when full servers rejected
/// its request: about one request on a known object.
pub const FULL_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// How a server was loaded when it rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionLoad {
    /// It reported free slots. Another try may succeed at once, there too.
    HasFreeSlots,
    /// It reported none, or did not tell.
    Full,
}

impl RejectionLoad {
    /// Judges a report of requests running and waiting.
    #[must_use]
    pub fn new(reported: Option<f64>, slots: u32) -> Self {
        match reported {
            Some(load) if load < f64::from(slots) => Self::HasFreeSlots,
            _ => Self::Full,
        }
    }

    /// When the caller of a request that no server took may return.
    #[must_use]
    pub fn retry_after(self, jitter: f64) -> Duration {
        match self {
            Self::HasFreeSlots => FREE_SLOTS_RETRY_AFTER.mul_f64(1.0 + jitter.clamp(0.0, 1.0)),
            Self::Full => jittered_retry_after(FULL_SERVER_RETRY_AFTER, jitter),
        }
    }
}

/// Whether a request is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// It is expected to be answered in time.
    Admit,
    /// It would be answered too late; the caller may return after this time.
    Reject {
        /// When the queue is expected to have drained enough.
        retry_after: Duration,
    },
}

/// Compares the expected finish with the time left.
///
/// `jitter` from 0 to 1 distributes returning callers over as much time again,
/// so that they do not come back together.
#[must_use]
pub fn admit(expected_latency: Duration, remaining: Duration, jitter: f64) -> AdmissionDecision {
    if expected_latency.as_secs_f64() <= remaining.as_secs_f64() * ESTIMATE_TOLERANCE {
        return AdmissionDecision::Admit;
    }
    let excess = expected_latency.saturating_sub(remaining);
    AdmissionDecision::Reject {
        retry_after: jittered_retry_after(excess, jitter),
    }
}

/// A time to return, from a base and a spread of 0 to 1.
#[must_use]
pub fn jittered_retry_after(base: Duration, jitter: f64) -> Duration {
    base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .mul_f64(1.0 + jitter.clamp(0.0, 1.0))
        .min(MAX_RETRY_AFTER)
}
