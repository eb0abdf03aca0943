//! Admission control by deadline.
//!
//! During bursts and mass failures, the queues of all candidate servers of an
//! object can be longer than the time that the caller or the operator allows. A
//! request that would miss its deadline is rejected before it is sent, so that
//! the response can state truthfully that the request has not run. The response
//! also says when the queue is expected to be short enough.
//!
//! Servers may also reject requests although they have free slots, and more of
//! them than the retry budget covers. Callers of such a service may retry almost
//! at once.

use std::time::Duration;

/// The factor by which the expected latency may exceed the remaining time before
/// a request is rejected. Latency estimates are accurate to about this factor.
pub const ESTIMATE_TOLERANCE: f64 = 1.25;

/// Lower bound of the retry delay when there is no time or capacity left for a
/// request.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Upper bound of the same delay, jitter included.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Retry delay before jitter when a server with free slots rejected the request.
/// No queue has to drain; the delay only spreads the retries.
pub const FREE_SLOTS_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry delay before jitter when full servers rejected the request: about the
/// service time of one request on a known object.
pub const FULL_SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The load of a server at the time it rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionLoad {
    /// It reported free slots. An immediate retry may succeed, even on the same
    /// server.
    HasFreeSlots,
    /// It reported no free slots, or no load at all.
    Full,
}

impl RejectionLoad {
    /// Classifies the reported number of running and queued requests.
    #[must_use]
    pub fn new(reported: Option<f64>, slots: u32) -> Self {
        match reported {
            Some(load) if load < f64::from(slots) => Self::HasFreeSlots,
            _ => Self::Full,
        }
    }

    /// The retry delay for the caller when no server accepted the request.
    /// `jitter` is from 0 to 1.
    #[must_use]
    pub fn retry_after(self, jitter: f64) -> Duration {
        match self {
            Self::HasFreeSlots => FREE_SLOTS_RETRY_AFTER.mul_f64(1.0 + jitter.clamp(0.0, 1.0)),
            Self::Full => jittered_retry_after(FULL_SERVER_RETRY_AFTER, jitter),
        }
    }
}

/// The retry delay for the caller when the first server is free again in `left`. The
/// callers that wait for it return over the time of about one request, `target`. `jitter`
/// is from 0 to 1.
#[must_use]
pub fn retry_after_pause(left: Duration, target: Duration, jitter: f64) -> Duration {
    left + target.max(MIN_RETRY_AFTER).mul_f64(jitter.clamp(0.0, 1.0))
}

/// Whether a request is sent to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// The response is expected in time.
    Admit,
    /// The response would be too late.
    Reject {
        /// The time until the queue is expected to be short enough.
        retry_after: Duration,
    },
}

/// Compares the expected latency with the remaining time.
///
/// A `jitter` of 1 doubles the retry delay, 0 leaves it as it is; a random value
/// in between keeps rejected callers from retrying all at once.
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

/// Clamps a retry delay to the permitted range and adds a jitter of 0 to 1 times
/// the delay.
#[must_use]
pub fn jittered_retry_after(base: Duration, jitter: f64) -> Duration {
    base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .mul_f64(1.0 + jitter.clamp(0.0, 1.0))
        .min(MAX_RETRY_AFTER)
}
