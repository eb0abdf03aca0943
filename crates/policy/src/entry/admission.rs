//! Decides at once whether a request can still be served in time.
//!
//! Load answered: bursts and mass failures in which the queues of all servers
//! of an object are longer than the time that the caller or the operator
//! allows. Such a request is rejected before it is sent, so that the rejection
//! can state truthfully that it has not run, with the time after which the
//! queue has drained to where it fits.

use std::time::Duration;

/// How far the expected finish may exceed the time left before a request is
/// rejected. Estimates of the work are within about this factor.
pub const ESTIMATE_TOLERANCE: f64 = 1.25;

/// The shortest time after which a rejected caller is asked to return.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The longest time after which a rejected caller is asked to return.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Whether a request is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionVerdict {
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
/// `spread` from 0 to 1 distributes returning callers over as much time again,
/// so that they do not come back together.
#[must_use]
pub fn admit(finish: Duration, left: Duration, spread: f64) -> AdmissionVerdict {
    if finish.as_secs_f64() <= left.as_secs_f64() * ESTIMATE_TOLERANCE {
        return AdmissionVerdict::Admit;
    }
    let excess = finish.saturating_sub(left);
    AdmissionVerdict::Reject {
        retry_after: spread_retry(excess, spread),
    }
}

/// A time to return, from a base and a spread of 0 to 1.
#[must_use]
pub fn spread_retry(base: Duration, spread: f64) -> Duration {
    base.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .mul_f64(1.0 + spread.clamp(0.0, 1.0))
        .min(MAX_RETRY_AFTER)
}
