//! Circuit breaker for claims while the table does not respond.
//!
//! A request that needs a claim would otherwise hold a slot until its deadline
//! and starve the requests behind it. It is rejected at once instead, and one
//! claim per retry interval tests whether the table has recovered.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tarragonpulley_backing::CommitOutcome;

/// Time after a failure before another claim tries the table.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Failures faster than this hold slots too briefly to open the breaker.
const SLOW_FAILURE_THRESHOLD: Duration = Duration::from_millis(200);

/// Health of the table as observed by the claims of this instance.
#[derive(Debug, Default)]
pub(super) struct TableHealth {
    failed_at: Cell<Option<Instant>>,
    attempts: Cell<usize>,
}

impl TableHealth {
    /// Whether claims should be rejected: the last one failed slowly, and either
    /// another is testing the table or the retry interval has not passed.
    pub(super) fn is_down(&self, now: Instant) -> bool {
        self.failed_at.get().is_some_and(|at| {
            self.attempts.get() > 0 || now.saturating_duration_since(at) < RETRY_INTERVAL
        })
    }

    /// Starts counting an attempt to write claims.
    pub(super) fn start_attempt(&self, now: Instant) -> TableAttempt<'_> {
        self.attempts.set(self.attempts.get() + 1);
        TableAttempt {
            health: self,
            started: now,
        }
    }
}

/// A running write of claims, counted until dropped.
#[derive(Debug)]
pub(super) struct TableAttempt<'a> {
    health: &'a TableHealth,
    started: Instant,
}

impl TableAttempt<'_> {
    /// Records the outcome of the write.
    pub(super) fn finish(self, outcome: &CommitOutcome, now: Instant) {
        let failed = matches!(
            outcome,
            CommitOutcome::NotApplied(_) | CommitOutcome::Unknown(_)
        );
        let slow = now.saturating_duration_since(self.started) >= SLOW_FAILURE_THRESHOLD;
        self.health.failed_at.set((failed && slow).then_some(now));
    }
}

impl Drop for TableAttempt<'_> {
    fn drop(&mut self) {
        let attempts = &self.health.attempts;
        attempts.set(attempts.get().saturating_sub(1));
    }
}
