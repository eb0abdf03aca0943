//! Retry policy, and the execution outcome that is reported to the caller.
//!
//! A failure is classified by what the backend server may have done, however
//! unlikely. A request is reported as "not run" only if it certainly did not
//! run. A request is retried only if it certainly did not run or its route is
//! idempotent or slow.

use std::time::{Duration, Instant};

use crate::contract::RouteKind;

/// Whether a backend server executed a request, as far as the instance can
/// know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// The request certainly did not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

impl RunOutcome {
    /// The name of the outcome in responses to callers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Failure of one attempt to run a request on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The server responded that it did not run the request.
    Shed,
    /// The connection broke before the response head was received.
    ConnectionBroken,
    /// The response was truncated or malformed, or belongs to another request.
    InvalidResponse,
    /// The response body exceeds the maximum size of the route.
    ResponseTooLarge,
    /// No complete response was received before the timeout.
    TimedOut,
    /// The server responded with a 5xx status.
    ServerError,
}

impl AttemptFailure {
    /// What this failure reveals about whether the request ran.
    #[must_use]
    pub const fn outcome(self) -> RunOutcome {
        match self {
            Self::NotConnected | Self::Shed => RunOutcome::NotRun,
            Self::ServerError | Self::ResponseTooLarge => RunOutcome::Ran,
            // An invalid response may belong to another request.
            Self::ConnectionBroken | Self::InvalidResponse | Self::TimedOut => RunOutcome::Unknown,
        }
    }

    /// Whether the request may be retried on a route of this kind.
    #[must_use]
    pub const fn may_retry(self, kind: RouteKind) -> bool {
        match (self, kind) {
            (Self::NotConnected | Self::Shed, _) => true,
            // A retry would produce a response of the same size.
            (Self::ResponseTooLarge, _) | (_, RouteKind::Once) => false,
            (_, RouteKind::Idempotent | RouteKind::Slow) => true,
        }
    }
}

/// Combines the outcomes of all attempts of a request: [`RunOutcome::Ran`] if an
/// attempt ran, else [`RunOutcome::Unknown`] if one may have run, else
/// [`RunOutcome::NotRun`].
#[must_use]
pub fn combined_outcome(attempts: impl IntoIterator<Item = AttemptFailure>) -> RunOutcome {
    let mut outcome = RunOutcome::NotRun;
    for failure in attempts {
        outcome = match (outcome, failure.outcome()) {
            (RunOutcome::Ran, _) | (_, RunOutcome::Ran) => RunOutcome::Ran,
            (RunOutcome::Unknown, _) | (_, RunOutcome::Unknown) => RunOutcome::Unknown,
            (RunOutcome::NotRun, RunOutcome::NotRun) => RunOutcome::NotRun,
        };
    }
    outcome
}

/// Number of requests that earn one retry. 10 limits retries to 10 % of the
/// requests.
const REQUESTS_PER_RETRY: u64 = 10;

/// Maximum number of retries that the budget accumulates. With a higher maximum,
/// a long period without failures would permit a retry storm.
const MAX_SAVED_RETRIES: u64 = 10;

/// A token bucket that limits retries to a fraction of the requests.
///
/// It starts empty, so that the number of attempts never exceeds 1.1 times the
/// number of requests.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    credits: u64,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub const fn new() -> Self {
        Self { credits: 0 }
    }

    /// Counts a request, which earns a tenth of a retry.
    pub fn deposit(&mut self) {
        let max_credits = MAX_SAVED_RETRIES * REQUESTS_PER_RETRY;
        self.credits = (self.credits + 1).min(max_credits);
    }

    /// Takes one retry from the budget. Returns `false`, and takes nothing, if
    /// the budget does not cover it.
    pub fn spend(&mut self) -> bool {
        match self.credits.checked_sub(REQUESTS_PER_RETRY) {
            Some(rest) => {
                self.credits = rest;
                true
            }
            None => false,
        }
    }
}

/// The point in time by which the response to a request is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDeadline(Instant);

impl RequestDeadline {
    /// The deadline of a request that started at `start`. The `caller` may
    /// shorten the timeout of the `route` but not extend it.
    #[must_use]
    pub fn new(start: Instant, route: Duration, caller: Option<Duration>) -> Self {
        Self(start + caller.map_or(route, |asked| asked.min(route)))
    }

    /// The time left until the deadline, or `None` once it is reached.
    #[must_use]
    pub fn remaining(self, now: Instant) -> Option<Duration> {
        self.0
            .checked_duration_since(now)
            .filter(|left| !left.is_zero())
    }

    /// The deadline on the monotonic clock.
    #[must_use]
    pub const fn instant(self) -> Instant {
        self.0
    }
}
