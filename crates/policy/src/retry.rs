//! Whether an attempt may be repeated, and what the caller is told.
//!
//! A failure is judged by what the backend server may have done, never by how
//! likely it is. Only a request that certainly did not run is reported as
//! "not run", and only such a request or an idempotent one is repeated.

use std::time::{Duration, Instant};

use crate::contract::RouteKind;

/// Whether a request ran, as far as the instance can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// It certainly did not run.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

impl RunOutcome {
    /// The name that callers see.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// How an attempt on a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptFailure {
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// The server answered that it did not run the request.
    Shed,
    /// The connection broke before the head of an answer.
    ConnectionBroken,
    /// The answer ended early, was malformed or belonged to another request.
    AnswerBroken,
    /// The answer is larger than the route allows.
    AnswerTooLarge,
    /// No whole answer arrived in time.
    TimedOut,
    /// The server answered with a 5xx status.
    ServerError,
}

impl AttemptFailure {
    /// What is known about the run after this failure.
    #[must_use]
    pub const fn outcome(self) -> RunOutcome {
        match self {
            Self::NotConnected | Self::Shed => RunOutcome::NotRun,
            Self::ServerError | Self::AnswerTooLarge => RunOutcome::Ran,
            // A broken answer may be the answer to another request.
            Self::ConnectionBroken | Self::AnswerBroken | Self::TimedOut => RunOutcome::Unknown,
        }
    }

    /// Whether the request may be sent again on a route of this kind.
    #[must_use]
    pub const fn may_repeat(self, kind: RouteKind) -> bool {
        match (self, kind) {
            (Self::NotConnected | Self::Shed, _) => true,
            // The next answer would be as large.
            (Self::AnswerTooLarge, _) | (_, RouteKind::Once) => false,
            (_, RouteKind::Idempotent | RouteKind::Slow) => true,
        }
    }
}

/// The outcome of a request after all its attempts. One attempt that may have
/// run makes the request one that may have run.
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

/// Requests that pay for one repeated attempt: 10 % of requests.
const REQUESTS_PER_RETRY: u64 = 10;

/// Repeated attempts that can be saved up. More would let a long quiet time
/// pay for a storm of attempts.
const MAX_SAVED_RETRIES: u64 = 10;

/// A token bucket that bounds repeated attempts to a part of the requests.
///
/// It starts empty, so that attempts never exceed 1.1 times the requests.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    credits: u64,
}

impl RetryBudget {
    /// An empty budget.
    #[must_use]
    pub const fn new() -> Self {
        Self { credits: 0 }
    }

    /// Notes a request.
    pub fn deposit(&mut self) {
        let most = MAX_SAVED_RETRIES * REQUESTS_PER_RETRY;
        self.credits = (self.credits + 1).min(most);
    }

    /// Pays for one repeated attempt, if the budget has enough.
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

/// When a request must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDeadline(Instant);

impl RequestDeadline {
    /// The deadline of a request that started at `start`. A caller may shorten
    /// the time that the route gives, not lengthen it.
    #[must_use]
    pub fn new(start: Instant, route: Duration, caller: Option<Duration>) -> Self {
        Self(start + caller.map_or(route, |asked| asked.min(route)))
    }

    /// The time left, or `None` when the deadline has passed.
    #[must_use]
    pub fn remaining(self, now: Instant) -> Option<Duration> {
        self.0
            .checked_duration_since(now)
            .filter(|left| !left.is_zero())
    }

    /// The instant itself.
    #[must_use]
    pub const fn instant(self) -> Instant {
        self.0
    }
}
